"""Snapshot records of a group, in a stream that several roles share."""

from citrondeal import replay


def record(role, covers, state):
    """Return the snapshot record to append.

    Parameters
    ----------
    role : str
        Role of the group.
    covers : int
        Offset of the last record in `state`, as returned by
        `replay.Follower.snapshot_due`.
    state : dict
        Result of `LeaseGroup.snapshot` at the same time.
    """
    return {
        "kind": "snapshot",
        "role": role,
        "covers": covers,
        "state": state,
    }


def reader(role):
    """Return the `snapshot_of` argument of a `replay.Follower` for `role`.

    The follower takes snapshots of other roles for ordinary records, which
    `LeaseGroup` ignores.
    """

    def snapshot_of(payload):
        snapshot = replay.snapshot_of(payload)
        if snapshot is None or payload.get("role") != role:
            return None
        return snapshot

    return snapshot_of
