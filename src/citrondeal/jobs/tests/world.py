"""Two schedulers with their workers, log and network, in virtual time."""

import collections

from citrondeal import jobs
from citrondeal.jobs.tests import fakes

VALIDITY = 4.0  # seconds after a renewal, as in citrondeal.ownership
# Most crashes of workers by a task that crashes each worker that starts it:
# after the third one it may be started twice more.
MAX_CRASHES = 5
# What the network does with a request and its reply: "drop" loses the
# request, "late" delivers it after other exchanges, "reply_lost" loses the
# reply, and "slow" delivers the request 0.7 s later.
DELIVERIES = ("ok", "ok", "ok", "drop", "late", "reply_lost", "slow")


class World:
    """Two schedulers, three workers, a log and a lossy network.

    Holds all state of one example, and checks the guarantees.
    """

    def __init__(self, owner_class=jobs.PoolOwner, relative_lease=False):
        self.relative_lease = relative_lease
        self.now = 1000.0
        self.log = fakes.Log()
        self.workers = [
            fakes.Worker("w0", offset=-500.0, rack="r0", rate=1.005),
            fakes.Worker("w1", offset=0.0, rack="r0"),
            fakes.Worker("w2", offset=9e5, rack="r1", rate=0.995),
        ]
        self.schedulers = [
            fakes.Scheduler(self.log, owner_class) for _ in range(2)
        ]
        self.listed = {worker.name for worker in self.workers}
        self.epoch = 0
        self.holder = None
        self.late_requests = []
        self.late_appends = []
        self.submitted = 0
        self.services = 0
        self.once_starts = collections.Counter()
        # Crashes of workers under each task, by (job id, index).
        self.crashes = collections.Counter()
        self.table = jobs.JobTable()
        self.tasks_given_up = set()
        self.publish()
        for scheduler in self.schedulers:
            scheduler.owner.on_unused_pool(self.now)
        self.take_over(0, None)

    def publish(self):
        infos = [w.info() for w in self.workers if w.name in self.listed]
        for scheduler in self.schedulers:
            scheduler.owner.on_workers(infos, self.now)

    def take_over(self, index, slack):
        """Let a scheduler take the pool after the holder's validity.

        It learns an upper bound of the validity that is `slack` seconds too
        late, or none if `slack` is None.
        """
        last = -1e9 if self.holder is None else self.holder.valid_until
        scheduler = self.schedulers[index]
        if scheduler.paused or scheduler is self.holder:
            return
        self.now = max(self.now, last + 0.5)
        self.epoch += 1
        previous_until = None if slack is None else min(last + slack, self.now)
        scheduler.follow(self.now)
        scheduler.owner.on_gained(self.epoch, previous_until, self.now)
        scheduler.valid_until = self.now + VALIDITY
        self.holder = scheduler

    def report_lost(self):
        """Tell schedulers that run again that their ownership has ended."""
        for scheduler in self.schedulers:
            if scheduler is not self.holder and not scheduler.paused:
                if scheduler.owner.owned:
                    scheduler.owner.on_lost(self.now)

    def advance(self, seconds):
        self.now += seconds
        holder = self.holder
        if not holder.paused and self.now < holder.valid_until:
            holder.valid_until = self.now + VALIDITY

    def regain(self):
        """Renew an expired ownership that no other scheduler has taken."""
        holder = self.holder
        if holder.paused or self.now < holder.valid_until:
            return
        self.epoch += 1
        holder.owner.on_gained(self.epoch, holder.valid_until, self.now)
        holder.valid_until = self.now + VALIDITY

    def decide(self, scheduler, delay_append=False):
        scheduler.follow(self.now)
        scheduler.owner.on_list_read(self.now)
        until = scheduler.valid_until
        for action in scheduler.owner.tick(self.now, until):
            if delay_append:
                self.late_appends.append(action.record)
            else:
                self.log.append(action.record)

    def send(self, scheduler, worker, delivery):
        """Exchange with a worker; `delivery` is one of `DELIVERIES`."""
        owner = scheduler.owner
        sent_at = self.now
        request = owner.sync_request(
            worker.name, sent_at, scheduler.valid_until
        )
        if request is None:
            return
        self.check_leases(worker, request, scheduler.valid_until)
        if delivery == "late":
            self.late_requests.append((worker, request, sent_at))
        if delivery in ("drop", "late"):
            self.now += 0.01
            owner.on_exchange_failed(worker.name, self.now)
            return
        if delivery == "slow":
            self.now += 0.7
        reply = self.deliver(worker, request, sent_at)
        self.now += 0.01
        if reply is not None and delivery in ("ok", "slow"):
            owner.on_reply(worker.name, reply, sent_at, self.now)
        else:
            owner.on_exchange_failed(worker.name, self.now)

    def deliver(self, worker, request, sent_at):
        if self.relative_lease:
            delay = self.now - sent_at
            for start in request["starts"]:
                start["lease_until"] += delay
        if request["boot_id"] == worker.boot_id:
            self.check_acks(worker, request["ack"])
        before = {t["task"] for t in worker.running(self.now)}
        reply = worker.sync(request, self.now)
        for task in worker.running(self.now):
            if task["task"] not in before:
                job, index, _ = jobs.parse_task_id(task["task"])
                if job.startswith("once"):
                    self.once_starts[job, index] += 1
        tasks = worker.running(self.now)
        if any(task["job"].startswith("deadly") for task in tasks):
            self.reboot(worker)
            return None
        return reply

    def reboot(self, worker):
        """Restart a worker, and count the crash for the tasks on it."""
        for task in worker.running(self.now):
            self.crashes[jobs.parse_task_id(task["task"])[:2]] += 1
        worker.reboot()

    def check_leases(self, worker, request, valid_until):
        """Check that first leases end with the owner's validity."""
        # The clocks differ in rate by up to 0.5 %, over the 5 s that a
        # reading may be old and the 4 s of validity.
        limit = worker.clock(valid_until) + 0.005 * (5 + VALIDITY)
        for start in request["starts"]:
            excess = start["lease_until"] - limit
            assert excess <= 0, f"first lease is {excess} s too long"

    def check_acks(self, worker, acks):
        """Check that each acknowledged end is in the log.

        An end may also be acknowledged if the log has a final outcome of the
        task already, from the record of an earlier attempt that came late.
        """
        recorded = {
            entry["task"]
            for record in self.log.records
            if record["kind"] == "finished"
            for entry in record["tasks"]
        }
        for task in acks:
            entry = worker.tasks.get(task)
            if entry is None or entry["state"] not in ("finished", "failed"):
                continue
            if task not in recorded:
                job_table = jobs.JobTable()
                for offset, record in enumerate(self.log.records):
                    job_table.apply(offset, record)
                job_id, index, _ = jobs.parse_task_id(task)
                job = job_table.get(job_id)
                assert not job.is_open(index), (
                    f"{task} is acknowledged, but not in the log"
                )

    def submit(self, kind, tasks, cores, priority):
        if kind == "service":
            # Services never end; they must leave cores for the other jobs.
            if self.services + tasks * cores > 4:
                return
            self.services += tasks * cores
        if kind == "gang" and tasks > 3 * (4 // cores):
            # It never fits, but would be accepted while no worker is listed.
            return
        once = kind == "once"
        record = fakes.submit(
            f"{kind}{self.submitted + 1}",
            kind="batch" if kind in ("once", "deadly") else kind,
            once=once,
            tasks=tasks,
            cores=cores,
            priority=priority,
            run_time_s=None if kind == "service" else 5,
        )
        if self.holder.owner.refusal(record["job"]) is None:
            self.submitted += 1
            self.log.append(record)

    def job_ids(self):
        return [
            record["job"]["id"]
            for record in self.log.records
            if record["kind"] == "submit"
        ]

    def check(self):
        seen = set()
        for worker in self.workers:
            running = worker.running(self.now)
            cores = sum(task["cores"] for task in running)
            assert cores <= worker.cores, (
                f"{worker.name} has {worker.cores} cores, but its tasks use"
                f" {cores}"
            )
            for task in running:
                task_key = jobs.parse_task_id(task["task"])[:2]
                assert task_key not in seen, f"{task_key} runs on two workers"
                seen.add(task_key)
        for task_key, count in self.once_starts.items():
            assert count <= 1, f"{task_key} was started {count} times"
        self.check_given_up()

    def check_given_up(self):
        """Check that two workers or more have crashed under each such task."""
        for task_key in self.given_up():
            crashes = self.crashes[task_key]
            assert crashes >= 2, (
                f"{task_key} was given up after {crashes} crashes"
            )
        for task_key, crashes in self.crashes.items():
            if task_key[0].startswith("deadly"):
                assert crashes <= MAX_CRASHES, (
                    f"{task_key} has crashed {crashes} workers"
                )

    def given_up(self):
        """Return the keys of the tasks that the log shows as given up."""
        records = self.log.records[self.table.offset + 1 :]
        for offset, record in enumerate(records, self.table.offset + 1):
            change = self.table.apply(offset, record)
            for task in change.given_up if change is not None else ():
                self.tasks_given_up.add(jobs.parse_task_id(task)[:2])
        return self.tasks_given_up

    def end_faults(self):
        """End all faults, and check that every job then ends or runs."""
        for scheduler in self.schedulers:
            scheduler.paused = False
        for worker in self.workers:
            worker.leaving = False
        self.listed = {worker.name for worker in self.workers}
        self.publish()
        self.report_lost()
        self.regain()
        self._settle("service")
        # A gang may need the cores of the services.
        for job_id in self.job_ids():
            if job_id.startswith("service"):
                self.log.append({"kind": "cancel", "job": job_id})
        self._settle("")

    def _settle(self, prefix):
        """Run without faults until the jobs with the prefix are settled.

        A service is settled when all its tasks run, any other job when it
        has ended or is on hold.
        """
        for round_ in range(200):
            self.advance(1.0)
            self.decide(self.holder)
            for worker in self.workers:
                self.send(self.holder, worker, "ok")
                for task in worker.running(self.now):
                    if not task["job"].startswith("service"):
                        if round_ % 3 == 2:
                            worker.end(task["task"], "finished")
            self.check()
            # The leases of earlier owners end within 31 s.
            if round_ > 40 and not self._unsettled(prefix):
                return
        raise AssertionError(
            f"not settled after 200 s: {self._unsettled(prefix)}"
        )

    def _unsettled(self, prefix):
        job_table = self.holder.owner.job_table
        running = {
            jobs.parse_task_id(task["task"])[:2]
            for worker in self.workers
            for task in worker.running(self.now)
        }
        left = []
        given_up = self.given_up()
        for job_id in self.job_ids():
            job = job_table.get(job_id)
            if not job_id.startswith(prefix):
                continue
            task_keys = {(job_id, index) for index in range(job.tasks)}
            if not job.ended:
                task_keys -= given_up
            if job.ended or job.hold_reason:
                if job.ended and running & task_keys:
                    left.append(f"{job_id} has ended but runs")
            elif job.work.kind != "service" or not task_keys <= running:
                left.append(f"{job_id} is {job.state}")
        return left
