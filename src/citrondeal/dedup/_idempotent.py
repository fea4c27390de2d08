"""Idempotent requests of one gateway.

They may run more than once, but an attempt that may have run is never
answered "not run".
"""

from citrondeal.dedup import _breaks
from citrondeal.dedup import _model
from citrondeal import errors

# A request is tried no more after so many endpoints have broken off while they
# ran it: it may be what ends them. One break happens at each replacement of
# an endpoint, and a cell has a few dozen endpoints.
MAX_BREAKS = 3


class _RequestState:
    """State of one request over its tries at this gateway."""

    __slots__ = (
        "breaks_left",
        "dispatched",
        "forward_number",
        "may_have_run",
        "waiters",
    )

    def __init__(self, breaks_left):
        self.waiters = 1
        self.breaks_left = breaks_left  # until it is tried no more
        self.dispatched = False  # a try may be running
        self.may_have_run = False  # an earlier try may have run
        self.forward_number = 0


class IdempotentRequests:
    """Idempotent requests in progress, by request id.

    Parameters
    ----------
    window_s : float
        Seconds for which an id may be submitted again.
    """

    def __init__(self, window_s):
        self._requests = {}
        self._breaks = _breaks.Breaks(window_s)

    def __contains__(self, request_id):
        return request_id in self._requests

    def __len__(self):
        return len(self._requests)

    def status(self, request_id):
        """Return the status of the id that a claim is answered, or None.

        Returns
        -------
        ExecutionStatus or None
            RUNNING if a try may be running or may have run.
        """
        state = self._requests.get(request_id)
        if state is None or not (state.dispatched or state.may_have_run):
            return None
        return _model.ExecutionStatus.RUNNING

    def begin(self, request_id, now, is_repeat):
        """Start or join a request.

        Parameters
        ----------
        request_id : str
        now : float
            Monotonic seconds.
        is_repeat : bool
            Whether another gateway forwarded it, or the caller states that
            it has sent it before. Others may then have tried it as well, so
            it ends with the first endpoint that breaks off.
        """
        state = self._requests.get(request_id)
        if state is not None:
            state.waiters += 1
            return [_model.Join(request_id)]
        failure = self.exhausted(request_id, now)
        if failure is not None:
            return [_model.Refuse(request_id, failure)]
        breaks_left = MAX_BREAKS - self._breaks.count(request_id, now)
        self._requests[request_id] = _RequestState(
            1 if is_repeat else breaks_left
        )
        return [_model.Proceed(request_id)]

    def exhausted(self, request_id, now):
        """Return the failure of a request that is tried no more, or None."""
        count = self._breaks.count(request_id, now)
        if request_id in self._requests or count < MAX_BREAKS:
            return None
        return errors.Failure(
            errors.Kind.UNKNOWN_OUTCOME,
            f"{count} endpoints broke off while they ran the request; it may"
            " have run and is not tried again.",
        )

    def broke_off(self, request_id, now):
        """Record that an endpoint broke off while it ran the request."""
        self._breaks.add(request_id, now)
        state = self._requests.get(request_id)
        if state is not None:
            state.breaks_left -= 1

    def start(self, request_id):
        """Record that the request is dispatched to a local endpoint."""
        self._requests[request_id].dispatched = True
        return [_model.Dispatch(request_id)]

    def forward(self, request_id, gateway, number, permit):
        """Record that the request is forwarded to another gateway."""
        state = self._requests[request_id]
        state.dispatched = True
        state.forward_number = number
        return [_model.SendForward(request_id, gateway, number, permit)]

    def is_current(self, request_id, number):
        """Return whether `number` is that of the latest forward."""
        return self._requests[request_id].forward_number == number

    def not_run(self, request_id, failure, retry):
        """Handle a try that did not run, or a refusal by admission.

        The refusal says "unknown outcome" if an earlier try may have run.
        """
        state = self._requests[request_id]
        state.dispatched = False
        if retry:
            return [_model.Proceed(request_id)]
        if state.may_have_run:
            failure = errors.Failure(
                errors.Kind.UNKNOWN_OUTCOME,
                f"An earlier try may have run; then: {failure.message}",
                failure.retry_after_s,
            )
        return self.finish(request_id, failure)

    def unknown(self, request_id, failure, retry):
        """Handle a try that may have run; refuse unless it is retried."""
        state = self._requests[request_id]
        state.dispatched = False
        state.may_have_run = True
        if retry and state.breaks_left > 0:
            return [_model.Proceed(request_id)]
        return self.finish(request_id, failure)

    def forward_unknown(self, request_id, failure, retry):
        """Handle a forward after which the request may have run.

        The receiver counts the endpoints that broke off, but its answer does
        not tell whether one did.
        """
        self._requests[request_id].breaks_left -= 1
        return self.unknown(request_id, failure, retry)

    def finish(self, request_id, failure):
        """Refuse the request and remove its state."""
        del self._requests[request_id]
        return [_model.Refuse(request_id, failure)]

    def completed(self, request_id, answer):
        """Answer the request and remove its state."""
        del self._requests[request_id]
        return [_model.Answer(request_id, answer)]

    def caller_gone(self, request_id):
        """Drop the request if nobody waits for it and no try is running."""
        state = self._requests[request_id]
        state.waiters -= 1
        if state.waiters > 0 or state.dispatched:
            return []
        del self._requests[request_id]
        return [_model.Drop(request_id)]
