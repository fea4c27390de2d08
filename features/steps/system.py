"""Steps that run a small cell of real processes."""

import json
import signal
import time
import uuid

from behave import given
from behave import then
from behave import when

from demo import callers
from demo import jobs
from tests import cell as cells

CALLERS = 12
# The list lags by 0.5 s and is polled each second.
LEAVING_S = 5.0
LOAD_PAUSE_S = 0.02  # between two requests of one stream
SETTLE_S = 30.0  # generous, for a busy machine


class System:
    """A cell with the load and the records of one scenario."""

    def __init__(self, endpoints, workers):
        zones = (
            cells.Zone("bkk-a", "bkk", 2, endpoints, workers),
            cells.Zone("cnx-a", "cnx", 1, endpoints, workers),
        )
        self.cell = cells.Cell(zones)
        self.cell.start()
        jobs.create_settings(self.cell)
        self.load = callers.LoadGenerator(self.cell, CALLERS)
        self.notes = {}

    def scheduler(self, index=0):
        """Return a running scheduler of the first zone."""
        running = [
            d for d in self.cell.select("scheduler", "bkk-a") if d.process
        ]
        return running[index]

    def owner(self):
        """Return the scheduler that owns the pool of the first zone."""
        for daemon in self.cell.select("scheduler", "bkk-a"):
            state = self.cell.get(daemon.http, "/debug/state")
            if state["jobs"]["owned"]:
                return daemon
        raise AssertionError("the pool has no owner")

    def submit(self, job_id, **fields):
        """Submit a job in the first zone and return the answer."""
        body = {"id": job_id, "path": "/batch/timetable", **fields}
        return self.cell.post(self.scheduler().http, "/v1/jobs", body)

    def state_of(self, job_id):
        """Return the state of a job and of its tasks."""
        status = self.cell.get(self.scheduler().http, f"/v1/jobs/{job_id}")
        tasks = [t["state"] for t in status.get("task_states", [])]
        return status.get("state"), tasks

    def starts(self):
        """Return the number of tasks that workers have started."""
        return self.cell.sum_worker_counter("starts")

    def stream(self, seconds):
        """Send requests one after another for some time; then wait."""
        running = []
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            running.append(self.load.start("stream", 1))
            time.sleep(LOAD_PAUSE_S)
        return running


def until(condition, limit_s, what):
    """Wait until `condition()` is true."""
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.1)
    raise AssertionError(f"{what}: not within {limit_s} s")


@given(
    "a system cell with endpoints {endpoints:d} and workers {workers:d}"
    " per zone"
)
def system_cell(context, endpoints, workers):
    context.system = System(endpoints, workers)
    context.add_cleanup(context.system.cell.__exit__, None, None, None)
    if endpoints:
        until(lambda: holds_all(context.system), SETTLE_S, "leases")


def holds_all(system):
    held = sum(
        system.cell.get(d.http, "/debug/state")["leases"]["held"]
        for d in system.cell.select("gateway")
        if d.process
    )
    return held == len(system.cell.endpoints)


@given('system jobs "service" with {count:d} tasks are running')
def service_running(context, count):
    system = context.system
    answer = system.submit(
        "steady", path="/batch/mirror", tasks=count, priority="normal"
    )
    assert answer.get("id") == "steady", answer

    def is_running():
        _, tasks = system.state_of("steady")
        return tasks == ["running"] * count

    until(is_running, SETTLE_S, "service")
    # A task is lost if its owner fails before the first renewal of its
    # lease, 0.25 s after the start.
    time.sleep(1.0)
    system.notes["service_tasks"] = count
    system.notes["service_places"] = places(system)


def places(system):
    """Return the running tasks of the service with their workers."""
    found = set()
    for name, address in system.cell.workers.items():
        for task, job in system.cell.get(address, "/stats")["running"]:
            if job == "steady":
                found.add((task, name))
    return found


@given("system batch jobs wait for room")
def waiting_jobs(context):
    system = context.system
    # Two waves of tasks fill the zone twice: 4 workers of 32 cores.
    answer = system.submit(
        "wave", tasks=24, cores=10.0, run_time_s=4.0, priority="low"
    )
    assert answer.get("id") == "wave", answer
    until(lambda: system.starts() > 8, SETTLE_S, "first wave")


@when("the system owner of the pool is killed")
def kill_owner(context):
    system = context.system
    victim = system.owner()
    system.cell.kill(victim)
    system.cell.launch(victim)
    system.cell.wait_ready(victim)


@when("the system owner of the pool is paused for {seconds:d} seconds")
def pause_owner(context, seconds):
    system = context.system
    victim = system.owner()
    system.submit("during", tasks=8)
    victim.process.send_signal(signal.SIGSTOP)
    time.sleep(seconds)
    victim.process.send_signal(signal.SIGCONT)


