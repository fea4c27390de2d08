"""Replica of one log stream: reads records and appends snapshots."""

import logging
import math

import anyio

from citrondeal import replay
from citrondeal.runtime import _streams
from citrondeal import telemetry

# For the calls and for a busy process. A view is renewed later than that only
# if the process was suspended or the log answers slowly.
VIEW_AGE_SLACK_S = 0.5

_LOG = logging.getLogger(__name__)


def _snapshot_record(covers, state):
    return {"kind": "snapshot", "covers": covers, "state": state}


class Replica:
    """Runs a `replay.Follower` against the log service.

    Parameters
    ----------
    log : citrondeal.logservice.LogClient
        Client of the log service.
    stream : str
        Name of the stream.
    apply : callable
        ``apply(offset, payload)`` applies one record.
    load : callable
        ``load(state)`` replaces the state by that of a snapshot, or by the
        empty state if `state` is None.  It returns False, with the state
        unchanged, if it rejects `state`.
    snapshot : callable
        Returns the JSON-ready state.
    task_group : anyio.abc.TaskGroup
        Runs the appends of snapshots.
    wait_s, pause_s : float
        Long-poll time of a read and pause after a read, in seconds.
    snapshot_of, record_of : callable, optional
        Decoder and encoder of snapshot records, for a stream in which
        replicas of several kinds store their snapshots.
    """

    def __init__(
        self,
        log,
        stream,
        apply,
        load,
        snapshot,
        task_group,
        wait_s=_streams.DEFAULT_LONG_POLL_S,
        pause_s=0.0,
        snapshot_of=replay.snapshot_of,
        record_of=_snapshot_record,
    ):
        self._log = log
        self._stream = stream
        self._snapshot = snapshot
        self._task_group = task_group
        self._record_of = record_of
        self._wait_s = wait_s
        self._pause_s = pause_s
        self._follower = replay.Follower(apply, load, snapshot_of=snapshot_of)
        # Without new records, an answer comes one long poll after its
        # request, and the next answer another long poll later.
        self._max_view_age_s = 2 * wait_s + pause_s + VIEW_AGE_SLACK_S
        self._confirmed_at = -math.inf

    @property
    def follower(self):
        """Follower of the stream, for queries."""
        return self._follower

    @property
    def loaded(self):
        """Whether the state is complete and the stream was read to its end.

        Stays true while reads fail, so that known names are served from an
        old view. False after a gap, until the end is read again.
        """
        return self._follower.complete and self._confirmed_at > -math.inf

    def may_deny(self, now):
        """Whether what the state lacks may be answered as unknown.

        The last read must have reached the end of the stream, and its request
        must be recent: an answer may have waited while this process was
        suspended, and others may have appended meanwhile.

        Parameters
        ----------
        now : float
            Current `lifecycle.boot_time_s`.
        """
        return (
            self._follower.complete
            and self._follower.at_tail
            and now - self._confirmed_at <= self._max_view_age_s
        )

    async def run(self, after_batch, after_failure):
        """Read the stream until cancelled.

        Parameters
        ----------
        after_batch : callable
            ``after_batch(follower, sent_at)`` is called after each read that
            succeeded; `sent_at` is the time before the read was sent.
        after_failure : callable
            ``after_failure(now)`` is called after each failed read.  Times
            are monotonic seconds.
        """

        def on_batch(batch, sent_at, sent_at_boot):
            now = anyio.current_time()
            self._follower.on_batch(
                batch.first_offset, batch.next_offset, batch.records, now
            )
            self._confirm(sent_at_boot)
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
            self._wait_s,
            self._pause_s,
        )

    def _confirm(self, sent_at_boot):
        if not self._follower.complete:
            self._confirmed_at = -math.inf
        elif self._follower.at_tail:
            self._confirmed_at = sent_at_boot

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
