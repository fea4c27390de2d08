"""When to ask for the release of a resource to a better-placed member."""

import dataclasses

# Longest wait between two `Drain` actions for one resource and one member,
# as a multiple of `rebalance_after_s`.
_MAX_WAIT_PERIODS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class _Request:
    """Last request: its member, the time of the next one, the next wait."""

    member: str
    not_before: float
    wait_s: float


class DrainRequests:
    """Requests to release resources for better-placed members.

    Parameters
    ----------
    period_s : float
        Seconds until a request for the same member is repeated the first
        time.
    settle_s : float
        Seconds for which a member has to be live before the first request,
        if these are more than `period_s`.
    """

    def __init__(self, period_s, settle_s):
        self._period_s = period_s
        self._live_s = max(period_s, settle_s)
        self._requests = {}  # by resource

    def forget_unknown(self, resources):
        """Keep only the requests for `resources`."""
        self._requests = {
            k: v for k, v in self._requests.items() if k in resources
        }

    def take_due(self, resource, member, live_since, now):
        """Return whether a request is due; if so, it counts as made.

        Parameters
        ----------
        resource, member : str
        live_since : float
            Time since which the member has been continuously live.
        now : float
        """
        last = self._requests.get(resource)
        if last is None or last.member != member:
            last = _Request(member, live_since + self._live_s, self._period_s)
        if now < last.not_before:
            return False
        # The preferred member may not want the resource, or not claim it in
        # time, so the wait is doubled after each request.
        self._requests[resource] = _Request(
            member,
            now + last.wait_s,
            min(2 * last.wait_s, _MAX_WAIT_PERIODS * self._period_s),
        )
        return True
