"""What client accounts use, may use and wait for, for operators."""

import dataclasses

from citrondeal.workflow import _model

# The dump and the metrics name no more accounts than this.
MAX_ACCOUNTS = 50


@dataclasses.dataclass(frozen=True, slots=True)
class AccountUse:
    """Use of the workers by one client account.

    Attributes
    ----------
    account : str
        Name; empty for jobs without an account.
    runs : int
    used, cap : Size
        Amounts on all workers; 0 in `cap` is no limit.
    over_cap : bool
        Whether it uses more than its cap, which may have fallen.
    over_quota : bool
        Whether it does so by more than the tolerated share.
    waits_for : str
        What steps of it waited for in the last planning pass: ``"cap"``,
        ``"share"``, ``"configuration"``, or nothing if empty.
    shares : dict of str to float
        Largest share that it uses of any resource, by service.
    due : dict of str to float
        The share that it is due, by service with too few workers.
    share_if_all_busy : float
        The share that it would get if all accounts needed more than theirs.
    """

    account: str
    runs: int
    used: _model.Size
    cap: _model.Size
    over_cap: bool
    over_quota: bool
    waits_for: str
    shares: dict[str, float]
    due: dict[str, float]
    share_if_all_busy: float


def report(state):
    """Return the accounts with runs or waiting steps, the largest first.

    Parameters
    ----------
    state : State

    Returns
    -------
    list of AccountUse
        Not more than `MAX_ACCOUNTS`.
    """
    keys = set(state.usage.keys()) | set(state.shares.fair)
    services = {}
    for service, name in keys:
        services.setdefault(name, set()).add(service)
    for name in state.quotas.blocked:
        services.setdefault(name, set())
    names = sorted(
        services, key=lambda name: (-state.usage.of(name).millicores, name)
    )
    weights = sum(a.weight for a in state.quotas.accounts.values())
    return [
        _account_use(state, name, sorted(services[name]), weights)
        for name in names[:MAX_ACCOUNTS]
    ]


def _account_use(state, name, services, weights):
    account = state.quotas.accounts.get(name)
    cap = _model.Size() if account is None else account.cap
    used = state.usage.of(name)
    factor = 1 + state.config.quota_overrun
    due = {
        service: state.shares.fair[service, name]
        for service in services
        if (service, name) in state.shares.fair
    }
    shares = {s: state.shares.used(s, name) for s in services}
    waits_for = state.quotas.blocked.get(name, "")
    if not waits_for and any(shares[s] >= part for s, part in due.items()):
        waits_for = "share"
    return AccountUse(
        name,
        state.usage.run_count(name),
        used,
        cap,
        _exceeds(used, cap, 1.0),
        _exceeds(used, cap, factor),
        waits_for,
        shares,
        due,
        account.weight / weights if account and weights else 0.0,
    )


def _exceeds(used, cap, factor):
    return any(
        limit and amount > factor * limit
        for amount, limit in zip(
            dataclasses.astuple(used), dataclasses.astuple(cap)
        )
    )
