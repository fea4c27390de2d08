"""Records that one member appends for others."""

import logging
import math

import anyio
import result

from citrondeal.cell import _clock
from citrondeal.cell import _pending_bytes
from citrondeal.cell import _records
from citrondeal import errors
from citrondeal import peers
from citrondeal.peers.gen.peers import ttypes
from citrondeal import platform
from citrondeal import telemetry

# A member that has not answered for this time is probed, since it may have to
# wait for the store or may be dead; a live one answers a probe soon.
PROBE_PERIOD_S = 0.5
PROBE_TIMEOUT_S = 0.25
# Members of earlier versions wait for this time for an answer.
EARLIER_VERSION_WAIT_S = 0.6
# Longer times in a message are taken for a fault of its sender.
MAX_TIME_S = 60.0
# Records of other members that are being appended: some groups of a member
# that has lost the store.
MAX_RELAYED_BYTES = 8 * 1024 * 1024

_LOG = logging.getLogger(__name__)


class Relays:
    """Hands records over to other members, and appends theirs.

    Parameters
    ----------
    name : str
        Name of this process.
    links : citrondeal.peers.ConnectionPool
    writers : citrondeal.cell._writers.Writers
    pace : citrondeal.cell._pace.StorePace
    may_append : callable
        Returns whether this process reaches the store.
    put_foreign : callable
        See `JobAppender.put_foreign`.
    """

    def __init__(self, name, links, writers, pace, may_append, put_foreign):
        self._relayed_bytes = _pending_bytes.PendingBytes(MAX_RELAYED_BYTES)
        self._name = name
        self._links = links
        self._writers = writers
        self._pace = pace
        self._may_append = may_append
        self._put_foreign = put_foreign

    def has_writer(self, topic, now):
        """Return whether another member is to append to a topic."""
        return bool(self._writers.ahead(topic, now))

    async def relay(self, records, limit_s, to_writers):
        """Append records of one topic through other members.

        A member that works on the records is waited for, because the same
        records from another one would only slow the store down further.

        Parameters
        ----------
        records : list of citrondeal.platform.Record
        limit_s : float
            Seconds that the callers have left.
        to_writers : bool
            Whether to use only members that come before this one in the
            order of the writers; otherwise the first of all others.

        Returns
        -------
        result.Result
            ``Ok`` once they are stored; ``Err`` of kind ``unavailable`` if
            certainly none is, else ``unknown_outcome``.
        """
        topic = _records.job_topic(records[0].key)
        limit = _clock.now() + limit_s
        choose = self._writers.ahead if to_writers else self._writers.others
        failure = errors.Failure(
            errors.Kind.UNAVAILABLE, "no other member relayed the append"
        )
        for member in choose(topic, _clock.now()):
            left_s = limit - _clock.now()
            if left_s <= 0:
                break
            outcome = await self._relay_to(member, topic, records, left_s)
            if outcome.is_ok():
                return outcome
            if outcome.err_value.kind is not errors.Kind.UNAVAILABLE:
                failure = outcome.err_value
        return result.Err(failure)

    async def _relay_to(self, member, topic, records, left_s):
        message = ttypes.Relay(
            keys=[record.key.encode() for record in records],
            values=[record.value for record in records],
            within_s=left_s,
        )
        sent_at = _clock.now()
        leave_out = self._writers.on_refused
        try:
            reply = await self._call_alive(member.address, message, left_s)
        except peers.PeerError as exc:
            if _clock.now() - sent_at < left_s:
                leave_out = self._writers.on_failed
            outcome = _failure(
                errors.Kind.UNKNOWN_OUTCOME
                if exc.maybe_sent
                else errors.Kind.UNAVAILABLE,
                str(exc),
            )
        else:
            outcome = self._outcome(reply, topic, sent_at)
        if outcome.is_ok():
            self._writers.on_answered(member.name)
            _event(
                "records are relayed",
                count=len(records),
                topic=topic,
                by=member.name,
                took_s=round(_clock.now() - sent_at, 3),
            )
        else:
            leave_out(member.name, _clock.now())
            _event(
                "records are not relayed",
                count=len(records),
                topic=topic,
                by=member.name,
                kind=outcome.err_value.kind.value,
                reason=outcome.err_value.message,
            )
        return outcome

    async def _call_alive(self, address, message, limit_s):
        """Call a member for as long as it shows signs of life."""
        outcome = result.Err(
            peers.PeerError("no sign of life", maybe_sent=True)
        )
        async with anyio.create_task_group() as task_group:

            async def cancel_when_dead():
                alive = True
                while alive:
                    await anyio.sleep(PROBE_PERIOD_S)
                    alive = await self._is_alive(address)
                task_group.cancel_scope.cancel()

            task_group.start_soon(cancel_when_dead)
            try:
                outcome = result.Ok(
                    await self._links.call(address, message, limit_s)
                )
            except peers.PeerError as exc:
                outcome = result.Err(exc)
            task_group.cancel_scope.cancel()
        if outcome.is_err():
            raise outcome.err_value
        return outcome.ok_value

    async def _is_alive(self, address):
        try:
            # The epoch 0 announces no claim.
            await self._links.call(
                address, ttypes.Probe(epoch=0), PROBE_TIMEOUT_S
            )
        except peers.PeerError:
            return False
        return True

    def _outcome(self, reply, topic, sent_at):
        now = _clock.now()
        if isinstance(reply, ttypes.Ok):
            append_s = _seconds(reply.append_s)
            if append_s is not None:
                slow = bool(reply.store_slow)
                self._pace.on_report(topic, slow, append_s, sent_at, now)
            return result.Ok(None)
        if not isinstance(reply, ttypes.Fault):
            return _failure(
                errors.Kind.UNKNOWN_OUTCOME,
                f"unexpected answer {type(reply).__name__}",
            )
        if reply.kind != errors.Kind.UNAVAILABLE:
            return _failure(errors.Kind.UNKNOWN_OUTCOME, reply.message)
        wait_s = _seconds(reply.retry_after_s)
        if wait_s is not None:
            self._pace.on_backlog(topic, wait_s, now)
        return _failure(errors.Kind.UNAVAILABLE, reply.message)

    async def answer(self, message):
        """Append the records of another member; return the reply to it."""
        if not self._may_append():
            return ttypes.Fault(
                kind=errors.Kind.UNAVAILABLE.value,
                message=f"{self._name} cannot reach the store",
            )
        try:
            topic, records = _decode(message)
        except ValueError as exc:
            _event("records of another member are malformed", reason=str(exc))
            return ttypes.Fault(
                kind=errors.Kind.PROTOCOL.value, message=str(exc)
            )
        within_s = _seconds(message.within_s)
        if within_s is None:
            within_s = EARLIER_VERSION_WAIT_S
        size = sum(len(record.value) for record in records)
        if not self._relayed_bytes.take(size):
            return ttypes.Fault(
                kind=errors.Kind.UNAVAILABLE.value,
                message=f"{self._name} relays too many records",
            )
        try:
            outcome = await self._put_foreign(topic, records, within_s)
        finally:
            self._relayed_bytes.give_back(size)
        if outcome.is_ok():
            stored = outcome.ok_value
            _event(
                "records of another member are appended",
                records=[record.key for record in records],
                offset=stored.offset,
            )
            return ttypes.Ok(stored.append_s, stored.slow)
        failure = outcome.err_value
        earliest_s = self._pace.earliest_s(topic, _clock.now())
        return ttypes.Fault(
            kind=failure.kind.value,
            message=failure.message,
            retry_after_s=earliest_s or None,
        )


def _decode(message):
    """Return the topic and the records of a message."""
    keys, values = message.keys or [], message.values or []
    if not keys or len(keys) != len(values):
        raise ValueError(f"{len(keys)} keys for {len(values)} values")
    records = [
        platform.Record(key.decode(), value)
        for key, value in zip(keys, values)
    ]
    topics = {_records.job_topic(record.key) for record in records}
    if len(topics) > 1:
        raise ValueError(f"records of {len(topics)} topics in one message")
    return topics.pop(), records


def _seconds(value):
    """Return a time from another member, or None if it is invalid."""
    if value is None or not math.isfinite(value):
        return None
    return value if 0.0 <= value <= MAX_TIME_S else None


def _failure(kind, message):
    return result.Err(errors.Failure(kind, message))


def _event(message, **fields):
    telemetry.event(_LOG, logging.INFO, message, **fields)
