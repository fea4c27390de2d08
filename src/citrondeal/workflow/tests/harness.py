"""Harness for tests of single decisions of the scheduler."""

import math

from citrondeal import workflow

LEASE_S = 10.0
STATUS_S = 120.0
TICKET_VALID_S = 60.0


class Harness:
    """A scheduler whose workers carry out each order at once."""

    def __init__(self, cores=4, workers=("w0",), scheduler=None):
        self.now = 100.0
        self.scheduler = scheduler or workflow.Scheduler(
            workflow.Config(LEASE_S, STATUS_S), 1
        )
        self.infos = {}
        self.running = {}
        self.ends = {}
        self.ticket_calls = []
        self.truncated = False  # whether reports may omit ends
        for name in workers:
            self._add_worker(name, cores)
        self.report_all()
        self.store()

    def add_worker(self, name, cores=4):
        """Add a worker that answers at once."""
        self._add_worker(name, cores)
        self.report_all()
        self.store()

    def _add_worker(self, name, cores):
        self.infos[name] = info = workflow.WorkerInfo(
            name,
            f"{name}:1",
            "service",
            "zone",
            capacity=workflow.Size(cores * 1000, 1000),
            born_ms=1,
        )
        self.running[name] = {}
        self.ends[name] = []
        self.scheduler.on_worker(info, self.now)

    def submit(
        self,
        job,
        cores,
        tasks=1,
        priority=1,
        run_s=1.0,
        ticketed=False,
        account="",
        **step,
    ):
        """Submit a job of one step."""
        size = workflow.Size(int(cores * 1000), 10)
        step = workflow.Step(tasks, size, run_s, **step)
        policy = workflow.Policy(
            "queue", "service", priority, 3, 10.0, ticketed=ticketed
        )
        self.scheduler.on_submission(
            workflow.Submission(job, "", (step,), policy, account=account),
            0,
            self.now,
        )

    def submit_with_tickets(self, job, cores, **step):
        """Submit a job, and grant the tickets that its tasks need."""
        self.submit(job, cores, ticketed=True, **step)
        self.plan()
        for call in list(self.ticket_calls):
            self.grant(call, TICKET_VALID_S)

    def report_all(self):
        """Let all workers report their runs and ends."""
        self.now += 0.05
        for name, runs in self.running.items():
            reported = [
                workflow.ReportedRun(task, number, "", 0.0)
                for task, number in runs.items()
            ]
            report = workflow.Report(
                self.now, 1, reported, self.ends[name], self.truncated
            )
            self.scheduler.on_report(name, report, self.now, self.now)

    def store(self):
        """Mark all changes as stored, and return them."""
        taken = self.scheduler.take_changes()
        self.scheduler.on_stored(*taken)
        return taken

    def plan(self, max_starts=math.inf):
        """Carry out the due orders.

        Returns
        -------
        list of str
            Job of each started task.
        """
        self.now += 0.05
        started = []
        for action in self.scheduler.plan(self.now, max_starts):
            if isinstance(action, workflow.FetchTickets):
                self.ticket_calls.append(action)
            elif isinstance(action, workflow.Start):
                self.running[action.worker][action.task] = action.run
                started.append(action.task.job)
                self.scheduler.on_started(
                    action.task,
                    action.run,
                    action.worker,
                    workflow.OrderOutcome.OK,
                    self.now,
                )
        return started

    def grant(self, call, valid_s, refused=()):
        """Grant tickets for all workers of a call but those in `refused`."""
        self.ticket_calls.remove(call)
        granted = {w: "ticket" for w in call.workers if w not in refused}
        self.scheduler.on_tickets(
            call.step, call.workers, granted, self.now + valid_s, self.now
        )

    def end_one(self, name="w0"):
        """Let the task that was started first succeed, and plan again."""
        task, number = next(iter(self.running[name].items()))
        del self.running[name][task]
        end_number = len(self.ends[name]) + 1
        outcome = workflow.RunOutcome.DONE
        self.ends[name].append(
            workflow.RunEnd(end_number, task, number, outcome, "")
        )
        self.report_all()
        return self.plan()
