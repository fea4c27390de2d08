"""Position of one replica in one log stream, and choice of snapshots.

The state is that of the replica that owns the `Follower`.
"""

import dataclasses

# Snapshots kept while the stream is read to its end.  A snapshot of a long
# history of settings is large, so more are not worth their memory.
_CANDIDATE_LIMIT = 3


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotPolicy:
    """Rules for when a snapshot is due.

    Parameters
    ----------
    record_limit : int
        Number of records that the last snapshot doesn't cover at which a new
        one is due.
    period_s : float
        Seconds after the last snapshot was read at which a new one is due,
        if any record has followed it.
    min_covered_share : float
        Share of the retained records.  A new snapshot is due once the last
        one covers less than this share, since retention deletes the oldest
        records first and must not delete records that no snapshot covers.
    delay_s : float
        Seconds that this replica waits after a snapshot became due.  It
        should differ between replicas, so that only one of them writes it.
    retry_s : float
        Seconds after which a snapshot that was not read back is due again.
    """

    record_limit: int = 10000
    period_s: float = 300.0
    min_covered_share: float = 0.5
    delay_s: float = 0.0
    retry_s: float = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Content of one snapshot record.

    `covers` is the offset of the last record that `state` includes; -1 if
    it includes none.
    """

    covers: int
    state: object


def snapshot_of(payload):
    """Return the snapshot in a record, or None.

    Raises
    ------
    ValueError
        If the record is a malformed snapshot.
    """
    if type(payload) is not dict or payload.get("kind") != "snapshot":
        return None
    covers = payload.get("covers")
    if type(covers) is not int or covers < -1 or "state" not in payload:
        raise ValueError(
            "malformed snapshot: `covers` must be an offset or -1, and "
            "`state` must be present"
        )
    return Snapshot(covers, payload["state"])


class Follower:
    """Follows one stream and applies each record exactly once, in order.

    A replica is *complete* once its state includes every record below
    `position`.  It starts from offset 0 if that is retained.  Otherwise,
    and after records at its position were deleted, it reads to the end of
    the stream, loads the snapshot with the highest `covers` of which all
    later records are retained, and reads on from there.

    Parameters
    ----------
    apply : callable
        ``apply(offset, payload)`` applies one record.  It is called for
        malformed records too and must not raise for them.
    load : callable
        ``load(state)`` replaces the state of the replica by that of a
        snapshot, or by the empty state if `state` is None.  It returns
        False, with the state unchanged, if `state` is malformed.
    config : SnapshotPolicy, optional
        Rules for when a snapshot is due.
    snapshot_of : callable, optional
        ``snapshot_of(payload)`` returns a `Snapshot`, or None for any other
        record, and raises ValueError for a malformed snapshot.
    """

    def __init__(self, apply, load, config=None, snapshot_of=snapshot_of):
        self._apply = apply
        self._load = load
        self._config = config or SnapshotPolicy()
        self._snapshot_of = snapshot_of
        self._position = 0
        self._applied_count = 0
        self._has_state = False
        self._is_seeking_snapshot = False
        self._at_tail = False
        # (offset, snapshot) pairs to choose from, and the offsets of the
        # snapshots that `load` rejected.
        self._candidates = []
        self._rejected_offsets = set()
        self._first_retained = 0
        self._next_offset = 0
        # Snapshot with the highest `covers` that was read: its `covers`, and
        # its own offset with the time at which it was read.
        self._snapshot_covers = None
        self._snapshot_read_at = None
        self._due_since = None
        self._due_reported_at = None
        self._failed_at = None
        self._counts = {"gaps": 0, "malformed": 0, "holes": 0, "loads": 0}

    @classmethod
    def from_config(cls, config, *, apply, load, snapshot_of=snapshot_of):
        """Return a follower with the snapshot rules in `config`."""
        return cls(apply, load, config, snapshot_of)

    @property
    def position(self):
        """Offset from which the next read should start."""
        return self._position

    @property
    def complete(self):
        """Whether the state includes every record below `position`."""
        return self._has_state and not self._is_seeking_snapshot

    @property
    def is_from_start(self):
        """Whether every record from offset 0 on was applied one by one."""
        return self.complete and not self._counts["loads"]

    @property
    def at_tail(self):
        """Whether the last read reached the end of the stream."""
        return self._at_tail and self._failed_at is None

    @property
    def is_unrecoverable(self):
        """Whether the whole stream was read without a complete state.

        A replica that has the state must append a snapshot.  If there is
        none, an operator must.
        """
        return self._is_seeking_snapshot and self._at_tail

    def on_batch(self, first, next, records, now):
        """Process the result of a read from `position`.

        Parameters
        ----------
        first : int
            First offset that the stream retains.
        next : int
            Offset that the next append will get.
        records : list of (int, object)
            Offsets and payloads of the records.
        now : float
            Monotonic seconds.

        Returns
        -------
        list of (int, object)
            Records applied by this call, in order.
        """
        self._failed_at = None
        self._first_retained = first
        self._next_offset = next
        applied = []
        self._start_if_new(first)
        self._check_gap(first, next)
        for offset, payload in records:
            if offset < self._position:
                continue
            if offset > self._position:
                # Retained offsets are contiguous, so records are missing from
                # this result: read again from the position.
                self._counts["holes"] += 1
                break
            self._position = offset + 1
            if self._read_snapshot(offset, payload, now):
                continue
            if not self._is_seeking_snapshot:
                applied.append((offset, payload))
                self._apply(offset, payload)
        self._applied_count += len(applied)
        self._at_tail = self._position >= next
        if self._is_seeking_snapshot and self._at_tail:
            self._load_candidate(first)
        return applied

    def on_read_failed(self, now):
        """Process a failed read; the position is unchanged."""
        self._failed_at = now

    def snapshot_due(self, now):
        """Return the `covers` of a snapshot to append now, or None.

        The caller appends a record with its state at the time of this call.
        The offset is returned once, and again after `retry_s` if no newer
        snapshot was read back.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        int or None
            Offset of the last record that the state includes.
        """
        if not self.complete or not self.at_tail or not self._is_due(now):
            self._due_since = None
            return None
        if self._due_since is None:
            self._due_since = now
        if now - self._due_since < self._config.delay_s:
            return None
        if self._due_reported_at is not None and (
            now - self._due_reported_at < self._config.retry_s
        ):
            return None
        self._due_reported_at = now
        return self._position - 1

    def dump(self):
        """Return a JSON-ready state, bounded in size."""
        return {
            "position": self._position,
            "first": self._first_retained,
            "next": self._next_offset,
            "complete": self.complete,
            "at_tail": self.at_tail,
            "lost": self.is_unrecoverable,
            "snapshot_covers": self._snapshot_covers,
            "applied": self._applied_count,
            **self._counts,
        }

    def _start_if_new(self, first):
        if self._has_state or self._is_seeking_snapshot:
            return
        if first == 0:
            self._has_state = True
        else:
            self._is_seeking_snapshot = True

    def _check_gap(self, first, next):
        if first <= self._position <= next:
            return
        # A position beyond the end means that the stream was replaced, which
        # is a fault of the log service.  The state does not belong to the
        # new stream.
        if self._has_state and not self._is_seeking_snapshot:
            self._counts["gaps"] += 1
        self._is_seeking_snapshot = True
        self._position = first
        self._snapshot_covers = None
        self._snapshot_read_at = None
        self._candidates = [
            candidate
            for candidate in self._candidates
            if first <= candidate[1].covers + 1 <= next
        ]
        self._rejected_offsets = {
            at for at in self._rejected_offsets if first <= at < next
        }

    def _read_snapshot(self, offset, payload, now):
        try:
            snapshot = self._snapshot_of(payload)
        except ValueError:
            self._counts["malformed"] += 1
            return True
        if snapshot is None:
            return False
        if snapshot.covers >= offset:
            self._counts["malformed"] += 1
            return True
        if (
            self._snapshot_covers is None
            or snapshot.covers >= self._snapshot_covers
        ):
            self._snapshot_covers = snapshot.covers
            self._snapshot_read_at = (offset, now)
            self._due_reported_at = None
            self._due_since = None
        if self._is_seeking_snapshot and offset not in self._rejected_offsets:
            self._candidates.append((offset, snapshot))
            self._candidates.sort(key=lambda candidate: -candidate[1].covers)
            del self._candidates[_CANDIDATE_LIMIT:]
        return True

    def _load_candidate(self, first):
        if first == 0:
            # Records from offset 0 on are retained, as after a replacement
            # of the stream, so the empty state is a candidate too.
            self._candidates.append((-1, Snapshot(-1, None)))
        candidates, self._candidates = self._candidates, []
        for offset, snapshot in candidates:
            if snapshot.covers + 1 < first:
                continue
            if self._load(snapshot.state) is False:
                self._counts["malformed"] += 1
                self._rejected_offsets.add(offset)
                # Others may have been left out of the candidates in favour
                # of this one, so the stream is read again.
                self._position = first
                continue
            self._counts["loads"] += 1
            self._has_state = True
            self._is_seeking_snapshot = False
            self._position = snapshot.covers + 1
            break
        self._at_tail = self._position >= self._next_offset

    def _is_due(self, now):
        if self._position == 0:
            return False
        covers, (offset, read_at) = (
            self._snapshot_covers,
            self._snapshot_read_at or (0, 0.0),
        )
        if covers is None:
            # Without a snapshot a new replica must start from offset 0.
            covers = -1
            offset = 0
            if self._first_retained > 0:
                return True
        if covers + 1 < self._first_retained or offset < self._first_retained:
            return True
        uncovered = self._position - covers - 1
        if self._snapshot_read_at is not None and offset >= covers + 1:
            uncovered -= 1
        if uncovered <= 0:
            return False
        if uncovered >= self._config.record_limit:
            return True
        if self._snapshot_read_at is not None and (
            now - read_at >= self._config.period_s
        ):
            return True
        retained = self._next_offset - self._first_retained
        return self._first_retained > 0 and (
            covers + 1 - self._first_retained
            < self._config.min_covered_share * retained
        )
