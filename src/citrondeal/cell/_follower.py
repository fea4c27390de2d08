"""Follows a topic of the store, from the newest record of each key on."""

import logging
import math

import anyio
import result

from citrondeal.cell import _clock
from citrondeal import errors
from citrondeal import platform
from citrondeal import telemetry

RETRY_DELAY_S = 0.15  # after a failed read
# Reads that fail for longer than this mean that the store is unreachable,
# not just a transient fault of one connection.
UNREACHABLE_AFTER_S = 0.4

_LOG = logging.getLogger(__name__)


class Follower:
    """Passes on the records of one topic in order.

    Parameters
    ----------
    store : citrondeal.platform.StoreClient
    topic : str
    on_records : callable
        ``on_records(records)`` is called with each batch that is not empty.
    wait_s : float
        Seconds for which the store may hold a read without records.
    period_s : float
        Seconds between reads.
    """

    def __init__(self, store, topic, on_records, wait_s, period_s=0.0):
        self._store = store
        self._topic = topic
        self._on_records = on_records
        self._wait_s = wait_s
        self._period_s = period_s
        self._position = 0
        self._has_position = False
        self._keys = set()
        self._goal = None  # end of the topic, and when it was asked for
        self._answered_at = None
        self._confirmed_at = -math.inf
        self._failing = False
        self._failing_since = None
        self._read_scope = None
        self._skip_wait = False

    @property
    def end(self):
        """Offset after the last record that was read.

        An append at this offset succeeds only if no record has been missed.
        """
        return self._position

    @property
    def loaded(self):
        """Whether the newest records have been read once."""
        return self._answered_at is not None

    @property
    def has_position(self):
        """Whether it is known from where on records are to be read."""
        return self._has_position

    @property
    def failing(self):
        """Whether the last read failed."""
        return self._failing

    @property
    def confirmed_at(self):
        """When the last read that was answered was sent.

        All records that the store held then have been passed on.
        """
        return self._confirmed_at

    def age_s(self, now):
        """Return the seconds since the last answer of the store.

        Infinite before the first answer and once reads have failed for
        `UNREACHABLE_AFTER_S`.
        """
        if self._answered_at is None:
            return math.inf
        if self._failing and now - self._failing_since > UNREACHABLE_AFTER_S:
            return math.inf
        return now - self._answered_at

    def view_age_s(self, now):
        """Return the seconds since a time up to which all was read.

        That is the time of the request, because its answer may have waited
        while this process was suspended. Infinite when `age_s` is.
        """
        return max(self.age_s(now), now - self._confirmed_at)

    async def load(self):
        """Read the newest records of all keys, and retry until it succeeds."""
        while not await self.try_load():
            await anyio.sleep(RETRY_DELAY_S)

    async def try_load(self):
        """Read the newest records of all keys; return whether it succeeded."""
        sent_at = _clock.now()
        outcome = await self._store.read_newest(self._topic)
        if outcome.is_err():
            self._on_failure(outcome.err_value)
            return False
        end, records = outcome.ok_value
        newer = await self._read_newer(end, records)
        if newer.is_err():
            self._on_failure(newer.err_value)
            return False
        self._position, newer_records = newer.ok_value
        self._has_position = True
        self._goal = None
        records = self._deletions(records, end) + [
            record for record in records if record.offset < end
        ]
        records += newer_records
        self._deliver(records)
        self._on_answer(sent_at)
        return True

    async def _read_newer(self, end, records):
        """Read the records from `end` on to the last one that pages showed.

        Pages are no snapshot: a later one may show a record without those
        before it, which are of keys that earlier pages have passed.

        Returns
        -------
        result.Result
            ``Ok((int, list of Record))``: the offset from which to read on,
            and the records.
        """
        goal = max((record.offset + 1 for record in records), default=end)
        newer = []
        while end < goal:
            outcome = await self._store.read(self._topic, end, 0.0)
            if outcome.is_err():
                return outcome
            if outcome.ok_value.next_offset == end:
                return result.Err(
                    errors.Failure(
                        errors.Kind.UNAVAILABLE, "read has no records"
                    )
                )
            end = outcome.ok_value.next_offset
            newer += outcome.ok_value.records
        return result.Ok((end, newer))

    def _deletions(self, records, end):
        """Return a deletion for each known key that is no longer stored.

        The record that deleted it may itself have been deleted unread.
        """
        stored = {record.key for record in records}
        return [
            platform.Record(key, b"", end)
            for key in sorted(self._keys - stored)
        ]

    def _deliver(self, records):
        for record in records:
            if record.value:
                self._keys.add(record.key)
            else:
                self._keys.discard(record.key)
        if records:
            self._on_records(records)

    async def run(self):
        """Read until cancelled; `load` has to be called first."""
        while True:
            await self.read_once()
            if self._period_s:
                await anyio.sleep(self._period_s)

    def skip_to(self, offset):
        """Read from an offset on, as all before it is known from elsewhere."""
        self._position = max(self._position, offset)
        self._has_position = True

    async def read_once(self, wait_s=None):
        """Read the next records once, or load again if they were deleted.

        Parameters
        ----------
        wait_s : float, optional
            Seconds for which the store may hold this read without records;
            by default those of the follower.
        """
        wait_s = self._wait_s if wait_s is None else wait_s
        # A long poll takes longer to find out that the store is still
        # unreachable, and would notice its return later.
        if self._failing or self._skip_wait:
            wait_s = 0.0
        self._skip_wait = False
        sent_at = _clock.now()
        outcome = await self._read(wait_s)
        if outcome is None:
            return
        if outcome.is_ok() and outcome.ok_value.end_offset < self._position:
            await self._load_again("records end before the position")
        elif outcome.is_ok():
            batch = outcome.ok_value
            self._position = batch.next_offset
            self._deliver(batch.records)
            self._on_answer(self._complete_at(batch.end_offset, sent_at))
        elif outcome.err_value.kind is errors.Kind.CONFLICT:
            await self._load_again(
                "records were deleted before they were read"
            )
        else:
            self._on_failure(outcome.err_value)
            await anyio.sleep(RETRY_DELAY_S)

    async def _load_again(self, message):
        telemetry.event(
            _LOG,
            logging.INFO,
            message,
            topic=self._topic,
            position=self._position,
        )
        await self.load()

    def read_now(self):
        """Read without waiting for records; end a read that is under way."""
        self._skip_wait = True
        if self._read_scope is not None:
            self._read_scope.cancel()

    async def _read(self, wait_s):
        """Return the outcome of a read; None if `read_now` has ended it."""
        outcome = None
        with anyio.CancelScope() as self._read_scope:
            outcome = await self._store.read(
                self._topic, self._position, wait_s
            )
        self._read_scope = None
        return outcome

    def _complete_at(self, end, sent_at):
        """Return when the last request was sent whose end has been read.

        An answer may hold only a part of the records; the rest is read next.
        """
        if self._goal is None or self._position >= end:
            self._goal = (end, sent_at)
        goal_end, goal_sent_at = self._goal
        if self._position < goal_end:
            return self._confirmed_at
        self._goal = None if self._position >= end else (end, sent_at)
        return goal_sent_at

    def _on_answer(self, sent_at):
        self._answered_at = _clock.now()
        self._confirmed_at = sent_at
        if self._failing:
            self._failing = False
            telemetry.event(
                _LOG, logging.INFO, "store answers again", topic=self._topic
            )

    def _on_failure(self, failure):
        if not self._failing:
            self._failing = True
            self._failing_since = _clock.now()
            telemetry.event(
                _LOG,
                logging.WARNING,
                "store does not answer",
                topic=self._topic,
                reason=failure.message,
            )
