"""Actions that a group asks its shell to carry out."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class AppendRecord:
    """Append `record` to the stream ``members-<zone>``.

    A record may be appended late, or not at all.  It must not be sent
    again by the shell: the group repeats what is still needed.
    """

    record: dict


@dataclasses.dataclass(frozen=True, slots=True)
class RequestPromise:
    """Ask the process bound to `address` for a promise.

    `sent_at` (monotonic seconds) is returned with the reply.
    """

    process: str
    address: str
    epochs: dict
    ttl_s: float
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """Release `resource` when its work allows; `better` should hold it."""

    resource: str
    better: str


@dataclasses.dataclass(frozen=True, slots=True)
class Gained:
    """This process is now a valid holder of `resource`."""

    resource: str
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """This process is no longer a valid holder of `resource`."""

    resource: str
    epoch: int
