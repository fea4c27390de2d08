"""A replica of one log stream: following, and appending snapshots."""

import logging

import anyio

from citrondeal import replay
from citrondeal.runtime import _streams
from citrondeal import telemetry

_LOG = logging.getLogger(__name__)


def _record_of(covers, state):
    return {"kind": "snapshot", "covers": covers, "state": state}


class Replica:
    """Connects a `replay.Follower` to the log service.

    Parameters
    ----------
    log : citrondeal.logservice.LogClient
        Client of the log service.
    stream : str
        Name of the stream.
    apply : callable
        ``apply(offset, payload)`` applies one record.
    load : callable
        ``load(state)`` replaces the state by that of a snapshot and tells
        whether the state was valid.
    snapshot : callable
        Returns the JSON-ready state.
    task_group : anyio.abc.TaskGroup
        Runs the appends of snapshots.
    wait_s, pause_s : float
        Long-poll time of a read and pause between reads, in seconds.
    snapshot_of, record_of : callable, optional
        Reader and writer of snapshot records, for a stream in which
        replicas of several kinds keep their snapshots.
    """

    def __init__(
        self,
        log,
        stream,
        apply,
        load,
        snapshot,
        task_group,
        wait_s=_streams.LONG_POLL_S,
        pause_s=0.0,
        snapshot_of=replay.snapshot_of,
        record_of=_record_of,
    ):
        self._log = log
        self._stream = stream
        self._snapshot = snapshot
        self._task_group = task_group
        self._record_of = record_of
        self._wait = wait_s
        self._pause = pause_s
        self._follower = replay.Follower(apply, load, snapshot_of=snapshot_of)

    @property
    def follower(self):
        """The core, for queries."""
        return self._follower

    async def run(self, after_batch, after_failure):
        """Follow the stream until cancelled.

        Parameters
        ----------
        after_batch : callable
            ``after_batch(follower, sent_at)`` after each read.
        after_failure : callable
            ``after_failure(now)`` after each failed read.
        """

        def on_batch(batch, sent_at):
            now = anyio.current_time()
            self._follower.on_batch(
                batch.first, batch.next, batch.records, now
            )
            after_batch(self._follower, sent_at)
            covers = self._follower.snapshot_due(now)
            if covers is not None:
                self._append_snapshot(covers)

        def on_failed(now):
            self._follower.on_read_failed(now)
            after_failure(now)

        await _streams.follow(
            self._log,
            self._stream,
            lambda: self._follower.position,
            on_batch,
            on_failed,
            self._wait,
            self._pause,
        )

    def _append_snapshot(self, covers):
        record = self._record_of(covers, self._snapshot())
        telemetry.event(
            _LOG,
            logging.INFO,
            "appending a snapshot",
            stream=self._stream,
            covers=covers,
        )
        self._task_group.start_soon(self._log.append, self._stream, record)
