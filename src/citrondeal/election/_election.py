"""Decides when a process claims the ownership of the cell.

A false suspicion costs little, because workers reject the orders of an
earlier epoch. Therefore a silent owner is suspected after a short time.
"""

import dataclasses
import math

# An owner is suspected when it has not answered a probe, or has not heard from
# the store, for this long.
SUSPECT_S = 0.9
# Owners that follow each other within this time may be too busy with the
# recovery of the state to answer. From the second such change on, the time
# until a suspicion doubles with each.
QUICK_CHANGE_S = 8.0
MAX_PATIENCE_FACTOR = 4
# Another process (a witness) that heard from the owner within this time
# defers a claim by DEFER_S.
WITNESS_S = 0.6
DEFER_S = 0.4
# A claim waits this many round trips to the store, so that processes near
# the store claim first.
DELAY_ROUND_TRIPS = 15
BASE_DELAY_S = 0.15
# Added on a machine for each multiple of its CPU capacity that the strongest
# one has more, because a weak owner slows down the whole cell.
DELAY_PER_CPU_RATIO_S = 0.15
DELAY_TIE_BREAK_S = 0.1
# Share of the delay that is left once the owner is known to be gone. What a
# weak machine adds is not reduced: the processes learn of it up to the period
# of their probes apart, and a strong one has to claim first nevertheless.
OWNER_GONE_DELAY_SHARE = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """One claim of the ownership in the log.

    Attributes
    ----------
    epoch : int
    holder : str
        Name of the process; empty once it has released the ownership.
    incarnation : str
        Id of the start of the process that claimed; a restart changes it.
    address : str
        Where the holder answers its peers; empty with `holder`.
    """

    epoch: int
    holder: str
    incarnation: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimDelay:
    """How long a process waits before it claims.

    Attributes
    ----------
    base_s : float
        What each process waits.
    weakness_s : float
        What a weak machine waits in addition.
    """

    base_s: float
    weakness_s: float = 0.0

    @property
    def suspected_s(self):
        """Seconds to wait for an owner that is only suspected."""
        return self.base_s + self.weakness_s

    @property
    def owner_gone_s(self):
        """Seconds to wait once the owner is known to be gone."""
        return self.base_s * OWNER_GONE_DELAY_SHARE + self.weakness_s


# Of a process that does not take part in elections yet.
NO_CLAIM = ClaimDelay(math.inf)


def claim_delay(round_trip_s, cpu_ratio, tie_break):
    """Return how long a process waits before it claims.

    Parameters
    ----------
    round_trip_s : float
        Of a call to the store.
    cpu_ratio : float
        CPU capacity of the strongest known machine divided by that of this
        one.
    tie_break : float
        Number from 0 to 1 that gives equal machines different delays.

    Returns
    -------
    ClaimDelay
    """
    return ClaimDelay(
        round_trip_s * DELAY_ROUND_TRIPS
        + BASE_DELAY_S
        + DELAY_TIE_BREAK_S * tie_break,
        DELAY_PER_CPU_RATIO_S * (cpu_ratio - 1.0),
    )


