"""Messages to other gateways about request ids."""

import anyio

from citrondeal.gateway import _messages
from citrondeal import peers
from citrondeal.peers.gen.peers import ttypes

# A gateway in the other region answers within 41 ms, so a longer silence
# means a fault.
INTENT_TIMEOUT = 0.5  # seconds
CLAIM_TIMEOUT = 1.0  # seconds


class Consultation:
    """Sends intents and claims, and hands the replies to the ledger.

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

    def send_intent(self, action):
        self._flow.start(action.request_id, self._intent, action)

    async def _intent(self, action):
        message = ttypes.Intent(
            action.request_id, _messages.permit_out(action.permit)
        )
        reply = await self._call(action.gateway, message, INTENT_TIMEOUT)
        now = anyio.current_time()
        if isinstance(reply, ttypes.IntentReply):
            actions = self._cores.ledger.intent_reply(
                action.request_id,
                action.number,
                _messages.intent_reply_in(reply),
                now,
            )
        else:
            actions = self._cores.ledger.intent_failed(
                action.request_id, action.number, now
            )
        self._flow.perform(actions)

    def send_claims(self, action):
        for gateway in action.gateways:
            self._flow.start(
                action.request_id,
                self._claim,
                action.request_id,
                gateway,
                action.claim,
            )

    async def _claim(self, request_id, gateway, claim):
        message = _messages.claim_out(request_id, claim)
        reply = await self._call(gateway, message, CLAIM_TIMEOUT)
        now = anyio.current_time()
        if isinstance(reply, ttypes.ClaimReply):
            actions = self._cores.ledger.claim_reply(
                request_id,
                claim.number,
                gateway,
                _messages.claim_reply_in(reply),
                now,
            )
        else:
            actions = self._cores.ledger.claim_failed(
                request_id, claim.number, gateway, now
            )
        self._flow.perform(actions)

    async def _call(self, gateway, message, timeout_s):
        """Return the reply of a gateway, or None."""
        vm = self._cores.directory.get(gateway)
        if vm is None:
            return None
        try:
            return await self._cores.links.call(vm.peer, message, timeout_s)
        except peers.PeerError:
            return None
