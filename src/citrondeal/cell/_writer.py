"""Stores the progress of jobs and workers under the owner's epoch."""

import logging

import anyio

from citrondeal.cell import _records
from citrondeal import errors
from citrondeal import platform
from citrondeal import telemetry
from citrondeal import workflow

# Changes within this time share an append.
GROUP_DELAY_S = 0.02
MAX_IDLE_S = 0.5
RETRY_DELAY_S = 0.15

_LOG = logging.getLogger(__name__)


class ProgressWriter:
    """Appends progress to the state topic in order, fenced by the epoch.

    Parameters
    ----------
    store : citrondeal.platform.StoreClient
    epoch : int
    on_stored : callable
        Called with the values that `workflow.Scheduler.take_stored`
        returned, once they are stored.
    """

    def __init__(self, store, epoch, on_stored):
        self._store = store
        self._epoch = epoch
        self._on_stored = on_stored
        self._sequence = 0
        self._wakeup = anyio.Event()
        self._failing = False

    def wake(self):
        """Store changes soon, without waiting for `MAX_IDLE_S`."""
        self._wakeup.set()

    async def fence(self):
        """Fence earlier owners and append a barrier to all topics.

        Earlier owners may have started the submissions before a barrier. An
        owner that reads the barrier of a later epoch gives up, so it starts
        none after it.

        Returns
        -------
        bool
            False if a newer owner exists.
        """
        barrier = platform.Record(
            _records.BARRIER_KEY, str(self._epoch).encode()
        )
        producer = platform.Producer(_records.PRODUCER, self._epoch, 0)
        if await self._append(_records.STATE_TOPIC, [barrier], producer) < 0:
            return False
        self._sequence = 1
        offsets = []

        async def append(topic):
            offsets.append(await self._append(topic, [barrier], producer))

        async with anyio.create_task_group() as task_group:
            for topic in _records.JOB_TOPICS:
                task_group.start_soon(append, topic)
        return min(offsets) >= 0

    async def run(self, scheduler):
        """Store changes until a newer owner exists."""
        while True:
            with anyio.move_on_after(MAX_IDLE_S):
                await self._wakeup.wait()
            await anyio.sleep(GROUP_DELAY_S)
            self._wakeup = anyio.Event()
            jobs, workers, ends = scheduler.take_stored()
            records = _to_records(jobs, workers)
            if records:
                producer = platform.Producer(
                    _records.PRODUCER, self._epoch, self._sequence
                )
                offset = await self._append(
                    _records.STATE_TOPIC, records, producer
                )
                if offset < 0:
                    return
                self._sequence += 1
            if records or ends:
                self._on_stored(jobs, workers, ends)

    async def _append(self, topic, records, producer):
        """Append, repeatedly until the store confirms or rejects it.

        Returns
        -------
        int
            Offset of the first record, or -1 if a newer owner exists.
        """
        while True:
            outcome = await self._store.append(
                topic, records, producer=producer
            )
            if outcome.is_ok():
                self._log_transition(None)
                return outcome.ok_value
            if outcome.err_value.kind is errors.Kind.BARRED:
                self._log_transition(outcome.err_value)
                return -1
            self._log_transition(outcome.err_value)
            await anyio.sleep(RETRY_DELAY_S)

    def _log_transition(self, failure):
        if (failure is not None) == self._failing:
            return
        self._failing = failure is not None
        telemetry.event(
            _LOG,
            logging.WARNING if failure else logging.INFO,
            "progress cannot be stored" if failure else "progress is stored",
            reason=failure.message if failure else "",
        )


def _to_records(jobs, workers):
    records = [
        platform.Record(_records.job_key(job), _encode_or_delete(progress))
        for job, progress in jobs.items()
    ]
    records += [
        platform.Record(_records.worker_key(worker), _encode_or_delete(stored))
        for worker, stored in workers.items()
    ]
    return records


def _encode_or_delete(value):
    """Return the bytes to store; empty for None, which deletes the key."""
    return b"" if value is None else workflow.encode(value)
