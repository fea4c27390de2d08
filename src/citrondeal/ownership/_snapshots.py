"""Snapshot records of a group in the stream that two roles share."""

from citrondeal import replay


def record(role, covers, state):
    """Return the snapshot record to append.

    Parameters
    ----------
    role : str
        Role of the group.
    covers : int
        `replay.Follower.snapshot_due`.
    state : dict
        `LeaseGroup.snapshot` at the same time.
    """
    return {
        "kind": "snapshot",
        "role": role,
        "covers": covers,
        "state": state,
    }


def reader(role):
    """Return the `snapshot_of` function of a follower for one role.

    Snapshots of other roles are ordinary records to it, and `LeaseGroup`
    ignores them.
    """

    def snapshot_of(payload):
        found = replay.snapshot_of(payload)
        if found is None or payload.get("role") != role:
            return None
        return found

    return snapshot_of
