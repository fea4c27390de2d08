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
# The VM list lags by 0.5 s and the daemons poll it each second.
LEAVING_LIMIT_S = 5.0
REQUEST_PAUSE_S = 0.02
SETTLE_TIMEOUT_S = 30.0  # leaves time on a busy machine


class System:
    """A cell with the requests and the observations of one scenario."""

    def __init__(self, endpoints, workers):
        zones = (
            cells.Zone("bkk-a", "bkk", 2, endpoints, workers),
            cells.Zone("cnx-a", "cnx", 1, endpoints, workers),
        )
        self.cell = cells.Cell(zones)
        self.cell.start()
        jobs.create_settings(self.cell)
        self.load = callers.LoadGenerator(self.cell, CALLERS)
        self.observations = {}

    def scheduler(self, index=0):
        """Return the running scheduler at `index` in the first zone."""
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
        """Submit a job in the first zone and return the decoded answer."""
        body = {"id": job_id, "path": "/batch/timetable", **fields}
        return self.cell.post(self.scheduler().http, "/v1/jobs", body)

    def state_of(self, job_id):
        """Return the state of a job and the list of states of its tasks."""
        status = self.cell.get(self.scheduler().http, f"/v1/jobs/{job_id}")
        tasks = [t["state"] for t in status.get("task_states", [])]
        return status.get("state"), tasks

    def starts(self):
        """Return the number of tasks that all workers have started."""
        return self.cell.sum_worker_counter("starts")

    def start_requests_for(self, seconds):
        """Start requests at short intervals for some time.

        Returns
        -------
        list of callers.PendingRequests
        """
        pending = []
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            pending.append(self.load.start("stream", 1))
            time.sleep(REQUEST_PAUSE_S)
        return pending


def wait_until(condition, limit_s, what):
    """Wait until `condition()` is true.

    Raises
    ------
    AssertionError
        If it is not within `limit_s` seconds; the text names `what`.
    """
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.1)
    raise AssertionError(f"{what}: not reached within {limit_s} s")


@given(
    "a system cell with endpoints {endpoints:d} and workers {workers:d}"
    " per zone"
)
def system_cell(context, endpoints, workers):
    context.system = System(endpoints, workers)
    context.add_cleanup(context.system.cell.__exit__, None, None, None)
    if endpoints:
        wait_until(
            lambda: all_endpoints_held(context.system),
            SETTLE_TIMEOUT_S,
            "leases of all endpoints",
        )


def all_endpoints_held(system):
    held = sum(
        system.cell.get(d.http, "/debug/state")["leases"]["held"]
        for d in system.cell.select("gateway")
        if d.process
    )
    return held == len(system.cell.endpoints)


@given('system jobs "service" with {count:d} tasks are running')
def service_is_running(context, count):
    system = context.system
    answer = system.submit(
        "steady", path="/batch/mirror", tasks=count, priority="normal"
    )
    assert answer.get("id") == "steady", answer

    def is_running():
        _, tasks = system.state_of("steady")
        return tasks == ["running"] * count

    wait_until(is_running, SETTLE_TIMEOUT_S, "all service tasks running")
    # A task is lost if its owner fails before the first renewal of its
    # lease, 0.25 s after the start.
    time.sleep(1.0)
    system.observations["service_tasks"] = count
    system.observations["service_placements"] = service_placements(system)


def service_placements(system):
    """Return ``(task, worker)`` of the running tasks of the service."""
    placements = set()
    for name, address in system.cell.workers.items():
        for task, job in system.cell.get(address, "/stats")["running"]:
            if job == "steady":
                placements.add((task, name))
    return placements


@given("system batch jobs wait for free cores")
def waiting_jobs(context):
    system = context.system
    # The 4 workers of the zone have 32 cores each and run about half of these
    # tasks at a time; the others wait.
    answer = system.submit(
        "wave", tasks=24, cores=10.0, run_time_s=4.0, priority="low"
    )
    assert answer.get("id") == "wave", answer
    wait_until(
        lambda: system.starts() > 8,
        SETTLE_TIMEOUT_S,
        "starts of the first wave",
    )


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
def urgent_job_ends(context, seconds):
    system = context.system
    job_id = f"urgent-{uuid.uuid4().hex[:8]}"

    def is_submitted():
        return system.submit(job_id, priority="urgent").get("id") == job_id

    wait_until(is_submitted, seconds, "submission of the urgent job")
    wait_until(
        lambda: system.state_of(job_id)[0] == "finished",
        seconds,
        "end of the urgent job",
    )


