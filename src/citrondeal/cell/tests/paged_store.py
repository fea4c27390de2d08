"""A store in virtual time that fails in the ways that its page allows."""

import bisect
import collections

import anyio
import result

from citrondeal.cell import _records
from citrondeal.cell.tests import memory_store
from citrondeal import errors
from citrondeal import platform
from citrondeal.platform import _store

PAGE_KEYS = 3  # few, so that most topics take several pages
APPEND_TIMEOUT_S = 1.0
MIN_LATE_S, MAX_LATE_S = 1.0, 6.0
# Shares of the calls of each kind that are carried out late.
LATE_SHARE = 0.06
LATE_DELETION_SHARE = 0.3
LATE_CLAIM_SHARE = 0.25
LOST_SHARE = 0.06  # calls that are carried out and whose answer is lost
REFUSED_SHARE = 0.04
SLOW_PAGE_SHARE = 0.3
SLOW_READ_SHARE = 0.1
MAX_PAGE_GAP_S = 0.75


class PagedStore:
    """The topics of a store, and what has been done to them.

    Parameters
    ----------
    rng : random.Random
    task_group : anyio.abc.TaskGroup
        Runs the calls, which go on when their callers are cancelled.

    Attributes
    ----------
    faulty : bool
    counts : collections.Counter
        Faults by kind.
    writers : dict of int to set of str
        Names of the callers that stored progress, by epoch.
    """

    def __init__(self, rng, task_group):
        self.rng = rng
        self.task_group = task_group
        self.faulty = True
        self.counts = collections.Counter()
        self.writers = collections.defaultdict(set)
        self._logs = memory_store.MemoryStore()
        self._newest = collections.defaultdict(dict)
        self._first = collections.Counter()
        self._appended = collections.defaultdict(anyio.Event)

    def log(self, topic):
        """Return all records ever appended to a topic."""
        return self._logs.topics[topic]

    def newest(self, topic):
        """Return the newest record of each key that is not deleted."""
        return self._newest[topic]

    def append(self, topic, records, at, producer, caller):
        """Carry out an append; return its outcome."""
        log = self.log(topic)
        if at is not None and at != len(log):
            return failure(errors.Kind.CONFLICT)
        end = len(log)
        outcome = self._logs.append_now(topic, records, producer)
        if len(log) == end:
            return outcome
        if producer is not None:
            self.writers[producer.epoch].add(caller)
        for record in log[end:]:
            if record.value:
                self._newest[topic][record.key] = record
            else:
                self._newest[topic].pop(record.key, None)
        self._appended.pop(topic, anyio.Event()).set()
        return outcome

    def trim(self, topic):
        """Let old records of a topic expire."""
        self.counts["expired"] += 1
        end = len(self.log(topic))
        self._first[topic] = self.rng.randint(self._first[topic], end)

    async def wait(self, topic, start, wait_s):
        """Wait for a record."""
        with anyio.move_on_after(wait_s):
            while len(self.log(topic)) <= start:
                await self._appended[topic].wait()

    def read(self, topic, start):
        """Return some records from an offset on."""
        if start < self._first[topic]:
            self.counts["deleted unread"] += 1
            return failure(errors.Kind.CONFLICT)
        log = self.log(topic)
        records = log[start : start + self.rng.choice((1, 2, 5, 100))]
        return result.Ok(
            platform.Batch(len(log), start + len(records), records)
        )

    def page(self, topic, after):
        """Return one page of the newest records."""
        newest = self._newest[topic]
        keys = sorted(newest)
        rest = keys[bisect.bisect_right(keys, after) :]
        records = [newest[key] for key in rest[:PAGE_KEYS]]
        return result.Ok(
            _store.Page(len(self.log(topic)), len(rest) > PAGE_KEYS, records)
        )


class Client(platform.StoreClient):
    """The client of one caller.

    Parameters
    ----------
    store : PagedStore
    name : str

    Attributes
    ----------
    blind_until : float
        Until then it cannot read the claims.
    refused_until : float
        Until then it cannot append.
    """

    def __init__(self, store, name):
        super().__init__("127.0.0.1:1")
        self._store = store
        self._name = name
        self.blind_until = 0.0
        self.refused_until = 0.0

    async def append(self, topic, records, at=None, producer=None):
        store, rng = self._store, self._store.rng
        fault = rng.random() if store.faulty else 1.0
        late = LATE_SHARE
        if at is not None:
            late = LATE_CLAIM_SHARE
        elif not records[-1].value:
            late = LATE_DELETION_SHARE
        is_refused = anyio.current_time() < self.refused_until
        if is_refused or fault < REFUSED_SHARE:
            await anyio.sleep(0.005)
            return failure(errors.Kind.UNAVAILABLE)
        fault -= REFUSED_SHARE
        delay_s = rng.uniform(0.002, 0.01)
        if store.faulty and rng.random() < 0.05:
            delay_s = rng.uniform(0.1, APPEND_TIMEOUT_S)
        is_late = fault < late
        if is_late:
            delay_s = rng.uniform(MIN_LATE_S, MAX_LATE_S)
            store.counts[_kind(records, at, producer) + " late"] += 1
        is_lost = is_late or fault < late + LOST_SHARE
        if is_lost and not is_late:
            store.counts[_kind(records, at, producer) + " unanswered"] += 1
        outcomes = []

        async def carry_out():
            await anyio.sleep(delay_s)
            outcomes.append(
                store.append(topic, records, at, producer, self._name)
            )

        store.task_group.start_soon(carry_out)
        if is_lost:
            await anyio.sleep(rng.uniform(0.01, APPEND_TIMEOUT_S))
            return failure(errors.Kind.UNKNOWN_OUTCOME)
        await anyio.sleep(delay_s + rng.uniform(0.002, 0.01))
        return outcomes[0]

    async def read(self, topic, start, wait_s):
        await self._travel()
        if self._fails(topic):
            await anyio.sleep(0.05)
            return failure(errors.Kind.UNAVAILABLE)
        if self._store.faulty and self._store.rng.random() < SLOW_READ_SHARE:
            await anyio.sleep(self._store.rng.uniform(0.0, MAX_PAGE_GAP_S))
        await self._store.wait(topic, start, wait_s)
        outcome = self._store.read(topic, start)
        await self._travel()
        return outcome

    async def read_newest_page(self, topic, after=""):
        store, rng = self._store, self._store.rng
        await self._travel()
        if store.faulty and after and rng.random() < SLOW_PAGE_SHARE:
            store.counts["slow page"] += 1
            await anyio.sleep(rng.uniform(0.0, MAX_PAGE_GAP_S))
        if self._fails(topic):
            return failure(errors.Kind.UNAVAILABLE)
        outcome = store.page(topic, after)
        await self._travel()
        return outcome

    def _fails(self, topic):
        if (
            topic == _records.CELL_TOPIC
            and anyio.current_time() < self.blind_until
        ):
            return True
        return self._store.faulty and self._store.rng.random() < 0.03

    async def _travel(self):
        await anyio.sleep(self._store.rng.uniform(0.001, 0.006))


def _kind(records, at, producer):
    if at is not None:
        return "claim"
    if producer is not None:
        return "progress"
    return "append" if records[-1].value else "deletion"


def failure(kind):
    """Return a failed outcome."""
    return result.Err(errors.Failure(kind, "fault"))
