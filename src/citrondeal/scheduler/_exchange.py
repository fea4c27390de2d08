"""Placement rounds and exchanges of the pool owner with its workers."""

import anyio

TICK_S = 0.1  # maximum delay of reactions to leases, preemptions, lost tasks
# A pause between placement rounds, so that jobs which arrive in a burst are
# placed together.
MIN_ROUND_INTERVAL_S = 0.01


class WorkerExchanges:
    """Performs the exchanges that are due while this process owns the pool.

    Parameters
    ----------
    owner : citrondeal.jobs.PoolOwner
        Decides which workers are due and what is sent to them.
    client : citrondeal.workers.Client
        HTTP client to workers.
    valid_until : callable
        ``valid_until(now)`` returns the end of the validity of this
        process's ownership in monotonic seconds, or None.
    append : callable
        Appends one record to the zone's stream in the background.
    task_group : anyio.abc.TaskGroup
        Runs one task for each exchange.
    metrics : citrondeal.telemetry.Metrics
        Counts starts of tasks and failed exchanges.
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
        self._round_requested = anyio.Event()

    def set_workers(self, addresses):
        """Replace the addresses of the workers, given by worker name."""
        self._addresses = addresses

    def request_round(self):
        """Run the next placement round as soon as possible."""
        self._round_requested.set()

    async def run(self):
        """Run placement rounds and start due exchanges until cancelled."""
        while True:
            with anyio.move_on_after(TICK_S):
                await self._round_requested.wait()
            self._round_requested = anyio.Event()
            self._run_round()
            await anyio.sleep(MIN_ROUND_INTERVAL_S)

    def _run_round(self):
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
        self.request_round()
