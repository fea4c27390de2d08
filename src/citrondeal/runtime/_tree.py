"""Replica of the settings tree in a process, read from stream ``tree``."""

import logging

import anyio

from citrondeal.runtime import _replica
from citrondeal import telemetry
from citrondeal import tree as tree_core

STREAM = "tree"
# A new record ends the long poll at once.  A silent connection is noticed
# 2 s later, within the 5 s after which a change must be in force.
LONG_POLL_S = 2.0

_LOG = logging.getLogger(__name__)


class TreeReplica:
    """Keeps the settings tree of this process up to date from the log.

    Parameters
    ----------
    log : citrondeal.logservice.LogClient
        Client of the log service.
    task_group : anyio.abc.TaskGroup
        Runs the appends of snapshots.
    metrics : citrondeal.telemetry.Metrics
        Counts the records by verdict.
    """

    def __init__(self, log, task_group, metrics):
        self._tree = tree_core.Tree()
        self._metrics = metrics
        self._read_listeners = []
        # The level of the settings file applies until the tree has one that
        # differs from the default.
        self._log_level = self._tree.values("/")["log.level"]
        self._next_read = anyio.Event()
        self._replica = _replica.Replica(
            log,
            STREAM,
            apply=self._apply,
            load=self._load,
            snapshot=lambda: self._tree.snapshot(),
            task_group=task_group,
            wait_s=LONG_POLL_S,
        )

    @property
    def tree(self):
        """Current tree; loading a snapshot replaces the object."""
        return self._tree

    @property
    def loaded(self):
        """Whether the tree has been read to the end of its log."""
        return self._replica.loaded

    def may_deny(self, now):
        """Whether a path that the tree lacks may be answered as unknown.

        Parameters
        ----------
        now : float
            Current `lifecycle.boot_time_s`.
        """
        return self._replica.may_deny(now)

    def add_read_listener(self, function):
        """Call `function()` after each read that leaves no gap in the tree.

        The read may have returned only a part of the records.
        """
        self._read_listeners.append(function)

    async def run(self):
        """Read the stream until cancelled."""
        await self._replica.run(self._after_batch, lambda now: None)

    async def wait_for_next_read(self):
        """Wait until the next successful read of the stream."""
        await self._next_read.wait()

    def dump(self):
        """Return the JSON-ready state of the tree and its replica."""
        return {**self._tree.dump(), "replica": self._replica.follower.dump()}

    def _apply(self, offset, payload):
        outcome = self._tree.apply(offset, payload)
        self._metrics.count(
            "citrondeal.tree.records", verdict=outcome.verdict.value
        )

    def _load(self, state):
        if state is None:
            # A log that was replaced and starts again at offset 0 must not
            # reset the settings; an operator has to append a snapshot to it.
            return self._tree.version == 0
        try:
            loaded = tree_core.Tree.from_snapshot(state)
        except ValueError as exc:
            telemetry.event(
                _LOG,
                logging.WARNING,
                "malformed snapshot of the settings tree",
                reason=str(exc),
            )
            return False
        if loaded.version < self._tree.version:
            # Never return to older settings; later records or a later
            # snapshot will reach this version.
            return False
        self._tree = loaded
        return True

    def _apply_log_level(self):
        level = self._tree.values("/")["log.level"]
        if level != self._log_level:
            self._log_level = level
            logging.getLogger().setLevel(level.upper())

    def _after_batch(self, follower, sent_at):
        finished_read, self._next_read = self._next_read, anyio.Event()
        finished_read.set()
        if follower.complete:
            self._apply_log_level()
            for function in self._read_listeners:
                function()
