"""Client of the service that grants placement tickets.

The platform calls such a grant "advice".
"""

import dataclasses

import msgspec
import result

from citrondeal import errors
from citrondeal import web


class _Advice(msgspec.Struct, rename="kebab"):
    good: list[tuple[str, str]]
    valid_ms: float


_ADVICE_DECODER = msgspec.json.Decoder(_Advice)


@dataclasses.dataclass(frozen=True, slots=True)
class TicketGrant:
    """Tickets by worker, and the seconds for which they are valid."""

    tickets: dict
    valid_s: float


class TicketClient:
    """Client of the ticket service; makes one call at a time.

    Parameters
    ----------
    address : str
        ``host:port``; empty if the deployment has none.
    """

    def __init__(self, address):
        self._client = web.Client(address, 1) if address else None

    async def fetch(self, step, workers, timeout_s):
        """Ask for the workers that may run a step, with their tickets.

        Parameters
        ----------
        step : str
            Wire name of the step.
        workers : list of str
        timeout_s : float

        Returns
        -------
        result.Result
            ``Ok(TicketGrant)``.
        """
        if self._client is None:
            return _failure("no ticket service is configured")
        body = msgspec.json.encode({"step": step, "workers": workers})
        outcome = await self._client.request(
            "POST", "/v1/advise", body, timeout_s
        )
        if outcome.is_err():
            return outcome
        reply = outcome.ok_value
        if reply.status != 200:
            return _failure(f"ticket service answered {reply.status}")
        try:
            advice = _ADVICE_DECODER.decode(reply.body)
        except (
            msgspec.DecodeError,
            RecursionError,
            UnicodeDecodeError,
        ) as exc:
            return _failure(
                f"answer of the ticket service cannot be decoded: {exc}"
            )
        return result.Ok(
            TicketGrant(dict(advice.good), advice.valid_ms / 1000.0)
        )


def _failure(message):
    return result.Err(errors.Failure(errors.Kind.UNAVAILABLE, message))
