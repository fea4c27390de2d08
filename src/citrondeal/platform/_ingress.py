"""HTTP interface through which clients submit, query and cancel jobs."""

import contextlib
import functools
import logging
import re
import time
from typing import Annotated

import anyio
import msgspec

from citrondeal import errors
from citrondeal.platform import _access
from citrondeal.platform import _form
from citrondeal import telemetry
from citrondeal import web
from citrondeal import workflow

# Deadline of a request that doesn't name a valid one.
DEFAULT_DEADLINE_S = 3.0
KEY_HEADER = "x-credential"
# Subtracted from the client's deadline, for the transfer of the answer.
ANSWER_MARGIN_S = 0.1
RETRY_AFTER_S = 1.0
MAX_SPEC_BYTES = 4000
# Largest size of a task in each resource, and longest estimate in
# milliseconds; larger numbers could not be stored.
MAX_AMOUNT = 2**31
MAX_DEADLINE_DIGITS = 9
# Large submissions that wait to be decoded: 0.2 s at 5 ms each.
MAX_WAITING_FORMS = 40
# Refusals of a kind that are logged in a period; clients can cause any number.
MAX_LOGGED = 50
LOG_PERIOD_S = 1.0
MAX_LOGGED_CHARS = 500  # of a path or a reason, which may repeat the path

_LOG = logging.getLogger(__name__)

_JOB_ID_PATTERN = re.compile(r"[0-9a-f]{16}")

# Fields of a step whose jobs are refused because nothing implements them yet.
_UNSUPPORTED_STEP_FIELDS = ("long-running", "fills")


_Amount = Annotated[int, msgspec.Meta(ge=0, le=MAX_AMOUNT)]


class _Step(msgspec.Struct, rename="kebab"):
    count: int = 1
    cpu: _Amount = 0
    mem_mb: _Amount = 0
    gpu: _Amount = 0
    estimate_ms: Annotated[float, msgspec.Meta(ge=0, le=MAX_AMOUNT)] = 0.0
    after: list[int] = []
    saves_progress: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_server: _Amount = 0
    speculative: bool = False
    long_running: bool = False
    fills: bool = False
    image: str = ""


class _Job(msgspec.Struct, rename="kebab"):
    spec: str
    steps: Annotated[list[_Step], msgspec.Meta(max_length=workflow.MAX_STEPS)]
    repeat_count: int = 0


_JOB_DECODER = msgspec.json.Decoder(_Job)

_REFUSAL_LINES = telemetry.LineLimit(MAX_LOGGED, LOG_PERIOD_S)


def build_app(api, body_limit, access_policy=_access.AccessPolicy()):
    """Return the ASGI application for clients.

    Parameters
    ----------
    api : object
        ``catalog()`` returns the `Catalog` in force or None;
        ``catalog_age_s()`` returns the seconds since that was known to be
        the newest; ``await submit(submission, deadline_s)``,
        ``await cancel(caller, job, deadline_s)``,
        ``await state(caller, job, deadline_s)`` and
        ``await backlog(queue, deadline_s)`` return a `result.Result`.
    body_limit : int
        Largest body in bytes.
    access_policy : AccessPolicy
    """
    app = web.App(body_limit)
    check = _make_check(api, access_policy)
    large_forms = anyio.Lock()
    for method, handle in (
        ("POST", functools.partial(_submit, api, large_forms)),
        ("GET", functools.partial(_get, api)),
        ("DELETE", functools.partial(_cancel, api)),
    ):
        app.add_route(method, "/{path*}", _with_access(handle), check)
    return app


def _make_check(api, policy):
    """Return the decision about a call, which comes before its body."""

    def check(request):
        catalog = api.catalog()
        age_s = api.catalog_age_s()
        access = _access.decide(
            policy,
            catalog,
            age_s,
            request.headers.get("host", ""),
            request.path,
            request.headers.get(KEY_HEADER, ""),
        )
        if isinstance(access, errors.Failure):
            return _refuse(
                request,
                access.kind,
                access.message,
                access.retry_after_s,
                config_version=catalog.version if catalog else 0,
                config_age_s=round(age_s, 3),
            )
        request.body_limit = min(request.body_limit, catalog.body_limit)
        return access

    return check


def _with_access(handle):
    async def respond(request):
        return await handle(request.prepared, request)

    return respond


