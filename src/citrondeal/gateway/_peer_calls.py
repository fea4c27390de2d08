"""Intents and claims that are sent to other gateways."""

import anyio

from citrondeal.gateway import _messages
from citrondeal import peers
from citrondeal.peers.gen.peers import ttypes

# A gateway in the other region answers within 41 ms, so that a timeout
# indicates a fault.
INTENT_TIMEOUT_S = 0.5
CLAIM_TIMEOUT_S = 1.0


class PeerCalls:
    """Sends intents and claims and passes the replies to the ledger.

    Parameters
    ----------
    components : Components
        State and clients that the classes of the gateway share.
    request_handler : RequestHandler
        Carries out the actions of the ledger.
    """

    def __init__(self, components, request_handler):
        self._components = components
        self._request_handler = request_handler

    def send_intent(self, action):
        """Start the task that sends the intent of a `dedup.SendIntent`."""
        self._request_handler.start_task(
            action.request_id, self._exchange_intent, action
        )

    async def _exchange_intent(self, action):
        message = ttypes.Intent(
            action.request_id, _messages.permit_to_message(action.permit)
        )
        reply = await self._call(action.gateway, message, INTENT_TIMEOUT_S)
        now = anyio.current_time()
        if isinstance(reply, ttypes.IntentReply):
            actions = self._components.ledger.intent_reply(
                action.request_id,
                action.number,
                _messages.intent_reply_from_message(reply),
                now,
            )
        else:
            actions = self._components.ledger.intent_failed(
                action.request_id, action.number, now
            )
        self._request_handler.perform(actions)

    def send_claims(self, action):
        """Start a task for each gateway of a `dedup.SendClaims`."""
        for gateway in action.gateways:
            self._request_handler.start_task(
                action.request_id,
                self._exchange_claim,
                action.request_id,
                gateway,
                action.claim,
            )

    async def _exchange_claim(self, request_id, gateway, claim):
        message = _messages.claim_to_message(request_id, claim)
        reply = await self._call(gateway, message, CLAIM_TIMEOUT_S)
        now = anyio.current_time()
        if isinstance(reply, ttypes.ClaimReply):
            actions = self._components.ledger.claim_reply(
                request_id,
                claim.number,
                gateway,
                _messages.claim_reply_from_message(reply),
                now,
            )
        else:
            actions = self._components.ledger.claim_failed(
                request_id, claim.number, gateway, now
            )
        self._request_handler.perform(actions)

    async def _call(self, gateway, message, timeout_s):
        """Return the reply of a gateway, or None if there is none."""
        vm = self._components.directory.get(gateway)
        if vm is None:
            return None
        try:
            return await self._components.links.call(
                vm.peer, message, timeout_s
            )
        except peers.PeerError:
            return None
