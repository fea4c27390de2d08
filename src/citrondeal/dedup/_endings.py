"""Attempts of a request that end without a run, or join another one."""

from citrondeal.dedup import _model
from citrondeal.dedup import _records
from citrondeal.dedup import _store
from citrondeal import errors


class Endings(_store.RecordStore):
    """Ends of attempts, with the refusal that each of them allows."""

    def _cached_answer(self, request_id):
        cached = self._answer_cache.get(request_id)
        if cached is not None:
            return [_model.Answer(request_id, cached[0])]
        message = "The request ran; its answer is no longer cached."
        return [refuse(request_id, "ANSWER_LOST", message)]

    def _refuse_not_run(self, request_id, record, failure, now):
        attempt = record.active.attempt
        if attempt > record.active.settled_attempt:
            # An attempt with a number between the settled one and the
            # latest may still arrive at some gateway and run.
            self._conclude(request_id, record, _records.State.YIELDED, now)
            message = (
                "Another attempt is pending; this gateway refused with:"
                f" {failure.message}"
            )
            return [refuse(request_id, "IN_PROGRESS", message)]
        record.refused = max(record.refused, attempt)
        self._conclude(request_id, record, _records.State.REFUSED, now)
        return [_model.Refuse(request_id, failure)]

    def _supersede(self, request_id, record, attempt, now):
        newer = attempt > record.active.attempt
        self._conclude(request_id, record, _records.State.YIELDED, now)
        message = "Another attempt of the id has taken over."
        # If the caller sent no newer attempt, it would take "not run" as a
        # statement about the id, which may still run elsewhere.
        kind = "BARRED" if newer else "IN_PROGRESS"
        return [refuse(request_id, kind, message)]

    def _yield_to_other(self, request_id, record, now):
        self._conclude(request_id, record, _records.State.YIELDED, now)
        message = "The id is handled by another gateway."
        return [refuse(request_id, "IN_PROGRESS", message)]

    def _refuse_unknown_outcome(self, request_id, record, message, now):
        self._conclude(request_id, record, _records.State.YIELDED, now)
        return [refuse(request_id, "UNKNOWN_OUTCOME", message)]

    def _join(self, request_id, record, attempt):
        active = record.active
        active.waiters += 1
        if attempt <= active.settled_attempt + 1:
            active.settled_attempt = max(active.settled_attempt, attempt)
        active.attempt = max(active.attempt, attempt)
        record.attempt = max(record.attempt, attempt)
        return [_model.Join(request_id)]


def refuse(request_id, kind, message):
    """Return the action that refuses a request with an error kind."""
    failure = errors.Failure(errors.Kind[kind], message)
    return _model.Refuse(request_id, failure)


def unknown_refusal(request_id, subject):
    """Return the refusal of a request that may have run."""
    return refuse(request_id, "UNKNOWN_OUTCOME", f"{subject} may have run.")
