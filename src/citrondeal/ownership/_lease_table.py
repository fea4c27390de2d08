"""Fold of the heartbeat records of one group, in log order."""

import dataclasses

from citrondeal.ownership import _records

# Incarnations remembered for duplicate detection.  Forgetting one that
# holds nothing can only make an old process look alive for a short time.
INCARNATION_LIMIT = 256
# Released resources remembered; names of endpoints change over months.
FREE_LIMIT = 1024


@dataclasses.dataclass(slots=True)
class Lease:
    """State of one resource.

    `offset` is that of the last claim, renewal or release.  `heirs` maps
    the names of the processes that may claim after the short wait to their
    addresses.  `age_s` is the time that the releasing holder knew to have
    passed since the end of an earlier holder that did not release.
    """

    epoch: int
    holder: str
    incarnation: str
    held: bool
    offset: int
    heirs: dict
    age_s: float | None = None


@dataclasses.dataclass(slots=True)
class Outcome:
    """What one heartbeat record changed."""

    beat: _records.Heartbeat
    renewed: list
    claimed: dict
    released: list
    refused: list


class LeaseTable:
    """Members and leases as the log defines them.

    Parameters
    ----------
    role : str
        Records of other roles are ignored.
    free_limit : int
        Released resources that are remembered; the same on every replica.
    """

    def __init__(self, role, free_limit=FREE_LIMIT):
        self._role = role
        self._free_limit = free_limit
        # Highest epoch of a forgotten resource.  Unknown resources start
        # above it, so that no epoch of a resource is used twice.
        self.floor = 0
        self._free = 0
        self.leases = {}
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
            Content of the record, of any form.

        Returns
        -------
        Outcome or None
            None if the record changes nothing.
        """
        if offset < self.position:
            return None
        self.position = offset + 1
        if type(record) is dict and record.get("kind") == "snapshot":
            return None
        beat = _records.parse(record)
        if beat is None:
            self.malformed += 1
            return None
        if beat.role != self._role or not self._is_new(offset, beat):
            return None
        outcome = Outcome(beat, [], {}, [], [])
        if beat.relay_of is not None:
            self._renew(offset, beat, beat.relay_of, outcome)
            return outcome
        self._renew(offset, beat, beat.process, outcome)
        for resource, (epoch, age_s) in beat.releases.items():
            if self._is_releasable(resource, epoch, beat):
                lease = self.leases[resource]
                lease.held = False
                lease.offset = offset
                lease.heirs = {}
                lease.age_s = age_s
                outcome.released.append(resource)
                self._free += 1
        for resource, (epoch, seen) in beat.claims.items():
            if not self._is_claimable(resource, epoch, seen):
                outcome.refused.append(resource)
                continue
            before = self.leases.get(resource)
            if before is not None and not before.held:
                self._free -= 1
            self.leases[resource] = Lease(
                epoch,
                beat.process,
                beat.incarnation,
                True,
                offset,
                _heirs(beat),
            )
            outcome.claimed[resource] = before
        if self._free > self._free_limit:
            self._forget_free()
        return outcome

    def state(self):
        """Return the JSON-ready state for a snapshot.

        Leases of one holder share one map of heirs, which is stored once.
        """
        table = {}
        leases = {}
        for name, lease in self.leases.items():
            key = tuple(sorted(lease.heirs.items()))
            leases[name] = [
                lease.epoch,
                lease.holder,
                lease.incarnation,
                lease.held,
                lease.offset,
                table.setdefault(key, len(table)),
                lease.age_s,
            ]
        return {
            "position": self.position,
            "floor": self.floor,
            "leases": leases,
            "heirs": [dict(key) for key in table],
            "incarnations": [
                [*key, *value] for key, value in self.incarnations.items()
            ],
        }

    def load(self, state):
        """Replace the state by that of a snapshot; None is the empty state.

        Raises
        ------
        ValueError
            If the state is malformed; the fold is unchanged.
        """
        if state is None:
            self.leases, self.incarnations, self.position = {}, {}, 0
            self.floor = self._free = 0
            return
        try:
            heirs = [dict(row) for row in state["heirs"]]
            leases = {
                name: _lease(row, heirs)
                for name, row in state["leases"].items()
            }
            incarnations = {
                (process, incarnation): (int(seq), address, int(offset))
                for process, incarnation, seq, address, offset in state[
                    "incarnations"
                ]
            }
            position = int(state["position"])
            floor = int(state["floor"])
        except (KeyError, TypeError, IndexError, AttributeError) as exc:
            raise ValueError(f"malformed snapshot: {exc!r}") from exc
        self.leases = leases
        self.incarnations = incarnations
        self.position = position
        self.floor = floor
        self._free = sum(not lease.held for lease in leases.values())

    def _is_new(self, offset, beat):
        # An append can take effect after later ones, and more than once.
        # Only increasing sequence numbers count, so that the last renewal
        # in the log is never older than the last one read back.
        key = (beat.process, beat.incarnation)
        known = self.incarnations.get(key)
        if known is not None and beat.seq <= known[0]:
            return False
        self.incarnations[key] = (beat.seq, beat.address, offset)
        if len(self.incarnations) > INCARNATION_LIMIT:
            self._forget()
        return True

    def _forget(self):
        holding = {
            (lease.holder, lease.incarnation)
            for lease in self.leases.values()
            if lease.held
        }
        idle = [key for key in self.incarnations if key not in holding]
        if idle:
            oldest = min(idle, key=lambda key: self.incarnations[key][2])
            del self.incarnations[oldest]

    def _forget_free(self):
        # An entry with an age still bounds the end of an earlier holder.
        free = [
            (lease.offset, resource)
            for resource, lease in self.leases.items()
            if not lease.held and lease.age_s is None
        ]
        for _, resource in sorted(free)[: self._free - self._free_limit]:
            self.floor = max(self.floor, self.leases[resource].epoch)
            del self.leases[resource]
            self._free -= 1

    def _renew(self, offset, beat, holder, outcome):
        relayed = beat.relay_of is not None
        incarnation = beat.relay_incarnation if relayed else beat.incarnation
        heirs = None
        for resource, epoch in beat.holds.items():
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
            if not relayed:
                heirs = heirs or _heirs(beat)
                lease.heirs = heirs
            outcome.renewed.append(resource)

    def _is_releasable(self, resource, epoch, beat):
        lease = self.leases.get(resource)
        return (
            lease is not None
            and lease.held
            and lease.epoch == epoch
            and lease.holder == beat.process
            and lease.incarnation == beat.incarnation
        )

    def _is_claimable(self, resource, epoch, seen):
        lease = self.leases.get(resource)
        if lease is None:
            return epoch == self.floor + 1 and seen == -1
        return epoch == lease.epoch + 1 and seen == lease.offset


def _heirs(beat):
    return {**beat.members, beat.process: beat.address}


def _lease(row, heirs):
    epoch, holder, incarnation, held, offset, index, age_s = row
    age_s = None if age_s is None else float(age_s)
    return Lease(
        int(epoch),
        str(holder),
        str(incarnation),
        bool(held),
        int(offset),
        heirs[index],
        age_s,
    )
