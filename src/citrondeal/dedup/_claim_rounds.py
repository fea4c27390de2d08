"""Claim rounds: a later attempt asks all gateways for earlier ones."""

from citrondeal.dedup import _endings
from citrondeal.dedup import _model
from citrondeal.dedup import _records


class ClaimRounds(_endings.Endings):
    """Claim rounds of the attempts at this gateway."""

    def _start_claim_round(self, request_id, record, attempt, now):
        self._call_number += 1
        active = record.active
        active.call_number = active.claim = self._call_number
        active.claim_round = _records.ClaimRound(
            frozenset(self._gateways), now
        )
        record.state = _records.State.CLAIMING
        record.claims = record.claims or {}
        key = (self._process, self._incarnation)
        record.claims[key] = (self._call_number, attempt)
        self._touch(request_id, record, now)
        if not self._gateways:
            return self._evaluate_claim_round(request_id, record, now)
        claim = _model.Claim(
            self._process, self._incarnation, self._call_number, attempt
        )
        asked = tuple(sorted(self._gateways))
        return [_model.SendClaims(request_id, asked, claim)]

    def _evaluate_claim_round(self, request_id, record, now):
        """End the claim round of an attempt once its replies allow it."""
        claim_round = record.active.claim_round
        own_reply = self._own_claim_reply(request_id, record, now)
        replies = [own_reply, *claim_round.replies.values()]
        statuses_by_process = {}
        for reply in replies:
            for process, incarnation, status in reply.seen:
                key = (process, incarnation)
                statuses_by_process.setdefault(key, set()).add(status)
        statuses = (
            set().union(*statuses_by_process.values())
            if statuses_by_process
            else set()
        )
        for reply in replies:
            if (
                reply.answer is not None
                and _model.ExecutionStatus.DONE in statuses
            ):
                self._conclude(request_id, record, _records.State.YIELDED, now)
                return [_model.Answer(request_id, reply.answer)]
        if claim_round.pending:
            if (
                _model.ExecutionStatus.RUNNING in statuses
                and _model.ExecutionStatus.DONE not in statuses
            ):
                return self._yield_to_other(request_id, record, now)
            return []
        if _model.ExecutionStatus.DONE in statuses:
            self._conclude(request_id, record, _records.State.YIELDED, now)
            message = "The request ran; its answer is no longer cached."
            return [_endings.refuse(request_id, "ANSWER_LOST", message)]
        if _model.ExecutionStatus.RUNNING in statuses:
            return self._yield_to_other(request_id, record, now)
        reason = self._unknown_outcome_reason(
            record, replies, statuses_by_process
        )
        if reason is not None:
            return self._refuse_unknown_outcome(
                request_id, record, reason, now
            )
        _, attempt = record.claims[(self._process, self._incarnation)]
        incarnations = {reply.process: reply.incarnation for reply in replies}
        newest = max(reply.refused for reply in replies)
        ended_claims = record.active.ended_claims
        for reply in replies:
            if reply.claims_over:
                key = (reply.process, reply.incarnation)
                ended_claims[key] = max(
                    ended_claims.get(key, 0), reply.claims_over
                )
            for process, incarnation, number, claimed_attempt in reply.claims:
                key = (process, incarnation)
                if incarnations.get(process) != incarnation:
                    # That incarnation has ended or can no longer obtain a
                    # witness. What it refused may be lost, so its claims
                    # count as refused attempts.
                    ended_claims[key] = max(ended_claims.get(key, 0), number)
                    newest = max(newest, claimed_attempt)
        if newest > attempt:
            return self._supersede(request_id, record, newest, now)
        record.active.settled_attempt = attempt
        record.active.claim_round = None
        record.process_status = None
        record.state = _records.State.QUEUED
        return [_model.Proceed(request_id)]

    def _own_claim_reply(self, request_id, record, now):
        """Return the reply of this gateway to its own claim."""
        process_status = (record.process_status or {}).items()
        claims = (record.claims or {}).items()
        cached = self._answer_cache.get(request_id)
        return _model.ClaimReply(
            self._process,
            self._incarnation,
            now - self._authoritative_since,
            0,
            record.refused,
            tuple((p, i, s) for (p, i), s in process_status),
            tuple((*k, *v) for k, v in claims if len(k) == 2),
            (self._process, *self._gateways, *self._departed),
            tuple(self._inherited_at(now)),
            None if cached is None else cached[0],
        )

    def _unknown_outcome_reason(self, record, replies, statuses_by_process):
        """Return why the id may have run, or None if it has not.

        Parameters
        ----------
        record : Record
            Record with a claim round without pending replies.
        replies : list of ClaimReply
            Replies to the claim, with that of this gateway itself.
        statuses_by_process : dict
            (process, incarnation) to the set of its statuses in `replies`.
        """
        active = record.active
        claim_round = active.claim_round
        if claim_round.failed:
            names = ", ".join(sorted(claim_round.failed))
            return f"Gateways did not answer the claim: {names}."
        if any(
            _model.ExecutionStatus.UNKNOWN in statuses
            for statuses in statuses_by_process.values()
        ):
            return "An earlier attempt may have run."
        if active.age_known:
            needed_since = active.latest_creation_at - self._config.skew_s
        else:
            needed_since = claim_round.started_at - self._keep_s
        memory_since = {
            **claim_round.complete_since,
            self._process: self._authoritative_since,
        }
        authoritative = {
            name for name, t in memory_since.items() if t < needed_since
        }
        incarnations = {reply.process: reply.incarnation for reply in replies}
        inherited = set()
        for reply in replies:
            complete_since = memory_since[reply.process]
            for process, incarnation, up_for_s in reply.inherited:
                # `up_for_s` counts back from the time of the reply.
                inherited_since = complete_since + reply.up_for_s - up_for_s
                if inherited_since < needed_since:
                    inherited.add((process, incarnation))
                    if process not in incarnations:
                        authoritative.add(process)
        for key, statuses in statuses_by_process.items():
            if statuses != {_model.ExecutionStatus.WITNESSED}:
                continue
            process, incarnation = key
            alive = incarnations.get(process) == incarnation
            if alive and process in authoritative or key in inherited:
                continue
            return (
                f"Gateway {process} may have run the request and can no"
                " longer tell."
            )
        known = {name for reply in replies for name in reply.known}
        # Each dispatch is recorded at two gateways before its first byte is
        # sent, so that the memory of one gateway may be missing.
        missing = sorted(known - authoritative)
        if len(missing) > 1:
            names = ", ".join(missing)
            return f"Gateways cannot tell whether the request ran: {names}."
        return None
