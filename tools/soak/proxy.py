"""TCP proxy on loopback that injects faults into its connections."""

import anyio

MAX_CHUNK_BYTES = 65536
POLL_INTERVAL_S = 0.02  # between checks whether held bytes may pass


class _ForwardedConnection:
    """One client connection and its connection to the target."""

    def __init__(self, client, server):
        self.streams = (client, server)
        self.silent = False

    async def close(self):
        """Close both streams; the kernel sends a reset if bytes are unread."""
        for stream in self.streams:
            await anyio.aclose_forcefully(stream)


class Proxy:
    """Forwards connections to one target port of 127.0.0.1.

    Parameters
    ----------
    target_port : int
        Port that connections are forwarded to.

    Attributes
    ----------
    blocked : set of str
        Directions, ``out`` (to the target) and ``back``, in which bytes
        are held.
    delay_s : float
        Delay of each chunk of bytes, in seconds.
    """

    def __init__(self, target_port):
        self._target_port = target_port
        self._forwarded = set()
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
            server = await anyio.connect_tcp("127.0.0.1", self._target_port)
        except OSError:
            await client.aclose()
            return
        connection = _ForwardedConnection(client, server)
        self._forwarded.add(connection)
        try:
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(
                    self._forward_bytes, connection, 0, "out"
                )
                task_group.start_soon(
                    self._forward_bytes, connection, 1, "back"
                )
        finally:
            self._forwarded.discard(connection)
            with anyio.CancelScope(shield=True):
                await connection.close()

    async def _forward_bytes(self, connection, end, direction):
        source, destination = (
            connection.streams[end],
            connection.streams[1 - end],
        )
        try:
            while True:
                data = await source.receive(MAX_CHUNK_BYTES)
                await anyio.sleep(self.delay_s)
                while connection.silent or direction in self.blocked:
                    await anyio.sleep(POLL_INTERVAL_S)
                await destination.send(data)
        except (
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            await connection.close()

    async def reset(self):
        """Close all present connections forcefully."""
        for connection in list(self._forwarded):
            await connection.close()

    def silence(self):
        """Hold all bytes of the present connections until they are closed."""
        for connection in self._forwarded:
            connection.silent = True
