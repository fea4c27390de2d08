"""The exchanges of the pool owner with its workers."""

import anyio

# Bounds how late a lease, a preemption or a lost task is acted upon.
TICK_S = 0.1
# Shortest time between two rounds of placement; work that arrives in one
# burst is placed together.
ROUND_S = 0.01


class Exchange:
    """Polls each worker in its own task while this process owns the pool.

    Parameters
    ----------
    owner : citrondeal.jobs.Owner
        The core.
    client : citrondeal.workers.Client
        HTTP client to workers.
    valid_until : callable
        ``valid_until(now)`` returns the end of our validity as owner.
    append : callable
        Appends one record to the zone's stream in the background.
    period_s : float
        Seconds between two exchanges with a worker without news.
    task_group : anyio.abc.TaskGroup
        Runs the polling tasks.
    metrics : citrondeal.telemetry.Metrics
        Counts exchanges and starts.
    """

    def __init__(
        self,
        owner,
        client,
        valid_until,
        append,
        period_s,
        task_group,
        metrics,
    ):
        self._owner = owner
        self._client = client
        self._valid_until = valid_until
        self._append = append
        self._period = period_s
        self._task_group = task_group
        self._metrics = metrics
        self._addresses = {}
        self._nudges = {}
        self._dirty = anyio.Event()

    def set_workers(self, addresses):
        """Take the addresses of the workers by name."""
        self._addresses = addresses
        for name in addresses:
            if name not in self._nudges:
                self._nudges[name] = anyio.Event()
                self._task_group.start_soon(self._poll, name)

    def changed(self):
        """Run a round of placement soon."""
        self._dirty.set()

    async def run(self):
        """Run rounds of placement until cancelled."""
        while True:
            with anyio.move_on_after(TICK_S):
                await self._dirty.wait()
            self._dirty = anyio.Event()
            self._round()
            await anyio.sleep(ROUND_S)

    def _round(self):
        now = anyio.current_time()
        for action in self._owner.tick(now, self._valid_until(now)):
            self._append(action.record)
        for name, nudge in self._nudges.items():
            if self._owner.has_news(name):
                nudge.set()

    async def _poll(self, name):
        try:
            while name in self._addresses:
                await self._exchange(name)
                with anyio.move_on_after(self._period):
                    await self._nudges[name].wait()
                self._nudges[name] = anyio.Event()
        finally:
            self._nudges.pop(name, None)

    async def _exchange(self, name):
        sent_at = anyio.current_time()
        message = self._owner.sync_request(
            name, sent_at, self._valid_until(sent_at)
        )
        if message is None:
            return
        if message["starts"]:
            self._metrics.count(
                "citrondeal.tasks.starts", len(message["starts"])
            )
        outcome = await self._client.sync(self._addresses[name], message)
        now = anyio.current_time()
        if outcome.is_ok():
            self._owner.on_reply(name, outcome.ok_value, sent_at, now)
        else:
            self._metrics.count("citrondeal.workers.failed_exchanges")
            self._owner.on_poll_failed(name, now)
        self.changed()
