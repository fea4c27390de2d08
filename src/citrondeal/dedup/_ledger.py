"""Ledger of the request ids of one gateway: a state machine without I/O."""

from citrondeal.dedup import _claims
from citrondeal.dedup import _endings
from citrondeal.dedup import _handover
from citrondeal.dedup import _model
from citrondeal.dedup import _records


class Ledger(_claims.Claims, _handover.Handover):
    """Request ids that one gateway has handled, witnessed or barred.

    The ledger does no I/O. Each event method takes the request id and
    `now` (monotonic seconds) and returns the actions to carry out, in
    order. Replies to calls carry the `number` of the action that made the
    call, so that late replies to an abandoned call have no effect.

    Parameters
    ----------
    process : str
        Stable name of this gateway.
    incarnation : str
        Differs at each start of the process.
    zone : str
        Availability zone of this gateway.
    now : float
        Monotonic seconds at which the process starts to handle requests.
    config : Config, optional
        Settings.
    """

    @classmethod
    def from_config(cls, config, process, incarnation, zone, now):
        """Create a ledger from its settings."""
        return cls(process, incarnation, zone, now, config)

    # Requests of callers

    def begin(self, request_id, attempt, idempotent, now, now_unix):
        """Handle a request that a caller sent to this gateway.

        Call this before a resubmission is refused with a kind that says
        "not run": only the ledger knows whether an earlier attempt ran.

        Parameters
        ----------
        request_id : str
            Id of the request.
        attempt : int or None
            ``Request-Attempt``; None if the header is absent. An id that
            the gateway itself generated has attempt 1.
        idempotent : bool
            Whether the request may run more than once.
        now : float
            Monotonic seconds.
        now_unix : float
            Unix seconds, to compute the age of a UUIDv7.

        Returns
        -------
        list
            One of `Proceed`, `Join`, `Answer`, `Refuse`, `SendClaims`.
        """
        record = self._records.get(request_id)
        if record is not None and record.active is not None:
            return self._join(request_id, record, attempt or 2)
        if idempotent or request_id in self._idempotent:
            is_repeat = attempt is not None and attempt > 1
            return self._idempotent.begin(request_id, now, is_repeat)
        if record is not None and record.state == _records.State.DONE:
            return self._cached_answer(request_id)
        if record is not None and record.state == _records.State.UNKNOWN:
            return [_endings.unknown_refusal(request_id, "An earlier attempt")]
        created = _model.created_unix(request_id)
        age_s = None if created is None else now_unix - created
        if age_s is not None and age_s > self._config.window_s:
            message = (
                f"The id is {age_s:.0f} s old; it may be submitted again for"
                f" {self._config.window_s:.0f} s after its creation."
            )
            return [_endings.refuse(request_id, "UNKNOWN_OUTCOME", message)]
        # A creation time in the future proves nothing about the age.
        age_known = age_s is not None and age_s > -self._config.skew_s
        latest_creation_at = now - max(0.0, age_s) if age_known else now
        number = attempt if attempt is not None else 2
        active = _records.ActiveAttempt(
            number, latest_creation_at, age_known, now
        )
        first = attempt == 1
        if self._is_closed:
            kind = "UNAVAILABLE" if first else "UNKNOWN_OUTCOME"
            message = f"Gateway {self._process} is stopping."
            return [_endings.refuse(request_id, kind, message)]
        if first and record is None:
            record = self._new_record(request_id, now)
            record.state = _records.State.QUEUED
            record.attempt = active.settled_attempt = 1
            record.active = active
            return [_model.Proceed(request_id)]
        if first and _newest_attempt(record) > 1:
            message = "A newer attempt of the id has taken over."
            return [_endings.refuse(request_id, "BARRED", message)]
        number = active.attempt = max(number, 2)
        if record is None:
            record = self._new_record(request_id, now)
        elif number < record.refused:
            message = (
                f"Attempt {record.refused} of the id was already refused;"
                f" this is attempt {number}."
            )
            return [_endings.refuse(request_id, "BARRED", message)]
        record.attempt = max(number, record.attempt)
        record.active = active
        return self._start_claim_round(request_id, record, number, now)

    def caller_gone(self, request_id, now):
        """Handle a caller, or the origin of a forward, that stopped waiting.

        If nobody else waits for the request, it is dropped unless it has
        been dispatched or forwarded; then it completes.
        """
        if request_id in self._idempotent:
            return self._idempotent.caller_gone(request_id)
        record = self._records.get(request_id)
        if record is None or record.active is None:
            return []
        record.active.waiters -= 1
        stoppable = record.state in _records.WAITING
        stoppable = stoppable or record.state == _records.State.CLAIMING
        if record.active.waiters > 0 or not stoppable:
            return []
        self._conclude(request_id, record, _records.State.YIELDED, now)
        return [_model.Drop(request_id)]


def _newest_attempt(record):
    """Return the highest attempt that was handled or has claimed here."""
    claims = (record.claims or {}).values()
    return max([record.attempt, *(attempt for _, attempt in claims)])
