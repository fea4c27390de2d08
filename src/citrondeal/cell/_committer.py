"""Group commit of records that concurrent requests append."""

import dataclasses
import logging
import math
import random

import anyio
import result

from citrondeal.cell import _clock
from citrondeal.cell import _pending_bytes
from citrondeal import errors
from citrondeal import platform
from citrondeal import telemetry

# Records added within this time share an append.
GROUP_DELAY_S = 0.01
MAX_GROUP_RECORDS = 200
# Half of what the store takes in a call, and of a frame between members. The
# store refuses a larger call as a whole, with all records in it.
MAX_GROUP_BYTES = 1024 * 1024
# Groups of a topic that wait for writers at the same time. Beyond these, the
# member appends by itself.
MAX_HANDOVERS = 8
# Retries wait for this time or for the time of an append, times a random
# factor, so that members do not repeat their appends at the same moment.
RETRY_DELAY_S = 0.1
RETRY_SPREAD = (0.5, 1.5)
# A record that neither this process nor another could append within this
# time is given up, unless the store is slow but still serves calls.
GIVE_UP_AFTER_S = 0.5
# An append without an answer is given up after this time, unless the store is
# known to be slow and serves other calls.
APPEND_TIMEOUT_S = 1.0
CHECK_PERIOD_S = 0.1
# Advice to clients. An outage is expected to last as long again as it has
# lasted, but no client is kept away for longer than its usual deadline.
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 3.0

_LOG = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True, eq=False)
class _PendingRecord:
    record: object
    deadline: float
    added_at: float
    done: anyio.Event
    foreign: bool  # handed over by another member
    direct: bool = False  # the writers have failed
    may_be_stored: bool = False
    outcome: object = None


@dataclasses.dataclass(frozen=True, slots=True)
class Stored:
    """Where a record was stored.

    Attributes
    ----------
    offset : int
        Offset of the record in its topic; -1 if it was relayed.
    relayed : bool
        Whether another member has appended it.
    append_s : float
        Seconds that the append of this process took.
    slow : bool
        Whether that is a sign of a slow store.
    """

    offset: int
    relayed: bool
    append_s: float = 0.0
    slow: bool = False


