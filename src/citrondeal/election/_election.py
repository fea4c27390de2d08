"""Decides when a process claims the ownership of the cell.

A false suspicion costs little, because workers reject the orders of an
earlier epoch, so the time until a silent owner is suspected is short.
"""

import dataclasses
import math

# An owner that has not answered a probe, or whose own contact to the store
# is older than this, is suspected.
SUSPECT_S = 0.9
# Another process that heard the owner within this time defers a claim.
WITNESS_S = 0.6
DEFER_S = 0.4
# A claim waits this many round trips to the store, so that the processes
# near the store claim first.
DELAY_ROUND_TRIPS = 15
# Added for the strongest machine, and more for weaker ones: a weak owner
# slows down the whole cell.
DELAY_STRENGTH_S = 0.15
DELAY_SPREAD_S = 0.1
RELEASED_SHARE = 0.3  # of the delay, once the owner is known to be gone


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """The newest claim of the ownership in the log.

    Attributes
    ----------
    epoch : int
    holder : str
        Name of the process; empty once it has released the ownership.
    incarnation : str
        Start of the process that claimed.
    address : str
        Where the holder answers its peers.
    """

    epoch: int
    holder: str
    incarnation: str
    address: str


def claim_delay_s(round_trip_s, weakness, spread):
    """Return how long a process waits before it claims.

    Parameters
    ----------
    round_trip_s : float
        Of a call to the store.
    weakness : float
        Processor of the strongest known machine, divided by that of this
        one.
    spread : float
        Number from 0 to 1 that tells equal machines apart.
    """
    return (
        round_trip_s * DELAY_ROUND_TRIPS
        + DELAY_STRENGTH_S * weakness
        + DELAY_SPREAD_S * spread
    )


class Election:
    """State of one process.

    Parameters
    ----------
    name, incarnation : str
        This process and its start.
    delay_s : float
        See `claim_delay_s`.
    now : float
        Seconds; all methods use the same clock.
    """

    def __init__(self, name, incarnation, delay_s=math.inf, now=0.0):
        self._name = name
        self._incarnation = incarnation
        self._delay = delay_s
        self._claim = None
        self._heard_at = -math.inf
        self._gone = False
        self._due_at = now + delay_s

    @property
    def claim(self):
        """The newest `Claim`, or None."""
        return self._claim

    @property
    def epoch(self):
        """Epoch of the newest claim; 0 if there is none."""
        return 0 if self._claim is None else self._claim.epoch

    @property
    def is_owner(self):
        """Whether this process is the holder."""
        claim = self._claim
        return (
            claim is not None
            and bool(claim.holder)
            and claim.incarnation == self._incarnation
        )

    @property
    def owner_gone(self):
        """Whether the owner is certain to have given up or restarted."""
        return self._gone

    def join(self, delay_s, now):
        """Take part in elections from now on."""
        self._delay = delay_s
        self._due_at = now + self._patience_s()

    def _patience_s(self):
        """Return how long to wait for the holder of the newest claim."""
        if self._gone:
            return self._delay * RELEASED_SHARE
        return self._delay + (SUSPECT_S if self._claim else 0.0)

    def set_delay(self, delay_s):
        """Change the delay, also of a claim that is waiting."""
        if math.isfinite(self._delay):
            self._due_at += delay_s - self._delay
            self._delay = delay_s

    def on_store_unreachable(self, now):
        """Note that a claim could not be written now.

        When the store is back, the processes claim in the usual order.
        """
        self._due_at = max(self._due_at, now + self._delay)

    def owner_address(self):
        """Return the address of the owner, or None."""
        if self._claim is None or not self._claim.holder:
            return None
        return self._claim.address

    def owner_age_s(self, now):
        """Return the seconds since this process heard of the owner.

        Infinite if it has not since its start.
        """
        return now - self._heard_at

    def on_claim(self, claim, now, live=True):
        """Note a claim that was read from the log.

        Parameters
        ----------
        claim : Claim
        now : float
        live : bool
            Whether it was written just now. One that is found at a start
            may be old, and does not show that the owner is well.

        Returns
        -------
        bool
            Whether it is newer than the one before.
        """
        if self._claim is not None and claim.epoch < self._claim.epoch:
            return False
        self._claim = claim
        # Released, or claimed by an earlier start of this process.
        self._gone = not self.is_owner and claim.holder in ("", self._name)
        if live:
            self._heard_at = now
        self._due_at = now + self._patience_s()
        return True

    def on_probe(self, epoch, is_owner, store_age_s, now):
        """Note that the owner answered a probe.

        Parameters
        ----------
        epoch : int
        is_owner : bool
            Whether it still considers itself the owner.
        store_age_s : float
            Seconds since it last heard from the store; infinite while its
            calls to the store fail.
        now : float
        """
        if epoch != self.epoch:
            return
        if is_owner and store_age_s > SUSPECT_S:
            if math.isinf(store_age_s):
                self._due_at = min(self._due_at, now + self._delay)
            return
        if not is_owner:
            # It has been started again since it claimed.
            self._gone = True
            soon = now + self._delay * RELEASED_SHARE
            self._due_at = min(self._due_at, soon)
            return
        self._heard_at = now
        self._due_at = now + SUSPECT_S + self._delay

    def on_connection_refused(self, epoch, now):
        """Note that nothing listens at the address of the owner.

        Its process has probably ended. Witnesses are still asked, since a
        fault of the network may look the same.
        """
        if epoch != self.epoch:
            return
        self._heard_at = -math.inf
        self._due_at = min(self._due_at, now + self._delay * RELEASED_SHARE)

    def is_claim_due(self, now):
        """Return whether a claim is due unless a witness objects."""
        return not self.is_owner and now >= self._due_at

    def on_witness_reply(self, epoch, owner_age_s, now):
        """Note what another process knows of the owner.

        Returns
        -------
        bool
            Whether the claim is deferred.
        """
        if epoch < self.epoch or owner_age_s > WITNESS_S:
            return False
        self._due_at = now + DEFER_S
        return True

    def on_claim_failed(self, now):
        """Note that a claim was not written; the next one waits."""
        self._due_at = now + self._delay
