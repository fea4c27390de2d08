"""Followers of log streams, with snapshots, retention and gaps.

A `Follower` holds the position of one replica in one stream.
"""

from citrondeal.replay import _follower

__all__ = ["Follower", "Snapshot", "SnapshotPolicy", "snapshot_of"]

Follower = _follower.Follower
Snapshot = _follower.Snapshot
SnapshotPolicy = _follower.SnapshotPolicy
snapshot_of = _follower.snapshot_of
