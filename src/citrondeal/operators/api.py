"""HTTP application for operators: tree, jobs, health and debugging."""

import functools
import logging
import re
import uuid

import msgspec
import msgspec.structs
import result

from citrondeal import errors
from citrondeal.operators import _backend
from citrondeal.operators import _models
from citrondeal import telemetry
from citrondeal import tree as tree_package
from citrondeal.tree import schema
from citrondeal import web

__all__ = ["add_probes", "build_app", "decided_before_append", "tree_views"]

MAX_LISTED_JOBS = 1000

_LOG = logging.getLogger(__name__)

_KIND_BY_REASON_CODE = {
    tree_package.ReasonCode.CONFLICT: errors.Kind.CONFLICT,
    tree_package.ReasonCode.AHEAD: errors.Kind.CONFLICT,
    tree_package.ReasonCode.ID_REUSED: errors.Kind.CONFLICT,
    tree_package.ReasonCode.INVALID: errors.Kind.INVALID_SETTING,
    tree_package.ReasonCode.MALFORMED: errors.Kind.MALFORMED,
}


def build_app(backend, body_limit=1024 * 1024):
    """Return the operators' application.

    Parameters
    ----------
    backend : citrondeal.operators.Backend
        Callables of the daemon that answer the requests.
    body_limit : int
        Largest accepted body in bytes.

    Returns
    -------
    citrondeal.web.App
        With the routes of the tree, jobs, health and debugging.
    """
    app = web.App(body_limit)
    routes = [
        ("GET", "/v1/tree", _show_tree),
        ("GET", "/v1/tree/node/{path*}", _show_node),
        ("GET", "/v1/tree/history/{path*}", _show_history),
        ("POST", "/v1/tree/edits", _edit),
        ("POST", "/v1/jobs", _submit),
        ("GET", "/v1/jobs", _list_jobs),
        ("GET", "/v1/jobs/{id}", _show_job),
        ("DELETE", "/v1/jobs/{id}", _cancel),
    ]
    _add_routes(app, routes, backend)
    add_probes(app, backend)
    return app


def add_probes(app, probes):
    """Add the health, debugging and drain routes that every daemon serves.

    Parameters
    ----------
    app : citrondeal.web.App
        Application to extend.
    probes : citrondeal.operators.Probes
        Callables of the daemon; a `Backend` is accepted too.
    """
    routes = [
        ("GET", "/livez", _live),
        ("GET", "/readyz", _ready),
        ("GET", "/metrics", _metrics),
        ("GET", "/debug/state", _dump),
        ("POST", "/debug/log-level", _set_log_level),
        ("POST", "/v1/drain", _drain),
    ]
    _add_routes(app, routes, probes)


def _add_routes(app, routes, backend):
    for method, pattern, handler in routes:
        app.add_route(method, pattern, functools.partial(handler, backend))


def tree_views(current):
    """Return the read-only tree callables of a `Backend`.

    Parameters
    ----------
    current : callable
        Returns the current `citrondeal.tree.Tree` of the daemon; it is
        called for each request because a snapshot may replace the
        object.

    Returns
    -------
    dict
        Fields ``tree``, ``node`` and ``history`` of a `Backend`.
    """

    async def listing(below):
        if below not in schema.CONTAINERS and schema.kind_of(below) is None:
            return result.Err(_unknown_path_failure(below))
        return result.Ok(current().listing(below))

    async def node(path):
        found = current().describe(path)
        if found is None:
            return result.Err(_unknown_path_failure(path))
        return result.Ok(found)

    async def history(path):
        if schema.kind_of(path) is None:
            return result.Err(_unknown_path_failure(path))
        return result.Ok(current().history(path))

    return {"tree": listing, "node": node, "history": history}


def decided_before_append(tree, edit):
    """Return the outcome of an edit that needs no append to the log.

    Parameters
    ----------
    tree : citrondeal.tree.Tree
        Tree of this replica.
    edit : citrondeal.tree.Edit
        Edit that an operator sent.

    Returns
    -------
    result.Result[citrondeal.tree.Outcome or None, errors.Failure]
        ``Ok(None)`` if the record has to be appended; an outcome if the
        edit id is known or the edit is refused in any case; a failure of
        kind ``unavailable`` if this replica has not read the log up to
        the base version of the edit yet.
    """
    outcome = tree.check(edit)
    if outcome.verdict is tree_package.Verdict.ACCEPTED:
        return result.Ok(None)
    if outcome.code is tree_package.ReasonCode.AHEAD:
        message = f"this server has not read that far: {outcome.reason}"
        failure = errors.Failure(errors.Kind.UNAVAILABLE, message, 1.0)
        return result.Err(failure)
    return result.Ok(outcome)


def _unknown_path_failure(path):
    message = (
        f"{path} is not /, /services/<name>, /batch/<name>[/<leaf>] or "
        "/teams/<name>"
    )
    return errors.Failure(errors.Kind.UNKNOWN_PATH, message)


def _parse_body(model, request):
    """Return the validated body as `result.Result`."""
    try:
        return result.Ok(msgspec.json.decode(request.body, type=model))
    except RecursionError:
        message = "body is nested too deeply"
        return result.Err(errors.Failure(errors.Kind.MALFORMED, message))
    except msgspec.DecodeError as exc:
        message = _models.describe_decode_error(exc)
        return result.Err(errors.Failure(errors.Kind.MALFORMED, message))


