"""The ledger of request ids at one gateway."""

import collections

import xxhash

from citrondeal.dedup import _answers
from citrondeal.dedup import _idempotent
from citrondeal.dedup import _model
from citrondeal.dedup import _records
from citrondeal import errors

# Records looked at for one that can be forgotten; records in progress are
# kept, and there are as many of them as the queues allow.
_SCAN_LIMIT = 16
_SHARED_LIMIT = 1000  # dispatchers whose holder dicts are shared
_DUMP_LIMIT = 50  # ids in the state dump
# What a process reports of itself outweighs what its witness knows.
_CERTAINTY = (
    _model.ExecutionStatus.WITNESSED,
    _model.ExecutionStatus.REFUSED,
    _model.ExecutionStatus.RUNNING,
    _model.ExecutionStatus.UNKNOWN,
    _model.ExecutionStatus.DONE,
)


# Age, in seconds, beyond that of any id: ten years.
EVER_S = 3.2e8


class Ledger:
    """Request ids that one gateway handled, witnessed or barred.

    The ledger does no I/O. Each event method takes the request id and
    `now` (monotonic seconds) and returns the actions to carry out, in
    order. Replies to calls carry the `number` of the action that made the
    call, so that late replies of an abandoned call have no effect.

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

    def __init__(self, process, incarnation, zone, now, config=None):
        self._process = process
        self._incarnation = incarnation
        self._zone = zone
        self._config = config or _model.Config()
        self._started_at = now
        self._complete_since = now
        self._gateways = {}
        self._departed = {}
        # process -> (incarnation, complete since, time of the import)
        self._inherited = {}
        self._suspects = {}
        self._witnessed = {}
        self._records = collections.OrderedDict()
        self._answers = _answers.Answers(self._config.answer_bytes)
        self._idempotent = _idempotent.Requests()
        self._call_number = 0
        self._has_left = False
        self._forgotten = 0

    @classmethod
    def from_config(cls, config, process, incarnation, zone, now):
        """Make a ledger from its settings."""
        return cls(process, incarnation, zone, now, config)

    @property
    def process(self):
        """Name of this gateway."""
        return self._process

    @property
    def incarnation(self):
        """Incarnation of this gateway."""
        return self._incarnation

    @property
    def _vouches_since(self):
        """Time since which this memory speaks for the process's name.

        For `skew_s` after the start, other gateways may still send to a
        predecessor that was replaced while it was paused.
        """
        started_at = self._started_at + self._config.skew_s
        return max(self._complete_since, started_at)

    def __len__(self):
        return len(self._records)

    def mark_first_incarnation(self, now):
        """Note that no earlier incarnation of this gateway has existed.

        The memory is then complete however old an id is.
        """
        self._complete_since = min(self._complete_since, now - EVER_S)

    # The cell

    def set_gateways(self, gateways, now):
        """Take the list of all gateways of the cell.

        Unreachable gateways stay in the list as long as the VM list names
        them: a claim that skips a gateway proves nothing about it.

        Parameters
        ----------
        gateways : dict of str to str
            Zone by process name; this gateway may be included.
        now : float
            Monotonic seconds.
        """
        others = {k: v for k, v in gateways.items() if k != self._process}
        for name in self._gateways.keys() - others.keys():
            self._departed[name] = now
        for name in others:
            self._departed.pop(name, None)
        self._gateways = others
        return []

    def tick(self, now):
        """Forget what is older than the window; call about each second."""
        keep_s = self._keep_s
        while self._records:
            request_id, record = next(iter(self._records.items()))
            if record.touched + keep_s > now:
                break
            if record.active is not None:
                record.touched = now
                self._records.move_to_end(request_id)
                continue
            self._forget(request_id)
        for name, since in list(self._departed.items()):
            if since + keep_s <= now:
                del self._departed[name]
        for name, (_, _, imported_at) in list(self._inherited.items()):
            if imported_at + keep_s <= now:
                del self._inherited[name]
        return []

    # Requests of callers

    def begin(self, request_id, attempt, idempotent, now, now_unix):
        """Handle a request that a caller sent to this gateway.

        A resubmission must not be refused with a kind that says "not run"
        before this event, because only the ledger knows whether an
        earlier attempt ran.

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
            return self._idempotent.begin(request_id)
        if record is not None and record.state == _records.State.DONE:
            return self._answer_kept(request_id)
        if record is not None and record.state == _records.State.UNKNOWN:
            return [_refuse_unknown(request_id, "An earlier attempt")]
        created = _model.created_unix(request_id)
        age_s = None if created is None else now_unix - created
        if age_s is not None and age_s > self._config.window_s:
            message = "The id is older than the window for resubmissions."
            return [_refuse(request_id, "UNKNOWN_OUTCOME", message)]
        # A creation time in the future proves nothing about the age.
        age_known = age_s is not None and age_s > -self._config.skew_s
        latest_creation_at = now - max(0.0, age_s) if age_known else now
        number = attempt if attempt is not None else 2
        active = _records.ActiveAttempt(
            number, latest_creation_at, age_known, now
        )
        first = attempt == 1
        if self._has_left:
            kind = "UNAVAILABLE" if first else "UNKNOWN_OUTCOME"
            return [_refuse(request_id, kind, "The gateway is stopping.")]
        if first and record is None:
            record = self._new_record(request_id, now)
            record.state = _records.State.QUEUED
            record.attempt = active.settled = 1
            record.active = active
            return [_model.Proceed(request_id)]
        if first and _newest_attempt(record) > 1:
            message = "A newer attempt of the id has taken over."
            return [_refuse(request_id, "BARRED", message)]
        number = active.attempt = max(number, 2)
        if record is None:
            record = self._new_record(request_id, now)
        elif number < record.refused:
            message = "A newer attempt of the id was refused here."
            return [_refuse(request_id, "BARRED", message)]
        record.attempt = max(number, record.attempt)
        record.active = active
        return self._claim(request_id, record, number, now)

    def caller_gone(self, request_id, now):
        """Handle a caller, or the origin of a forward, that stopped waiting.

        A request that is not yet dispatched or forwarded is dropped when
        nobody waits for it; a running one completes.
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

    # Dispatch to the gateway's own endpoints

    def prepare(self, request_id, now):
        """Obtain the permission for a local dispatch.

        May be called at any time after `Proceed`: while the request is
        queued, to save waiting time, or when its route is known, to save
        intents of requests that are forwarded.

        Returns
        -------
        list
            `Ready`, `SendIntent`, `Refuse`, or nothing while an intent is
            in progress or the request has ended.
        """
        if request_id in self._idempotent:
            return [_model.Ready(request_id)]
        record = self._records.get(request_id)
        if record is None or record.active is None or self._has_left:
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
            if record.active.denied:
                # The permit did not name the claims denied since.
                record.active.denied = False
                record.active.tried.pop()
                return self._ask_witness(request_id, record, now)
            return self._displace(request_id, record, reply.attempt, now)
        return self._yield_to_other(request_id, record, now)

    def intent_failed(self, request_id, number, now):
        """Handle an intent without a reply, whether or not it was sent.

        Another witness is asked. The first one may hold the intent; this
        process remains the authority on whether it dispatched.
        """
        record = self._active_record(
            request_id, number, _records.State.PREPARING
        )
        if record is None:
            return []
        until = now + self._config.suspect_s
        self._suspects[record.active.tried[-1]] = until
        return self._ask_witness(request_id, record, now)

    def start(self, request_id, now):
        """Ask for permission immediately before the first byte is sent.

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
        if record is None or record.active is None or self._has_left:
            return []
        if record.state != _records.State.READY:
            return []
        record.state = _records.State.DISPATCHED
        self._touch(request_id, record, now)
        return [_model.Dispatch(request_id)]

    # Outcomes

    def completed(self, request_id, answer, size_bytes, now):
        """Handle the complete answer of an endpoint or of a forward.

        Parameters
        ----------
        request_id : str
            Id of the request.
        answer : object
            Kept and returned unchanged.
        size_bytes : int
            Size that counts towards the bound of kept answers.
        now : float
            Monotonic seconds.
        """
        if request_id in self._idempotent:
            return self._idempotent.completed(request_id, answer)
        record = self._records.get(request_id)
        if record is None:
            return []
        # An answer that arrives after the attempt was given up as unknown
        # still settles the id for later attempts.
        if record.state not in (*_records.STARTED, _records.State.UNKNOWN):
            return []
        waited_for = record.active is not None
        self._conclude(request_id, record, _records.State.DONE, now)
        self._answers.put(request_id, answer, size_bytes)
        return [_model.Answer(request_id, answer)] if waited_for else []

    def not_run(self, request_id, failure, now, retry=False):
        """Handle a refusal, or the proof that a dispatch did not run.

        While claims are pending the answer is ``unknown_outcome`` instead:
        an earlier attempt may have run.

        The proof is a connection that failed before the first byte, or the
        endpoint's own statement (status 503 with the header
        ``Request-Run: not_run``).

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
            needed, because the second gateway still holds the first one.
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
            return self._end_unknown(request_id, record, message, now)
        if record.state not in _records.WAITING:
            return []
        if retry:
            return [_model.Proceed(request_id)]
        return self._refuse_not_run(request_id, record, failure, now)

    def unknown(self, request_id, message, now, retry=False):
        """Handle a dispatch that may have run and has no complete answer.

        Parameters
        ----------
        request_id : str
            Id of the request.
        message : str
            One sentence for a person.
        now : float
            Monotonic seconds.
        retry : bool
            Whether an idempotent request returns to the queue. Ignored
            for others.
        """
        failure = errors.Failure(errors.Kind.UNKNOWN_OUTCOME, message)
        if request_id in self._idempotent:
            return self._idempotent.unknown(request_id, failure, retry)
        record = self._records.get(request_id)
        if record is None or record.state != _records.State.DISPATCHED:
            return []
        self._conclude(request_id, record, _records.State.UNKNOWN, now)
        return [_model.Refuse(request_id, failure)]

    def answer_lost(self, request_id, message, now):
        """Handle a dispatch that ran and whose answer cannot be given."""
        failure = errors.Failure(errors.Kind.ANSWER_LOST, message)
        if request_id in self._idempotent:
            return self._idempotent.finish(request_id, failure)
        record = self._records.get(request_id)
        if record is None or record.state not in _records.STARTED:
            return []
        self._conclude(request_id, record, _records.State.DONE, now)
        return [_model.Refuse(request_id, failure)]

    # Forwarding to the gateway that holds the endpoint

    def forward(self, request_id, gateway, incarnation, now):
        """Permit the forward of a queued request to another gateway.

        This gateway becomes the witness of the other one.

        Parameters
        ----------
        request_id : str
            Id of the request.
        gateway : str
            Receiver.
        incarnation : str
            Incarnation of the receiver from its ``Hello``. If it is not
            known, pass an empty string; then a forward without reply stays
            unknown.
        now : float
            Monotonic seconds.
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
        if record is None or record.active is None or self._has_left:
            return []
        if record.state not in _records.WAITING:
            return []
        if record.active.origin is not None:
            raise ValueError("a forwarded request is not forwarded again")
        self._call_number += 1
        record.state = _records.State.FORWARDED
        record.active.call_number = self._call_number
        record.active.target = (gateway, incarnation)
        record.active.sent_at = now
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
            return self._idempotent.unknown(request_id, failure, retry)
        record = self._records[request_id]
        if failure.kind == errors.Kind.IN_PROGRESS:
            return self._yield_to_other(request_id, record, now)
        if failure.run == errors.Run.UNKNOWN:
            return self._forward_lost(request_id, record, now)
        if failure.kind == errors.Kind.BARRED:
            attempt = max(record.active.displaced, 2)
            return self._displace(request_id, record, attempt, now)
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
            Whether the receiver may have got the call. If so, the receiver
            is asked with a fence, which also rejects a late delivery.
        now : float
            Monotonic seconds.
        retry : bool
            Whether an idempotent request is routed again.
        """
        if not self._is_forward(request_id, number):
            return []
        if request_id in self._idempotent:
            message = "The connection to the other gateway broke."
            failure = errors.Failure(errors.Kind.UNAVAILABLE, message)
            if not sent:
                return self._idempotent.not_run(request_id, failure, retry)
            failure = errors.Failure(errors.Kind.UNKNOWN_OUTCOME, message)
            return self._idempotent.unknown(request_id, failure, retry)
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
        gateway = record.active.target[0]
        return [_model.SendClaims(request_id, (gateway,), claim)]

    def on_forward(self, request_id, number, permit, idempotent, now):
        """Handle a request that another gateway forwards to this one.

        After `Proceed` the request needs no `prepare`: its origin is the
        second gateway. `Answer` and `Refuse` for the id go to the origin.

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
            message = "The id is handled here."
            return [self._reject(request_id, permit, "IN_PROGRESS", message)]
        if idempotent and self._has_left:
            message = "The gateway is stopping."
            return [self._reject(request_id, permit, "UNAVAILABLE", message)]
        if idempotent:
            return self._idempotent.begin(request_id)
        if record is not None and record.state == _records.State.DONE:
            return self._answer_kept(request_id)
        if record is not None and record.state == _records.State.UNKNOWN:
            message = "An earlier attempt may have run."
            return [
                self._reject(request_id, permit, "UNKNOWN_OUTCOME", message)
            ]
        fence = (permit.process, permit.incarnation, "fence")
        claims = record.claims if record is not None else None
        if claims and claims.get(fence, (0, 0))[0] >= number:
            message = "The sender has given up this forward."
            return [self._reject(request_id, permit, "UNAVAILABLE", message)]
        verdict = self._judge(record, permit, now).verdict
        if verdict == _model.Verdict.ACCEPTED:
            record = record or self._new_record(request_id, now)
            actions = self._make_way(request_id, record, permit, now)
            record.state = _records.State.READY
            record.attempt = max(record.attempt, permit.attempt)
            record.active = _records.ActiveAttempt(
                permit.attempt, now - permit.age_s, False, now
            )
            record.active.settled = permit.attempt
            record.active.claim = permit.claim
            record.active.over = {(p, i): n for p, i, n in permit.over}
            record.active.origin = (permit.process, permit.incarnation, number)
            self._touch(request_id, record, now)
            return [*actions, _model.Proceed(request_id)]
        kind, message = {
            _model.Verdict.BARRED: (
                "BARRED",
                "Another attempt of the id has taken over.",
            ),
            _model.Verdict.SEEN: ("IN_PROGRESS", "The id is handled here."),
            _model.Verdict.YOUNG: (
                "UNAVAILABLE",
                "The gateway has just started.",
            ),
        }[verdict]
        return [self._reject(request_id, permit, kind, message)]

    # Intents and claims of other gateways

    def on_intent(self, request_id, permit, now):
        """Handle an intent: another gateway is about to dispatch the id."""
        record = self._records.get(request_id)
        reply = self._judge(record, permit, now)
        actions = []
        if reply.verdict == _model.Verdict.ACCEPTED:
            record = record or self._new_record(request_id, now)
            actions = self._make_way(request_id, record, permit, now)
            holder = (permit.process, permit.incarnation)
            record.holders = self._holders_of(holder)
            self._touch(request_id, record, now)
        reply = _model.SendIntentReply(request_id, permit.process, reply)
        return [reply, *actions]

    def on_claim(self, request_id, claim, now):
        """Handle a claim, or the fence of a forward that broke."""
        record = self._records.get(request_id)
        if record is None:
            record = self._new_record(request_id, now)
        actions = []
        if claim.fence:
            actions = self._fence(request_id, record, claim, now)
        elif self._denies(record, claim):
            over = record.active.over
            source = (claim.process, claim.incarnation)
            over[source] = max(over.get(source, 0), claim.number)
            record.active.denied = True
            return [self._claim_reply(request_id, record, claim, True, now)]
        else:
            actions = self._bar(request_id, record, claim, now)
        self._touch(request_id, record, now)
        reply = self._claim_reply(request_id, record, claim, False, now)
        return [reply, *actions]

    def claim_reply(self, request_id, number, gateway, reply, now):
        """Handle the reply of one gateway to a claim."""
        record = self._active_record(
            request_id, number, _records.State.RESOLVING
        )
        if record is not None:
            return self._resolve(request_id, record, reply, now)
        record = self._active_record(
            request_id, number, _records.State.CLAIMING
        )
        if record is None or gateway not in record.active.claim_round.asked:
            return []
        claim_round = record.active.claim_round
        if reply.process != gateway:
            # Another process has taken over the address.
            claim_round.failed.add(gateway)
            return self._evaluate(request_id, record, now)
        claim_round.replies[gateway] = reply
        claim_round.complete_since[gateway] = now - reply.up_for_s
        return self._evaluate(request_id, record, now)

    def claim_failed(self, request_id, number, gateway, now):
        """Handle a claim without a reply."""
        record = self._active_record(
            request_id, number, _records.State.RESOLVING
        )
        if record is not None:
            return self._forward_lost(request_id, record, now)
        record = self._active_record(
            request_id, number, _records.State.CLAIMING
        )
        if record is None or gateway not in record.active.claim_round.asked:
            return []
        record.active.claim_round.failed.add(gateway)
        return self._evaluate(request_id, record, now)

    # Handover

    def export(self, now):
        """Stop accepting ids and return the records for another gateway.

        Call this when no request is in progress here any more. A request
        that is nevertheless dispatched is exported as unknown; one that
        waits gets no permission from `prepare`, `forward` or `start` any
        more, and `not_run` refuses it.

        Returns
        -------
        dict
            State for `import_records`. JSON-ready except for the answers,
            which are returned as they were given to `completed`.
        """
        self._has_left = True
        records = []
        for request_id, record in self._records.items():
            seen = self._own_seen(record)
            holders = dict(record.holders or {})
            if (
                record.active is not None
                and record.state in _records.ELSEWHERE
            ):
                _learn(
                    holders,
                    record.active.target,
                    _model.ExecutionStatus.WITNESSED,
                )
            if seen == _model.ExecutionStatus.RUNNING:
                seen = _model.ExecutionStatus.UNKNOWN
            if seen is None and record.state != _records.State.NONE:
                seen = _model.ExecutionStatus.REFUSED
            if seen is not None:
                holders[(self._process, self._incarnation)] = seen
            records.append(
                {
                    "id": request_id,
                    "age_s": now - record.touched,
                    "refused": record.refused,
                    "holders": [[*k, v.value] for k, v in holders.items()],
                    "claims": [
                        [*k, *v] for k, v in (record.claims or {}).items()
                    ],
                    "answer": self._answers.get(request_id),
                }
            )
        return {
            "process": self._process,
            "incarnation": self._incarnation,
            "up_for_s": now - self._vouches_since,
            "inherited": [list(k) for k in self._inherited_at(now)],
            "records": records,
        }

    def import_records(self, state, now):
        """Take over the records of a gateway that leaves.

        Parameters
        ----------
        state : dict
            Result of `export`.
        now : float
            Monotonic seconds; the transfer must have been complete.
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
            for process, incarnation, seen in row["holders"]:
                record.holders = dict(record.holders or {})
                key = (process, incarnation)
                _learn(record.holders, key, _model.ExecutionStatus(seen))
            for *key, number, attempt in row["claims"]:
                claims = record.claims = record.claims or {}
                kept = claims.get(tuple(key), (0, 0))
                claims[tuple(key)] = max(kept, (number, attempt))
            kept = row["answer"]
            if kept is not None:
                self._answers.put(request_id, kept[0], kept[1])
        return []

    def dump(self):
        """Return counts and the ids in progress, bounded in size."""
        states = collections.Counter(
            record.state.name.lower() for record in self._records.values()
        )
        active = []
        for request_id, record in reversed(self._records.items()):
            if len(active) >= _DUMP_LIMIT:
                break
            if record.active is not None:
                name = record.state.name.lower()
                active.append([request_id, name, record.attempt])
        return {
            "process": self._process,
            "incarnation": self._incarnation,
            "complete_since": self._complete_since,
            "gateways": sorted(self._gateways),
            "departed": sorted(self._departed),
            "inherited": sorted(self._inherited),
            "ids": len(self._records),
            "forgotten": self._forgotten,
            "states": dict(sorted(states.items())),
            "answers": len(self._answers),
            "answer_bytes": self._answers.size_bytes,
            "idempotent": len(self._idempotent),
            "in_progress": active,
        }

    # Records

    @property
    def _keep_s(self):
        return self._config.window_s + self._config.margin_s

    def _new_record(self, request_id, now):
        self._records[request_id] = record = _records.Record(now)
        self._make_room(request_id)
        return record

    def _make_room(self, request_id):
        for _ in range(_SCAN_LIMIT):
            if len(self._records) <= self._config.max_ids:
                return
            oldest, record = next(iter(self._records.items()))
            if record.active is not None or oldest == request_id:
                self._records.move_to_end(oldest)
                continue
            # Ids that are not younger than this time can no longer be
            # vouched for.
            self._forgotten += 1
            self._complete_since = max(self._complete_since, record.touched)
            self._forget(oldest)

    def _forget(self, request_id):
        del self._records[request_id]
        self._answers.discard(request_id)

    def _touch(self, request_id, record, now):
        record.touched = now
        self._records.move_to_end(request_id)

    def _conclude(self, request_id, record, state, now):
        record.state = state
        record.active = None
        self._touch(request_id, record, now)

    def _active_record(self, request_id, number, state):
        record = self._records.get(request_id)
        if record is None or record.active is None or record.state != state:
            return None
        return record if record.active.call_number == number else None

    def _is_forward(self, request_id, number):
        if request_id in self._idempotent:
            return self._idempotent.is_current(request_id, number)
        record = self._records.get(request_id)
        if record is None or record.active is None:
            return False
        return (
            record.state in _records.ELSEWHERE
            and record.active.call_number == number
        )

    # Ends of attempts

    def _answer_kept(self, request_id):
        kept = self._answers.get(request_id)
        if kept is not None:
            return [_model.Answer(request_id, kept[0])]
        message = "The request ran; its answer is no longer kept."
        return [_refuse(request_id, "ANSWER_LOST", message)]

    def _refuse_not_run(self, request_id, record, failure, now):
        attempt = record.active.attempt
        if attempt > record.active.settled:
            # An attempt between the settled ones and the latest may still
            # arrive somewhere and run.
            self._conclude(request_id, record, _records.State.YIELDED, now)
            message = f"Another attempt is pending; here: {failure.message}"
            return [_refuse(request_id, "IN_PROGRESS", message)]
        record.refused = max(record.refused, attempt)
        self._conclude(request_id, record, _records.State.REFUSED, now)
        return [_model.Refuse(request_id, failure)]

    def _displace(self, request_id, record, attempt, now):
        newer = attempt > record.active.attempt
        self._conclude(request_id, record, _records.State.YIELDED, now)
        message = "Another attempt of the id has taken over."
        # "Not run" would be read as a statement on the id if the caller
        # sent no newer attempt.
        kind = "BARRED" if newer else "IN_PROGRESS"
        return [_refuse(request_id, kind, message)]

    def _yield_to_other(self, request_id, record, now):
        self._conclude(request_id, record, _records.State.YIELDED, now)
        message = "The id is handled by another gateway."
        return [_refuse(request_id, "IN_PROGRESS", message)]

    def _end_unknown(self, request_id, record, message, now):
        self._conclude(request_id, record, _records.State.YIELDED, now)
        return [_refuse(request_id, "UNKNOWN_OUTCOME", message)]

    def _forward_lost(self, request_id, record, now):
        self._refer(record, _model.ExecutionStatus.WITNESSED)
        message = "The other gateway cannot tell whether the request ran."
        return self._end_unknown(request_id, record, message, now)

    def _forward_not_run(self, request_id, record, failure, now):
        if record.active.displaced:
            attempt = record.active.displaced
            return self._displace(request_id, record, attempt, now)
        record.active.target = None
        record.state = _records.State.QUEUED
        if failure is None:
            return [_model.Proceed(request_id)]
        return self._refuse_not_run(request_id, record, failure, now)

    def _reject(self, request_id, permit, kind, message):
        failure = errors.Failure(errors.Kind[kind], message)
        return _model.RejectForward(request_id, permit.process, failure)

    def _join(self, request_id, record, attempt):
        active = record.active
        active.waiters += 1
        if attempt <= active.settled + 1:
            active.settled = max(active.settled, attempt)
        active.attempt = max(active.attempt, attempt)
        record.attempt = max(record.attempt, attempt)
        return [_model.Join(request_id)]

    # Witnesses

    def _permit(self, record, now):
        active = record.active
        over = tuple((p, i, n) for (p, i), n in sorted(active.over.items()))
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
        active.tried = active.tried if active.tried is not None else []
        gateway = self._next_witness(request_id, active.tried, now)
        if gateway is None:
            message = "No other gateway can witness the request."
            failure = errors.Failure(errors.Kind.UNAVAILABLE, message, 1.0)
            return self._refuse_not_run(request_id, record, failure, now)
        active.tried.append(gateway)
        active.denied = False
        self._call_number += 1
        active.call_number = self._call_number
        record.state = _records.State.PREPARING
        permit = self._permit(record, now)
        return [
            _model.SendIntent(request_id, gateway, self._call_number, permit)
        ]

    def _next_witness(self, request_id, tried, now):
        # The choice depends on the id alone, so that first attempts of one
        # id at two gateways of a zone meet at the same witness.
        best, best_key = None, (4, 0)
        content = request_id.encode()
        for name, zone in self._gateways.items():
            if name in tried:
                continue
            suspect = self._suspects.get(name, now) > now
            rank = 2 * suspect + (zone != self._zone)
            if rank > best_key[0]:
                continue
            score = xxhash.xxh64_intdigest(content + name.encode())
            if (rank, score) < best_key:
                best, best_key = name, (rank, score)
        return best

    def _judge(self, record, permit, now):
        """Decide on an intent or a forward."""
        verdict = _model.Verdict
        claims = record.claims if record is not None else None
        claims = claims or {}
        newest = max((a for _, a in claims.values()), default=0)
        if self._has_left:
            return _model.IntentReply(verdict.YOUNG, newest)
        sender = (permit.process, permit.incarnation)
        if record is not None:
            busy = record.active is not None
            if record.state == _records.State.CLAIMING:
                # The claim made here is compared with the others below.
                busy = False
            elif record.state in _records.ELSEWHERE and permit.claim:
                # The claimant's round has resolved the forward.
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
            # Without the claim this memory is younger than the claim, and
            # may lack bars of other claimants.
            known = own == permit.claim
            reply = verdict.ACCEPTED if known else verdict.YOUNG
            return _model.IntentReply(reply, newest)
        holders = record.holders if record is not None else None
        if holders and any(key != sender for key in holders):
            return _model.IntentReply(verdict.SEEN, newest)
        up_for_s = now - self._complete_since
        if up_for_s <= permit.age_s + self._config.skew_s:
            return _model.IntentReply(verdict.YOUNG, newest)
        return _model.IntentReply(verdict.ACCEPTED, newest)

    def _holders_of(self, holder):
        # One dict per dispatcher, shared by all ids that it announced and
        # never changed: a dict per id would double the size of a record.
        if holder not in self._witnessed:
            if len(self._witnessed) >= _SHARED_LIMIT:
                self._witnessed.clear()
            self._witnessed[holder] = {
                holder: _model.ExecutionStatus.WITNESSED
            }
        return self._witnessed[holder]

    def _make_way(self, request_id, record, permit, now):
        """End what the sender of an accepted permit has cleared."""
        if permit.claim:
            record.holders = None
        if record.active is None:
            return []
        return self._displace(request_id, record, permit.attempt, now)

    # Claims

    def _claim(self, request_id, record, attempt, now):
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
            return self._evaluate(request_id, record, now)
        claim = _model.Claim(
            self._process, self._incarnation, self._call_number, attempt
        )
        asked = tuple(sorted(self._gateways))
        return [_model.SendClaims(request_id, asked, claim)]

    def _denies(self, record, claim):
        """Return whether the attempt here goes on despite the claim."""
        active = record.active
        if active is None:
            return False
        if record.state == _records.State.DISPATCHED:
            return True
        if record.state in _records.ELSEWHERE:
            return False
        source = (claim.process, claim.incarnation)
        if active.over.get(source, 0) >= claim.number:
            return True
        # An attempt that waits gives way to any claim, also of an older
        # attempt. If numbers decided here and names between claims, three
        # concurrent attempts could end each other.
        if record.state == _records.State.CLAIMING:
            return self._process < claim.process
        return False

    def _bar(self, request_id, record, claim, now):
        """Record a claim that is not denied; end an attempt that waits."""
        claims = record.claims = record.claims or {}
        key = (claim.process, claim.incarnation)
        if key in claims or len(claims) < self._config.max_claimants:
            kept = claims.get(key, (0, 0))
            claims[key] = max(kept, (claim.number, claim.attempt))
        if record.active is None:
            return []
        if record.state in _records.ELSEWHERE:
            displaced = max(record.active.displaced, claim.attempt)
            record.active.displaced = displaced
            return []
        if record.state == _records.State.CLAIMING:
            return self._yield_to_other(request_id, record, now)
        return self._displace(request_id, record, claim.attempt, now)

    def _fence(self, request_id, record, claim, now):
        claims = record.claims = record.claims or {}
        key = (claim.process, claim.incarnation, "fence")
        claims[key] = max(claims.get(key, (0, 0)), (claim.fence, 0))
        active = record.active
        if active is None or record.state != _records.State.READY:
            return []
        if active.origin is None or active.origin[:2] != key[:2]:
            return []
        if active.origin[2] > claim.fence:
            return []
        return self._yield_to_other(request_id, record, now)

    def _own_seen(self, record):
        if record.state == _records.State.DONE:
            return _model.ExecutionStatus.DONE
        if record.state == _records.State.UNKNOWN:
            return _model.ExecutionStatus.UNKNOWN
        if record.state == _records.State.DISPATCHED:
            return _model.ExecutionStatus.RUNNING
        return None

    def _claim_reply(self, request_id, record, claim, denied, now):
        me = (self._process, self._incarnation)
        seen = dict(record.holders or {})
        if record.active is not None and record.state in _records.ELSEWHERE:
            _learn(
                seen, record.active.target, _model.ExecutionStatus.WITNESSED
            )
        own = self._own_seen(record)
        if denied:
            own = _model.ExecutionStatus.RUNNING
        own = own or self._idempotent.seen(request_id)
        if own is not None:
            seen[me] = own
        claims = record.claims or {}
        crowded = len(claims) >= self._config.max_claimants
        if crowded and (claim.process, claim.incarnation) not in claims:
            seen[me] = seen.get(me, _model.ExecutionStatus.UNKNOWN)
        kept = self._answers.get(request_id)
        reply = _model.ClaimReply(
            self._process,
            self._incarnation,
            now - self._vouches_since,
            0 if denied else self._call_number,
            record.refused,
            tuple((p, i, s) for (p, i), s in seen.items()),
            tuple((*k, *v) for k, v in claims.items() if len(k) == 2),
            tuple(sorted({*self._gateways, *self._departed})),
            tuple(self._inherited_at(now)),
            None if kept is None else kept[0],
        )
        return _model.SendClaimReply(request_id, claim.process, reply)

    def _inherited_at(self, now):
        rows = []
        for process, row in self._inherited.items():
            incarnation, since, imported_at = row
            if self._complete_since >= imported_at:
                # Imported records may be among those forgotten since.
                since = max(since, self._complete_since)
            rows.append((process, incarnation, now - since))
        return rows

    def _evaluate(self, request_id, record, now):
        """Conclude a claim round as soon as its replies allow it."""
        claim_round = record.active.claim_round
        own = self._claim_view(request_id, record, now)
        views = [own, *claim_round.replies.values()]
        sightings = {}
        for view in views:
            for process, incarnation, seen in view.seen:
                key = (process, incarnation)
                sightings.setdefault(key, set()).add(seen)
        flat = set().union(*sightings.values()) if sightings else set()
        for view in views:
            if view.answer is not None and _model.ExecutionStatus.DONE in flat:
                self._conclude(request_id, record, _records.State.YIELDED, now)
                return [_model.Answer(request_id, view.answer)]
        if claim_round.pending:
            if (
                _model.ExecutionStatus.RUNNING in flat
                and _model.ExecutionStatus.DONE not in flat
            ):
                return self._yield_to_other(request_id, record, now)
            return []
        if _model.ExecutionStatus.DONE in flat:
            self._conclude(request_id, record, _records.State.YIELDED, now)
            message = "The request ran; its answer is no longer kept."
            return [_refuse(request_id, "ANSWER_LOST", message)]
        if _model.ExecutionStatus.RUNNING in flat:
            return self._yield_to_other(request_id, record, now)
        reason = self._unknown_outcome_reason(record, views, sightings)
        if reason is not None:
            return self._end_unknown(request_id, record, reason, now)
        number, attempt = record.claims[(self._process, self._incarnation)]
        replied = {view.process: view.incarnation for view in views}
        newest = max(view.refused for view in views)
        over = record.active.over
        for view in views:
            if view.claims_over:
                key = (view.process, view.incarnation)
                over[key] = max(over.get(key, 0), view.claims_over)
            for process, incarnation, other, claimed in view.claims:
                key = (process, incarnation)
                if replied.get(process) != incarnation:
                    # That incarnation has ended, or can obtain no witness
                    # any more; its refusals may be lost.
                    over[key] = max(over.get(key, 0), other)
                    newest = max(newest, claimed)
        if newest > attempt:
            return self._displace(request_id, record, newest, now)
        record.active.settled = attempt
        record.active.claim_round = None
        record.holders = None
        record.state = _records.State.QUEUED
        return [_model.Proceed(request_id)]

    def _claim_view(self, request_id, record, now):
        """Return what this gateway would reply to its own claim."""
        holders = (record.holders or {}).items()
        claims = (record.claims or {}).items()
        kept = self._answers.get(request_id)
        return _model.ClaimReply(
            self._process,
            self._incarnation,
            now - self._vouches_since,
            0,
            record.refused,
            tuple((p, i, s) for (p, i), s in holders),
            tuple((*k, *v) for k, v in claims if len(k) == 2),
            (self._process, *self._gateways, *self._departed),
            tuple(self._inherited_at(now)),
            None if kept is None else kept[0],
        )

    def _unknown_outcome_reason(self, record, views, sightings):
        """Return why the id may have run, or None if it has not."""
        active = record.active
        claim_round = active.claim_round
        if claim_round.failed:
            names = ", ".join(sorted(claim_round.failed))
            return f"Gateways did not answer: {names}."
        if any(
            _model.ExecutionStatus.UNKNOWN in seen
            for seen in sightings.values()
        ):
            return "An earlier attempt may have run."
        if active.age_known:
            needed = active.latest_creation_at - self._config.skew_s
        else:
            needed = claim_round.started_at - self._keep_s
        since = {
            **claim_round.complete_since,
            self._process: self._vouches_since,
        }
        vouched = {name for name, t in since.items() if t < needed}
        incarnations = {view.process: view.incarnation for view in views}
        inherited = set()
        for view in views:
            base = since[view.process]
            for process, incarnation, up_for_s in view.inherited:
                # `up_for_s` refers to the time at which the view was made.
                start = base + view.up_for_s - up_for_s
                if start < needed:
                    inherited.add((process, incarnation))
                    if process not in incarnations:
                        vouched.add(process)
        for key, seen in sightings.items():
            if seen != {_model.ExecutionStatus.WITNESSED}:
                continue
            process, incarnation = key
            alive = incarnations.get(process) == incarnation
            if alive and process in vouched or key in inherited:
                continue
            return f"Gateway {process} may have run it and has restarted."
        known = {name for view in views for name in view.known}
        # Each dispatch is recorded at two gateways before its first byte,
        # so that one memory may be missing.
        missing = sorted(known - vouched)
        if len(missing) > 1:
            names = ", ".join(missing)
            return f"Gateways have restarted since: {names}."
        return None

    def _resolve(self, request_id, record, reply, now):
        """Use the reply of a gateway to which a forward broke."""
        active = record.active
        target = active.target
        me = (reply.process, reply.incarnation)
        seen = {s for p, i, s in reply.seen if (p, i) == me}
        if _model.ExecutionStatus.DONE in seen:
            if reply.answer is None:
                message = "The request ran; its answer is no longer kept."
                return self.answer_lost(request_id, message, now)
            return self._answer_elsewhere(request_id, record, reply, now)
        if _model.ExecutionStatus.RUNNING in seen:
            self._refer(record, _model.ExecutionStatus.WITNESSED)
            return self._yield_to_other(request_id, record, now)
        remembers = now - reply.up_for_s < active.sent_at
        if seen or me != target or not remembers:
            return self._forward_lost(request_id, record, now)
        return self._forward_not_run(request_id, record, None, now)

    def _refer(self, record, seen):
        """Remember the receiver of the forward in progress."""
        record.holders = dict(record.holders or {})
        _learn(record.holders, record.active.target, seen)

    def _answer_elsewhere(self, request_id, record, reply, now):
        # The receiver keeps the answer; this gateway refers to it.
        self._refer(record, _model.ExecutionStatus.DONE)
        self._conclude(request_id, record, _records.State.YIELDED, now)
        return [_model.Answer(request_id, reply.answer)]


def _newest_attempt(record):
    """Return the highest attempt that was handled or has claimed here."""
    claims = (record.claims or {}).values()
    return max([record.attempt, *(attempt for _, attempt in claims)])


def _learn(holders, key, seen):
    """Add a sighting unless a more certain one of that process is known."""
    kept = holders.get(key, seen)
    holders[key] = max(kept, seen, key=_CERTAINTY.index)


def _refuse(request_id, kind, message):
    failure = errors.Failure(errors.Kind[kind], message)
    return _model.Refuse(request_id, failure)


def _refuse_unknown(request_id, subject):
    return _refuse(request_id, "UNKNOWN_OUTCOME", f"{subject} may have run.")
