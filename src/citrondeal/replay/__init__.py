"""Following a log stream: snapshots, retention, gaps."""

from citrondeal.replay import _follower

__all__ = ["Follower", "Snapshot", "SnapshotPolicy", "snapshot_of"]

Follower = _follower.Follower
Snapshot = _follower.Snapshot
SnapshotPolicy = _follower.SnapshotPolicy
snapshot_of = _follower.snapshot_of
