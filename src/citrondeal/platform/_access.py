"""Decides whether a client's call may be served, and for which account."""

import dataclasses

from citrondeal import errors

# Advice to a client whose call this member must not decide. Another member,
# which its next attempt may reach, can probably decide it.
RETRY_AFTER_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class AccessPolicy:
    """How long an unconfirmed configuration may decide calls.

    Attributes
    ----------
    apply_s : float
        Seconds after which a stored configuration has to be in force. A
        configuration that is unconfirmed for longer proves neither that a
        key is invalid nor that a route does not exist.
    strict_revoke : bool
        Whether an unconfirmed configuration does not prove that a key is
        valid either.
    revoke_s : float
        Seconds after which this applies.
    """

    apply_s: float = 4.0
    strict_revoke: bool = False
    revoke_s: float = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Access:
    """A call that may be served.

    Attributes
    ----------
    queue : Queue
    account : str
        Client account of the caller; empty if it needs none.
    """

    queue: object
    account: str


def decide(policy, catalog, age_s, host, path, key):
    """Return the `Access` of a call, or the `errors.Failure` that refuses it.

    ``docs/design/client-accounts.md`` has the table of all cases.

    Parameters
    ----------
    policy : AccessPolicy
    catalog : Catalog or None
        Configuration in force; None before the first one.
    age_s : float
        Seconds since `catalog` was known to be the newest configuration.
    host, path : str
    key : str
        Key that the call carries; empty if there is none.
    """
    if catalog is None:
        return _unavailable("no configuration has been read yet")
    queue = catalog.find(host, path)
    may_be_outdated = age_s > policy.apply_s
    if queue is None:
        if may_be_outdated:
            return _unavailable(
                "the configuration may be outdated and has no such route"
            )
        return errors.Failure(
            errors.Kind.UNKNOWN_SERVICE,
            f"no queue for host {host!r} and path {path!r} in version"
            f" {catalog.version} of the configuration",
        )
    account = catalog.authenticate(key)
    if queue.public or not catalog.accounts:
        return Access(queue, account or "")
    if policy.strict_revoke and age_s > policy.revoke_s:
        return _unavailable(
            "the configuration may be outdated, and keys may have been revoked"
        )
    if account is not None:
        return Access(queue, account)
    if may_be_outdated:
        return _unavailable(
            "the configuration may be outdated and does not have the key"
        )
    return errors.Failure(
        errors.Kind.UNAUTHORIZED, "the call has no key of a client account"
    )


def _unavailable(message):
    return errors.Failure(errors.Kind.UNAVAILABLE, message, RETRY_AFTER_S)
