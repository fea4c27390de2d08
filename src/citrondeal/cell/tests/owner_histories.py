"""Random histories of owners that follow each other, in virtual time."""

import collections
import contextlib
import logging
import random
import sys
import time
from unittest import mock

import anyio

from citrondeal.cell import _clock
from citrondeal.cell import _deletions
from citrondeal.cell import _leases
from citrondeal.cell import _records
from citrondeal.cell.tests import paged_store
from citrondeal.cell.tests import simple_members
from citrondeal.cell.tests import simple_worker
from citrondeal import platform
from citrondeal.runtime.tests import virtual_time
from citrondeal import workflow

FAULTY_S = 12.0
# Longer than a claim may be late, and the recovery after it.
QUIET_S = paged_store.MAX_LATE_S + 2.0
MEMBERS = 3
WORKERS = 3
CLIENTS = 6
WATCH_PERIOD_S = 0.05
FINAL_STATES = (
    workflow.JobState.COMPLETED,
    workflow.JobState.FAILED,
    workflow.JobState.CANCELLED,
)
CHUNK = 50  # histories of which the counts are printed together
MAX_BLIND_S = 2.0
_JOB_TOPICS = tuple(f"keyed.citrondeal.work.{i}" for i in range(2))


class _Errors(logging.Handler):
    """Keeps errors that were logged and contained."""

    def __init__(self, violations):
        super().__init__(logging.ERROR)
        self._violations = violations

    def emit(self, record):
        self._violations.append(
            f"error: {record.getMessage()} {getattr(record, 'fields', '')}"
            f" {record.exc_info and record.exc_info[1]!r}"
        )


