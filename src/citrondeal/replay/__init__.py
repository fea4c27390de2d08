"""Following a log stream: snapshots, retention, gaps."""

from citrondeal.replay import _follower

__all__ = ["Config", "Follower", "Snapshot", "snapshot_of"]

Config = _follower.Config
Follower = _follower.Follower
Snapshot = _follower.Snapshot
snapshot_of = _follower.snapshot_of
