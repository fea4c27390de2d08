"""Idempotent requests: they may run again, but refusals stay truthful."""

from citrondeal.dedup import _model
from citrondeal import errors


class _Tries:
    """Tries of one request at this gateway."""

    __slots__ = ("doubtful", "number", "sent", "waiters")

    def __init__(self):
        self.waiters = 1
        self.sent = False  # a try may be running
        self.doubtful = False  # an earlier try may have run
        self.number = 0  # of the forward in progress


class Requests:
    """Idempotent requests in progress, by request id."""

    def __init__(self):
        self._requests = {}

    def __contains__(self, request_id):
        return request_id in self._requests

    def __len__(self):
        return len(self._requests)

    def seen(self, request_id):
        """Return what a claim of the id is told, or None."""
        tries = self._requests.get(request_id)
        if tries is None or not (tries.sent or tries.doubtful):
            return None
        return _model.ExecutionStatus.RUNNING

    def begin(self, request_id):
        """Start or join a request."""
        tries = self._requests.get(request_id)
        if tries is not None:
            tries.waiters += 1
            return [_model.Join(request_id)]
        self._requests[request_id] = _Tries()
        return [_model.Proceed(request_id)]

    def start(self, request_id):
        """Permit a dispatch."""
        self._requests[request_id].sent = True
        return [_model.Dispatch(request_id)]

    def forward(self, request_id, gateway, number, permit):
        """Permit a forward."""
        tries = self._requests[request_id]
        tries.sent = True
        tries.number = number
        return [_model.SendForward(request_id, gateway, number, permit)]

    def is_current(self, request_id, number):
        """Return whether `number` is the forward in progress."""
        return self._requests[request_id].number == number

    def not_run(self, request_id, failure, retry):
        """Handle a try that did not run, or a refusal by admission."""
        tries = self._requests[request_id]
        tries.sent = False
        if retry:
            return [_model.Proceed(request_id)]
        if tries.doubtful:
            failure = errors.Failure(
                errors.Kind.UNKNOWN_OUTCOME,
                f"An earlier try may have run; then: {failure.message}",
                failure.retry_after_s,
            )
        return self.finish(request_id, failure)

    def unknown(self, request_id, failure, retry):
        """Handle a try that may have run."""
        tries = self._requests[request_id]
        tries.sent = False
        tries.doubtful = True
        if retry:
            return [_model.Proceed(request_id)]
        return self.finish(request_id, failure)

    def finish(self, request_id, failure):
        """Refuse the request and forget it."""
        del self._requests[request_id]
        return [_model.Refuse(request_id, failure)]

    def completed(self, request_id, answer):
        """Answer the request and forget it."""
        del self._requests[request_id]
        return [_model.Answer(request_id, answer)]

    def caller_gone(self, request_id):
        """Drop a request that nobody waits for and that has not started."""
        tries = self._requests[request_id]
        tries.waiters -= 1
        if tries.waiters > 0 or tries.sent:
            return []
        del self._requests[request_id]
        return [_model.Drop(request_id)]
