"""State of a group's leases, computed from its heartbeats in log order."""

import dataclasses

from citrondeal.ownership import _records

# Incarnations whose last sequence number is kept to detect duplicates.
# Once it is dropped, a late append of an incarnation that holds nothing can
# only make it look alive for a short time.
INCARNATION_LIMIT = 256
# Released resources that are kept.  Without a limit the table would grow, as
# the names of endpoints change over months.
RELEASED_LIMIT = 1024


@dataclasses.dataclass(slots=True)
class Lease:
    """State of one resource.

    `offset` is that of the last claim, renewal or release.
    `early_claimants` maps the names of the processes that may claim after
    the lease TTL, instead of the outage limit, to their addresses.  `age_s`
    is set by a release if an earlier holder did not release: the seconds
    since the latest time at which that holder can have been valid.
    """

    epoch: int
    holder: str
    incarnation: str
    held: bool
    offset: int
    early_claimants: dict
    age_s: float | None = None


@dataclasses.dataclass(slots=True)
class HeartbeatChanges:
    """Changes that one heartbeat record made.

    `renewed`, `released` and `refused` (claims) are lists of resources;
    `claimed` maps resources to their earlier `Lease` or None.
    """

    heartbeat: _records.Heartbeat
    renewed: list
    claimed: dict
    released: list
    refused: list


