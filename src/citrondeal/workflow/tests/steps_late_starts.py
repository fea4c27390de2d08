"""Steps for starts that a later incarnation of a worker may carry out."""

import collections

from behave import given
from behave import then
from behave import when

from citrondeal import workflow
from citrondeal.workflow.tests import harness as harnesses
from citrondeal.workflow.tests import simulation

OUTCOMES = workflow.OrderOutcome
PASS_S = 0.05
REPORT_PERIOD_S = 0.2
WARM_UP_S = 5.0  # until leases end by renewals, not by the takeover
WATCH_S = 40.0
TICKET_VALID_S = 60.0
TOLERANCE_S = 1.0
HISTORY_S = 30.0
# Longest delay of an order, and the longest lease.
KEPT_WHEN_SILENT_S = 22.5


class _Cell:
    """A scheduler whose worker w0 has left the start of a task unanswered."""

    def __init__(self, workers):
        self._harness = harnesses.Harness(workers=workers)
        self._reported_at = self._harness.now
        self.scheduler = self._harness.scheduler
        self.submit = self._harness.submit
        self.born_ms = 1  # of w0
        self.silent = False  # w0
        self.lists = self._harness.running  # runs by worker
        self._ends = self._harness.ends
        self.stored = {}  # records of workers
        self.unanswered = set()  # tasks whose next start gets no answer
        self.began_at = None  # when a start got no answer
        self.starts = collections.defaultdict(list)  # by job, after that
        self.stops_sent = 0
        self.run(WARM_UP_S)

    @property
    def now(self):
        return self._harness.now

    def add_worker(self, name):
        self._harness.add_worker(name)

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self._harness.now += PASS_S
            if self.now - self._reported_at >= REPORT_PERIOD_S:
                self._reported_at = self.now
                self._renew()
            self.stored.update(self._harness.store()[1])
            for action in self.scheduler.plan(self.now):
                self._deliver(action)

    def run_until_unanswered(self):
        while self.began_at is None:
            self.run(PASS_S)

    def cut_off(self):
        self.silent = True
        self.scheduler.on_renewal_failed("w0", "cut", self.now)

    def _renew(self):
        for name, worker in self.scheduler.workers.items():
            if name == "w0" and self.silent:
                self.scheduler.on_renewal_failed(name, "cut", self.now)
                continue
            if worker.may_renew:
                worker.extend_lease(self.now, harnesses.LEASE_S)
            running = [
                workflow.ReportedRun(task, number, "", 0.0)
                for task, number in self.lists[name].items()
            ]
            born_ms = self.born_ms if name == "w0" else 1
            ends = self._ends[name]
            report = workflow.Report(self.now, born_ms, running, ends)
            self.scheduler.on_report(name, report, self.now, self.now)

    def _deliver(self, action):
        if isinstance(action, workflow.FetchTickets):
            granted = dict.fromkeys(action.workers, "ticket")
            valid_until = self.now + TICKET_VALID_S
            self.scheduler.on_tickets(
                action.step, action.workers, granted, valid_until, self.now
            )
            return
        outcome = OUTCOMES.OK
        if action.worker == "w0" and self.silent:
            outcome = OUTCOMES.UNKNOWN
        if isinstance(action, workflow.Stop):
            self.stops_sent += 1
            if outcome is OUTCOMES.OK:
                self._end(action.worker, action.task)
            callback = self.scheduler.on_stopped
        else:
            outcome = self._start(action, outcome)
            callback = self.scheduler.on_started
        callback(action.task, action.run, action.worker, outcome, self.now)

    def _end(self, name, task):
        number = self.lists[name].pop(task, None)
        if number is not None:
            ends = self._ends[name]
            stopped = workflow.RunOutcome.STOPPED
            ends.append(
                workflow.RunEnd(len(ends) + 1, task, number, stopped, "")
            )

    def _start(self, action, outcome):
        if action.task.job in self.unanswered and action.worker == "w0":
            self.unanswered.remove(action.task.job)
            self.began_at = self.now
            self.missed = action
            return OUTCOMES.UNKNOWN
        if outcome is OUTCOMES.UNKNOWN:
            return outcome
        if self.began_at is not None and self.now > self.began_at:
            waited_s = self.now - self.began_at
            self.starts[action.task.job].append((waited_s, action.worker))
        self.lists[action.worker][action.task] = action.run
        return outcome


@given("a workflow start with {ticket} that got no answer")
def _(context, ticket):
    context.cell = cell = _Cell(("w0",))
    cell.unanswered.add("a")
    cell.submit("b", 2.0, run_s=60.0)
    cell.submit("a", 2.0, run_s=60.0, ticketed=ticket == "a ticket")
    cell.run_until_unanswered()
    cell.add_worker("w1")


@given("a workflow gang of which one start got no answer")
def _(context):
    context.cell = cell = _Cell(("w0", "w1"))
    cell.unanswered.add("a")
    cell.submit("a", 4.0, tasks=2, run_s=60.0, gang=True)
    cell.run_until_unanswered()


@when("that workflow worker is silent for {seconds:g} s")
def _(context, seconds):
    context.cell.cut_off()
    context.cell.run(seconds)


@when("that workflow worker {event} and {lists} the run")
def _(context, event, lists):
    cell = context.cell
    if event == "starts again":
        cell.born_ms = 2
        cell.lists["w0"].clear()
    if lists == "lists":
        cell.lists["w0"][cell.missed.task] = cell.missed.run
    if event == "is silent":
        cell.cut_off()
    cell.run(WATCH_S)


@then("workflow the task starts again after {wait_s:g} s")
def _(context, wait_s):
    starts = context.cell.starts["a"]
    assert starts, "never"
    for waited_s, _ in starts:
        assert wait_s <= waited_s <= wait_s + TOLERANCE_S, starts


@then("workflow the whole gang starts again after {wait_s:g} s")
def _(context, wait_s):
    starts = context.cell.starts["a"]
    assert len(starts) == 2 and starts[0][0] == starts[1][0], starts
    waited_s = starts[0][0]
    assert wait_s <= waited_s <= wait_s + TOLERANCE_S, starts


@then(
    "workflow the other run of the worker starts elsewhere after {wait_s:g} s"
)
def _(context, wait_s):
    [(waited_s, worker)] = context.cell.starts["b"]
    assert worker == "w1", worker
    assert wait_s <= waited_s <= wait_s + TOLERANCE_S, waited_s


@then("workflow the record of that worker names the end of the late start")
def _(context):
    cell = context.cell
    assert not cell.starts["a"] and cell.starts["b"], cell.starts
    stored = cell.stored["w0"]
    assert [task.job for task in stored.runs] == ["a"], stored
    # The clock of w1 shows the virtual time.
    ends_at = stored.witnesses["w1"].clock_s
    assert ends_at >= cell.began_at + KEPT_WHEN_SILENT_S, stored


@then("workflow one stop was sent until then")
def _(context):
    assert context.cell.stops_sent == 1, context.cell.stops_sent


@then("workflow {count:d} late starts were counted")
def _(context, count):
    assert context.cell.scheduler.late_starts.unanswered == count


@then("workflow random history {seed:d} keeps all invariants with such starts")
def _(context, seed):
    simulated = simulation.Simulation(seed, late_starts_reach_unheard=True)
    simulated.run(HISTORY_S)
