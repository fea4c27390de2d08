"""Conversion of settings tree values to admission and routing settings."""

from citrondeal import admission
from citrondeal import routing


def service_config(values, weights):
    """Return the admission settings of a service.

    Parameters
    ----------
    values : dict
        Effective values of the service's node.
    weights : dict of str to int
        Weights by team name.

    Returns
    -------
    citrondeal.admission.ServiceConfig
    """
    return admission.ServiceConfig(
        share_urgent=values["share.urgent"],
        share_normal=values["share.normal"],
        share_low=values["share.low"],
        reserve=min(values["reserve.slots_share"], 0.9),
        queue_count=values["queue.max_requests"],
        queue_bytes=values["queue.max_bytes"],
        wait_limit_s=values["request.deadline_ms"] / 1000,
        retry_ratio=values["retry.budget"],
        team_weights=weights,
    )


def team_weights(tree):
    """Return the weights of all teams by name, each at least 1."""
    weights = {}
    for path in tree.paths("/teams"):
        values = tree.values(path)
        if values is not None:
            weight = max(1, round(values["weight"]))
            weights[path.removeprefix("/teams/")] = weight
    return weights


def routing_config(values, services):
    """Return the routing settings of a gateway.

    Parameters
    ----------
    values : dict
        Effective values of the root node.
    services : list of dict
        Effective values of each service's node.

    Returns
    -------
    citrondeal.routing.Config
        Its attempt timeout is the longest of all services, since the slot
        of an attempt with unknown outcome stays occupied for that time.
    """
    longest = max(v["request.attempt_timeout_ms"] for v in [values, *services])
    return routing.Config(
        region_price_ms=values["region.price_ms"],
        attempt_timeout_s=longest / 1000,
    )