class OwnerHistory:
    """One history of owners in quick succession.

    Parameters
    ----------
    seed : int

    Attributes
    ----------
    violations : list of str
        Each begins with the invariant that does not hold.
    counts : collections.Counter
        Events and faults by kind.
    """

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.store = None
        self.members = {}
        self.violations = []
        self.counts = collections.Counter()
        # Each history has only some of the faults.
        self._restarts = self.rng.random() < 0.4
        self._cancelled_share = self.rng.choice((0.0, 0.1))
        self._listed_ends = self.rng.choice((3, 20, 500))
        # Some writers need several appends for the changes of one time.
        self._append_bytes = self.rng.choice((200, 1000, 100_000))
        self._owners = {}  # by epoch
        self._recovered = set()  # epochs
        self._workers = {}
        self._first_offset = {}  # by job
        self._ordered = {}  # (job, epoch): whether it was `recovered` there
        self._done = {}  # epochs that acknowledged the ends of tasks
        self._accepted = set()
        self._shown = {}  # final states of jobs that were shown

    def play(self):
        """Play the history in virtual time."""
        anyio.run(
            self._run,
            backend_options={"loop_factory": virtual_time.VirtualLoop},
        )

    async def _run(self):
        errors = _Errors(self.violations)
        logger = logging.getLogger("citrondeal")
        with contextlib.ExitStack() as stack:
            for target, name, value in (
                (_clock, "now", anyio.current_time),
                (time, "time", anyio.current_time),
                (_deletions, "DELETE_PERIOD_S", 0.7),
                (_records, "JOB_TOPICS", _JOB_TOPICS),
                (_records, "MAX_APPEND_BYTES", self._append_bytes),
                (_leases.platform, "RunnerClient", self._connect),
                (simple_worker, "MAX_LISTED_ENDS", self._listed_ends),
            ):
                stack.enter_context(mock.patch.object(target, name, value))
            stack.callback(logger.removeHandler, errors)
            logger.addHandler(errors)
            async with anyio.create_task_group() as task_group:
                await self._play(task_group)
                task_group.cancel_scope.cancel()

    async def _play(self, task_group):
        self.store = paged_store.PagedStore(self.rng, task_group)
        for index in range(WORKERS):
            worker = simple_worker.Worker(
                f"w{index}", self.rng, self._on_start, self._on_acknowledged
            )
            self._workers[worker.name] = worker
            task_group.start_soon(self._list_worker, worker)
        for index in range(MEMBERS):
            task_group.start_soon(self._run_member, f"m{index}")
        task_group.start_soon(self._watch)
        async with anyio.create_task_group() as faults:
            faults.start_soon(self._replace_owners)
            faults.start_soon(self._let_records_expire)
            faults.start_soon(self._hide_workers)
            if self._restarts:
                faults.start_soon(self._restart_members)
            for _ in range(CLIENTS):
                task_group.start_soon(self._submit, anyio.current_time())
            await anyio.sleep(FAULTY_S)
            faults.cancel_scope.cancel()
        self.store.faulty = False
        await anyio.sleep(QUIET_S)
        self._check_writers()
        self._check_accepted()
        self.counts.update(self.store.counts)
        self.counts.update(state.value for state in self._shown.values())
        self.counts["acknowledged ends"] = len(self._done)
        self.counts["recovered owners"] = len(self._recovered)

    def _violate(self, text):
        if text not in self.violations:
            self.violations.append(text)

    # Faults

    async def _list_worker(self, worker):
        while True:
            record = platform.Record(worker.name, worker.entry())
            self.store.append(
                platform.WORKERS_TOPIC, [record], None, None, worker.name
            )
            await anyio.sleep(1.0)

    async def _run_member(self, name):
        while True:
            async with anyio.create_task_group() as task_group:
                member = simple_members.Member(self, name, task_group)
                member.scope = task_group.cancel_scope
                self.members[member.address] = member
                await member.run()
            await anyio.sleep(self.rng.uniform(0.01, 1.0))

    async def _restart_members(self):
        while True:
            await anyio.sleep(self.rng.uniform(1.0, 8.0))
            self.counts["member restarted"] += 1
            self.rng.choice(list(self.members.values())).scope.cancel()

    async def _replace_owners(self):
        rng = self.rng
        while True:
            await anyio.sleep(rng.choice((0.3, 1.0, 2.0, 4.0)))
            owner = next(
                (m for m in self.members.values() if m.ownership.active), None
            )
            if owner is None:
                continue
            now = anyio.current_time()
            owner.hidden_until = now + 1.0
            self.counts["owner hidden"] += 1
            if rng.random() < 0.7:
                self.counts["owner goes on"] += 1
                owner.blind(now + rng.uniform(0.5, MAX_BLIND_S))

    async def _let_records_expire(self):
        while True:
            await anyio.sleep(self.rng.uniform(0.02, 0.2))
            self.store.trim(
                self.rng.choice((*_JOB_TOPICS, _records.CELL_TOPIC))
            )

    async def _hide_workers(self):
        while True:
            await anyio.sleep(self.rng.uniform(2.0, 8.0))
            worker = self.rng.choice(list(self._workers.values()))
            self.counts["worker away"] += 1
            worker.away_until = anyio.current_time() + self.rng.choice(
                (0.5, 1.5, 4.0)
            )

    # Clients

    async def _submit(self, started):
        client = paged_store.Client(self.store, "client")
        while anyio.current_time() < started + FAULTY_S:
            job = f"{self.rng.getrandbits(64):016x}"
            self.store.task_group.start_soon(self._put_job, client, job)
            await anyio.sleep(self.rng.choice((0.3, 0.6, 1.5)))

    async def _put_job(self, client, job):
        rng = self.rng
        steps = [
            workflow.Step(rng.choice((1, 2, 4)), workflow.Size(100, 1, 0))
        ]
        if rng.random() < 0.3:
            steps.append(
                workflow.Step(1, workflow.Size(100, 1, 0), after=(0,))
            )
        submission = workflow.Submission(
            job,
            "",
            tuple(steps),
            workflow.Policy("queue", "service", max_attempts=3),
        )
        key = _records.job_key(job)
        record = platform.Record(key, workflow.encode(submission))
        topic = _records.job_topic(key)
        for _ in range(3):
            outcome = await client.append(topic, [record])
            if outcome.is_ok():
                self._accepted.add(job)
                break
            await anyio.sleep(rng.uniform(0.1, 0.5))
        if rng.random() < self._cancelled_share:
            await anyio.sleep(rng.uniform(0.0, 2.0))
            self.counts["cancellations"] += 1
            await client.append(
                topic, [platform.Record(_records.cancel_key(job), b"\x01")]
            )
        if rng.random() < 0.3:
            await anyio.sleep(rng.uniform(0.1, 6.0))
            ended = job in self._shown
            self.counts["sent again" + " after its end" * ended] += 1
            await client.append(topic, [record])

    # Checks

    def next_number(self):
        """Return a number that no owner has had."""
        self.counts["owners"] += 1
        return self.counts["owners"]

    def on_owner(self, epoch, owner):
        """Record an owner that is about to run."""
        if epoch in self._owners:
            self.counts["epochs used again"] += 1
        self._owners[epoch] = owner

    def _connect(self, name, address, on_other_incarnation):
        return simple_worker.WorkerClient(
            self._workers[name], self.rng, self._on_order
        )

    def _on_order(self, task, epoch):
        """Check a start that an owner sends."""
        job = task.job
        recovered = self._owners[epoch].scheduler.jobs[job].recovered
        self._ordered.setdefault((job, epoch), recovered)
        epochs = sorted(e for j, e in self._ordered if j == job)
        for later in epochs[1:]:
            if not self._ordered[job, later]:
                self._violate(
                    f"3: job {job} is started by epochs {epochs} and was not"
                    f" recovered for {later}"
                )
        self._check_barriers(job, epoch)

    def _check_barriers(self, job, epoch):
        topic = _records.job_topic(_records.job_key(job))
        for record in self.store.log(topic):
            if record.key == _records.job_key(job):
                return
            if (
                record.key == _records.BARRIER_KEY
                and int(record.value) > epoch
            ):
                self._violate(
                    f"4: epoch {epoch} starts job {job}, which is behind the"
                    f" barrier of {int(record.value)}"
                )
                return

    def _on_start(self, worker, task, epoch):
        """Check a start that arrives."""
        self.counts["starts"] += 1
        if task in self._done:
            self._violate(f"twice: {task} starts after its acknowledged end")
        for other in self._workers.values():
            other.advance()
            if other is not worker and task in other.runs:
                self._violate(f"twice: {task} runs in two places")

    def _on_acknowledged(self, end, epoch):
        if end.outcome is not workflow.RunOutcome.DONE:
            return
        self._done.setdefault(end.task, epoch)
        if not self._is_stored(end.task):
            self._violate(f"1: the acknowledged end of {end.task} is lost")

    def _is_stored(self, task):
        key = _records.job_key(task.job)
        record = self.store.newest(_records.STATE_TOPIC).get(key)
        if record is None:
            return False
        progress = workflow.decode_progress(record.value)
        if progress.state not in (
            workflow.JobState.QUEUED,
            workflow.JobState.RUNNING,
        ):
            return True
        bits = int.from_bytes(progress.done[task.step], "little")
        return bool(bits >> task.index & 1)

    async def _watch(self):
        """Look at what the owners know, and show."""
        while True:
            await anyio.sleep(WATCH_PERIOD_S)
            for epoch, owner in self._owners.items():
                scheduler = owner.scheduler
                if scheduler is None or scheduler.superseded:
                    continue
                if epoch not in self._recovered:
                    self._recovered.add(epoch)
                    self._check_recovered(epoch, scheduler)
                self._check_shown(epoch, scheduler)

    def _check_recovered(self, epoch, scheduler):
        for task, acknowledged_by in self._done.items():
            if acknowledged_by > epoch:
                continue
            job = scheduler.jobs.get(task.job)
            if job is None or not (
                job.ended or job.steps[task.step].tasks[task.index].done
            ):
                self._violate(
                    f"1: epoch {epoch} does not know that {task} is done"
                )
        for job, earlier in self._ordered:
            known = scheduler.jobs.get(job)
            if earlier < epoch and (
                known is None or not (known.recovered or known.ended)
            ):
                self._violate(
                    f"3: job {job}, which epoch {earlier} has started, is not"
                    f" recovered for {epoch}"
                )

    def _check_shown(self, epoch, scheduler):
        newest = epoch == max(self._recovered)
        for job in set(self._shown) - set(scheduler.jobs) if newest else ():
            self._violate(f"2: job {job} has ended and is not known")
        for job in scheduler.jobs.values():
            state = scheduler.job_state(job.id)
            shown = self._shown.get(job.id)
            if shown is None and state in FINAL_STATES:
                self._shown[job.id] = state
            elif shown not in (None, state) and (
                newest or state in FINAL_STATES
            ):
                self._violate(
                    f"2: job {job.id} was {shown.value} and is {state.value}"
                    f" for {epoch}"
                )

    def _check_writers(self):
        for epoch, writers in self.store.writers.items():
            if len(writers) > 1:
                self._violate(f"5: epoch {epoch} has writers {writers}")

    def _check_accepted(self):
        owner = self._owners[max(self._owners)]
        if owner.scheduler is None:
            self._violate("no owner has recovered at the end")
            return
        for job in sorted(self._accepted - set(owner.scheduler.jobs)):
            self._violate(f"lost: job {job} was accepted and is not known")


def run(seeds):
    """Return the violations by seed, and what happened in all histories."""
    violations, counts = {}, collections.Counter()
    for seed in seeds:
        history = OwnerHistory(seed)
        history.play()
        counts.update(history.counts)
        if history.violations:
            violations[seed] = history.violations
    return violations, counts


def main():
    """Play the histories of a range of seeds and print what they show."""
    first, last = map(int, sys.argv[1:])
    for begin in range(first, last + 1, CHUNK):
        violations, counts = run(range(begin, min(begin + CHUNK, last + 1)))
        for seed, texts in violations.items():
            print(seed, len(texts), *texts[:4], sep="\n   ", flush=True)
        print(begin, dict(sorted(counts.items())), flush=True)


if __name__ == "__main__":
    main()
