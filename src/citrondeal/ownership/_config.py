"""Times of the lease protocol."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Config:
    """Times of the lease protocol in seconds.

    `drift` is the largest allowed ratio between the rates of two processes'
    clocks.  All waits for another process are multiplied by it.

    Raises
    ------
    ValueError
        If a promise can outlast the wait before a claim.
    """

    lease_ttl_s: float = 4.0
    renew_period_s: float = 1.0
    lease_margin_s: float = 0.5
    promise_ttl_s: float = 4.0
    outage_limit_s: float = 3600.0
    drift: float = 1.05
    claim_stagger_s: float = 0.5
    rebalance_after_s: float = 10.0
    # A resource is not handed over to a member that has been live for less
    # than this, because it can't use the resource well yet.
    settle_s: float = 0.0
    # Promises are requested once the last renewal that was read back was sent
    # this long ago.  One lost renewal is tolerated, and two rounds of requests
    # fit into `lease_ttl_s`.
    request_promises_after_s: float = 1.5
    # The view of the log counts as interrupted if no read reached the end of
    # the log for this long.  Heartbeats make each read return about once a
    # second.
    view_gap_s: float = 2.0
    # Shorter than the wait before a claim, so that a dead holder is no longer
    # ranked once its resources can be claimed.
    member_timeout_s: float = 4.0

    def __post_init__(self):
        wait = self.lease_ttl_s * self.drift + self.lease_margin_s
        if self.promise_ttl_s * self.drift > wait:
            # A restarted process has lost its promises; only the wait keeps
            # it from claiming while one of them lasts.
            raise ValueError(
                f"promise_ttl_s {self.promise_ttl_s} s times drift "
                f"{self.drift} exceeds the wait of {wait} s before a claim"
            )
