"""Claims and fences of other gateways, and replies to own ones."""

from citrondeal.dedup import _claim_rounds
from citrondeal.dedup import _forwards
from citrondeal.dedup import _model
from citrondeal.dedup import _records


class Claims(_claim_rounds.ClaimRounds, _forwards.Forwards):
    """Events of claims and fences."""

    def on_claim(self, request_id, claim, now):
        """Handle a claim, or the fence of a forward without a reply."""
        record = self._records.get(request_id)
        if record is None:
            record = self._new_record(request_id, now)
        actions = []
        if claim.fence:
            actions = self._record_fence(request_id, record, claim, now)
        elif self._denies_claim(record, claim):
            over = record.active.ended_claims
            source = (claim.process, claim.incarnation)
            over[source] = max(over.get(source, 0), claim.number)
            record.active.claim_denied = True
            return [self._claim_reply(request_id, record, claim, True, now)]
        else:
            actions = self._record_claim(request_id, record, claim, now)
        self._touch(request_id, record, now)
        reply = self._claim_reply(request_id, record, claim, False, now)
        return [reply, *actions]

    def claim_reply(self, request_id, number, gateway, reply, now):
        """Handle the reply of one gateway to a claim."""
        record = self._active_record(
            request_id, number, _records.State.RESOLVING
        )
        if record is not None:
            return self._resolve_forward(request_id, record, reply, now)
        record = self._active_record(
            request_id, number, _records.State.CLAIMING
        )
        if record is None or gateway not in record.active.claim_round.asked:
            return []
        claim_round = record.active.claim_round
        if reply.process != gateway:
            # Another process now listens at the address of the gateway.
            claim_round.failed.add(gateway)
            return self._evaluate_claim_round(request_id, record, now)
        claim_round.replies[gateway] = reply
        claim_round.complete_since[gateway] = now - reply.up_for_s
        return self._evaluate_claim_round(request_id, record, now)

    def claim_failed(self, request_id, number, gateway, now):
        """Handle a claim without a reply."""
        record = self._active_record(
            request_id, number, _records.State.RESOLVING
        )
        if record is not None:
            return self._forward_unresolved(request_id, record, now)
        record = self._active_record(
            request_id, number, _records.State.CLAIMING
        )
        if record is None or gateway not in record.active.claim_round.asked:
            return []
        record.active.claim_round.failed.add(gateway)
        return self._evaluate_claim_round(request_id, record, now)

    def _denies_claim(self, record, claim):
        """Return whether the attempt here continues despite the claim."""
        active = record.active
        if active is None:
            return False
        if record.state == _records.State.DISPATCHED:
            return True
        if record.state in _records.FORWARDING:
            return False
        source = (claim.process, claim.incarnation)
        if active.ended_claims.get(source, 0) >= claim.number:
            return True
        # An attempt that waits yields to any claim, also that of an older
        # attempt. If attempt numbers decided here while process names
        # decide between two claims, three concurrent attempts could end
        # each other.
        if record.state == _records.State.CLAIMING:
            return self._process < claim.process
        return False

    def _record_claim(self, request_id, record, claim, now):
        """Record a claim that is not denied; end an attempt that waits."""
        claims = record.claims = record.claims or {}
        key = (claim.process, claim.incarnation)
        if key in claims or len(claims) < self._config.max_claimants:
            known = claims.get(key, (0, 0))
            claims[key] = max(known, (claim.number, claim.attempt))
        if record.active is None:
            return []
        if record.state in _records.FORWARDING:
            superseded_by = max(record.active.superseded_by, claim.attempt)
            record.active.superseded_by = superseded_by
            return []
        if record.state == _records.State.CLAIMING:
            return self._yield_to_other(request_id, record, now)
        return self._supersede(request_id, record, claim.attempt, now)

    def _record_fence(self, request_id, record, claim, now):
        claims = record.claims = record.claims or {}
        key = (claim.process, claim.incarnation, "fence")
        claims[key] = max(claims.get(key, (0, 0)), (claim.fence, 0))
        active = record.active
        if active is None or record.state != _records.State.READY:
            return []
        if (
            active.forward_origin is None
            or active.forward_origin[:2] != key[:2]
        ):
            return []
        if active.forward_origin[2] > claim.fence:
            return []
        return self._yield_to_other(request_id, record, now)

    def _claim_reply(self, request_id, record, claim, claim_denied, now):
        own_key = (self._process, self._incarnation)
        statuses = dict(record.process_status or {})
        if record.active is not None and record.state in _records.FORWARDING:
            _records.merge_status(
                statuses,
                record.active.forward_target,
                _model.ExecutionStatus.WITNESSED,
            )
        own_status = self._own_status(record)
        if claim_denied:
            own_status = _model.ExecutionStatus.RUNNING
        own_status = own_status or self._idempotent.status(request_id)
        if own_status is not None:
            statuses[own_key] = own_status
        claims = record.claims or {}
        claimants_full = len(claims) >= self._config.max_claimants
        if claimants_full and (claim.process, claim.incarnation) not in claims:
            statuses[own_key] = statuses.get(
                own_key, _model.ExecutionStatus.UNKNOWN
            )
        cached = self._answer_cache.get(request_id)
        reply = _model.ClaimReply(
            self._process,
            self._incarnation,
            now - self._authoritative_since,
            0 if claim_denied else self._call_number,
            record.refused,
            tuple((p, i, s) for (p, i), s in statuses.items()),
            tuple((*k, *v) for k, v in claims.items() if len(k) == 2),
            tuple(sorted({*self._gateways, *self._departed})),
            tuple(self._inherited_at(now)),
            None if cached is None else cached[0],
        )
        return _model.SendClaimReply(request_id, claim.process, reply)
