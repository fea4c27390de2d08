"""Commands of ``citrondealctl job``."""

import urllib.parse
import uuid

from citrondeal.operators import _client
from citrondeal.operators import _session
from citrondeal.tree import schema

POLL_INTERVAL_S = 1.0
SUCCESS_STATES = ("finished",)
FAILURE_STATES = ("failed", "cancelled")


class Job:
    """Jobs."""

    def __init__(self, session):
        self._session = session

    @_session.TEXT_ARGUMENTS
    def submit(self, path, *settings, id=None):
        """Submit a job with the defaults of PATH and key=value ..."""
        return _session.make_command(
            _submit, self._session, path, _session.parse_settings(settings), id
        )

    @_session.TEXT_ARGUMENTS
    def status(self, id):
        """Show one job."""
        return _session.make_command(_show_job, self._session, id)

    @_session.TEXT_ARGUMENTS
    def list(self, limit="100", after=""):
        """List jobs."""
        return _session.make_command(_list_jobs, self._session, limit, after)

    @_session.TEXT_ARGUMENTS
    def cancel(self, id):
        """Cancel a job."""
        return _session.make_command(_cancel, self._session, id)

    @_session.TEXT_ARGUMENTS
    def wait(self, id, limit_s="3600"):
        """Wait until a job has ended, at most LIMIT_S seconds."""
        return _session.make_command(_wait, self._session, id, limit_s)


def _submit(session, path, settings, job_id):
    body = {"path": path, "id": job_id or uuid.uuid4().hex}
    for name, text in settings.items():
        name = name.removeprefix("job.")
        if name in body:
            raise _session.CommandExit(
                _session.EXIT_USAGE, f"{name} is given twice"
            )
        body[name] = schema.parse_value(f"job.{name}", text)
    reply = session.send("POST", "/v1/jobs", body)
    if reply.ok and reply.field("id") == body["id"]:
        session.print_result(reply.body, f"accepted: job {body['id']}")
        return
    if reply.maybe_executed or reply.ok:
        words = [f"{name}={text}" for name, text in settings.items()]
        repeat = ["job", "submit", path, *words, "--id", body["id"]]
        raise _session.unknown_outcome_exit(session, reply, repeat)
    raise _session.refusal_exit(reply)


def _show_job(session, job_id):
    body = session.get_body(f"/v1/jobs/{_client.quote(job_id)}", "id")
    rows = [item for item in body.items() if item[0] != "task_states"]
    for task in body.get("task_states") or []:
        place = f" on {task['worker']}" if task.get("worker") else ""
        rows.append((f"task {task['index']}", f"{task['state']}{place}"))
    session.print_table(body, ("FIELD", "VALUE"), rows)


def _list_jobs(session, limit, after):
    query = urllib.parse.urlencode({"limit": limit, "after": after})
    body = session.get_body(f"/v1/jobs?{query}", "jobs")
    rows = [
        (job.get("id", ""), job.get("path", ""), job.get("state", ""))
        for job in body["jobs"]
    ]
    session.print_table(body, ("JOB", "PATH", "STATE"), rows)


def _cancel(session, job_id):
    reply = session.send("DELETE", f"/v1/jobs/{_client.quote(job_id)}")
    if reply.status == 202:
        session.print_result(
            reply.body, f"accepted: job {job_id} is cancelled"
        )
        return
    if reply.maybe_executed or reply.ok:
        raise _session.unknown_outcome_exit(
            session, reply, ["job", "cancel", job_id]
        )
    raise _session.refusal_exit(reply)


def _wait(session, job_id, limit_s):
    try:
        polls = max(1, int(float(limit_s) / POLL_INTERVAL_S))
    except (ValueError, OverflowError):
        text = f"--limit_s {limit_s}: should be a number of seconds"
        raise _session.CommandExit(_session.EXIT_USAGE, text) from None
    state = "not known"
    for poll in range(polls):
        if poll:
            session.sleep(POLL_INTERVAL_S)
        reply = session.send("GET", f"/v1/jobs/{_client.quote(job_id)}")
        if reply.status == 404:
            raise _session.refusal_exit(reply)
        if not reply.ok:
            continue
        state = reply.field("state") or "not known"
        if state in SUCCESS_STATES:
            session.print_result(reply.body, f"job {job_id}: {state}")
            return
        if state in FAILURE_STATES:
            raise _session.CommandExit(
                _session.EXIT_REFUSED, f"job {job_id}: {state}"
            )
        if state == "held":
            text = (
                f"job {job_id} is held ({reply.field('reason')}); correct it,"
                " cancel it, and submit it under a new id"
            )
            raise _session.CommandExit(_session.EXIT_REFUSED, text)
        if state == "unknown":
            text = (
                f"job {job_id}: a task may have run and is not run again; "
                "check its effects"
            )
            raise _session.CommandExit(_session.EXIT_UNKNOWN, text)
    text = f"job {job_id} has not ended: {state}; wait again or look at it"
    raise _session.CommandExit(
        _session.EXIT_UNKNOWN,
        f"{text} with `citrondealctl job status {job_id}`",
    )
