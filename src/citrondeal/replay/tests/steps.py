"""Steps for following a log stream."""

import random

from behave import then

from citrondeal import replay
from citrondeal.replay import _follower


class _Stream:
    """Stream with retention that keeps its whole history for checks."""

    def __init__(self):
        self.first = 0
        self.history = []

    @property
    def next(self):
        return len(self.history)

    def append(self, payload):
        self.history.append(payload)

    def read(self, start, limit):
        start = max(start, self.first)
        records = self.history[start : start + limit]
        return [(start + i, payload) for i, payload in enumerate(records)]

    def state(self, end):
        """Return the plain fold: payloads below `end` but for snapshots."""
        return [
            payload
            for payload in self.history[:end]
            if type(payload) is not dict or payload.get("kind") != "snapshot"
        ]

    def snapshot(self, covers):
        state = self.state(covers + 1)
        return {"kind": "snapshot", "covers": covers, "state": state}


class _Replica:
    """Replica whose state is the list of the applied payloads."""

    def __init__(self, follower_class=replay.Follower, config=None):
        self.state = []
        self.follower = follower_class(
            lambda offset, payload: self.state.append(payload),
            self.load,
            config,
        )

    def load(self, state):
        if state is not None and type(state) is not list:
            return False
        self.state = list(state or [])
        return True

    def read(self, stream, limit=1000, now=0.0):
        records = stream.read(self.follower.position, limit)
        first, next = stream.first, stream.next
        self.follower.on_batch(first, next, records, now)
        return self.follower.complete

    def check(self, stream):
        if self.follower.complete:
            expected = stream.state(self.follower.position)
            assert self.state == expected, (
                f"state {self.state} differs from the plain fold {expected}"
            )


_UNUSUAL_PAYLOADS = (
    {"kind": "snapshot"},
    {"kind": "snapshot", "covers": 10**6, "state": []},
    {"kind": "snapshot", "covers": -2, "state": []},
    {"kind": "snapshot", "covers": True, "state": []},
    None,
    "x",
)


def _random_history(seed, follower_class):
    """Run two replicas through one history and check them.

    Returns how often a replica was complete after an event.
    """
    rng = random.Random(seed)
    stream = _Stream()
    replicas = [_Replica(follower_class), _Replica(follower_class)]
    delayed_snapshots = []
    complete = 0
    for _ in range(60):
        event = rng.random()
        if event < 0.35:
            for _ in range(rng.randint(1, 6)):
                stream.append(rng.choice([stream.next, {"n": stream.next}]))
        elif event < 0.45 and stream.next:
            delayed_snapshots.append(
                stream.snapshot(rng.randrange(-1, stream.next))
            )
        elif event < 0.55 and delayed_snapshots:
            stream.append(
                delayed_snapshots.pop(rng.randrange(len(delayed_snapshots)))
            )
        elif event < 0.6:
            stream.append(rng.choice(_UNUSUAL_PAYLOADS))
        elif event < 0.63:
            covers = stream.next - 1
            stream.append({"kind": "snapshot", "covers": covers, "state": 1})
        elif event < 0.7:
            kept = rng.choice([0, 2, 5, 10])
            stream.first = max(stream.first, stream.next - kept)
        elif event < 0.73:
            replicas[rng.randrange(2)] = _Replica(follower_class)
        elif event < 0.76:
            _read_with_fault(rng.choice(replicas), stream, rng)
        else:
            replica = rng.choice(replicas)
            replica.read(stream, rng.choice([1, 3, 1000]))
        for replica in replicas:
            replica.check(stream)
            complete += replica.follower.complete
    _check_complete(stream, replicas)
    return complete


def _read_with_fault(replica, stream, rng):
    """Pass records again to a replica, or leave one of them out."""
    position = replica.follower.position
    if position < stream.first:
        return
    records = stream.read(max(stream.first, position - 2), 20)
    if rng.random() < 0.5 and len(records) > 3:
        del records[rng.randrange(1, 3)]
    replica.follower.on_batch(stream.first, stream.next, records, 0.0)