def _response(outcome, status=200, request_id=None):
    if outcome.is_err():
        return web.failure_response(outcome.unwrap_err(), request_id)
    return web.json_response(outcome.unwrap(), status)


async def _show_tree(backend, request):
    below = schema.normalize_path(request.query.get("below", "/"))
    return _response(await backend.tree(below))


async def _show_node(backend, request):
    path = schema.normalize_path(request.params["path"])
    return _response(await backend.node(path))


async def _show_history(backend, request):
    path = schema.normalize_path(request.params["path"])
    found = await backend.history(path)
    return _response(found.map(lambda edits: {"path": path, "edits": edits}))


async def _edit(backend, request):
    parsed = _parse_body(_models.EditBody, request)
    if parsed.is_err():
        return web.failure_response(parsed.unwrap_err())
    body = parsed.unwrap()
    edit = tree_package.Edit(
        body.edit_id,
        body.path,
        body.base,
        body.set,
        tuple(body.unset),
        body.delete,
        body.author,
    )
    outcome = await backend.edit(edit)
    if outcome.is_err():
        return _failed_edit_response(outcome.unwrap_err(), edit)
    return _edit_response(outcome.unwrap(), edit)


def _failed_edit_response(failure, edit):
    maybe_executed = failure.run is not errors.Run.NOT_RUN
    body = errors.body_of(failure, edit.edit_id)
    body["outcome"] = "unknown" if maybe_executed else "refused"
    body["edit_id"] = edit.edit_id
    return _response_with_body(body, failure, edit.edit_id)


def _edit_response(outcome, edit):
    repeated = outcome.code is tree_package.ReasonCode.REPEATED
    if repeated:
        outcome = outcome.first_outcome
    fields = {
        "edit_id": edit.edit_id,
        "path": edit.path,
        "code": outcome.code.value,
        "repeated": repeated,
        # Only an outcome that was read back from the log has an offset.
        "offset": None if outcome.offset < 0 else outcome.offset,
    }
    if outcome.verdict is tree_package.Verdict.ACCEPTED:
        fields |= {"outcome": "accepted", "version": outcome.version}
        return web.json_response(fields)
    kind = _KIND_BY_REASON_CODE.get(outcome.code, errors.Kind.INTERNAL)
    failure = errors.Failure(kind, outcome.reason)
    fields |= errors.body_of(failure, edit.edit_id)
    fields["outcome"] = "rejected"
    fields["winner"] = None
    if outcome.winner is not None:
        fields["winner"] = {
            "edit_id": outcome.winner.edit_id,
            "version": outcome.winner.version,
            "author": outcome.winner.author,
        }
    return _response_with_body(fields, failure, edit.edit_id)


def _response_with_body(body, failure, request_id):
    """Return the response to a failure, with its headers, but another body."""
    response = web.failure_response(failure, request_id)
    response.body = web.json_response(body).body
    return response


async def _submit(backend, request):
    parsed = _parse_body(_models.JobBody, request)
    if parsed.is_err():
        return web.failure_response(parsed.unwrap_err())
    fields = msgspec.structs.asdict(parsed.unwrap())
    fields["id"] = fields["id"] or uuid.uuid4().hex
    job = _backend.JobRequest(**fields)
    outcome = await backend.submit(job)
    return _response(
        outcome.map(lambda body: {"id": job.id, **body}), 202, job.id
    )


async def _list_jobs(backend, request):
    text = request.query.get("limit", "100")
    if (
        not re.fullmatch(r"[1-9][0-9]{0,3}", text)
        or int(text) > MAX_LISTED_JOBS
    ):
        message = f"limit should be 1 to {MAX_LISTED_JOBS}"
        failure = errors.Failure(errors.Kind.MALFORMED, message)
        return web.failure_response(failure)
    query = _backend.JobQuery(int(text), request.query.get("after", ""))
    return _response(await backend.jobs(query))


async def _show_job(backend, request):
    job_id = request.params["id"]
    return _response(await backend.job(job_id), 200, job_id)


async def _cancel(backend, request):
    job_id = request.params["id"]
    return _response(await backend.cancel(job_id), 202, job_id)


async def _live(backend, request):
    return _response(await backend.live())


async def _ready(backend, request):
    return _response(await backend.ready())


async def _metrics(backend, request):
    found = await backend.metrics()
    if found.is_err():
        return web.failure_response(found.unwrap_err())
    headers = {"content-type": "application/json"}
    return web.Response(200, found.unwrap().encode(), headers)


async def _dump(backend, request):
    return _response(await backend.dump())


async def _set_log_level(backend, request):
    parsed = _parse_body(_models.LevelBody, request)
    if parsed.is_err():
        return web.failure_response(parsed.unwrap_err())
    level = parsed.unwrap().level
    logging.getLogger().setLevel(level.upper())
    telemetry.event(
        _LOG, logging.WARNING, "logging level set", new_level=level
    )
    return web.json_response({"level": level})


async def _drain(backend, request):
    return _response(await backend.drain(), 202)