class Committer:
    """Appends records to one topic in groups.

    A record may be appended more than once, so appends must be idempotent.
    While the store is slow, groups are handed over to the writers of the
    topic, which append what they get from all members together.

    Parameters
    ----------
    topic : str
    append : callable
        ``await append(records)`` returns a `result.Result`; it may be
        cancelled.
    relay : callable
        ``await relay(records, limit_s, to_writers)`` is like `append`, but
        through another process, and ends within `limit_s`. Called for the
        writers, and when `append` fails and the store serves no other call
        of this process either.
    outage : StoreOutage
        Shared by all committers of a process.
    pace : citrondeal.cell._pace.StorePace
        Shared by all committers of a process.
    has_writer : callable
        ``has_writer(topic, now)`` returns whether another member is to append
        to the topic while the store is slow.
    metrics : citrondeal.telemetry.Metrics
    pending_bytes : PendingBytes, optional
        Shared by all committers of a process.
    """

    def __init__(
        self,
        topic,
        append,
        relay,
        outage,
        pace,
        has_writer,
        metrics,
        pending_bytes=None,
    ):
        self._topic = topic
        self._append = append
        self._outage = outage
        self._pace = pace
        self._has_writer = has_writer
        self._relay = relay
        self._metrics = metrics
        self._pending_bytes = pending_bytes or _pending_bytes.PendingBytes()
        self._pending = []
        self._handovers = 0
        self._committing = False
        self._wakeup = anyio.Event()
        self._committed = anyio.Event()

    async def put(self, record, deadline_s, foreign=False):
        """Append a record and wait for the outcome.

        Parameters
        ----------
        record : citrondeal.platform.Record
        deadline_s : float
            Seconds from now after which the outcome is returned in any case.
        foreign : bool, optional
            Whether another member has handed it over; it is not passed on.

        Returns
        -------
        result.Result
            ``Ok(Stored)`` once it is stored; ``Err`` of kind ``unavailable``
            if it is certainly not stored, else ``unknown_outcome``.
        """
        now = _clock.now()
        earliest_s = self._pace.earliest_s(self._topic, now)
        if earliest_s > deadline_s:
            self._metrics.count("citrondeal.append.refused_early")
            return self._failure(
                errors.Kind.UNAVAILABLE,
                now,
                f"the slow store needs {earliest_s:.1f} s for an append",
            )
        # The relays of other members have a limit of their own.
        size = 0 if foreign else len(record.value)
        if not self._pending_bytes.take(size):
            self._metrics.count("citrondeal.append.refused")
            return self._failure(
                errors.Kind.UNAVAILABLE,
                now,
                "too many records wait to be stored",
            )
        entry = _PendingRecord(
            record, now + deadline_s, now, anyio.Event(), foreign
        )
        self._pending.append(entry)
        self._wakeup.set()
        try:
            with anyio.move_on_after(deadline_s):
                await entry.done.wait()
        finally:
            self._pending_bytes.give_back(size)
        ended = _clock.now()
        if entry.outcome is None:
            self._give_up(entry, ended)
        self._metrics.record("citrondeal.append.time", ended - now)
        return entry.outcome

    async def run(self):
        """Append until cancelled."""
        async with anyio.create_task_group() as task_group:
            while True:
                if not self._pending:
                    self._wakeup = anyio.Event()
                    await self._wakeup.wait()
                await anyio.sleep(GROUP_DELAY_S)
                if self._is_handed_over(_clock.now()):
                    self._handovers += 1
                    task_group.start_soon(
                        self._run_handover, self._take_group()
                    )
                elif self._committing:
                    # A long append shows that the next records are better
                    # handed over.
                    with anyio.move_on_after(CHECK_PERIOD_S):
                        await self._committed.wait()
                elif self._pending:
                    self._committing = True
                    self._committed = anyio.Event()
                    task_group.start_soon(self._run_commit, self._take_group())

    async def _run_commit(self, group):
        try:
            await self._run_contained(self._commit, group)
        finally:
            self._committing = False
            self._committed.set()

    async def _run_handover(self, group):
        try:
            await self._run_contained(self._hand_over, group)
        finally:
            self._handovers -= 1

    async def _run_contained(self, function, group):
        with telemetry.contain(_LOG, "append", count=len(group)):
            await function(group)
            return
        now = _clock.now()
        for entry in group:
            self._finish(entry, errors.Kind.UNKNOWN_OUTCOME, now)

    def _is_handed_over(self, now):
        """Return whether the next records go to a writer."""
        return (
            bool(self._pending)
            and self._handovers < MAX_HANDOVERS
            and not any(e.foreign or e.direct for e in self._pending)
            and not self._outage.lasts(now)
            and self._pace.is_slow(now)
            and self._has_writer(self._topic, now)
        )

    def _take_group(self):
        """Remove and return the next records, at least one."""
        size = count = 0
        for entry in self._pending[:MAX_GROUP_RECORDS]:
            size += len(entry.record.value)
            if count and size > MAX_GROUP_BYTES:
                break
            count += 1
        group = self._pending[:count]
        del self._pending[:count]
        return group

    async def _hand_over(self, group):
        """Let the writers append; records that they do not take come back."""
        self._metrics.count("citrondeal.append.handed_over", len(group))
        outcome = await self._call(group, self._relay_to_writers)
        if outcome.is_ok():
            _finish_stored(group, Stored(-1, relayed=True))
            return
        for entry in group:
            entry.direct = True
        self._requeue_or_finish(group, _clock.now())

    async def _commit(self, group):
        started = _clock.now()
        if self._outage.lasts(started):
            outcome = self._failure(errors.Kind.UNAVAILABLE, started)
            self._record_failure(group, outcome.err_value)
        else:
            outcome = await self._call(group, self._append_records)
        if outcome.is_ok():
            _finish_stored(group, outcome.ok_value)
            return
        now = _clock.now()
        overloaded = self._is_overloaded(now)
        if not overloaded and not self._outage.served_since(started, now):
            self._outage.on_append_failed(now)
            group = await self._relay_own(group)
        for entry in group:
            entry.direct = False
        self._requeue_or_finish(group, _clock.now())
        if self._pending:
            delay_s = max(RETRY_DELAY_S, self._pace.append_s(now))
            await anyio.sleep(delay_s * random.uniform(*RETRY_SPREAD))

    def _is_overloaded(self, now):
        """Return whether the store is slow but serves this process."""
        return self._pace.is_slow(now) and self._outage.served_lately()

    async def _relay_own(self, group):
        """Relay the records of this process; return what is not stored.

        A store that is slow but serves calls would be slowed down further by
        the same records from other members, so this is for outages only.
        """
        own = [entry for entry in group if not entry.foreign]
        if not own:
            return group
        outcome = await self._call(own, self._relay_unless_served)
        if outcome.is_err():
            return group
        _finish_stored(own, Stored(-1, relayed=True))
        return [entry for entry in group if entry.foreign]

    async def _call(self, group, function):
        """Call a function with the records and note what it leaves open."""
        # A caller whose time has ended meanwhile does not know the outcome.
        earlier = [entry.may_be_stored for entry in group]
        for entry in group:
            entry.may_be_stored = True
        limit_s = max(entry.deadline for entry in group) - _clock.now()
        records = [entry.record for entry in group]
        outcome = await function(records, limit_s)
        if outcome.is_err():
            if outcome.err_value.kind is errors.Kind.UNAVAILABLE:
                for entry, before in zip(group, earlier):
                    entry.may_be_stored = before
            self._record_failure(group, outcome.err_value)
        return outcome

    async def _relay_to_writers(self, records, limit_s):
        return await self._relay(records, limit_s, True)

    async def _relay_unless_served(self, records, limit_s):
        """Relay until the store serves this process again."""
        started = _clock.now()

        async def relay():
            return await self._relay(records, limit_s, False)

        async def wait_until_served():
            while not self._outage.served_since(started, _clock.now()):
                await anyio.sleep(CHECK_PERIOD_S)

        return await _run_unless(
            relay, wait_until_served, "the store answers again"
        )

    async def _append_records(self, records, limit_s):
        size = sum(len(record.value) for record in records)
        sent_at = _clock.now()
        append = self._pace.start_append(self._topic, size, sent_at)
        outcome = None
        try:
            outcome = await self._append_within(records, limit_s)
        finally:
            now = _clock.now()
            stored = outcome is not None and outcome.is_ok()
            slow = self._pace.end_append(append, stored, now)
        if (
            outcome.is_err()
            and outcome.err_value.kind is errors.Kind.UNAVAILABLE
            and self._is_overloaded(now)
        ):
            self._pace.on_backlog(
                self._topic, platform.MAX_WAITING_APPENDS_S, now
            )
        return outcome.map(
            lambda offset: Stored(offset, False, now - sent_at, slow)
        )

    async def _append_within(self, records, limit_s):
        """Append, but wait no longer than an answer can be expected."""
        limit = _clock.now() + limit_s

        async def append():
            return await self._append(records)

        async def wait_until_due():
            await anyio.sleep(min(limit_s, APPEND_TIMEOUT_S))
            # Another append of the same records would only wait behind
            # this one while the store is slow.
            while _clock.now() < limit and self._is_answer_expected():
                await anyio.sleep(CHECK_PERIOD_S)

        return await _run_unless(append, wait_until_due, "timeout")

    def _is_answer_expected(self):
        now = _clock.now()
        return self._pace.append_s(now) > 0.0 and self._is_overloaded(now)

    def _record_failure(self, group, failure):
        self._metrics.count("citrondeal.append.failed", len(group))
        telemetry.event(
            _LOG,
            logging.WARNING,
            "append failed",
            records=[entry.record.key for entry in group[:8]],
            count=len(group),
            kind=failure.kind.value,
            reason=failure.message,
        )

    def _requeue_or_finish(self, group, now):
        # While the store is unreachable a record is not kept waiting: the
        # client is told at once to retry later.
        outage = self._outage.lasts(now)
        overloaded = self._is_overloaded(now)
        earliest_s = self._pace.earliest_s(self._topic, now)
        for entry in group:
            limit = entry.deadline - earliest_s
            if not overloaded and not self._outage.served_since(
                entry.added_at, now
            ):
                limit = min(limit, entry.added_at + GIVE_UP_AFTER_S)
            if entry.outcome is None and not outage and now < limit:
                self._pending.append(entry)
                self._wakeup.set()
            else:
                self._give_up(entry, now)

    def _give_up(self, entry, now):
        if entry in self._pending:
            self._pending.remove(entry)
        kind = (
            errors.Kind.UNKNOWN_OUTCOME
            if entry.may_be_stored
            else errors.Kind.UNAVAILABLE
        )
        self._finish(entry, kind, now)

    def _finish(self, entry, kind, now):
        if entry.outcome is None:
            entry.outcome = self._failure(kind, now)
            entry.done.set()

    def _failure(
        self, kind, now, message="the store did not confirm the append"
    ):
        expected_s = max(
            self._outage.remaining_s(now),
            self._pace.earliest_s(self._topic, now),
        )
        # Whole seconds, rounded up, as the client gets them.
        retry_after_s = math.ceil(
            min(max(expected_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
        )
        return result.Err(errors.Failure(kind, message, float(retry_after_s)))


async def _run_unless(call, wait, reason):
    """Return the result of a call; cancel the call once a wait has ended.

    Parameters
    ----------
    call, wait : callable
        ``await call()`` returns a `result.Result`.
    reason : str
        Message of the failure, of unknown outcome, if the wait ends first.
    """
    outcome = None
    async with anyio.create_task_group() as task_group:

        async def cancel_after_wait():
            await wait()
            task_group.cancel_scope.cancel()

        task_group.start_soon(cancel_after_wait)
        outcome = await call()
        task_group.cancel_scope.cancel()
    if outcome is None:
        return result.Err(errors.Failure(errors.Kind.UNKNOWN_OUTCOME, reason))
    return outcome


def _finish_stored(group, stored):
    for index, entry in enumerate(group):
        if entry.outcome is None:
            offset = -1 if stored.relayed else stored.offset + index
            entry.outcome = result.Ok(
                dataclasses.replace(stored, offset=offset)
            )
            entry.done.set()
