"""Steps for faults of the log that a small cell of real processes uses."""

import json
import time

from behave import then
from behave import when

from demo import jobs
from tests import system as systems


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

    systems.wait_until(
        is_current, systems.SETTLE_TIMEOUT_S, "edit at all daemons"
    )


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

    systems.wait_until(
        is_accepted, systems.SETTLE_TIMEOUT_S, "acceptance of the edit"
    )


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

    systems.wait_until(all_finished, 30, "ends of all jobs")
    assert system.starts() - before == 20, system.starts() - before