class Election:
    """What one process knows of the ownership, and when it claims it.

    Parameters
    ----------
    name : str
        Name of this process.
    incarnation : str
        Id of its start; a restarted process has another one.
    delay : ClaimDelay
        Infinite until the process takes part.
    now : float
        Seconds; all methods use the same clock.
    """

    def __init__(self, name, incarnation, delay=NO_CLAIM, now=0.0):
        self._name = name
        self._incarnation = incarnation
        self._delay = delay
        self._claim = None
        self._owner_heard_at = -math.inf
        self._owner_gone = False
        self._quick_changes = 0
        self._changed_at = -math.inf
        self._claim_due_at = now + delay.suspected_s

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
        """Whether the newest claim is of this process and not released."""
        claim = self._claim
        return (
            claim is not None
            and bool(claim.holder)
            and claim.incarnation == self._incarnation
        )

    @property
    def owner_gone(self):
        """Whether the owner has certainly released the cell or restarted."""
        return self._owner_gone

    def join(self, delay, now):
        """Take part in elections from now on."""
        self._delay = delay
        self._claim_due_at = now + self._claim_wait_s()

    def _claim_wait_s(self):
        """Return how long to wait for the holder of the newest claim."""
        if self._owner_gone:
            return self._delay.owner_gone_s
        return self._delay.suspected_s + (
            self._suspect_s() if self._claim else 0.0
        )

    def _suspect_s(self):
        """Return after which time a silent owner is suspected."""
        doublings = max(0, self._quick_changes - 1)
        factor = min(2**doublings, MAX_PATIENCE_FACTOR)
        return SUSPECT_S * factor

    def set_delay(self, delay):
        """Change the delay, also that of a claim that already waits."""
        if self._delay is not NO_CLAIM:
            self._claim_due_at += delay.suspected_s - self._delay.suspected_s
            self._delay = delay

    def on_store_unreachable(self, now):
        """Postpone the claim, because the store cannot be reached.

        The full delay starts again with each call, so that processes claim
        in the usual order when the store is back.
        """
        self._claim_due_at = max(
            self._claim_due_at, now + self._delay.suspected_s
        )

    def owner_address(self):
        """Return the address of the owner, or None if there is no owner."""
        if self._claim is None or not self._claim.holder:
            return None
        return self._claim.address

    def owner_age_s(self, now):
        """Return the seconds since this process last heard from the owner.

        Infinite if it has not heard from it since its start, or since the
        address of the owner refused a connection.
        """
        return now - self._owner_heard_at

    def on_claim(self, claim, now, live=True):
        """Record a claim that was read from the log.

        Parameters
        ----------
        claim : Claim
        now : float
        live : bool
            Whether it was written just now. A claim that is found when
            this process starts may be old and does not show that the owner
            is alive.

        Returns
        -------
        bool
            False if it changes nothing: its epoch is older than that of the
            known claim, or it is the known claim, read again.
        """
        known = self._claim
        if known is not None and claim.epoch < known.epoch:
            return False
        if claim == known:
            # Delivered again when the newest records are read anew. It must
            # not start an owner with an epoch that is in use, and is no sign
            # that the owner is alive.
            return False
        self._claim = claim
        # Released, or claimed by an earlier incarnation of this process.
        self._owner_gone = not self.is_owner and claim.holder in (
            "",
            self._name,
        )
        if live:
            self._owner_heard_at = now
            self._count_quick_change(claim, now)
        self._claim_due_at = now + self._claim_wait_s()
        return True

    def _count_quick_change(self, claim, now):
        if not claim.holder:
            return  # a release is no sign of an owner that is too busy
        quick = now - self._changed_at < QUICK_CHANGE_S
        self._quick_changes = self._quick_changes + 1 if quick else 0
        self._changed_at = now

    def on_probe(self, epoch, is_owner, store_age_s, now):
        """Record the owner's answer to a probe.

        Parameters
        ----------
        epoch : int
            Epoch whose owner was asked. The answer counts only if this is
            still the newest one.
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
                self._claim_due_at = min(
                    self._claim_due_at, now + self._delay.suspected_s
                )
            return
        if not is_owner:
            # The process has restarted since it claimed.
            self._owner_gone = True
            soon = now + self._delay.owner_gone_s
            self._claim_due_at = min(self._claim_due_at, soon)
            return
        self._owner_heard_at = now
        self._claim_due_at = now + self._suspect_s() + self._delay.suspected_s

    def on_connection_refused(self, epoch, now):
        """Record that nothing listens at the address of the owner.

        Its process has probably ended. Witnesses are still asked, because a
        network fault may look the same.
        """
        if epoch != self.epoch:
            return
        self._owner_heard_at = -math.inf
        self._claim_due_at = min(
            self._claim_due_at, now + self._delay.owner_gone_s
        )

    def is_claim_due(self, now):
        """Return whether to claim now, unless a witness defers it."""
        return not self.is_owner and now >= self._claim_due_at

    def on_witness_reply(self, epoch, owner_age_s, now):
        """Record when another process last heard from the owner.

        Parameters
        ----------
        epoch : int
            Newest epoch that the other process knows.
        owner_age_s : float
            Seconds since it heard from the owner.
        now : float

        Returns
        -------
        bool
            Whether the claim is deferred.
        """
        if epoch < self.epoch or owner_age_s > WITNESS_S:
            return False
        self._claim_due_at = now + DEFER_S
        return True

    def on_claim_failed(self, now):
        """Wait the full delay again, because a claim was not written."""
        self._claim_due_at = now + self._delay.suspected_s
