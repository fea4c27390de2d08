"""Idempotent requests of one gateway.

They may run more than once, but an attempt that may have run is never
answered "not run".
"""

from citrondeal.dedup import _model
from citrondeal import errors


class _RequestState:
    """State of one request over its tries at this gateway."""

    __slots__ = ("dispatched", "forward_number", "may_have_run", "waiters")

    def __init__(self):
        self.waiters = 1
        self.dispatched = False  # a try may be running
        self.may_have_run = False  # an earlier try may have run
        self.forward_number = 0


class IdempotentRequests:
    """Idempotent requests in progress, by request id."""

    def __init__(self):
        self._requests = {}

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

    def begin(self, request_id):
        """Start or join a request."""
        state = self._requests.get(request_id)
        if state is not None:
            state.waiters += 1
            return [_model.Join(request_id)]
        self._requests[request_id] = _RequestState()
        return [_model.Proceed(request_id)]

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
        if retry:
            return [_model.Proceed(request_id)]
        return self.finish(request_id, failure)

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
