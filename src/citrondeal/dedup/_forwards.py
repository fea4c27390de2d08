"""Forwards of requests to the gateway that leases the endpoint."""

from citrondeal.dedup import _model
from citrondeal.dedup import _outcomes
from citrondeal.dedup import _records
from citrondeal.dedup import _witnesses
from citrondeal import errors


class Forwards(_outcomes.Outcomes, _witnesses.Witnesses):
    """Forwards that this gateway sends or receives."""

    def forward(self, request_id, gateway, incarnation, now):
        """Forward a queued request to another gateway.

        This gateway then is the witness of the receiver.

        Parameters
        ----------
        request_id : str
            Id of the request.
        gateway : str
            Receiver.
        incarnation : str
            Incarnation of the receiver from its ``Hello``, or an empty
            string if it is not known. In that case the outcome of a forward
            without a reply cannot be resolved.
        now : float
            Monotonic seconds.

        Raises
        ------
        ValueError
            If the request was itself forwarded to this gateway.
        """
        if request_id in self._idempotent:
            self._call_number += 1
            permit = _model.Permit(
                self._process, self._incarnation, 1, 0, (), 0.0
            )
            return self._idempotent.forward(
                request_id, gateway, self._call_number, permit
            )
        record = self._records.get(request_id)
        if record is None or record.active is None or self._is_closed:
            return []
        if record.state not in _records.WAITING:
            return []
        if record.active.forward_origin is not None:
            origin = record.active.forward_origin[0]
            raise ValueError(
                f"request {request_id} was forwarded here by {origin} and"
                f" cannot be forwarded again to {gateway}"
            )
        self._call_number += 1
        record.state = _records.State.FORWARDED
        record.active.call_number = self._call_number
        record.active.forward_target = (gateway, incarnation)
        record.active.forwarded_at = now
        self._touch(request_id, record, now)
        permit = self._permit(record, now)
        return [
            _model.SendForward(request_id, gateway, self._call_number, permit)
        ]

    def forward_answered(self, request_id, number, answer, size_bytes, now):
        """Handle the complete answer to a forward."""
        if not self._is_forward(request_id, number):
            return []
        return self.completed(request_id, answer, size_bytes, now)

    def forward_refused(self, request_id, number, failure, now, retry=False):
        """Handle a failure that the receiver of a forward reports.

        Parameters
        ----------
        request_id : str
            Id of the request.
        number : int
            Number of the forward.
        failure : citrondeal.errors.Failure
            The receiver's failure.
        now : float
            Monotonic seconds.
        retry : bool
            Whether a request that did not run is routed again.
        """
        if not self._is_forward(request_id, number):
            return []
        if failure.run == errors.Run.RAN:
            return self.answer_lost(request_id, failure.message, now)
        if request_id in self._idempotent:
            if failure.run == errors.Run.NOT_RUN:
                return self._idempotent.not_run(request_id, failure, retry)
            return self._idempotent.forward_unknown(request_id, failure, retry)
        record = self._records[request_id]
        if failure.kind == errors.Kind.IN_PROGRESS:
            return self._yield_to_other(request_id, record, now)
        if failure.run == errors.Run.UNKNOWN:
            return self._forward_unresolved(request_id, record, now)
        if failure.kind == errors.Kind.BARRED:
            attempt = max(record.active.superseded_by, 2)
            return self._supersede(request_id, record, attempt, now)
        return self._forward_not_run(
            request_id, record, None if retry else failure, now
        )

    def forward_failed(self, request_id, number, sent, now, retry=False):
        """Handle a forward without a reply.

        Parameters
        ----------
        request_id : str
            Id of the request.
        number : int
            Number of the forward.
        sent : bool
            Whether the receiver may have got the call. If so, it is asked
            for the outcome with a fence, which also makes it reject a late
            delivery.
        now : float
            Monotonic seconds.
        retry : bool
            Whether an idempotent request is routed again.
        """
        if not self._is_forward(request_id, number):
            return []
        if request_id in self._idempotent:
            message = "The connection to the endpoint's gateway failed."
            failure = errors.Failure(errors.Kind.UNAVAILABLE, message)
            if not sent:
                return self._idempotent.not_run(request_id, failure, retry)
            failure = errors.Failure(errors.Kind.UNKNOWN_OUTCOME, message)
            return self._idempotent.forward_unknown(request_id, failure, retry)
        record = self._records[request_id]
        if record.state != _records.State.FORWARDED:
            return []
        if not sent:
            return self._forward_not_run(request_id, record, None, now)
        record.state = _records.State.RESOLVING
        claim = _model.Claim(
            self._process,
            self._incarnation,
            number,
            record.active.attempt,
            number,
        )
        gateway = record.active.forward_target[0]
        return [_model.SendClaims(request_id, (gateway,), claim)]

    def on_forward(self, request_id, number, permit, idempotent, now):
        """Handle a request that another gateway forwards to this one.

        After `Proceed` the request needs no `prepare`: the gateway that
        forwarded it is its witness. `Answer` and `Refuse` go to that
        gateway.

        Returns
        -------
        list
            `Proceed`, `RejectForward`, or `Answer` for an id that is done.
        """
        record = self._records.get(request_id)
        if idempotent:
            other_kind = record is not None and record.active is not None
        else:
            other_kind = request_id in self._idempotent
        if other_kind:
            message = f"Gateway {self._process} already handles the id."
            return [self._reject(request_id, permit, "IN_PROGRESS", message)]
        if idempotent and self._is_closed:
            message = f"Gateway {self._process} is stopping."
            return [self._reject(request_id, permit, "UNAVAILABLE", message)]
        if idempotent:
            failure = self._idempotent.exhausted(request_id, now)
            if failure is not None:
                return [
                    self._reject(
                        request_id, permit, failure.kind.name, failure.message
                    )
                ]
            return self._idempotent.begin(request_id, now, is_repeat=True)
        if record is not None and record.state == _records.State.DONE:
            return self._cached_answer(request_id)
        if record is not None and record.state == _records.State.UNKNOWN:
            message = "An earlier attempt may have run."
            return [
                self._reject(request_id, permit, "UNKNOWN_OUTCOME", message)
            ]
        fence = (permit.process, permit.incarnation, "fence")
        claims = record.claims if record is not None else None
        if claims and claims.get(fence, (0, 0))[0] >= number:
            message = (
                f"Gateway {permit.process} has given up forward {number}."
            )
            return [self._reject(request_id, permit, "UNAVAILABLE", message)]
        verdict = self._permit_verdict(record, permit, now).verdict
        if verdict == _model.Verdict.ACCEPTED:
            record = record or self._new_record(request_id, now)
            actions = self._end_superseded(request_id, record, permit, now)
            record.state = _records.State.READY
            record.attempt = max(record.attempt, permit.attempt)
            record.active = _records.ActiveAttempt(
                permit.attempt, now - permit.age_s, False, now
            )
            record.active.settled_attempt = permit.attempt
            record.active.claim = permit.claim
            record.active.ended_claims = {(p, i): n for p, i, n in permit.over}
            record.active.forward_origin = (
                permit.process,
                permit.incarnation,
                number,
            )
            self._touch(request_id, record, now)
            return [*actions, _model.Proceed(request_id)]
        kind, message = {
            _model.Verdict.BARRED: (
                "BARRED",
                "Another attempt of the id has taken over.",
            ),
            _model.Verdict.SEEN: (
                "IN_PROGRESS",
                f"Gateway {self._process} knows of another attempt of the id.",
            ),
            _model.Verdict.YOUNG: (
                "UNAVAILABLE",
                f"Gateway {self._process} cannot tell whether the id was used"
                " before.",
            ),
        }[verdict]
        return [self._reject(request_id, permit, kind, message)]

    def _is_forward(self, request_id, number):
        if request_id in self._idempotent:
            return self._idempotent.is_current(request_id, number)
        record = self._records.get(request_id)
        if record is None or record.active is None:
            return False
        return (
            record.state in _records.FORWARDING
            and record.active.call_number == number
        )

    def _forward_unresolved(self, request_id, record, now):
        self._remember_receiver(record, _model.ExecutionStatus.WITNESSED)
        receiver = record.active.forward_target[0]
        message = f"Gateway {receiver} cannot tell whether the request ran."
        return self._refuse_unknown_outcome(request_id, record, message, now)

    def _forward_not_run(self, request_id, record, failure, now):
        if record.active.superseded_by:
            attempt = record.active.superseded_by
            return self._supersede(request_id, record, attempt, now)
        record.active.forward_target = None
        record.state = _records.State.QUEUED
        if failure is None:
            return [_model.Proceed(request_id)]
        return self._refuse_not_run(request_id, record, failure, now)

    def _reject(self, request_id, permit, kind, message):
        failure = errors.Failure(errors.Kind[kind], message)
        return _model.RejectForward(request_id, permit.process, failure)

    def _resolve_forward(self, request_id, record, reply, now):
        """End or retry a forward by the reply of its receiver to the fence."""
        active = record.active
        forward_target = active.forward_target
        replier = (reply.process, reply.incarnation)
        statuses = {s for p, i, s in reply.seen if (p, i) == replier}
        if _model.ExecutionStatus.DONE in statuses:
            if reply.answer is None:
                message = "The request ran; its answer is no longer cached."
                return self.answer_lost(request_id, message, now)
            return self._answer_elsewhere(request_id, record, reply, now)
        if _model.ExecutionStatus.RUNNING in statuses:
            self._remember_receiver(record, _model.ExecutionStatus.WITNESSED)
            return self._yield_to_other(request_id, record, now)
        remembers = now - reply.up_for_s < active.forwarded_at
        if statuses or replier != forward_target or not remembers:
            return self._forward_unresolved(request_id, record, now)
        return self._forward_not_run(request_id, record, None, now)

    def _remember_receiver(self, record, status):
        """Record the status of the id at the receiver of the forward."""
        record.process_status = dict(record.process_status or {})
        _records.merge_status(
            record.process_status, record.active.forward_target, status
        )

    def _answer_elsewhere(self, request_id, record, reply, now):
        # The answer stays cached at the receiver. The record here names the
        # receiver, so that later claims find it.
        self._remember_receiver(record, _model.ExecutionStatus.DONE)
        self._conclude(request_id, record, _records.State.YIELDED, now)
        return [_model.Answer(request_id, reply.answer)]