@then("a system urgent job ends within {seconds:d} seconds")
def urgent_ends(context, seconds):
    system = context.system
    job_id = f"urgent-{uuid.uuid4().hex[:8]}"

    def is_submitted():
        return system.submit(job_id, priority="urgent").get("id") == job_id

    until(is_submitted, seconds, "submission")
    until(
        lambda: system.state_of(job_id)[0] == "finished",
        seconds,
        "urgent job",
    )


@then("the system started no task of the service twice")
def service_untouched(context):
    system = context.system
    assert places(system) == system.notes["service_places"], (
        places(system),
        system.notes["service_places"],
    )


@then("the system kept its promises")
def promises(context):
    system = context.system
    cell = system.cell
    runs = cell.runs_by_request()
    assert system.load.double_runs(runs) == 0
    assert system.load.false_refusals(runs) == 0
    assert cell.sum_endpoint_counter("slots_exceeded") == 0
    assert cell.sum_endpoint_counter("connections_exceeded") == 0
    if cell.workers:
        assert cell.sum_worker_counter("overcommits") == 0
        assert not any(f["two_places"] for f in cell.fleet_stats())


@when("the system log is away for {seconds:d} seconds under load")
def log_away(context, seconds):
    system = context.system
    before = system.starts()
    system.cell.set_log_faults(outage=1)
    running = system.stream(seconds)
    system.notes["edit"] = system.cell.post(
        system.scheduler().http,
        "/v1/tree/edits",
        {"edit_id": "late", "path": "/batch/late", "base": 0, "set": {}},
    )
    system.notes["job"] = system.submit("refused")
    system.notes["started"] = system.starts() - before
    system.cell.set_log_faults(outage=0)
    for request in running:
        request.wait()


@when(
    'system zone "{zone}" is cut off from the log for {seconds:d} seconds'
    " under load"
)
def cut_zone(context, zone, seconds):
    system = context.system
    system.cell.set_log_faults(zones=[zone], outage=1)
    running = system.stream(seconds)
    answer = jobs.edit_branch(
        system.cell,
        "/batch/meanwhile",
        {},
        system.scheduler(),
    )
    system.notes["version"] = answer["version"]
    system.cell.set_log_faults(zones=[zone], outage=0)
    for request in running:
        request.wait()


@then('system zone "{zone}" has the edit that was made meanwhile')
def zone_has_edit(context, zone):
    system = context.system

    def is_current():
        return all(
            system.cell.get(d.http, "/debug/state")["tree"]["version"]
            >= system.notes["version"]
            for d in system.cell.daemons.values()
        )

    until(is_current, SETTLE_S, "edit")


@then("the system answered every request")
def answered(context):
    figures = context.system.load.figures()
    assert figures["requests"] > 100, figures
    assert figures["whole_answers"] == figures["requests"], figures


@then("the system answered every request at the first attempt")
def answered_first(context):
    answered(context)
    figures = context.system.load.figures()
    assert figures.get("connections_broken", 0) == 0, figures
    refusals = [name for name in figures if name.startswith("answered_")]
    assert refusals == [], figures


@then("the system resolved every request")
def resolved(context):
    figures = context.system.load.figures()
    assert figures["requests"] > 100, figures
    assert figures["lost"] == figures["wrong_answers"] == 0, figures
    answers = figures["whole_answers"] / figures["requests"]
    assert answers > 0.5, figures


@then("system batch jobs were started during the outage")
def started_meanwhile(context):
    assert context.system.notes["started"] >= 6, context.system.notes


@then("the system refused edits and jobs as not run during the outage")
def refused(context):
    for name in ("edit", "job"):
        answer = context.system.notes[name]
        assert answer["error"]["kind"] == "unavailable", answer
        assert answer["error"]["run"] == "not_run", answer


@then("a system edit is accepted again")
def edit_again(context):
    system = context.system

    def is_accepted():
        answer = system.cell.post(
            system.scheduler().http,
            "/v1/tree/edits",
            {"edit_id": "late", "path": "/batch/late", "base": 0, "set": {}},
        )
        return answer.get("outcome") == "accepted"

    until(is_accepted, SETTLE_S, "edit")


@when("a system gateway is paused for {seconds:d} seconds under load")
def pause_gateway(context, seconds):
    system = context.system
    victim = system.cell.select("gateway", "bkk-a")[0]
    running = system.stream(1.0)
    victim.process.send_signal(signal.SIGSTOP)
    # The balancer notices the silent gateway after a moment.
    time.sleep(0.3)
    system.load.exclude(victim)
    running += system.stream(seconds)
    victim.process.send_signal(signal.SIGCONT)
    system.load.include(victim)
    running += system.stream(2.0)
    for request in running:
        request.wait()


