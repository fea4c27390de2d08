"""HTTP interface for the platform's clients."""

import logging
import re
import time

import msgspec

from citrondeal import errors
from citrondeal import telemetry
from citrondeal import web
from citrondeal import workflow

# A POST whose deadline is unknown gets its answer within this time.
DEFAULT_DEADLINE_S = 3.0
# Taken off the client's deadline, for the way of the answer.
ANSWER_MARGIN_S = 0.1
RETRY_AFTER_S = 1.0
SPEC_LIMIT = 4000  # bytes
TASK_LIMIT = 10_000  # tasks of a step

_LOG = logging.getLogger(__name__)

_JOB_ID = re.compile(r"[0-9a-f]{16}")

# Fields of a step that are accepted by no module yet.
_UNSUPPORTED = ("long-running", "fills")


class _Step(msgspec.Struct, rename="kebab"):
    count: int = 1
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimate_ms: float = 0.0
    after: list[int] = []
    saves_progress: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_server: int = 0
    speculative: bool = False
    long_running: bool = False
    fills: bool = False


class _Job(msgspec.Struct, rename="kebab"):
    spec: str
    steps: list[_Step]
    repeat_count: int = 0


_JOB = msgspec.json.Decoder(_Job)


def build_app(api, body_limit):
    """Return the ASGI application for clients.

    Parameters
    ----------
    api : object
        ``catalog()`` returns the `Catalog` in force or None;
        ``await submit(submission, deadline_s)``, ``await cancel(queue,
        job, deadline_s)``, ``await state(queue, job, deadline_s)`` and
        ``await backlog(queue, deadline_s)`` return a `result.Result`.
    body_limit : int
        Largest body in bytes.
    """
    app = web.App(body_limit)
    for method, handle in (
        ("POST", _submit),
        ("GET", _show),
        ("DELETE", _cancel),
    ):
        app.add_route(method, "/{path*}", _routed(api, handle))
    return app


def _routed(api, handle):
    async def respond(request):
        catalog = api.catalog()
        if catalog is None:
            return _refusal(
                request, errors.Kind.UNAVAILABLE, "no configuration yet"
            )
        queue = catalog.find(request.headers.get("host", ""), request.path)
        if queue is None:
            return _refusal(
                request,
                errors.Kind.UNKNOWN_SERVICE,
                f"no such queue in version {catalog.version}",
            )
        return await handle(api, queue, request)

    return respond


async def _submit(api, queue, request):
    job_id = request.path[len(queue.prefix) :]
    if not _JOB_ID.fullmatch(job_id):
        return _refusal(request, errors.Kind.MALFORMED, "invalid job id")
    try:
        job = _JOB.decode(request.body)
        submission = _submission(job_id, job, queue.policy)
    except (msgspec.DecodeError, UnicodeDecodeError, ValueError) as exc:
        return _refusal(request, errors.Kind.MALFORMED, str(exc))
    unsupported = _unsupported(job)
    if unsupported:
        return _refusal(request, errors.Kind.OVERLOADED, unsupported)
    return _answer(await api.submit(submission, _deadline_s(request)))


async def _show(api, queue, request):
    job_id = request.path[len(queue.prefix) :]
    deadline_s = _deadline_s(request)
    name = queue.policy.queue
    if not job_id:
        outcome = await api.backlog(name, deadline_s)
        return _answer(outcome, lambda count: {"pending": count})
    outcome = await api.state(name, job_id, deadline_s)
    if outcome.is_ok() and outcome.ok_value is None:
        return web.Response(410)
    return _answer(outcome, lambda state: {"state": state})


async def _cancel(api, queue, request):
    job_id = request.path[len(queue.prefix) :]
    if not _JOB_ID.fullmatch(job_id):
        return web.Response(410)
    deadline_s = _deadline_s(request)
    return _answer(await api.cancel(queue.policy.queue, job_id, deadline_s))


def _submission(job_id, job, policy):
    if not job.steps:
        raise ValueError("a job needs a step")
    if len(job.spec.encode()) > SPEC_LIMIT:
        raise ValueError("the spec is too long")
    steps = tuple(_step(i, step) for i, step in enumerate(job.steps))
    return workflow.Submission(job_id, job.spec, steps, policy, time.time())


def _step(index, step):
    if not 1 <= step.count <= TASK_LIMIT:
        raise ValueError("invalid number of tasks")
    if any(not 0 <= i < index for i in step.after):
        raise ValueError("a step may only follow earlier steps")
    return workflow.Step(
        tasks=step.count,
        size=workflow.Size(step.cpu, step.mem_mb, step.gpu),
        estimate_s=step.estimate_ms / 1000.0,
        after=tuple(step.after),
        gang=step.gang,
        same_rack=step.same_rack,
        label=step.required_label,
        rack=step.data_rack,
        spread=step.max_per_server,
        speculative=step.speculative,
        saves=step.saves_progress,
    )


def _unsupported(job):
    if job.repeat_count:
        return "recurring jobs are not supported yet"
    if any(step.long_running or step.fills for step in job.steps):
        return f"not supported yet: {' and '.join(_UNSUPPORTED)} steps"
    return ""


def _deadline_s(request):
    text = request.headers.get("x-deadline-ms", "")
    seconds = int(text) / 1000.0 if text.isdigit() else DEFAULT_DEADLINE_S
    return max(ANSWER_MARGIN_S, seconds - ANSWER_MARGIN_S)


def _answer(outcome, convert=lambda value: {}):
    if outcome.is_err():
        return web.failure_response(outcome.err_value)
    return web.json_response(convert(outcome.ok_value))


def _refusal(request, kind, message):
    telemetry.event(
        _LOG,
        logging.INFO,
        "request is refused",
        method=request.method,
        host=request.headers.get("host", ""),
        path=request.path,
        kind=kind.value,
        reason=message,
    )
    may_retry = kind in (errors.Kind.UNAVAILABLE, errors.Kind.OVERLOADED)
    retry_s = RETRY_AFTER_S if may_retry else None
    return web.failure_response(errors.Failure(kind, message, retry_s))
