"""Requests that another gateway runs on its endpoints."""

import anyio

from citrondeal import dedup
from citrondeal import errors
from citrondeal.gateway import _cores
from citrondeal.gateway import _messages
from citrondeal import peers
from citrondeal.peers.gen.peers import ttypes

# Added to the deadline of a forward, so that the answer of the other
# gateway, also a refusal at the deadline, can still arrive.
FORWARD_SLACK = 0.5  # seconds


class Forwards:
    """Forwards requests to other gateways and takes their answers.

    Parameters
    ----------
    cores : Cores
        Cores and borders.
    flow : Flow
        Carries out the actions of the ledger.
    """

    def __init__(self, cores, flow):
        self._cores = cores
        self._flow = flow

    def send(self, action):
        self._flow.start(action.request_id, self._forward, action)

    async def _forward(self, action):
        work = self._flow.works[action.request_id]
        work.tries += 1
        now = anyio.current_time()
        left = max(0.0, work.deadline - now)
        message = ttypes.Forward(
            request_id=work.request_id,
            service_name=work.service,
            path=work.path,
            request_class=work.request_class,
            team=work.team,
            idempotent=work.idempotent,
            deadline_ms=int(left * 1000),
            body=work.body,
            headers=work.headers,
            origin=self._cores.ledger.process,
            number=action.number,
            permit=_messages.permit_out(action.permit),
        )
        self._cores.metrics.count("citrondeal.requests.forwarded")
        # A non-idempotent attempt may end after the deadline; its outcome
        # still settles the id for resubmissions.
        patience = left + FORWARD_SLACK
        if not work.idempotent:
            patience += work.attempt_timeout
        vm = self._cores.directory.get(action.gateway)
        reply, sent = None, False
        if vm is not None:
            try:
                reply = await self._cores.links.call(
                    vm.peer, message, patience
                )
            except peers.PeerError as exc:
                sent = exc.sent
        self._forward_ended(work, action, reply, sent)

    def _forward_ended(self, work, action, reply, sent):
        now = anyio.current_time()
        if work.ended.is_set() and work.idempotent:
            refused = not isinstance(reply, ttypes.Reply)
            key = (work.request_id, action.number)
            self._cores.table.forward_finished(key, refused=refused)
            self._cores.queues.finished(work.key, now, succeeded=not refused)
            return
        refused = not isinstance(reply, ttypes.Reply)
        self._cores.table.forward_finished(
            (work.request_id, action.number), refused=refused
        )
        retry = work.tries < _cores.MAX_TRIES and now < work.deadline
        if not refused:
            answer = _messages.reply_in(reply)
            self._cores.queues.finished(work.key, now)
            self._flow.perform(
                self._cores.ledger.forward_answered(
                    work.request_id,
                    action.number,
                    answer,
                    len(answer.body) + _cores.ANSWER_OVERHEAD,
                    now,
                )
            )
            return
        if isinstance(reply, ttypes.Fault):
            failure = _messages.fault_in(reply)
            if failure.run is not errors.Run.NOT_RUN:
                retry = retry and self._flow.may_retry(work, now)
            actions = self._cores.ledger.forward_refused(
                work.request_id, action.number, failure, now, retry
            )
        else:
            retry = retry and (not sent or self._flow.may_retry(work, now))
            actions = self._cores.ledger.forward_failed(
                work.request_id, action.number, sent, now, retry
            )
        self._flow.after_try(work, actions, now)

    def forward_one(self, service, request_class, wait_s, now):
        peer = self._cores.table.choose_peer(
            service, request_class, wait_s, now
        )
        if peer is None:
            return False
        free = self._cores.table.free_slots(service, now)
        taken = self._cores.queues.take(service, free, now, request_class)
        self._flow.refuse_expired(taken, now)
        if taken.request is None:
            return False
        work = taken.request.payload
        vm = self._cores.directory.get(peer.process)
        incarnation = self._cores.links.incarnation_of(vm.peer) if vm else ""
        actions = self._cores.ledger.forward(
            work.request_id, peer.process, incarnation, now
        )
        for action in actions:
            if isinstance(action, dedup.SendForward):
                key = (work.request_id, action.number)
                self._cores.table.forward_started(
                    key, peer.process, service, request_class, now
                )
        self._flow.perform(actions)
        if any(isinstance(a, dedup.SendForward) for a in actions):
            return True
        if work.ended.is_set():
            self._cores.queues.finished(work.key, now, succeeded=False)
            return True
        # The intent for a local dispatch is in progress.
        self._flow.admitted(
            work, self._cores.queues.requeue(work.key, now), now
        )
        return False