@when("a system gateway is killed and replaced under load")
def kill_gateway(context):
    system = context.system
    victim = system.cell.select("gateway", "bkk-a")[0]
    running = system.stream(1.0)
    system.cell.kill(victim)
    system.load.exclude(victim)
    running += system.stream(1.0)
    system.cell.launch(victim)
    system.cell.wait_ready(victim)
    system.load.include(victim)
    running += system.stream(2.0)
    for request in running:
        request.wait()


@when("every system daemon is replaced gracefully under load")
def rolling(context):
    system = context.system
    running = []
    for daemon in list(system.cell.daemons.values()):
        running += system.stream(0.5)
        if daemon.role == "gateway":
            system.load.exclude(daemon)
        statuses = system.cell.stop_daemons([daemon])
        assert statuses[daemon.name] == 0, statuses
        system.cell.launch(daemon)
        system.cell.wait_ready(daemon)
        if daemon.role == "gateway":
            system.load.include(daemon)
        running += system.stream(0.5)
    for request in running:
        request.wait()


def runs_after_mark(system, mark):
    """Count runs on an endpoint from 5 s after the mark on."""
    name, address = next(iter(system.cell.endpoints.items()))
    running = system.stream(1.0)
    if mark:
        row = {"id": name, "state": "leaving"}
        system.cell.post(system.cell.vm_list_address, "/rows", [row])
    running += system.stream(LEAVING_S)
    before = system.cell.get(address, "/stats")["counts"].get("runs", 0)
    running += system.stream(3.0)
    for request in running:
        request.wait()
    after = system.cell.get(address, "/stats")["counts"].get("runs", 0)
    system.notes["runs"] = (before, after)


@when("a system endpoint is marked as leaving under load")
def endpoint_leaves(context):
    runs_after_mark(context.system, mark=True)


@when("a system endpoint stays unmarked under load")
def endpoint_stays(context):
    runs_after_mark(context.system, mark=False)


@then("the system sent it no request from 5 seconds on")
def no_new_work(context):
    before, after = context.system.notes["runs"]
    assert before > 0, "the endpoint got no work before the mark"
    assert after == before, (before, after)


@then("the system check of the leaving endpoint fails")
def leaving_check_fails(context):
    try:
        no_new_work(context)
    except AssertionError:
        return
    raise AssertionError("the check did not notice an unmarked endpoint")


@when("a system gateway is killed while requests are running")
def kill_abruptly(context):
    system = context.system
    victim = system.cell.select("gateway", "bkk-a")[0]
    running = system.stream(3.0)
    running.append(system.load.start("cut", 30))
    time.sleep(0.02)
    system.cell.kill(victim)
    system.load.exclude(victim)
    for request in running:
        request.wait()


@then("the system check of first attempts fails")
def first_attempts_fail(context):
    try:
        answered_first(context)
    except AssertionError:
        return
    raise AssertionError("the check did not notice the killed gateway")


@when("system connections to endpoints go silent under load")
def silent(context):
    system = context.system
    running = system.stream(1.0)
    for address in system.cell.endpoints.values():
        system.cell.post(address, "/silence", {})
    running += system.stream(3.0)
    for request in running:
        request.wait()
    assert system.cell.sum_endpoint_counter("silenced") > 0


@when("the system log loses {percent:d} percent of its answers")
def lossy_log(context, percent):
    context.system.cell.set_log_faults(lose_answers=percent / 100)


def repeat(function, attempts=30):
    """Repeat a call whose outcome is unknown, as operators are told to."""
    for _ in range(attempts):
        answer = function()
        run = answer.get("error", {}).get("run")
        if run != "unknown":
            return answer
        time.sleep(0.1)
    raise AssertionError(f"the outcome stays unknown: {answer}")


@then("each system edit takes effect once")
def edits_once(context):
    system = context.system
    address = system.scheduler().http
    for number in range(8):
        body = {
            "edit_id": f"lossy-{number}",
            "path": "/batch/lossy",
            "base": system.cell.get(address, "/v1/tree/node/batch/lossy")[
                "version"
            ],
            "set": {"job.tasks": number + 1},
        }
        answer = repeat(
            lambda: system.cell.post(address, "/v1/tree/edits", body)
        )
        assert answer["outcome"] == "accepted", answer
    edits = system.cell.get(address, "/v1/tree/history/batch/lossy")["edits"]
    ids = [edit["edit_id"] for edit in edits]
    assert ids == [f"lossy-{n}" for n in range(8)], json.dumps(ids)


@then("each system job runs once")
def jobs_once(context):
    system = context.system
    before = system.starts()
    for number in range(10):
        job_id = f"lossy-{number}"
        answer = repeat(lambda: system.submit(job_id, tasks=2))
        assert answer.get("id") == job_id, answer

    def all_finished():
        return all(
            system.state_of(f"lossy-{n}")[0] == "finished" for n in range(10)
        )

    until(all_finished, 30, "jobs")
    assert system.starts() - before == 20, system.starts() - before
