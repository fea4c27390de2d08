"""Ledger of the request ids of one gateway: a state machine without I/O."""

from citrondeal.dedup import _claim_rounds
from citrondeal.dedup import _endings
from citrondeal.dedup import _forwards
from citrondeal.dedup import _model
from citrondeal.dedup import _records


class Ledger(_claim_rounds.ClaimRounds, _forwards.Forwards):
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

    # Intents and claims of other gateways

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

    # Handover

    def export(self, now):
        """Stop accepting ids and return the records for another gateway.

        Call this when no request is in progress here any more. A request
        that is still dispatched is exported as unknown; one that still
        waits gets no permission from `prepare`, `forward` or `start`, and
        `not_run` refuses it.

        Returns
        -------
        dict
            State for `import_records`. It can be encoded as JSON except
            for the answers, which are returned as given to `completed`.
        """
        self._is_closed = True
        records = []
        for request_id, record in self._records.items():
            own_status = self._own_status(record)
            process_status = dict(record.process_status or {})
            if (
                record.active is not None
                and record.state in _records.FORWARDING
            ):
                _records.merge_status(
                    process_status,
                    record.active.forward_target,
                    _model.ExecutionStatus.WITNESSED,
                )
            if own_status == _model.ExecutionStatus.RUNNING:
                own_status = _model.ExecutionStatus.UNKNOWN
            if own_status is None and record.state != _records.State.NONE:
                own_status = _model.ExecutionStatus.REFUSED
            if own_status is not None:
                process_status[(self._process, self._incarnation)] = own_status
            records.append(
                {
                    "id": request_id,
                    "age_s": now - record.touched_at,
                    "refused": record.refused,
                    "holders": [
                        [*k, v.value] for k, v in process_status.items()
                    ],
                    "claims": [
                        [*k, *v] for k, v in (record.claims or {}).items()
                    ],
                    "answer": self._answer_cache.get(request_id),
                }
            )
        return {
            "process": self._process,
            "incarnation": self._incarnation,
            "up_for_s": now - self._authoritative_since,
            "inherited": [list(k) for k in self._inherited_at(now)],
            "records": records,
        }

    def import_records(self, state, now):
        """Import the records of a gateway that leaves.

        Parameters
        ----------
        state : dict
            Result of `export`.
        now : float
            Monotonic seconds, at or after the end of the transfer.
        """
        sources = [
            (state["process"], state["incarnation"], state["up_for_s"]),
            *state["inherited"],
        ]
        for process, incarnation, up_for_s in sources:
            self._inherited[process] = (incarnation, now - up_for_s, now)
        for row in state["records"]:
            if row["age_s"] >= self._keep_s:
                continue
            request_id = row["id"]
            record = self._records.get(request_id)
            if record is None:
                record = self._new_record(request_id, now)
            self._touch(request_id, record, now)
            record.refused = max(record.refused, row["refused"])
            for process, incarnation, status in row["holders"]:
                record.process_status = dict(record.process_status or {})
                key = (process, incarnation)
                _records.merge_status(
                    record.process_status, key, _model.ExecutionStatus(status)
                )
            for *key, number, attempt in row["claims"]:
                claims = record.claims = record.claims or {}
                known = claims.get(tuple(key), (0, 0))
                claims[tuple(key)] = max(known, (number, attempt))
            cached = row["answer"]
            if cached is not None:
                self._answer_cache.put(request_id, cached[0], cached[1])
        return []

    # Claims

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


def _newest_attempt(record):
    """Return the highest attempt that was handled or has claimed here."""
    claims = (record.claims or {}).values()
    return max([record.attempt, *(attempt for _, attempt in claims)])
