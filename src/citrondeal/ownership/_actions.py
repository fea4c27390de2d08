"""Actions that a `LeaseGroup` returns for its caller to carry out."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class AppendRecord:
    """Append `record` to the stream ``members-<zone>``.

    The append may take effect late, or not at all.  The caller must not
    retry it: the group sends what is still needed in a later record.
    """

    record: dict


@dataclasses.dataclass(frozen=True, slots=True)
class RequestPromise:
    """Request a promise from `process`, which listens on `address`.

    The promise lasts `ttl_s` seconds and covers `epochs`, a map of resource
    names to epochs.  `sent_at` (monotonic seconds) is to be passed to
    `LeaseGroup.on_promise_reply` with the reply.
    """

    process: str
    address: str
    epochs: dict
    ttl_s: float
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Drain:
    """Release `resource` for `preferred_holder` once its work is done."""

    resource: str
    preferred_holder: str


@dataclasses.dataclass(frozen=True, slots=True)
class Gained:
    """This process became a valid holder of `resource`."""

    resource: str
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class Lost:
    """This process stopped being a valid holder of `resource`."""

    resource: str
    epoch: int
