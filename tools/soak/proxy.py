"""Loopback proxy that harms the connections through it."""

import anyio

CHUNK_BYTES = 65536
STEP_S = 0.02  # how often a held pump looks again


class _Link:
    """One client connection and its connection to the target."""

    def __init__(self, client, server):
        self.ends = (client, server)
        self.silent = False

    async def close(self):
        """Close both ends, with a reset where bytes are unread."""
        for end in self.ends:
            await anyio.aclose_forcefully(end)


class Proxy:
    """Forwards connections to one target.

    Attributes
    ----------
    blocked : set of str
        Directions, ``out`` (to the target) and ``back``, in which bytes
        are held.
    delay_s : float
        Added to each chunk of bytes.
    """

    def __init__(self, target):
        self._target = target
        self._links = set()
        self.blocked = set()
        self.delay_s = 0.0

    async def serve(self, port, *, task_status):
        """Accept connections on a port of 127.0.0.1 until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=port
        )
        task_status.started()
        await listener.serve(self._handle)

    async def _handle(self, client):
        try:
            server = await anyio.connect_tcp("127.0.0.1", self._target)
        except OSError:
            await client.aclose()
            return
        link = _Link(client, server)
        self._links.add(link)
        try:
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(self._pump, link, 0, "out")
                task_group.start_soon(self._pump, link, 1, "back")
        finally:
            self._links.discard(link)
            with anyio.CancelScope(shield=True):
                await link.close()

    async def _pump(self, link, end, direction):
        source, sink = link.ends[end], link.ends[1 - end]
        try:
            while True:
                data = await source.receive(CHUNK_BYTES)
                await anyio.sleep(self.delay_s)
                while link.silent or direction in self.blocked:
                    await anyio.sleep(STEP_S)
                await sink.send(data)
        except (
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            await link.close()

    async def reset(self):
        """Break off all connections."""
        for link in list(self._links):
            await link.close()

    def silence(self):
        """Hold all bytes of the present connections for good."""
        for link in self._links:
            link.silent = True
