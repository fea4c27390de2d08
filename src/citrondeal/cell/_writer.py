"""Stores the owner's progress under its epoch."""

import logging

import anyio

from citrondeal.cell import _records
from citrondeal import errors
from citrondeal import platform
from citrondeal import telemetry
from citrondeal import workflow

GROUP_S = 0.02  # changes within this time share an append
IDLE_S = 0.5
RETRY_S = 0.15

_LOG = logging.getLogger(__name__)


class Writer:
    """Appends to the state topic in order, fenced by the epoch.

    Parameters
    ----------
    store : citrondeal.platform.StoreClient
    epoch : int
    on_stored : callable
        Gets what `workflow.Scheduler.take_changes` returned.
    """

    def __init__(self, store, epoch, on_stored):
        self._store = store
        self._epoch = epoch
        self._on_stored = on_stored
        self._sequence = 0
        self._wakeup = anyio.Event()
        self._failing = False

    def wake(self):
        """Store soon what has changed."""
        self._wakeup.set()

    async def fence(self):
        """Shut out earlier owners.

        What the topics of submissions hold before the barrier may have been
        read by earlier owners, and nothing after it.

        Returns
        -------
        bool
            Whether no newer owner exists.
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
            for topic in _records.WORK_TOPICS:
                task_group.start_soon(append, topic)
        return min(offsets) >= 0

    async def run(self, scheduler):
        """Store changes until a newer owner exists."""
        while True:
            with anyio.move_on_after(IDLE_S):
                await self._wakeup.wait()
            await anyio.sleep(GROUP_S)
            self._wakeup = anyio.Event()
            jobs, workers, ends = scheduler.take_changes()
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
        """Append until it is confirmed.

        Returns
        -------
        int
            Offset, or -1 if a newer owner exists.
        """
        while True:
            outcome = await self._store.append(
                topic, records, producer=producer
            )
            if outcome.is_ok():
                self._note(None)
                return outcome.ok_value
            if outcome.err_value.kind is errors.Kind.BARRED:
                self._note(outcome.err_value)
                return -1
            self._note(outcome.err_value)
            await anyio.sleep(RETRY_S)

    def _note(self, failure):
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
        platform.Record(_records.job_key(job), _encode(progress))
        for job, progress in jobs.items()
    ]
    records += [
        platform.Record(_records.worker_key(worker), _encode(stored))
        for worker, stored in workers.items()
    ]
    return records


def _encode(value):
    """Return the stored bytes; none drop the key."""
    return b"" if value is None else workflow.encode(value)
