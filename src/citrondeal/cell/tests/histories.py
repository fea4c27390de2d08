"""Random histories of owners, members and clients on a faulty store."""

import contextlib
import random
from unittest import mock

import anyio
import result

from citrondeal.cell import _deletions
from citrondeal.cell import _desk
from citrondeal.cell import _follower
from citrondeal.cell import _job_topics
from citrondeal.cell import _owner
from citrondeal.cell import _pace
from citrondeal.cell import _records
from citrondeal.cell import _writer
from citrondeal.cell.tests import doubles
from citrondeal.cell.tests import memory_store
from citrondeal import errors
from citrondeal.peers.gen.peers import ttypes
from citrondeal import platform
from citrondeal import workflow

FAULTY_S = 2.5
# Time without faults until the last owner must answer.
ANSWER_LIMIT_S = 5.0
# An owner may deny a job for as long as its view counts, and needs some turns.
MAX_VIEW_AGE_S = 0.3
VISIBLE_S = 0.4
LATE_S = 0.4  # longest time after which a call without an answer takes effect
DEADLINE_S = 0.5
TURN_S = 0.01
CLIENTS = 12
QUERIES = 5  # in each turn
FINAL_STATES = ("completed", "failed", "cancelled")
_PERIODS = (
    (_deletions, "DELETE_PERIOD_S", 0.05),
    (_owner, "JOB_LONG_POLL_S", 0.05),
    (_owner, "MAX_VIEW_AGE_S", MAX_VIEW_AGE_S),
    (_owner, "RETRY_DELAY_S", 0.02),
    (_writer, "MAX_IDLE_S", 0.05),
    (_writer, "RETRY_DELAY_S", 0.02),
    (_follower, "RETRY_DELAY_S", 0.02),
)


class FaultyStore(memory_store.MemoryStore):
    """Rejects calls, loses answers and carries calls out late.

    Parameters
    ----------
    rng : random.Random
    task_group : anyio.abc.TaskGroup
        Runs the calls that are carried out late.
    """

    def __init__(self, rng, task_group):
        super().__init__()
        self._rng = rng
        self._task_group = task_group
        self.faulty = True
        self.down = False
        self.served_at = 0.0

    async def append(self, topic, records, at=None, producer=None):
        fault = self._rng.random() if self.faulty else 1.0
        if self.down or fault < 0.1:
            await anyio.sleep(0)
            return _failure(errors.Kind.UNAVAILABLE)
        if fault < 0.25:
            self._task_group.start_soon(
                self._append_late, topic, records, at, producer
            )
            await anyio.sleep(0.01)
            return _failure(errors.Kind.UNKNOWN_OUTCOME)
        outcome = await super().append(topic, records, at, producer)
        if fault < 0.35:
            return _failure(errors.Kind.UNKNOWN_OUTCOME)
        self.served_at = anyio.current_time()
        return outcome

    async def _append_late(self, *call):
        await anyio.sleep(self._rng.uniform(0.0, LATE_S))
        await super().append(*call)

    async def read(self, topic, start, wait_s):
        if self.down or (self.faulty and self._rng.random() < 0.1):
            await anyio.sleep(0)
            return _failure(errors.Kind.UNAVAILABLE)
        outcome = await super().read(topic, start, wait_s)
        self.served_at = anyio.current_time()
        return outcome

    async def read_newest(self, topic):
        """Return two pages that were read at different times."""
        if self.down:
            await anyio.sleep(0)
            return _failure(errors.Kind.UNAVAILABLE)
        middle = f"job/{8:x}"
        await anyio.sleep(0)
        end = len(self.topics[topic])
        first = [r for r in self.newest(topic) if r.key < middle]
        await anyio.sleep(self._rng.choice((0.0, 0.01)))
        second = [r for r in self.newest(topic) if r.key >= middle]
        return result.Ok((end, first + second))


