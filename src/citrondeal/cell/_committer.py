"""Group commit of records that several requests append at a time."""

import dataclasses
import logging

import anyio
import result

from citrondeal.cell import _clock
from citrondeal import errors
from citrondeal import telemetry

# Requests that come within this time share an append.
GROUP_S = 0.01
GROUP_LIMIT = 200  # records in an append
RETRY_S = 0.1
# A record that no process could append for this long is given up, unless the
# store is only slow.
GIVEN_UP_S = 0.5
# After a failed append, records are refused without a try for this long,
# unless the store has served another call since.
PAUSE_S = 0.5
RETRY_AFTER_S = 1.0

_LOG = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True, eq=False)
class _Entry:
    record: object
    deadline: float
    entered_at: float
    done: anyio.Event
    uncertain: bool = False
    outcome: object = None


class Committer:
    """Appends records in groups; appending one twice must be harmless.

    Parameters
    ----------
    append : callable
        ``await append(records)`` returns a `result.Result`.
    relay : callable
        The same by another process, tried when `append` fails and the store
        serves no other call of this process either.
    served_age_s : callable
        Returns the seconds since the store served a call of this process.
    metrics : citrondeal.telemetry.Metrics
    """

    def __init__(self, append, relay, served_age_s, metrics):
        self._append = append
        self._served_age_s = served_age_s
        self._failed_at = -PAUSE_S
        self._relay = relay
        self._metrics = metrics
        self._entries = []
        self._wakeup = anyio.Event()

    async def put(self, record, deadline_s):
        """Append a record.

        Returns
        -------
        result.Result
            ``Ok`` once it is stored; ``Err`` of kind ``unavailable`` if it
            is certainly not stored, else ``unknown_outcome``.
        """
        now = _clock.now()
        entry = _Entry(record, now + deadline_s, now, anyio.Event())
        self._entries.append(entry)
        self._wakeup.set()
        await entry.done.wait()
        self._metrics.record("citrondeal.append.time", _clock.now() - now)
        return entry.outcome

    async def run(self):
        """Append until cancelled."""
        while True:
            if not self._entries:
                self._wakeup = anyio.Event()
                await self._wakeup.wait()
            await anyio.sleep(GROUP_S)
            group = self._entries[:GROUP_LIMIT]
            del self._entries[:GROUP_LIMIT]
            await self._commit(group)

    async def _commit(self, group):
        records = [entry.record for entry in group]
        started = _clock.now()
        if self._pausing(_clock.now()):
            outcome = _failed(errors.Kind.UNAVAILABLE)
        else:
            outcome = await self._append(records)
            if outcome.is_err():
                self._failed_at = _clock.now()
        if outcome.is_err():
            self._note_failure(group, outcome.err_value)
            # A store that is only slow gets slower by the same records from
            # other members.
            if not self._served_since(started, _clock.now()):
                outcome = await self._relay(records)
        if outcome.is_ok():
            for entry in group:
                _finish(entry, result.Ok(None))
            return
        self._note_failure(group, outcome.err_value)
        self._retry(group, _clock.now())
        if self._entries:
            await anyio.sleep(RETRY_S)

    def _pausing(self, now):
        """Whether an append would probably have an unknown outcome."""
        return now - self._failed_at < PAUSE_S and not self._served_since(
            self._failed_at, now
        )

    def _served_since(self, since, now):
        return self._served_age_s() < now - since

    def _note_failure(self, group, failure):
        if failure.kind is not errors.Kind.UNAVAILABLE:
            for entry in group:
                entry.uncertain = True
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

    def _retry(self, group, now):
        # While the store is away, waiting here would help nobody: the client
        # learns at once when to come back.
        away = self._pausing(now)
        for entry in group:
            limit = entry.deadline
            if not self._served_since(entry.entered_at, now):
                limit = min(limit, entry.entered_at + GIVEN_UP_S)
            if not away and now < limit:
                self._entries.append(entry)
            elif entry.uncertain:
                _finish(entry, _failed(errors.Kind.UNKNOWN_OUTCOME))
            else:
                _finish(entry, _failed(errors.Kind.UNAVAILABLE))


def _finish(entry, outcome):
    entry.outcome = outcome
    entry.done.set()


def _failed(kind):
    return result.Err(
        errors.Failure(kind, "the store does not answer", RETRY_AFTER_S)
    )
