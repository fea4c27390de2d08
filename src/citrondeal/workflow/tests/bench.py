"""A scheduler with workers that answer at once, for single decisions."""

from citrondeal import workflow

LEASE_S = 10.0
STATUS_S = 120.0


class Bench:
    """A scheduler with workers that answer at once."""

    def __init__(self, cores=4, workers=("w0",)):
        self.now = 100.0
        self.scheduler = workflow.Scheduler(
            workflow.Config(LEASE_S, STATUS_S), 1
        )
        self.infos = {
            name: workflow.WorkerInfo(
                name,
                f"{name}:1",
                "service",
                "zone",
                capacity=workflow.Size(cores * 1000, 1000),
                born_ms=1,
            )
            for name in workers
        }
        self.running = {name: {} for name in workers}
        self.ends = {name: [] for name in workers}
        self.calls = []
        for info in self.infos.values():
            self.scheduler.on_worker(info, self.now)
        self.hear()
        self.store()

    def submit(
        self,
        job,
        cores,
        tasks=1,
        priority=1,
        run_s=1.0,
        ticketed=False,
        **step,
    ):
        """Submit a job of one step."""
        size = workflow.Size(int(cores * 1000), 10)
        step = workflow.Step(tasks, size, run_s, **step)
        policy = workflow.Policy(
            "queue", "service", priority, 3, 10.0, ticketed=ticketed
        )
        self.scheduler.on_submission(
            workflow.Submission(job, "", (step,), policy), 0, self.now
        )

    def hear(self):
        """Let all workers report."""
        self.now += 0.05
        for name, runs in self.running.items():
            reported = [
                workflow.ReportedRun(task, number, "", 0.0)
                for task, number in runs.items()
            ]
            report = workflow.Report(self.now, 1, reported, self.ends[name])
            self.scheduler.on_report(name, report, self.now, self.now)

    def store(self):
        """Store everything and return it."""
        taken = self.scheduler.take_changes()
        self.scheduler.on_stored(*taken)
        return taken

    def plan(self):
        """Carry out the due orders and return the tasks started."""
        self.now += 0.05
        started = []
        for action in self.scheduler.plan(self.now):
            if isinstance(action, workflow.FetchTickets):
                self.calls.append(action)
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
        """Answer a ticket call for all workers but `refused`."""
        self.calls.remove(call)
        granted = {w: "ticket" for w in call.workers if w not in refused}
        self.scheduler.on_tickets(
            call.step, call.workers, granted, self.now + valid_s, self.now
        )

    def end_one(self, name="w0"):
        """Let the longest running task end well."""
        task, number = next(iter(self.running[name].items()))
        del self.running[name][task]
        count = len(self.ends[name]) + 1
        outcome = workflow.RunOutcome.DONE
        self.ends[name].append(
            workflow.RunEnd(count, task, number, outcome, "")
        )
        self.hear()
        return self.plan()