class _RandomPace(_pace.StorePace):
    """Believes in a slow store at random, so that records are handed over."""

    def __init__(self, rng):
        super().__init__()
        self._rng = rng

    def is_slow(self, now):
        return self._rng.random() < 0.5


class History:
    """One history of some seconds.

    Parameters
    ----------
    seed : int

    Attributes
    ----------
    violations : list of str
        What clients must not see.
    max_delay_s : float
        Longest time by which this process was late, in seconds.
    counts : dict of str to int
    """

    def __init__(self, seed):
        self._rng = random.Random(seed)
        self._store = None
        self._appenders = []
        self._owners = []
        self._accepted = {}
        self._uncertain = set()
        self._refused = set()
        self._cancelled = set()
        self._final = {}
        self.violations = []
        self.max_delay_s = 0.0
        self.counts = {"owners": 0, "completed": 0, "queries": 0}

    @property
    def accepted(self):
        """Number of accepted jobs."""
        return len(self._accepted)

    @property
    def ended(self):
        """Number of jobs that were shown in a final state."""
        return len(self._final)

    async def run(self):
        """Play the history and check what clients see."""
        with contextlib.ExitStack() as stack:
            for module, name, value in _PERIODS:
                stack.enter_context(mock.patch.object(module, name, value))
            async with anyio.create_task_group() as task_group:
                await self._play(task_group)
                task_group.cancel_scope.cancel()

    async def _play(self, task_group):
        self._store = FaultyStore(self._rng, task_group)
        for _ in range(2):
            appender = _job_topics.JobAppender(
                self._append,
                self._append,
                self._store_age_s,
                doubles.Metrics(),
                _RandomPace(self._rng),
                lambda topic, now: self._rng.random() < 0.5,
            )
            self._appenders.append(appender)
            task_group.start_soon(appender.run)
        async with anyio.create_task_group() as faulty:
            faulty.start_soon(self._replace_owners, task_group)
            faulty.start_soon(self._interrupt_store)
            for _ in range(CLIENTS):
                faulty.start_soon(self._submit)
            with anyio.move_on_after(FAULTY_S) as scope:
                while True:
                    await self._sleep_turn()
                    self._end_some_job()
                    for _ in range(QUERIES):
                        self._query_some_job()
            assert scope.cancelled_caught
            faulty.cancel_scope.cancel()
        self._store.faulty = self._store.down = False
        await anyio.sleep(LATE_S)
        self._start_owner(task_group)
        owner, _ = self._owners[-1]
        with anyio.move_on_after(ANSWER_LIMIT_S):
            while not owner.is_current:
                await anyio.sleep(0.01)
        self._check_end()

    async def _sleep_turn(self):
        started = anyio.current_time()
        await anyio.sleep(TURN_S)
        late_s = anyio.current_time() - started - TURN_S
        self.max_delay_s = max(self.max_delay_s, late_s)

    def _store_age_s(self):
        return anyio.current_time() - self._store.served_at

    async def _append(self, records, *relay_arguments):
        topic = _records.job_topic(records[0].key)
        return await self._store.append(topic, records)

    async def _interrupt_store(self):
        while True:
            await anyio.sleep(self._rng.uniform(0.2, 0.8))
            self._store.down = True
            await anyio.sleep(self._rng.uniform(0.1, 0.3))
            self._store.down = False

    # Owners

    async def _replace_owners(self, task_group):
        while True:
            self._start_owner(task_group)
            await anyio.sleep(self._rng.uniform(0.1, 0.6))
            if self._rng.random() < 0.5:
                _, scope = self._owners[-1]
                scope.cancel()
            if self._rng.random() < 0.3:
                self._store.compact()

    def _start_owner(self, task_group):
        self.counts["owners"] += 1
        owner = _owner.Owner(
            self._store,
            None,
            self.counts["owners"],
            doubles.Confirmation(),
            doubles.Settings(),
            doubles.Metrics(),
        )
        scope = anyio.CancelScope()
        self._owners.append((owner, scope))
        task_group.start_soon(_run_in_scope, owner, scope)

    def _end_some_job(self):
        """Complete a job at the newest owner, as if its tasks had run."""
        owner, scope = self._owners[-1]
        scheduler = owner.scheduler
        if scope.cancel_called or scheduler is None or not scheduler.active:
            return
        if self._rng.random() < 0.5:
            job = self._rng.choice(list(scheduler.active.values()))
            scheduler._state.end_job(
                job, workflow.JobState.COMPLETED, _owner._clock.now()
            )
            self.counts["completed"] += 1

    # Clients

    async def _submit(self):
        while True:
            job = f"{self._rng.getrandbits(64):016x}"
            attempts = self._rng.choice((1, 1, 2, 3))
            kinds = []
            for _ in range(attempts):
                kinds.append(await self._put(job, _submission(job)))
                if None in kinds and self._rng.random() < 0.3:
                    self._cancelled.add(job)
                    await self._put(
                        job,
                        platform.Record(_records.cancel_key(job), b"\x01"),
                    )
                await anyio.sleep(self._rng.uniform(0.0, 0.4))
            if set(kinds) == {errors.Kind.UNAVAILABLE}:
                self._refused.add(job)

    async def _put(self, job, record):
        """Append at some member; return the kind of failure, or None."""
        appender = self._rng.choice(self._appenders)
        outcome = await appender.put(record, DEADLINE_S)
        if outcome.is_err():
            return outcome.err_value.kind
        self._accepted.setdefault(job, anyio.current_time())
        return None

    def _query_some_job(self):
        running = [o for o, scope in self._owners if not scope.cancel_called]
        if running and self._accepted:
            job = self._rng.choice(list(self._accepted))
            self._query(self._rng.choice(running), job)

    def _query(self, owner, job):
        """Query an owner; record an answer that is wrong."""
        requests = _desk.ClientRequests(
            None, None, None, lambda: owner, lambda: None, lambda: 0.0
        )
        query = ttypes.JobStateQuery(queue="queue", job_id=job)
        reply = requests.answer_as_owner(query)
        if not isinstance(reply, ttypes.JobState):
            return None
        self.counts["queries"] += 1
        age_s = anyio.current_time() - self._accepted[job]
        final = self._final.get(job)
        newest = owner is self._owners[-1][0]
        if not reply.state and (final or age_s > VISIBLE_S):
            self._violate(job, owner, "is denied")
        elif reply.state in FINAL_STATES:
            if self._final.setdefault(job, reply.state) != reply.state:
                self._violate(job, owner, f"is {reply.state} after {final}")
        elif final and newest:
            self._violate(job, owner, f"is {reply.state} after {final}")
        if reply.state == "failed" or (
            reply.state == "cancelled" and job not in self._cancelled
        ):
            self._violate(job, owner, f"is {reply.state} without a cause")
        return reply.state

    def _violate(self, job, owner, what):
        epoch = owner.scheduler.epoch
        self.violations.append(f"{job} {what} at the owner of epoch {epoch}")

    def _check_end(self):
        owner, _ = self._owners[-1]
        for job in self._accepted:
            if not self._query(owner, job):
                self.violations.append(
                    f"{job} has no state at the end, view of"
                    f" {owner.view_age_s:.3f} s"
                )
        stored = {
            record.key
            for topic in _records.JOB_TOPICS
            for record in self._store.topics[topic]
        }
        self.violations += [
            f"{job} is stored although it was refused"
            for job in self._refused
            if _records.job_key(job) in stored
        ]


async def _run_in_scope(owner, scope):
    with scope:
        await owner.run()


def _submission(job):
    step = workflow.Step(1, workflow.Size())
    policy = workflow.Policy("queue", "service")
    value = workflow.encode(workflow.Submission(job, "", (step,), policy))
    return platform.Record(_records.job_key(job), value)


def _failure(kind):
    return result.Err(errors.Failure(kind, "fault"))
