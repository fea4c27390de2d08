"""The exchanges of the pool owner with its workers."""

import anyio

# Bounds how late a lease, a preemption or a lost task is acted upon.
TICK_S = 0.1
# Shortest time between two rounds of placement; work that arrives in one
# burst is placed together.
ROUND_S = 0.01


class Exchange:
    """Performs the exchanges that are due while this process is the owner.

    Parameters
    ----------
    owner : citrondeal.jobs.PoolOwner
        The core; it decides when a worker is due.
    client : citrondeal.workers.Client
        HTTP client to workers.
    valid_until : callable
        ``valid_until(now)`` returns the end of our validity as owner.
    append : callable
        Appends one record to the zone's stream in the background.
    task_group : anyio.abc.TaskGroup
        Runs the exchanges.
    metrics : citrondeal.telemetry.Metrics
        Counts exchanges and starts.
    """

    def __init__(
        self, owner, client, valid_until, append, task_group, metrics
    ):
        self._owner = owner
        self._client = client
        self._valid_until = valid_until
        self._append = append
        self._task_group = task_group
        self._metrics = metrics
        self._addresses = {}
        self._dirty = anyio.Event()

    def set_workers(self, addresses):
        """Take the addresses of the workers by name."""
        self._addresses = addresses

    def changed(self):
        """Run a round of placement soon."""
        self._dirty.set()

    async def run(self):
        """Run rounds of placement and exchanges until cancelled."""
        while True:
            with anyio.move_on_after(TICK_S):
                await self._dirty.wait()
            self._dirty = anyio.Event()
            self._round()
            await anyio.sleep(ROUND_S)

    def _round(self):
        now = anyio.current_time()
        valid_until = self._valid_until(now)
        for action in self._owner.tick(now, valid_until):
            self._append(action.record)
        if not self._owner.owned:
            return
        for name in self._owner.due_workers(now):
            address = self._addresses.get(name)
            if address is None:
                continue
            message = self._owner.sync_request(name, now, valid_until)
            if message is not None:
                self._task_group.start_soon(
                    self._exchange, name, address, message, now
                )

    async def _exchange(self, name, address, message, sent_at):
        if message["starts"]:
            self._metrics.count(
                "citrondeal.tasks.starts", len(message["starts"])
            )
        outcome = await self._client.sync(address, message)
        now = anyio.current_time()
        if outcome.is_ok():
            self._owner.on_reply(name, outcome.ok_value, sent_at, now)
        else:
            self._metrics.count("citrondeal.workers.failed_exchanges")
            self._owner.on_exchange_failed(name, now)
        self.changed()
