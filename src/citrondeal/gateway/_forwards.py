"""Forwarding of requests to gateways that hold other endpoints."""

import anyio

from citrondeal import dedup
from citrondeal import errors
from citrondeal.gateway import _components
from citrondeal.gateway import _messages
from citrondeal import peers
from citrondeal.peers.gen.peers import ttypes

# Waiting time past the deadline, so that the reply of the other gateway can
# still arrive, even if it is a refusal at the deadline.
FORWARD_SLACK_S = 0.5


class Forwarder:
    """Forwards requests to other gateways and handles their replies.

    Parameters
    ----------
    components : Components
        State and clients that the classes of the gateway share.
    request_handler : RequestHandler
        Executes the actions of the ledger.
    """

    def __init__(self, components, request_handler):
        self._components = components
        self._request_handler = request_handler

    def send(self, action):
        """Start the task that performs a `dedup.SendForward`."""
        self._request_handler.start_task(
            action.request_id, self._forward, action
        )

    async def _forward(self, action):
        request = self._request_handler.requests[action.request_id]
        request.tries += 1
        now = anyio.current_time()
        remaining_s = max(0.0, request.deadline - now)
        message = ttypes.Forward(
            request_id=request.request_id,
            service_name=request.service,
            path=request.path,
            request_class=request.request_class,
            team=request.team,
            idempotent=request.idempotent,
            deadline_ms=int(remaining_s * 1000),
            body=request.body,
            headers=request.headers,
            origin=self._components.ledger.process,
            number=action.number,
            permit=_messages.permit_to_message(action.permit),
        )
        self._components.metrics.count("citrondeal.requests.forwarded")
        # A non-idempotent attempt may end after the deadline. Its outcome is
        # still awaited, because the ledger needs it for resubmissions.
        timeout_s = remaining_s + FORWARD_SLACK_S
        if not request.idempotent:
            timeout_s += request.attempt_timeout_s
        vm = self._components.directory.get(action.gateway)
        reply, sent = None, False
        if vm is not None:
            try:
                reply = await self._components.links.call(
                    vm.peer, message, timeout_s
                )
            except peers.PeerError as exc:
                sent = exc.maybe_sent
        self._forward_ended(request, action, reply, sent)

    def _forward_ended(self, request, action, reply, sent):
        now = anyio.current_time()
        if request.ended.is_set() and request.idempotent:
            refused = not isinstance(reply, ttypes.Reply)
            key = (request.request_id, action.number)
            self._components.table.forward_finished(key, refused=refused)
            self._components.queues.finished(
                request.key, now, succeeded=not refused
            )
            return
        refused = not isinstance(reply, ttypes.Reply)
        self._components.table.forward_finished(
            (request.request_id, action.number), refused=refused
        )
        retry = (
            request.tries < _components.MAX_TRIES and now < request.deadline
        )
        if not refused:
            answer = _messages.reply_from_message(reply)
            self._components.queues.finished(request.key, now)
            self._request_handler.perform(
                self._components.ledger.forward_answered(
                    request.request_id,
                    action.number,
                    answer,
                    len(answer.body) + _components.HEADER_OVERHEAD_BYTES,
                    now,
                )
            )
            return
        if isinstance(reply, ttypes.Fault):
            failure = _messages.failure_from_message(reply)
            if failure.run is not errors.Run.NOT_RUN:
                retry = retry and self._request_handler.acquire_retry(
                    request, now
                )
            actions = self._components.ledger.forward_refused(
                request.request_id, action.number, failure, now, retry
            )
        else:
            retry = retry and (
                not sent or self._request_handler.acquire_retry(request, now)
            )
            actions = self._components.ledger.forward_failed(
                request.request_id, action.number, sent, now, retry
            )
        self._request_handler.finish_dispatch(request, actions, now)

    def forward_one(self, service, request_class, wait_s, now):
        """Forward the next request of a class if a peer can run it sooner.

        Parameters
        ----------
        service, request_class : str
            Queue to take the request from.
        wait_s : float
            Expected wait at this gateway in seconds.
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
            Whether a request left the queue, so that the next one may be
            tried.
        """
        peer = self._components.table.choose_peer(
            service, request_class, wait_s, now
        )
        if peer is None:
            return False
        free = self._components.table.free_slots(service, now)
        take_result = self._components.queues.take(
            service, free, now, request_class
        )
        self._request_handler.refuse_expired(take_result, now)
        if take_result.request is None:
            return False
        request = take_result.request.payload
        vm = self._components.directory.get(peer.process)
        incarnation = (
            self._components.links.incarnation_of(vm.peer) if vm else ""
        )
        actions = self._components.ledger.forward(
            request.request_id, peer.process, incarnation, now
        )
        for action in actions:
            if isinstance(action, dedup.SendForward):
                key = (request.request_id, action.number)
                self._components.table.forward_started(
                    key, peer.process, service, request_class, now
                )
        self._request_handler.perform(actions)
        if any(isinstance(a, dedup.SendForward) for a in actions):
            return True
        if request.ended.is_set():
            self._components.queues.finished(request.key, now, succeeded=False)
            return True
        # The ledger does not forward a request while its intent for a local
        # dispatch is in progress.
        self._request_handler.apply_admission(
            request, self._components.queues.requeue(request.key, now), now
        )
        return False