async def _submit(api, large_forms, access, request):
    queue = access.queue
    job_id = request.path[len(queue.prefix) :]
    if not _JOB_ID_PATTERN.fullmatch(job_id):
        return _refuse(
            request,
            errors.Kind.MALFORMED,
            f"invalid job id {job_id!r}: expected 16 digits, 0-9 or a-f",
        )
    try:
        # Large ones one after the other: the event loop would otherwise decode
        # those of all connections in one turn.
        is_large = _form.is_large(request.body)
        if (
            is_large
            and large_forms.statistics().tasks_waiting >= MAX_WAITING_FORMS
        ):
            return _refuse(
                request,
                errors.Kind.UNAVAILABLE,
                "too many large submissions wait to be decoded",
            )
        async with large_forms if is_large else contextlib.nullcontext():
            size = _form.measure(request.body)
            if request.reserve and not request.reserve(
                size, web.Refusal.DECODED_BUDGET
            ):
                return _refuse(
                    request,
                    errors.Kind.UNAVAILABLE,
                    "no memory is left for a submission of this size",
                )
            job = _JOB_DECODER.decode(request.body)
            submission = _build_submission(job_id, job, access)
    except (msgspec.DecodeError, RecursionError, ValueError) as exc:
        return _refuse(request, errors.Kind.MALFORMED, str(exc))
    unsupported = _unsupported_reason(job)
    if unsupported:
        # The answer 429 tells the client that the job has not run.
        return _refuse(request, errors.Kind.OVERLOADED, unsupported)
    account = api.catalog().accounts.get(access.account)
    if account is not None:
        try:
            workflow.check_cap(submission.steps, account)
        except workflow.LimitError as exc:
            return _refuse(request, errors.Kind.OVERLOADED, str(exc))
    return _make_response(
        await api.submit(submission, _parse_deadline_s(request))
    )


async def _get(api, access, request):
    queue = access.queue
    job_id = request.path[len(queue.prefix) :]
    deadline_s = _parse_deadline_s(request)
    name = queue.policy.queue
    if not job_id:
        outcome = await api.backlog(name, deadline_s)
        return _make_response(outcome, lambda count: {"pending": count})
    outcome = await api.state(_caller(access), job_id, deadline_s)
    if outcome.is_ok() and outcome.ok_value is None:
        return web.Response(410)
    return _make_response(outcome, lambda state: {"state": state})


async def _cancel(api, access, request):
    queue = access.queue
    job_id = request.path[len(queue.prefix) :]
    if not _JOB_ID_PATTERN.fullmatch(job_id):
        return web.Response(410)
    deadline_s = _parse_deadline_s(request)
    return _make_response(
        await api.cancel(_caller(access), job_id, deadline_s)
    )


def _caller(access):
    return workflow.Caller(access.account, access.queue.policy.queue)


def _build_submission(job_id, job, access):
    if not job.steps:
        raise ValueError("job has no steps; it needs at least one")
    if len(job.spec.encode()) > MAX_SPEC_BYTES:
        raise ValueError(f"spec is longer than {MAX_SPEC_BYTES} bytes")
    steps = tuple(_build_step(i, step) for i, step in enumerate(job.steps))
    workflow.check_steps(steps)
    submission = workflow.Submission(
        job_id,
        job.spec,
        steps,
        access.queue.policy,
        time.time(),
        access.account,
    )
    workflow.check_record(workflow.encode(submission))
    return submission


def _build_step(index, step):
    if step.count < 1:
        raise ValueError(
            f"step {index} has {step.count} tasks; expected 1 or more"
        )
    if any(not 0 <= i < index for i in step.after):
        raise ValueError(
            f"step {index} may only come after steps with a lower index"
        )
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
        image=step.image,
    )


def _unsupported_reason(job):
    if job.repeat_count:
        return "recurring jobs are not supported yet: repeat-count must be 0"
    if any(step.long_running or step.fills for step in job.steps):
        return (
            f"steps with {' or '.join(_UNSUPPORTED_STEP_FIELDS)}"
            " are not supported yet"
        )
    return ""


def _parse_deadline_s(request):
    text = request.headers.get("x-deadline-ms", "")
    seconds = DEFAULT_DEADLINE_S
    # Digits of other scripts and very long numbers are no valid deadlines.
    if re.fullmatch("[0-9]{1,%d}" % MAX_DEADLINE_DIGITS, text):
        seconds = int(text) / 1000.0
    return max(ANSWER_MARGIN_S, seconds - ANSWER_MARGIN_S)


def _make_response(outcome, convert=lambda value: {}):
    if outcome.is_err():
        return web.failure_response(outcome.err_value)
    return web.json_response(convert(outcome.ok_value))


def _refuse(request, kind, message, retry_after_s=None, **log_fields):
    omitted = _REFUSAL_LINES.add(kind, time.monotonic())
    if omitted is not None:
        telemetry.event(
            _LOG,
            logging.INFO,
            "request is refused",
            method=request.method,
            host=request.headers.get("host", ""),
            path=request.path[:MAX_LOGGED_CHARS],
            kind=kind.value,
            reason=message[:MAX_LOGGED_CHARS],
            **log_fields,
            omitted=omitted,
        )
    may_retry = kind in (errors.Kind.UNAVAILABLE, errors.Kind.OVERLOADED)
    if may_retry and retry_after_s is None:
        retry_after_s = RETRY_AFTER_S
    return web.failure_response(errors.Failure(kind, message, retry_after_s))
