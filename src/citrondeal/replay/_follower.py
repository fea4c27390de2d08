"""Position of one replica in one log stream."""

import dataclasses

# A snapshot of a long history of settings is large; more than a few
# candidates are not worth their memory.
_CANDIDATE_LIMIT = 3


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotPolicy:
    """When snapshots are due.

    Parameters
    ----------
    records : int
        Records after the last snapshot that make a new one due.
    period_s : float
        Seconds after the last snapshot at which a new one is due, if any
        record has followed it.
    reserve : float
        Share of the retained records.  A new snapshot is due once fewer
        than this share are older than the position that the last snapshot
        covers, since retention deletes in this order.
    delay_s : float
        Seconds that this replica waits after a snapshot became due; to be
        different between replicas, so that one of them writes it.
    retry_s : float
        Seconds after which a snapshot that was not read back is due again.
    """

    records: int = 10000
    period_s: float = 300.0
    reserve: float = 0.5
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
        raise ValueError("malformed snapshot")
    return Snapshot(covers, payload["state"])


class Follower:
    """Follows one stream and applies each record exactly once, in order.

    A replica is *complete* once its state includes every record below
    `position`.  It starts from offset 0 if that is retained.  Otherwise,
    and after retention has passed its position, it reads to the end of the
    stream, loads the snapshot with the highest `covers` whose successors
    are all retained, and reads on from there.

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
        When snapshots are due.
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
        self._applied = 0
        self._has_state = False
        self._is_seeking = False
        self._at_tail = False
        # (offset, snapshot), and offsets of those that `load` rejected.
        self._candidates = []
        self._rejected = set()
        self._first = 0
        self._next = 0
        # Last snapshot in the stream: what it covers, and its own offset.
        self._covers = None
        self._covered_at = None
        self._due_since = None
        self._asked_at = None
        self._failed_at = None
        self._counts = {"gaps": 0, "malformed": 0, "holes": 0, "loads": 0}

    @classmethod
    def from_config(cls, config, *, apply, load, snapshot_of=snapshot_of):
        """Return a follower with the settings of `config`."""
        return cls(apply, load, config, snapshot_of)

    @property
    def position(self):
        """Offset from which the next read should start."""
        return self._position

    @property
    def complete(self):
        """Whether the state includes every record below `position`."""
        return self._has_state and not self._is_seeking

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
        """Whether the whole stream was read and allows no complete state.

        A replica that holds the state has to append a snapshot; if none is
        left, an operator has to.
        """
        return self._is_seeking and self._at_tail

    def on_batch(self, first, next, records, now):
        """Take the answer to one read from `position`.

        Parameters
        ----------
        first : int
            First offset that the stream retains.
        next : int
            Offset that the next append will get.
        records : list of (int, object)
            Offsets and payloads.
        now : float
            Monotonic seconds.

        Returns
        -------
        list of (int, object)
            The records applied by this call, in order.
        """
        self._failed_at = None
        self._first = first
        self._next = next
        applied = []
        self._start(first)
        self._note_gap(first, next)
        for offset, payload in records:
            if offset < self._position:
                continue
            if offset > self._position:
                # Retained offsets are contiguous; read again from here.
                self._counts["holes"] += 1
                break
            self._position = offset + 1
            if self._note_snapshot(offset, payload, now):
                continue
            if not self._is_seeking:
                applied.append((offset, payload))
                self._apply(offset, payload)
        self._applied += len(applied)
        self._at_tail = self._position >= next
        if self._is_seeking and self._at_tail:
            self._choose(first)
        return applied

    def on_read_failed(self, now):
        """Note that a read failed; the position is unchanged."""
        self._failed_at = now

    def snapshot_due(self, now):
        """Return the `covers` of a snapshot to append now, or None.

        The caller appends a record that contains its state as it is at
        this call.  The answer is given once; it is repeated after
        `retry_s` if no newer snapshot is read back.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        int or None
            Offset of the last record in the state.
        """
        if not self.complete or not self.at_tail or not self._is_due(now):
            self._due_since = None
            return None
        if self._due_since is None:
            self._due_since = now
        if now - self._due_since < self._config.delay_s:
            return None
        if self._asked_at is not None and (
            now - self._asked_at < self._config.retry_s
        ):
            return None
        self._asked_at = now
        return self._position - 1

    def dump(self):
        """Return a JSON-ready state, bounded in size."""
        return {
            "position": self._position,
            "first": self._first,
            "next": self._next,
            "complete": self.complete,
            "at_tail": self.at_tail,
            "lost": self.is_unrecoverable,
            "snapshot_covers": self._covers,
            "applied": self._applied,
            **self._counts,
        }

    def _start(self, first):
        if self._has_state or self._is_seeking:
            return
        if first == 0:
            self._has_state = True
        else:
            self._is_seeking = True

    def _note_gap(self, first, next):
        if first <= self._position <= next:
            return
        # Beyond the end means that the stream was replaced, which is a
        # fault of the log service; the state no longer belongs to it.
        if self._has_state and not self._is_seeking:
            self._counts["gaps"] += 1
        self._is_seeking = True
        self._position = first
        self._covers = None
        self._covered_at = None
        self._candidates = [
            found
            for found in self._candidates
            if first <= found[1].covers + 1 <= next
        ]
        self._rejected = {at for at in self._rejected if first <= at < next}

    def _note_snapshot(self, offset, payload, now):
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
        if self._covers is None or snapshot.covers >= self._covers:
            self._covers = snapshot.covers
            self._covered_at = (offset, now)
            self._asked_at = None
            self._due_since = None
        if self._is_seeking and offset not in self._rejected:
            self._candidates.append((offset, snapshot))
            self._candidates.sort(key=lambda found: -found[1].covers)
            del self._candidates[_CANDIDATE_LIMIT:]
        return True

    def _choose(self, first):
        if first == 0:
            # A stream that was replaced is still retained as a whole.
            self._candidates.append((-1, Snapshot(-1, None)))
        candidates, self._candidates = self._candidates, []
        for offset, snapshot in candidates:
            if snapshot.covers + 1 < first:
                continue
            if self._load(snapshot.state) is False:
                self._counts["malformed"] += 1
                self._rejected.add(offset)
                # Others may have been left out for this one: read again.
                self._position = first
                continue
            self._counts["loads"] += 1
            self._has_state = True
            self._is_seeking = False
            self._position = snapshot.covers + 1
            break
        self._at_tail = self._position >= self._next

    def _is_due(self, now):
        if self._position == 0:
            return False
        covers, (offset, read_at) = self._covers, self._covered_at or (0, 0.0)
        if covers is None:
            # Without a snapshot a new replica needs offset 0.
            covers = -1
            offset = 0
            if self._first > 0:
                return True
        if covers + 1 < self._first or offset < self._first:
            return True
        behind = self._position - covers - 1
        if self._covered_at is not None and offset >= covers + 1:
            behind -= 1
        if behind <= 0:
            return False
        if behind >= self._config.records:
            return True
        if self._covered_at is not None and (
            now - read_at >= self._config.period_s
        ):
            return True
        retained = self._next - self._first
        return self._first > 0 and (
            covers + 1 - self._first < self._config.reserve * retained
        )