class LeaseTable:
    """Incarnations and leases of one group, as the log defines them.

    Parameters
    ----------
    role : str
        Records of other roles are ignored.
    released_limit : int
        Number of released resources that are kept.  It must be the same on
        every replica.
    """

    def __init__(self, role, released_limit=RELEASED_LIMIT):
        self._role = role
        self._released_limit = released_limit
        # Highest epoch of a resource that was dropped.  Unknown resources
        # start above it, so that no epoch of a resource is used twice.
        self.max_forgotten_epoch = 0
        self._released_count = 0
        self.leases = {}
        # (process, incarnation) -> (last seq, address, offset).
        self.incarnations = {}
        self.position = 0
        self.malformed = 0

    def apply(self, offset, record):
        """Apply one record.

        Parameters
        ----------
        offset : int
            Offset of the record; offsets already applied are ignored.
        record : object
            Payload of the record, of any type.

        Returns
        -------
        HeartbeatChanges or None
            None if the record is no new heartbeat of this role.
        """
        if offset < self.position:
            return None
        self.position = offset + 1
        if type(record) is dict and record.get("kind") == "snapshot":
            return None
        heartbeat = _records.parse(record)
        if heartbeat is None:
            self.malformed += 1
            return None
        if heartbeat.role != self._role or not self._is_new(offset, heartbeat):
            return None
        changes = HeartbeatChanges(heartbeat, [], {}, [], [])
        if heartbeat.relay_of is not None:
            self._renew(offset, heartbeat, heartbeat.relay_of, changes)
            return changes
        self._renew(offset, heartbeat, heartbeat.process, changes)
        for resource, (epoch, age_s) in heartbeat.releases.items():
            if self._is_releasable(resource, epoch, heartbeat):
                lease = self.leases[resource]
                lease.held = False
                lease.offset = offset
                lease.early_claimants = {}
                lease.age_s = age_s
                changes.released.append(resource)
                self._released_count += 1
        for resource, (epoch, expected_offset) in heartbeat.claims.items():
            if not self._is_claimable(resource, epoch, expected_offset):
                changes.refused.append(resource)
                continue
            previous = self.leases.get(resource)
            if previous is not None and not previous.held:
                self._released_count -= 1
            self.leases[resource] = Lease(
                epoch,
                heartbeat.process,
                heartbeat.incarnation,
                True,
                offset,
                _early_claimants(heartbeat),
            )
            changes.claimed[resource] = previous
        if self._released_count > self._released_limit:
            self._forget_released()
        return changes

    def state(self):
        """Return the JSON-ready state for a snapshot.

        The map of early claimants that leases share is stored once.
        """
        claimant_indices = {}
        leases = {}
        for name, lease in self.leases.items():
            key = tuple(sorted(lease.early_claimants.items()))
            leases[name] = [
                lease.epoch,
                lease.holder,
                lease.incarnation,
                lease.held,
                lease.offset,
                claimant_indices.setdefault(key, len(claimant_indices)),
                lease.age_s,
            ]
        return {
            "position": self.position,
            "floor": self.max_forgotten_epoch,
            "leases": leases,
            "heirs": [dict(key) for key in claimant_indices],
            "incarnations": [
                [*key, *value] for key, value in self.incarnations.items()
            ],
        }

    def load(self, state):
        """Replace the state by that of a snapshot; None is the empty state.

        Raises
        ------
        ValueError
            If the state is malformed; the table is unchanged.
        """
        if state is None:
            self.leases, self.incarnations, self.position = {}, {}, 0
            self.max_forgotten_epoch = self._released_count = 0
            return
        try:
            early_claimants = [dict(row) for row in state["heirs"]]
            leases = {
                name: _parse_lease(row, early_claimants)
                for name, row in state["leases"].items()
            }
            incarnations = {
                (process, incarnation): (int(seq), address, int(offset))
                for process, incarnation, seq, address, offset in state[
                    "incarnations"
                ]
            }
            position = int(state["position"])
            max_forgotten_epoch = int(state["floor"])
        except (KeyError, TypeError, IndexError, AttributeError) as exc:
            raise ValueError(
                f"malformed snapshot of the leases of role {self._role!r}: "
                f"{exc!r}"
            ) from exc
        self.leases = leases
        self.incarnations = incarnations
        self.position = position
        self.max_forgotten_epoch = max_forgotten_epoch
        self._released_count = sum(not lease.held for lease in leases.values())

    def _is_new(self, offset, heartbeat):
        # An append can take effect after later ones, and more than once.
        # Heartbeats without a higher sequence number are ignored, so that
        # the last renewal in the log is never older than one that its
        # sender has read back.
        key = (heartbeat.process, heartbeat.incarnation)
        known = self.incarnations.get(key)
        if known is not None and heartbeat.seq <= known[0]:
            return False
        self.incarnations[key] = (heartbeat.seq, heartbeat.address, offset)
        if len(self.incarnations) > INCARNATION_LIMIT:
            self._forget_oldest_incarnation()
        return True

    def _forget_oldest_incarnation(self):
        holding = {
            (lease.holder, lease.incarnation)
            for lease in self.leases.values()
            if lease.held
        }
        idle = [key for key in self.incarnations if key not in holding]
        if idle:
            oldest = min(idle, key=lambda key: self.incarnations[key][2])
            del self.incarnations[oldest]

    def _forget_released(self):
        # Leases with an age are kept: it bounds the end of the validity of
        # an earlier holder.
        released = [
            (lease.offset, resource)
            for resource, lease in self.leases.items()
            if not lease.held and lease.age_s is None
        ]
        for _, resource in sorted(released)[
            : self._released_count - self._released_limit
        ]:
            self.max_forgotten_epoch = max(
                self.max_forgotten_epoch, self.leases[resource].epoch
            )
            del self.leases[resource]
            self._released_count -= 1

    def _renew(self, offset, heartbeat, holder, changes):
        is_relayed = heartbeat.relay_of is not None
        incarnation = (
            heartbeat.relay_incarnation
            if is_relayed
            else heartbeat.incarnation
        )
        early_claimants = None
        for resource, epoch in heartbeat.holds.items():
            lease = self.leases.get(resource)
            if (
                lease is None
                or not lease.held
                or lease.epoch != epoch
                or lease.holder != holder
                or lease.incarnation != incarnation
            ):
                continue
            lease.offset = offset
            if not is_relayed:
                early_claimants = early_claimants or _early_claimants(
                    heartbeat
                )
                lease.early_claimants = early_claimants
            changes.renewed.append(resource)

    def _is_releasable(self, resource, epoch, heartbeat):
        lease = self.leases.get(resource)
        return (
            lease is not None
            and lease.held
            and lease.epoch == epoch
            and lease.holder == heartbeat.process
            and lease.incarnation == heartbeat.incarnation
        )

    def _is_claimable(self, resource, epoch, expected_offset):
        lease = self.leases.get(resource)
        if lease is None:
            return (
                epoch == self.max_forgotten_epoch + 1 and expected_offset == -1
            )
        return epoch == lease.epoch + 1 and expected_offset == lease.offset


def _early_claimants(heartbeat):
    return {**heartbeat.members, heartbeat.process: heartbeat.address}


def _parse_lease(row, early_claimants):
    epoch, holder, incarnation, held, offset, index, age_s = row
    age_s = None if age_s is None else float(age_s)
    return Lease(
        int(epoch),
        str(holder),
        str(incarnation),
        bool(held),
        int(offset),
        early_claimants[index],
        age_s,
    )
