"""In-process fake of several operators' servers, without sockets."""

import json

import httpcore
import result

from citrondeal import errors
from citrondeal import operators
from citrondeal.operators import api
from citrondeal import tree as tree_package


def run_app(app, method, path, content=b""):
    """Return status, headers and body of one request to an application."""
    path, _, query = path.partition("?")
    sent = []
    scope = {
        "type": "http",
        "method": method,
        "path": path,
        "query_string": query.encode(),
        "headers": [],
    }

    async def receive():
        return {"type": "http.request", "body": content}

    async def send(event):
        sent.append(event)

    try:
        # No coroutine of the fake suspends, so one send() completes it.
        app(scope, receive, send).send(None)
    except StopIteration:
        pass
    headers = {
        name.decode(): text.decode() for name, text in sent[0]["headers"]
    }
    return sent[0]["status"], headers, sent[1]["body"]


class Cell:
    """Servers that share a log of edits and a table of jobs.

    `modes` maps the URL of a server to its fault:

    - ``up``: none, the default
    - ``down``: refuses connections
    - ``silent``: reads requests, but neither runs nor answers them
    - ``loses_answers``: runs requests, but its answers to writes are lost
    - ``unavailable``: answers that it is unavailable
    - ``behind``: has not read the log
    - ``no_read_back``: appends edits, but cannot read them back
    - ``foreign``: another program, which answers 200
    - ``proxy``: another program, which answers 404
    """

    def __init__(self):
        self.log = []
        self.jobs = {}
        self.modes = {}
        self.trees = {}
        self.requests = []
        self.before_next_write = None
        self.drained = []

    def tree(self, server):
        tree = self.trees.setdefault(server, tree_package.Tree())
        if self.modes.get(server) != "behind":
            for offset, record in enumerate(self.log):
                tree.apply(offset, record)
        return tree

    def exchange(self, server, method, path, body):
        """Answer like `_client.exchange`."""
        self.requests.append((server, method, path, body))
        mode = self.modes.get(server, "up")
        if mode == "down":
            raise httpcore.ConnectError("refused")
        if mode == "silent":
            raise httpcore.ReadTimeout("timed out")
        if mode == "foreign":
            return 200, {"hello": "world"}
        if mode == "proxy":
            return 404, None
        if method == "POST" and self.before_next_write is not None:
            self.before_next_write, hook = None, self.before_next_write
            hook()
        content = b"" if body is None else json.dumps(body).encode()
        app = api.build_app(self.backend(server))
        status, _, answer = run_app(app, method, path, content)
        if mode == "loses_answers" and method != "GET":
            raise httpcore.RemoteProtocolError("connection closed")
        return status, json.loads(answer or b"null")

    def append(self, **edit):
        self.log.append({"kind": "edit", "set": {}, **edit})

    def backend(self, server):
        """Return the backend of one server."""
        tree = self.tree(server)
        mode = self.modes.get(server)
        unavailable = errors.Failure(
            errors.Kind.UNAVAILABLE, "log unreachable", 2.0
        )

        async def edit(request):
            if mode == "unavailable":
                return result.Err(unavailable)
            early_answer = api.decided_before_append(tree, request)
            if early_answer.is_err() or early_answer.unwrap() is not None:
                return early_answer
            record = tree_package.edit_record(request)
            self.log.append(json.loads(json.dumps(record)))
            if mode == "no_read_back":
                kind = errors.Kind.UNKNOWN_OUTCOME
                return result.Err(errors.Failure(kind, "not read back"))
            offset = len(self.log) - 1
            return result.Ok(tree.apply(offset, self.log[offset]))

        async def submit(job):
            if mode == "unavailable":
                return result.Err(unavailable)
            if job.cores and job.cores > 100:
                kind = errors.Kind.NEVER_FITS
                return result.Err(errors.Failure(kind, "larger than any VM"))
            fields = {"path": job.path, "state": "queued", "job": job}
            self.jobs.setdefault(job.id, fields)
            return result.Ok({})

        async def jobs(query):
            ids = [name for name in sorted(self.jobs) if name > query.after]
            listed = [
                _job_summary(name, self.jobs) for name in ids[: query.limit]
            ]
            return result.Ok({"jobs": listed})

        async def job(job_id):
            if job_id in self.jobs:
                return result.Ok(_job_summary(job_id, self.jobs))
            kind = errors.Kind.UNKNOWN_JOB
            return result.Err(errors.Failure(kind, f"no job {job_id}"))

        async def cancel(job_id):
            found = await job(job_id)
            if found.is_ok():
                self.jobs[job_id]["state"] = "cancelled"
            return found

        async def drain():
            self.drained.append(server)
            return result.Ok({"draining": True})

        async def ready():
            return (
                result.Err(unavailable)
                if mode == "unavailable"
                else _OK_RESULT
            )

        async def metrics():
            return result.Ok('{"resource_metrics": []}')

        async def ok():
            return _OK_RESULT

        return operators.Backend(
            **api.tree_views(lambda: tree),
            edit=edit,
            submit=submit,
            jobs=jobs,
            job=job,
            cancel=cancel,
            live=ok,
            ready=ready,
            metrics=metrics,
            dump=ok,
            drain=drain,
        )


_OK_RESULT = result.Ok({"ok": True})


def _job_summary(job_id, jobs):
    fields = jobs[job_id]
    return {"id": job_id, "path": fields["path"], "state": fields["state"]}