@then("the system started no task of the service twice")
def service_tasks_not_restarted(context):
    system = context.system
    assert (
        service_placements(system) == system.observations["service_placements"]
    ), (
        service_placements(system),
        system.observations["service_placements"],
    )


@then("all guarantees of the system hold")
def guarantees_hold(context):
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


@when("the system log is unavailable for {seconds:d} seconds under load")
def log_unavailable(context, seconds):
    system = context.system
    before = system.starts()
    system.cell.set_log_faults(outage=1)
    pending = system.start_requests_for(seconds)
    system.observations["edit"] = system.cell.post(
        system.scheduler().http,
        "/v1/tree/edits",
        {"edit_id": "late", "path": "/batch/late", "base": 0, "set": {}},
    )
    system.observations["job"] = system.submit("refused")
    system.observations["started"] = system.starts() - before
    system.cell.set_log_faults(outage=0)
    for request in pending:
        request.wait()


@when(
    'system zone "{zone}" is cut off from the log for {seconds:d} seconds'
    " under load"
)
def cut_zone(context, zone, seconds):
    system = context.system
    system.cell.set_log_faults(zones=[zone], outage=1)
    pending = system.start_requests_for(seconds)
    answer = jobs.edit_branch(
        system.cell,
        "/batch/meanwhile",
        {},
        system.scheduler(),
    )
    system.observations["version"] = answer["version"]
    system.cell.set_log_faults(zones=[zone], outage=0)
    for request in pending:
        request.wait()


@then('system zone "{zone}" has the edit that was made meanwhile')
def zone_has_edit(context, zone):
    system = context.system

    def is_current():
        return all(
            system.cell.get(d.http, "/debug/state")["tree"]["version"]
            >= system.observations["version"]
            for d in system.cell.daemons.values()
        )

    wait_until(is_current, SETTLE_TIMEOUT_S, "edit at all daemons")


@then("the system answered every request")
def all_answered(context):
    figures = context.system.load.figures()
    assert figures["requests"] > 100, figures
    assert figures["whole_answers"] == figures["requests"], figures


@then("the system answered every request at the first attempt")
def all_answered_at_first_attempt(context):
    all_answered(context)
    figures = context.system.load.figures()
    assert figures.get("connections_broken", 0) == 0, figures
    refusals = [name for name in figures if name.startswith("answered_")]
    assert refusals == [], figures


@then("the system lost no request and answered none wrongly")
def none_lost_or_wrong(context):
    figures = context.system.load.figures()
    assert figures["requests"] > 100, figures
    assert figures["lost"] == figures["wrong_answers"] == 0, figures
    answers = figures["whole_answers"] / figures["requests"]
    assert answers > 0.5, figures


@then("system batch jobs were started during the outage")
def jobs_started_during_outage(context):
    assert context.system.observations["started"] >= 6, (
        context.system.observations
    )


@then("the system refused edits and jobs as not run during the outage")
def edits_and_jobs_refused(context):
    for name in ("edit", "job"):
        answer = context.system.observations[name]
        assert answer["error"]["kind"] == "unavailable", answer
        assert answer["error"]["run"] == "not_run", answer


@then("a system edit is accepted again")
def edit_accepted_again(context):
    system = context.system

    def is_accepted():
        answer = system.cell.post(
            system.scheduler().http,
            "/v1/tree/edits",
            {"edit_id": "late", "path": "/batch/late", "base": 0, "set": {}},
        )
        return answer.get("outcome") == "accepted"

    wait_until(is_accepted, SETTLE_TIMEOUT_S, "acceptance of the edit")


@when("a system gateway is paused for {seconds:d} seconds under load")
def pause_gateway(context, seconds):
    system = context.system
    victim = system.cell.select("gateway", "bkk-a")[0]
    pending = system.start_requests_for(1.0)
    victim.process.send_signal(signal.SIGSTOP)
    # A load balancer stops choosing a silent gateway after a short time.
    time.sleep(0.3)
    system.load.exclude(victim)
    pending += system.start_requests_for(seconds)
    victim.process.send_signal(signal.SIGCONT)
    system.load.include(victim)
    pending += system.start_requests_for(2.0)
    for request in pending:
        request.wait()


