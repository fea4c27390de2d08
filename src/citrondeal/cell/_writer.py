"""Stores the progress of jobs and workers under the owner's epoch."""

import logging
import secrets

import anyio

from citrondeal.cell import _clock
from citrondeal.cell import _records
from citrondeal import errors
from citrondeal import platform
from citrondeal import telemetry
from citrondeal import workflow

# Changes within this time share an append.
GROUP_DELAY_S = 0.02
MAX_IDLE_S = 0.5
RETRY_DELAY_S = 0.15
# A writer begins at a random sequence number below this. The store answers a
# repeated number with its first answer and rejects one that does not follow.
# If two writers of an epoch began alike, the second would take progress as
# stored that is not.
MAX_FIRST_SEQUENCE = 2**30

# Kinds of failures after which the epoch cannot store anything more.
REJECTED = frozenset({errors.Kind.BARRED, errors.Kind.CONFLICT})

_LOG = logging.getLogger(__name__)


class ProgressWriter:
    """Appends progress to the state topic in order, fenced by the epoch.

    Parameters
    ----------
    store : citrondeal.platform.StoreClient
    epoch : int
    on_stored : callable
        Called with the values that `workflow.Scheduler.take_changes`
        returned, once they are stored.
    take_learned : callable
        ``take_learned(now)`` returns a record of what has been learned if it
        is due to be stored, or None.
    """

    def __init__(self, store, epoch, on_stored, take_learned=lambda now: None):
        self._store = store
        self._epoch = epoch
        self._on_stored = on_stored
        self._take_learned = take_learned
        self._sequence = secrets.randbelow(MAX_FIRST_SEQUENCE)
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
            False if the store rejects the epoch, see `run`.
        """
        barrier = platform.Record(
            _records.BARRIER_KEY, str(self._epoch).encode()
        )
        producer = platform.Producer(
            _records.PRODUCER, self._epoch, self._sequence
        )
        outcome = await self._append(_records.STATE_TOPIC, [barrier], producer)
        if outcome.is_err():
            return False
        self._sequence += 1
        outcomes = []

        async def append(topic):
            outcomes.append(await self._append(topic, [barrier], producer))

        async with anyio.create_task_group() as task_group:
            for topic in _records.JOB_TOPICS:
                task_group.start_soon(append, topic)
        return all(outcome.is_ok() for outcome in outcomes)

    async def run(self, scheduler):
        """Store changes until the store rejects one.

        Returns
        -------
        citrondeal.errors.Failure
            Of kind ``barred`` if a newer owner exists, ``conflict`` if
            another writer has used the epoch.
        """
        while True:
            with anyio.move_on_after(MAX_IDLE_S):
                await self._wakeup.wait()
            await anyio.sleep(GROUP_DELAY_S)
            self._wakeup = anyio.Event()
            jobs, workers, ends = scheduler.take_changes()
            records = _to_records(jobs, workers, scheduler.run_limit_to_store)
            learned = self._take_learned(_clock.now())
            if learned is not None:
                records.append(_learned_record(learned))
            for group in _records.split(records):
                producer = platform.Producer(
                    _records.PRODUCER, self._epoch, self._sequence
                )
                outcome = await self._append(
                    _records.STATE_TOPIC, group, producer
                )
                if outcome.is_err():
                    return outcome.err_value
                self._sequence += 1
            if records or ends:
                self._on_stored(jobs, workers, ends)

    async def _append(self, topic, records, producer):
        """Append, repeatedly until the store confirms or rejects it.

        Returns
        -------
        result.Result
            ``Ok(int)`` with the offset of the first record; ``Err`` of a
            kind in `REJECTED` if the append can never succeed.
        """
        while True:
            outcome = await self._store.append(
                topic, records, producer=producer
            )
            self._log_transition(outcome.err())
            if outcome.is_ok() or outcome.err_value.kind in REJECTED:
                return outcome
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


def _to_records(jobs, workers, run_limit):
    """Return the records to store, which may take several appends.

    The changes of jobs come before those of workers, so an owner that finds
    only the first appends knows no less than before.
    """
    records = [
        platform.Record(_records.job_key(job), _encode_or_delete(progress))
        for job, progress in jobs.items()
    ]
    records += [
        platform.Record(_records.worker_key(worker), _encode_or_delete(stored))
        for worker, stored in workers.items()
    ]
    if run_limit is not None:
        value = str(run_limit).encode()
        records.append(platform.Record(_records.RUN_LIMIT_KEY, value))
    return records


def _learned_record(learned):
    return platform.Record(_records.LEARNED_KEY, workflow.encode(learned))


def _encode_or_delete(value):
    """Return the bytes to store; empty for None, which deletes the key."""
    return b"" if value is None else workflow.encode(value)
