"""Dispatch permission: each dispatch is witnessed by a second gateway."""

import xxhash

from citrondeal.dedup import _endings
from citrondeal.dedup import _model
from citrondeal.dedup import _records
from citrondeal import errors

_SHARED_STATUS_LIMIT = 1000  # dispatchers


class Witnesses(_endings.Endings):
    """Intents of this gateway and of those that it is the witness of."""

    def prepare(self, request_id, now):
        """Obtain permission for a local dispatch.

        May be called at any time after `Proceed`: while the request is
        queued, which reduces its latency, or when its route is known, which
        avoids intents for requests that are then forwarded.

        Returns
        -------
        list
            `Ready`, `SendIntent`, `Refuse`, or nothing while an intent is
            in progress or the request has ended.
        """
        if request_id in self._idempotent:
            return [_model.Ready(request_id)]
        record = self._records.get(request_id)
        if record is None or record.active is None or self._is_closed:
            return []
        if record.state == _records.State.READY:
            return [_model.Ready(request_id)]
        if record.state != _records.State.QUEUED:
            return []
        return self._ask_witness(request_id, record, now)

    def intent_reply(self, request_id, number, reply, now):
        """Handle the reply to an intent."""
        record = self._active_record(
            request_id, number, _records.State.PREPARING
        )
        if record is None:
            return []
        if reply.verdict == _model.Verdict.ACCEPTED:
            record.state = _records.State.READY
            return [_model.Ready(request_id)]
        if reply.verdict == _model.Verdict.YOUNG:
            return self._ask_witness(request_id, record, now)
        if reply.verdict == _model.Verdict.BARRED:
            if record.active.claim_denied:
                # A claim that was denied after the intent was sent is not
                # listed in its permit. Ask the same witness with a new one.
                record.active.claim_denied = False
                record.active.tried_witnesses.pop()
                return self._ask_witness(request_id, record, now)
            return self._supersede(request_id, record, reply.attempt, now)
        return self._yield_to_other(request_id, record, now)

    def intent_failed(self, request_id, number, now):
        """Handle an intent without a reply, whether or not it was sent.

        Another witness is asked. The first one may have recorded the
        intent, but only this process decides whether it dispatches.
        """
        record = self._active_record(
            request_id, number, _records.State.PREPARING
        )
        if record is None:
            return []
        until = now + self._config.suspect_s
        self._suspects[record.active.tried_witnesses[-1]] = until
        return self._ask_witness(request_id, record, now)

    def start(self, request_id, now):
        """Ask for permission to dispatch, just before the first byte is sent.

        Returns
        -------
        list
            `Dispatch` if the attempt may be sent to an endpoint now. An
            empty list means that the attempt has ended (it was barred and
            its callers were answered) or is not `Ready`.
        """
        if request_id in self._idempotent:
            return self._idempotent.start(request_id)
        record = self._records.get(request_id)
        if record is None or record.active is None or self._is_closed:
            return []
        if record.state != _records.State.READY:
            return []
        record.state = _records.State.DISPATCHED
        self._touch(request_id, record, now)
        return [_model.Dispatch(request_id)]

    def on_intent(self, request_id, permit, now):
        """Handle an intent of a gateway that is about to dispatch the id."""
        record = self._records.get(request_id)
        reply = self._permit_verdict(record, permit, now)
        actions = []
        if reply.verdict == _model.Verdict.ACCEPTED:
            record = record or self._new_record(request_id, now)
            actions = self._end_superseded(request_id, record, permit, now)
            dispatcher = (permit.process, permit.incarnation)
            record.process_status = self._witnessed_status(dispatcher)
            self._touch(request_id, record, now)
        reply = _model.SendIntentReply(request_id, permit.process, reply)
        return [reply, *actions]

    def _permit(self, record, now):
        active = record.active
        over = tuple(
            (p, i, n) for (p, i), n in sorted(active.ended_claims.items())
        )
        return _model.Permit(
            self._process,
            self._incarnation,
            active.attempt,
            active.claim,
            over,
            now - active.latest_creation_at,
        )

    def _ask_witness(self, request_id, record, now):
        active = record.active
        active.tried_witnesses = (
            active.tried_witnesses
            if active.tried_witnesses is not None
            else []
        )
        gateway = self._next_witness(request_id, active.tried_witnesses, now)
        if gateway is None:
            asked = ", ".join(active.tried_witnesses) or "none"
            message = f"No gateway can witness the request; asked: {asked}."
            failure = errors.Failure(errors.Kind.UNAVAILABLE, message, 1.0)
            return self._refuse_not_run(request_id, record, failure, now)
        active.tried_witnesses.append(gateway)
        active.claim_denied = False
        self._call_number += 1
        active.call_number = self._call_number
        record.state = _records.State.PREPARING
        permit = self._permit(record, now)
        return [
            _model.SendIntent(request_id, gateway, self._call_number, permit)
        ]

    def _next_witness(self, request_id, tried_witnesses, now):
        # Rendezvous hashing by the id alone, so that first attempts of one
        # id at two gateways of a zone ask the same witness. Gateways of the
        # own zone come first, those that lately failed as witness last.
        best, best_key = None, (4, 0)
        content = request_id.encode()
        for name, zone in self._gateways.items():
            if name in tried_witnesses:
                continue
            suspect = self._suspects.get(name, now) > now
            rank = 2 * suspect + (zone != self._zone)
            if rank > best_key[0]:
                continue
            score = xxhash.xxh64_intdigest(content + name.encode())
            if (rank, score) < best_key:
                best, best_key = name, (rank, score)
        return best

    def _permit_verdict(self, record, permit, now):
        """Return the reply to an intent or a forward."""
        verdict = _model.Verdict
        claims = record.claims if record is not None else None
        claims = claims or {}
        newest = max((a for _, a in claims.values()), default=0)
        if self._is_closed:
            return _model.IntentReply(verdict.YOUNG, newest)
        sender = (permit.process, permit.incarnation)
        if record is not None:
            busy = record.active is not None
            if record.state == _records.State.CLAIMING:
                # The claim made here is checked below with all others.
                busy = False
            elif record.state in _records.FORWARDING and permit.claim:
                # The claim round of the sender has resolved the forward.
                busy = False
            if busy or record.state in (
                _records.State.DONE,
                _records.State.UNKNOWN,
            ):
                return _model.IntentReply(verdict.SEEN, newest)
        over = {(p, i): n for p, i, n in permit.over}
        for key, (number, _) in claims.items():
            if len(key) == 3 or key == sender:
                continue
            if over.get(key, 0) < number:
                return _model.IntentReply(verdict.BARRED, newest)
        own, _ = claims.get(sender, (0, 0))
        if own > permit.claim:
            return _model.IntentReply(verdict.BARRED, newest)
        if permit.claim:
            # Without the sender's claim this memory is younger than that
            # claim, and may lack claims of other gateways.
            known = own == permit.claim
            reply = verdict.ACCEPTED if known else verdict.YOUNG
            return _model.IntentReply(reply, newest)
        process_status = record.process_status if record is not None else None
        if process_status and any(key != sender for key in process_status):
            return _model.IntentReply(verdict.SEEN, newest)
        up_for_s = now - self._complete_since
        if up_for_s <= permit.age_s + self._config.skew_s:
            return _model.IntentReply(verdict.YOUNG, newest)
        return _model.IntentReply(verdict.ACCEPTED, newest)

    def _witnessed_status(self, dispatcher):
        # One dict per dispatcher, shared by the records of all its intents
        # and never changed: a dict per id would double the size of a record.
        if dispatcher not in self._shared_witnessed:
            if len(self._shared_witnessed) >= _SHARED_STATUS_LIMIT:
                self._shared_witnessed.clear()
            self._shared_witnessed[dispatcher] = {
                dispatcher: _model.ExecutionStatus.WITNESSED
            }
        return self._shared_witnessed[dispatcher]

    def _end_superseded(self, request_id, record, permit, now):
        """End the attempt here that an accepted permit supersedes.

        The claim round of the sender has checked the status at all
        processes, so that this record no longer needs to keep it.
        """
        if permit.claim:
            record.process_status = None
        if record.active is None:
            return []
        return self._supersede(request_id, record, permit.attempt, now)
