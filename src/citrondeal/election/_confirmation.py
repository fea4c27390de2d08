"""Whether an owner may still act, while it cannot be sure of its epoch.

An owner that reads the store learns of a later claim at once. One that does
not hear from the store may have been replaced, or have been suspended. It goes
on only while members of all other availability zones confirm that they know no
later claim; the next owner of a cell that is cut off from it waits long enough
for the leases that it may have renewed until then.
"""

import math

# A confirmation counts for this long after the question was sent.
CONFIRMATION_S = 2.0
# Members are asked once the store has confirmed nothing for this long.
ASK_MEMBERS_AFTER_S = 1.3
# An owner that answers no probe for `SUSPECT_S` (0.9 s) is replaced, and the
# last probe that it answered may have arrived 0.25 s before it was suspended.
# So a process that did not run for 0.65 s may have been replaced meanwhile;
# 0.15 s are in reserve.
MAX_PAUSE_S = 0.5


class Confirmation:
    """Confirmations of one epoch of an owner.

    Parameters
    ----------
    epoch : int
        Epoch of the owner.
    now : float
        Seconds, when the claim was read from the store.
    """

    def __init__(self, epoch, now):
        self._epoch = epoch
        self._store_confirmed_at = now
        self._zone_confirmed_at = {}
        self._superseded = False
        self._members_confirmed_at = -math.inf
        self._ran_at = now
        self._resumed_at = -math.inf

    @property
    def superseded(self):
        """Whether a later claim is known."""
        return self._superseded

    def on_store_read(self, sent_at):
        """Record that a read sent at `sent_at` showed no later claim."""
        self._store_confirmed_at = max(self._store_confirmed_at, sent_at)

    def on_member_epoch(self, zone, epoch, sent_at):
        """Record the newest epoch that a member of a zone knows.

        Parameters
        ----------
        zone : str
        epoch : int
        sent_at : float
            When the member was asked.
        """
        self.on_epoch(epoch)
        known = self._zone_confirmed_at.get(zone, -math.inf)
        self._zone_confirmed_at[zone] = max(known, sent_at)

    def on_members_asked(self, zones, sent_at):
        """Record that a round of questions, begun at `sent_at`, is over.

        Parameters
        ----------
        zones : set of str
            See `holds`.
        sent_at : float
        """
        if zones and all(
            self._zone_confirmed_at.get(zone, -math.inf) >= sent_at
            for zone in zones
        ):
            self._members_confirmed_at = sent_at

    def on_running(self, now):
        """Record that the process runs; call it often.

        Returns
        -------
        bool
            Whether it had not run for longer than `MAX_PAUSE_S`.
        """
        resumed = now - self._ran_at > MAX_PAUSE_S
        self._ran_at = now
        if resumed:
            self._resumed_at = now
        return resumed

    @property
    def awaits_confirmation(self):
        """Whether nothing was confirmed since the process was suspended."""
        confirmed_at = max(
            self._store_confirmed_at, self._members_confirmed_at
        )
        return confirmed_at < self._resumed_at

    def on_epoch(self, epoch):
        """Record an epoch that a member knows, without a confirmation."""
        if epoch > self._epoch:
            self._superseded = True

    def must_ask_members(self, now):
        """Return whether the store alone does not confirm the epoch."""
        return (
            self.awaits_confirmation
            or now - self._store_confirmed_at > ASK_MEMBERS_AFTER_S
        )

    def may_answer(self, zones, now):
        """Return whether the owner may report states of unfinished jobs.

        A confirmation from before a suspension does not count, because the
        next owner may have shown a later state meanwhile. Starts and renewals
        need no such check: the next owner waits until their time is over.

        Parameters
        ----------
        zones, now
            See `holds`.
        """
        if not self.holds(zones, now):
            return False
        return not zones or not self.awaits_confirmation

    def holds(self, zones, now):
        """Return whether the owner may start tasks and renew leases.

        Parameters
        ----------
        zones : set of str
            Availability zones of the other members. An owner without other
            members goes on.
        now : float
        """
        if self._superseded:
            return False
        if now - self._store_confirmed_at <= CONFIRMATION_S:
            return True
        return all(
            now - self._zone_confirmed_at.get(zone, -math.inf)
            <= CONFIRMATION_S
            for zone in zones
        )
