"""Capacities of simulated workers, and the list in which they report them."""

import dataclasses
import math

from citrondeal import workflow

HEARTBEAT_S = 1.5  # between two entries of a worker
CONTACT_S = 4.0
# A smaller capacity counts this long after a worker has shrunk.
GRACE_S = CONTACT_S + HEARTBEAT_S
UNLISTED_AFTER_S = 3 * HEARTBEAT_S
MAX_ENTRY_DELAY_S = 8.0
LATE_ENTRY_SHARE = 0.1
FULL = workflow.Size(32000, 131072, 4)
_MIN_MILLICORES = 500
_MAX_SHRUNK_MEMORY_MB = 16000


def choose(rng):
    """Return a random capacity, which is often a full one."""
    if rng.random() < 0.3:
        return FULL
    return workflow.Size(
        rng.randint(_MIN_MILLICORES, FULL.millicores),
        rng.choice([FULL.memory_mb, rng.randint(0, _MAX_SHRUNK_MEMORY_MB)]),
        rng.randint(0, FULL.accelerators),
    )


@dataclasses.dataclass(eq=False)
class _Period:
    """A capacity, and from when on a later one counts instead of it."""

    capacity: workflow.Size
    ended_at: float | None = None
    replaced_at: float | None = None  # when the list showed a later one

    def counts(self, at):
        """Return whether a start that is sent at a time may rely on it."""
        if self.ended_at is None or self.replaced_at is None:
            return True
        # The second term matters only while the store takes no entries.
        until = max(self.ended_at + GRACE_S, self.replaced_at + CONTACT_S)
        return at < until


class Capacity:
    """Capacity of one incarnation of a worker, and the earlier ones of it.

    Parameters
    ----------
    capacity : workflow.Size
    """

    def __init__(self, capacity):
        self._periods = [_Period(capacity)]

    @property
    def current(self):
        """Present capacity."""
        return self._periods[-1].capacity

    def change(self, capacity, now):
        """Begin a new capacity."""
        self._periods[-1].ended_at = now
        self._periods.append(_Period(capacity))

    def on_reported(self, written_at, now):
        """Record that the list shows an entry written at `written_at`."""
        for period in self._periods:
            ended = period.ended_at is not None
            if ended and period.ended_at <= written_at:
                if period.replaced_at is None:
                    period.replaced_at = now

    def allows(self, used, sent_at):
        """Return whether a start sent then may bring the use to `used`."""
        return any(
            used.fits(period.capacity)
            for period in self._periods
            if period.counts(sent_at)
        )


class WorkerList:
    """Entries of all workers in the order in which the store took them.

    Parameters
    ----------
    rng : random.Random
    """

    def __init__(self, rng):
        self._rng = rng
        self._records = []  # of worker and WorkerInfo; None if unlisted
        self._delayed = []  # of time, worker and the time of writing
        self._due_at = {}

    @property
    def end(self):
        """Number of records."""
        return len(self._records)

    def read(self, position):
        """Return ``(name, info)`` of each record from a position on."""
        return self._records[position:]

    def add(self, info):
        """Append an entry that its worker has not written."""
        self._records.append((info.worker, info))

    def delay(self, worker, until):
        """Let the first entry of an incarnation be written at a time."""
        self._due_at[worker.name, worker.born_ms] = until

    def tick(self, workers, store_up, delays_allowed, now):
        """Let the workers write the entries that are due."""
        if not store_up:
            return
        for entry in [e for e in self._delayed if e[0] <= now]:
            self._delayed.remove(entry)
            self._append(*entry[1:], now)
        for worker in workers:
            key = (worker.name, worker.born_ms)
            if worker.removed:
                self._unlist_when_due(worker, now)
            elif worker.down:
                continue
            elif now >= self._due_at.get(key, now):
                self._due_at[key] = now + HEARTBEAT_S
                self._write(worker, delays_allowed, now)

    def _write(self, worker, delays_allowed, now):
        info, capacity = worker.info(), worker.capacity
        if delays_allowed and self._rng.random() < LATE_ENTRY_SHARE:
            arrives_at = now + self._rng.uniform(0.1, MAX_ENTRY_DELAY_S)
            self._delayed.append((arrives_at, info, capacity, now))
        else:
            self._append(info, capacity, now, now)

    def _append(self, info, capacity, written_at, now):
        self._records.append((info.worker, info))
        capacity.on_reported(written_at, now)

    def _unlist_when_due(self, worker, now):
        key = (worker.name, None)
        due_at = self._due_at.setdefault(key, now + UNLISTED_AFTER_S)
        if now >= due_at:
            self._due_at[key] = math.inf
            self._records.append((worker.name, None))