def _check_complete(stream, replicas):
    """Check that replicas are complete if a snapshot or offset 0 is left."""
    usable = stream.first == 0 or any(
        payload["covers"] + 1 >= stream.first
        for offset, payload in enumerate(stream.history)
        if offset >= stream.first
        and type(payload) is dict
        and type(payload.get("state")) is list
        and -1 <= payload["covers"] < offset
        and payload["covers"] is not True
    )
    for replica in (*replicas, _Replica()):
        for _ in range(30):
            replica.read(stream)
        replica.check(stream)
        if usable:
            assert replica.follower.complete, (
                f"incomplete at position {replica.follower.position}, "
                "although a snapshot or offset 0 is retained"
            )
            assert replica.follower.position == stream.next


def _run_histories(count, follower_class=replay.Follower):
    return sum(_random_history(seed, follower_class) for seed in range(count))


@then("replay {count:d} random histories equal the plain fold")
def histories_equal(context, count):
    complete = _run_histories(count)
    # Only complete replicas are checked.  Of the 120 checks in a history (60
    # events, two replicas) about 43 find a complete replica.
    assert complete > 40 * count, complete


class _GapIgnored(replay.Follower):
    def _check_gap(self, first, next):
        self._position = max(self._position, first)


class _SuccessorsNotKept(replay.Follower):
    def _load_candidate(self, first):
        super()._load_candidate(-1)
        self._position = max(self._position, first)


class _SuccessorSkipped(replay.Follower):
    def _load_candidate(self, first):
        loads = self._counts["loads"]
        super()._load_candidate(first)
        self._position += self._counts["loads"] - loads


class _CoveredRecordApplied(replay.Follower):
    def _load_candidate(self, first):
        loads = self._counts["loads"]
        super()._load_candidate(first)
        if self._counts["loads"] > loads and self._position > first:
            self._position -= 1


class _CompleteLoadsSnapshots(replay.Follower):
    def _read_snapshot(self, offset, payload, now):
        is_snapshot = super()._read_snapshot(offset, payload, now)
        if (
            is_snapshot
            and not self._is_seeking_snapshot
            and "state" in payload
        ):
            self._load(payload["state"])
        return is_snapshot


class _RepeatedRecordsApplied(replay.Follower):
    def on_batch(self, first, next, records, now):
        if records and first <= records[0][0] < self._position:
            self._position = records[0][0]
        return super().on_batch(first, next, records, now)


class _HoleSkipped(replay.Follower):
    def on_batch(self, first, next, records, now):
        applied = []
        for record in records:
            if record[0] > self._position >= first:
                self._position = record[0]
            applied += super().on_batch(first, next, [record], now)
        return applied or super().on_batch(first, next, [], now)


class _MalformedAccepted(replay.Follower):
    def __init__(self, apply, load, config):
        def accept(state):
            load(state)

        super().__init__(apply, accept, config)


class _NeverDue(replay.Follower):
    def _is_due(self, now):
        return False


_MUTATIONS = {
    "gap ignored": _GapIgnored,
    "successors of snapshot not kept": _SuccessorsNotKept,
    "record after snapshot left out": _SuccessorSkipped,
    "record of snapshot applied again": _CoveredRecordApplied,
    "running replica loads snapshots": _CompleteLoadsSnapshots,
    "repeated records applied again": _RepeatedRecordsApplied,
    "hole skipped": _HoleSkipped,
    "malformed state accepted": _MalformedAccepted,
    "never due": _NeverDue,
}


@then('replay random histories find the mutation "{name}"')
def histories_find(context, name):
    try:
        _run_histories(60, _MUTATIONS[name])
    except AssertionError:
        return
    raise AssertionError(f"no history fails with the mutation {name!r}")


