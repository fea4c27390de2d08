"""Outcomes of dispatches to endpoints."""

from citrondeal.dedup import _endings
from citrondeal.dedup import _model
from citrondeal.dedup import _records
from citrondeal import errors


class Outcomes(_endings.Endings):
    """Events that tell whether a dispatched request has run."""

    def completed(self, request_id, answer, size_bytes, now):
        """Handle the complete answer of an endpoint or of a forward.

        Parameters
        ----------
        request_id : str
            Id of the request.
        answer : object
            Cached and returned unchanged.
        size_bytes : int
            Size that counts towards the limit of cached answers.
        now : float
            Monotonic seconds.
        """
        if request_id in self._idempotent:
            return self._idempotent.completed(request_id, answer)
        record = self._records.get(request_id)
        if record is None:
            return []
        # An answer that arrives after the attempt ended as unknown still
        # decides the outcome for later attempts.
        if record.state not in (*_records.STARTED, _records.State.UNKNOWN):
            return []
        waited_for = record.active is not None
        self._conclude(request_id, record, _records.State.DONE, now)
        self._answer_cache.put(request_id, answer, size_bytes)
        return [_model.Answer(request_id, answer)] if waited_for else []

    def not_run(self, request_id, failure, now, retry=False):
        """Handle a refusal by admission, or proof that a dispatch did not run.

        Proof is a connection that failed before the first byte, or the
        endpoint's own statement (status 503 with the header
        ``Request-Run: not_run``).

        While claims are pending, the caller is answered
        ``unknown_outcome``: an earlier attempt may have run.

        Parameters
        ----------
        request_id : str
            Id of the request.
        failure : citrondeal.errors.Failure
            Answer for the caller if there is no retry.
        now : float
            Monotonic seconds.
        retry : bool
            Whether the request returns to the queue. No further intent is
            needed, because the second gateway still has the first one.
        """
        if request_id in self._idempotent:
            return self._idempotent.not_run(request_id, failure, retry)
        record = self._records.get(request_id)
        if record is None or record.active is None:
            return []
        if record.state == _records.State.DISPATCHED:
            record.state = _records.State.READY
        if record.state == _records.State.CLAIMING:
            message = f"Not all gateways answered; {failure.message}"
            return self._refuse_unknown_outcome(
                request_id, record, message, now
            )
        if record.state not in _records.WAITING:
            return []
        if retry:
            return [_model.Proceed(request_id)]
        return self._refuse_not_run(request_id, record, failure, now)

    def unknown(self, request_id, message, now, retry=False):
        """Handle a dispatch without a complete answer that may have run.

        Parameters
        ----------
        request_id : str
            Id of the request.
        message : str
            One sentence that tells the caller what failed.
        now : float
            Monotonic seconds.
        retry : bool
            Whether an idempotent request returns to the queue, unless too
            many endpoints broke off. Ignored for others.
        """
        failure = errors.Failure(errors.Kind.UNKNOWN_OUTCOME, message)
        if request_id in self._idempotent:
            return self._idempotent.unknown(request_id, failure, retry)
        record = self._records.get(request_id)
        if record is None or record.state != _records.State.DISPATCHED:
            return []
        self._conclude(request_id, record, _records.State.UNKNOWN, now)
        return [_model.Refuse(request_id, failure)]

    def broke_off(self, request_id, now):
        """Count an endpoint that broke off an idempotent request.

        Call this before `unknown` or `answer_lost`, and also if the request
        has ended meanwhile.
        """
        self._idempotent.broke_off(request_id, now)

    def answer_lost(self, request_id, message, now):
        """Handle a dispatch that ran and whose answer is lost."""
        failure = errors.Failure(errors.Kind.ANSWER_LOST, message)
        if request_id in self._idempotent:
            return self._idempotent.finish(request_id, failure)
        record = self._records.get(request_id)
        if record is None or record.state not in _records.STARTED:
            return []
        self._conclude(request_id, record, _records.State.DONE, now)
        return [_model.Refuse(request_id, failure)]