@when("a system gateway is killed and replaced under load")
def kill_gateway(context):
    system = context.system
    victim = system.cell.select("gateway", "bkk-a")[0]
    pending = system.start_requests_for(1.0)
    system.cell.kill(victim)
    system.load.exclude(victim)
    pending += system.start_requests_for(1.0)
    system.cell.launch(victim)
    system.cell.wait_ready(victim)
    system.load.include(victim)
    pending += system.start_requests_for(2.0)
    for request in pending:
        request.wait()


@when("every system daemon is replaced gracefully under load")
def replace_all_daemons(context):
    system = context.system
    pending = []
    for daemon in list(system.cell.daemons.values()):
        pending += system.start_requests_for(0.5)
        if daemon.role == "gateway":
            system.load.exclude(daemon)
        statuses = system.cell.stop_daemons([daemon])
        assert statuses[daemon.name] == 0, statuses
        system.cell.launch(daemon)
        system.cell.wait_ready(daemon)
        if daemon.role == "gateway":
            system.load.include(daemon)
        pending += system.start_requests_for(0.5)
    for request in pending:
        request.wait()


def count_runs_after_mark(system, leaving):
    """Store the runs of an endpoint at and 3 s after `LEAVING_LIMIT_S`."""
    name, address = next(iter(system.cell.endpoints.items()))
    pending = system.start_requests_for(1.0)
    if leaving:
        row = {"id": name, "state": "leaving"}
        system.cell.post(system.cell.vm_list_address, "/rows", [row])
    pending += system.start_requests_for(LEAVING_LIMIT_S)
    before = system.cell.get(address, "/stats")["counts"].get("runs", 0)
    pending += system.start_requests_for(3.0)
    for request in pending:
        request.wait()
    after = system.cell.get(address, "/stats")["counts"].get("runs", 0)
    system.observations["runs"] = (before, after)


@when("a system endpoint is marked as leaving under load")
def endpoint_leaves(context):
    count_runs_after_mark(context.system, leaving=True)


@when("a system endpoint stays unmarked under load")
def endpoint_stays(context):
    count_runs_after_mark(context.system, leaving=False)


@then("the system sent the leaving endpoint no request after 5 seconds")
def no_new_work(context):
    before, after = context.system.observations["runs"]
    assert before > 0, "the endpoint got no requests before the limit"
    assert after == before, (before, after)


@then("the system check of the leaving endpoint fails")
def leaving_check_fails(context):
    try:
        no_new_work(context)
    except AssertionError:
        return
    raise AssertionError("the check passed for an endpoint that is not marked")


@when("a system gateway is killed while requests are running")
def kill_abruptly(context):
    system = context.system
    victim = system.cell.select("gateway", "bkk-a")[0]
    pending = system.start_requests_for(3.0)
    pending.append(system.load.start("cut", 30))
    time.sleep(0.02)
    system.cell.kill(victim)
    system.load.exclude(victim)
    for request in pending:
        request.wait()


@then("the system check of first attempts fails")
def first_attempts_fail(context):
    try:
        all_answered_at_first_attempt(context)
    except AssertionError:
        return
    raise AssertionError("the check passed although a gateway was killed")


@when("system connections to endpoints go silent under load")
def silence_connections(context):
    system = context.system
    pending = system.start_requests_for(1.0)
    for address in system.cell.endpoints.values():
        system.cell.post(address, "/silence", {})
    pending += system.start_requests_for(3.0)
    for request in pending:
        request.wait()
    assert system.cell.sum_endpoint_counter("silenced") > 0


@when("the system log loses {percent:d} percent of its answers")
def lose_log_answers(context, percent):
    context.system.cell.set_log_faults(lose_answers=percent / 100)


def repeat_until_known(function, attempts=30):
    """Repeat a call until its outcome is known, as operators should."""
    for _ in range(attempts):
        answer = function()
        stated_run = answer.get("error", {}).get("run")
        if stated_run != "unknown":
            return answer
        time.sleep(0.1)
    raise AssertionError(
        f"outcome still unknown after {attempts} attempts: {answer}"
    )


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
        answer = repeat_until_known(
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
        answer = repeat_until_known(lambda: system.submit(job_id, tasks=2))
        assert answer.get("id") == job_id, answer

    def all_finished():
        return all(
            system.state_of(f"lossy-{n}")[0] == "finished" for n in range(10)
        )

    wait_until(all_finished, 30, "ends of all jobs")
    assert system.starts() - before == 20, system.starts() - before