def _run_retention(follower_class):
    """Run one replica while only the last 40 records are retained.

    Returns how many new replicas could not start, and how many snapshots
    were written.
    """
    stream = _Stream()
    config = replay.SnapshotPolicy(
        record_limit=10**6, period_s=10.0**6, min_covered_share=0.5
    )
    writer = _Replica(follower_class, config)
    failed = 0
    for now in range(300):
        stream.append(now)
        stream.first = max(stream.first, stream.next - 40)
        writer.read(stream, now=float(now))
        covers = writer.follower.snapshot_due(float(now))
        if covers is not None:
            assert covers == stream.next - 1
            stream.append(stream.snapshot(covers))
        if now % 10 == 0:
            new_replica = _Replica()
            for _ in range(3):
                new_replica.read(stream)
            new_replica.check(stream)
            failed += not new_replica.follower.complete
    snapshots = [p for p in stream.history if type(p) is dict]
    return failed, len(snapshots)


@then("replay new replicas can start at any time while one replica runs")
def new_replicas_start(context):
    failed, snapshots = _run_retention(replay.Follower)
    assert failed == 0
    # About one for each 20 records, half of those that are retained.
    assert 10 <= snapshots <= 30, snapshots


@then('replay the mutation "{name}" leaves new replicas without state')
def new_replicas_fail(context, name):
    failed, _ = _run_retention(_MUTATIONS[name])
    assert failed > 0


@then("replay a snapshot is due at once and a new replica starts from it")
def all_records_deleted(context):
    stream = _Stream()
    running = _Replica()
    for number in range(5):
        stream.append(number)
    running.read(stream)
    stream.first = stream.next
    running.read(stream, now=1.0)
    running.check(stream)
    assert running.follower.complete
    assert running.follower.snapshot_due(1.0) == 4
    stream.append({"kind": "snapshot", "covers": 4, "state": running.state})
    stream.append(5)
    new_replica = _Replica()
    for _ in range(2):
        new_replica.read(stream)
    assert new_replica.state == [0, 1, 2, 3, 4, 5]
    assert new_replica.follower.complete


@then("replay a replica without state reports that the stream is lost")
def lost_stream(context):
    stream = _Stream()
    stream.append(0)
    stream.append(1)
    stream.first = 1
    replica = _Replica()
    replica.read(stream)
    assert replica.follower.is_unrecoverable and not replica.follower.complete
    assert replica.follower.snapshot_due(100.0) is None
    # It starts once a replica that has the state appends a snapshot.
    stream.append(stream.snapshot(1))
    for _ in range(2):
        replica.read(stream)
    assert replica.follower.complete and not replica.follower.is_unrecoverable


@then("replay a due snapshot waits, is given once and again after the retry")
def due_once(context):
    stream = _Stream()
    config = replay.SnapshotPolicy(record_limit=3, delay_s=2.0, retry_s=5.0)
    replica = _Replica(config=config)
    for number in range(3):
        stream.append(number)
    replica.read(stream)
    times = (0.0, 1.0, 2.0, 3.0, 6.9, 7.0)
    due = [replica.follower.snapshot_due(now) for now in times]
    assert due == [None, None, 2, None, None, 2], due
    stream.append(stream.snapshot(2))
    replica.read(stream, now=8.0)
    assert replica.follower.snapshot_due(20.0) is None


@then("replay no snapshot is due without new records or after a failed read")
def not_due(context):
    stream = _Stream()
    replica = _Replica(
        config=replay.SnapshotPolicy(record_limit=2, period_s=5.0)
    )
    replica.read(stream)
    assert replica.follower.snapshot_due(100.0) is None
    stream.append(0)
    stream.append(1)
    replica.read(stream)
    replica.follower.on_read_failed(0.0)
    assert replica.follower.snapshot_due(0.0) is None
    replica.read(stream)
    assert replica.follower.snapshot_due(0.0) == 1
    stream.append(stream.snapshot(1))
    replica.read(stream, now=1.0)
    assert replica.follower.snapshot_due(50.0) is None
    stream.append(2)
    replica.read(stream, now=50.0)
    assert replica.follower.snapshot_due(50.0) == 3
    assert _follower.snapshot_of({"kind": "edit"}) is None
