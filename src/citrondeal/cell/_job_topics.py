"""Submissions and cancellations, spread over several topics of the store.

A partition of the store handles appends one after the other, and each takes
long while the store is slow. All members append to these topics, so a single
partition would limit a whole cell to a few submissions a second.
"""

import dataclasses
import functools

import anyio
import result

from citrondeal.cell import _committer
from citrondeal.cell import _follower
from citrondeal.cell import _pace
from citrondeal.cell import _pending_bytes
from citrondeal.cell import _records
from citrondeal.cell import _store_outage
from citrondeal import errors


# Topics read at the same time at the start. On a slow link more of them would
# leave each so small a share that its calls run into their timeouts.
MAX_PARALLEL_LOADS = 3


class JobAppender:
    """Appends submissions and cancellations, in groups for each topic.

    Parameters
    ----------
    append, relay : callable
        See `Committer`.
    last_success_age_s : callable
        See `StoreOutage`.
    metrics : citrondeal.telemetry.Metrics
    pace : citrondeal.cell._pace.StorePace, optional
    has_writer : callable, optional
        See `Committer`.
    """

    def __init__(
        self,
        append,
        relay,
        last_success_age_s,
        metrics,
        pace=None,
        has_writer=lambda topic, now: False,
    ):
        self._outage = _store_outage.StoreOutage(last_success_age_s)
        self._metrics = metrics
        pace = _pace.StorePace() if pace is None else pace
        pending_bytes = _pending_bytes.PendingBytes()
        self._committers = {
            topic: _committer.Committer(
                topic,
                append,
                relay,
                self._outage,
                pace,
                has_writer,
                metrics,
                pending_bytes,
            )
            for topic in _records.JOB_TOPICS
        }

    def may_append(self, now):
        """Return whether no outage of the store is known to this process."""
        return not self._outage.lasts(now)

    async def put(self, record, deadline_s):
        """Append a record; see `Committer.put`."""
        committer = self._committers[_records.job_topic(record.key)]
        return await committer.put(record, deadline_s)

    async def put_foreign(self, topic, records, deadline_s):
        """Append records that another member has handed over.

        They share appends with those of this process and of other members.

        Returns
        -------
        result.Result
            ``Ok`` once all are stored; ``Err`` of kind ``unavailable`` only
            if certainly none is.
        """
        self._metrics.count("citrondeal.append.grouped", len(records))
        committer = self._committers[topic]
        outcomes = []

        async def put(record):
            outcomes.append(await committer.put(record, deadline_s, True))

        async with anyio.create_task_group() as task_group:
            for record in records:
                task_group.start_soon(put, record)
        failures = [o.err_value for o in outcomes if o.is_err()]
        if not failures:
            return outcomes[0]
        uncertain = len(failures) < len(outcomes) or any(
            f.kind is not errors.Kind.UNAVAILABLE for f in failures
        )
        if uncertain:
            return result.Err(
                dataclasses.replace(
                    failures[0], kind=errors.Kind.UNKNOWN_OUTCOME
                )
            )
        return result.Err(failures[0])

    async def run(self):
        """Append until cancelled."""
        async with anyio.create_task_group() as task_group:
            for committer in self._committers.values():
                task_group.start_soon(committer.run)


class JobReader:
    """Follows all topics of submissions and cancellations.

    Parameters
    ----------
    store : citrondeal.platform.StoreClient
    on_records : callable
        ``on_records(records, recovered)``; `recovered` tells whether they
        were stored before this reader started.
    wait_s : float
        Seconds for which the store may hold a read without records.
    """

    def __init__(self, store, on_records, wait_s):
        self._on_records = on_records
        self._followers = [
            _follower.Follower(
                store, topic, functools.partial(self._deliver, index), wait_s
            )
            for index, topic in enumerate(_records.JOB_TOPICS)
        ]

    def _deliver(self, index, records):
        self._on_records(records, not self._followers[index].loaded)

    @property
    def positions(self):
        """Offsets of the next records to read, in the order of the topics."""
        return [follower.end for follower in self._followers]

    def age_s(self, now):
        """Return the age in seconds of the oldest view of a topic."""
        return max(follower.view_age_s(now) for follower in self._followers)

    async def load(self, *reads):
        """Read the newest records of all topics, until it succeeds.

        Parameters
        ----------
        *reads : callable
            Further reads; ``await read()`` runs one of them. They are begun
            first, and count towards the number of reads at the same time.
        """
        limiter = anyio.Semaphore(MAX_PARALLEL_LOADS)

        async def load(read):
            async with limiter:
                await read()

        async with anyio.create_task_group() as task_group:
            for read in (*reads, *(f.load for f in self._followers)):
                task_group.start_soon(load, read)

    async def run(self):
        """Read until cancelled; `load` has to be called first."""
        async with anyio.create_task_group() as task_group:
            for follower in self._followers:
                task_group.start_soon(follower.run)
