"""A cell of operators' servers in one process, without sockets."""

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
        # Nothing in the fake cell waits, so one step runs to the end.
        app(scope, receive, send).send(None)
    except StopIteration:
        pass
    headers = {
        name.decode(): text.decode() for name, text in sent[0]["headers"]
    }
    return sent[0]["status"], headers, sent[1]["body"]


class Cell:
    """Servers that share a log of edits and a table of jobs.

    `modes` gives the condition of each server: ``up``, ``down`` (refuses
    connections), ``silent`` (reads requests, does nothing), ``deaf`` (does
    what is asked, but its answers are lost), ``unavailable`` (answers so),
    ``behind`` (has not read the log), ``unsure`` (appends, but cannot read
    back), ``foreign`` (is something else that answers 200), ``proxy`` (is
    something else that answers 404).
    """

    def __init__(self):
        self.log = []
        self.jobs = {}
        self.modes = {}
        self.trees = {}
        self.requests = []
        self.before_edit = None
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
        if method == "POST" and self.before_edit is not None:
            self.before_edit, hook = None, self.before_edit
            hook()
        content = b"" if body is None else json.dumps(body).encode()
        app = api.build_app(self.backend(server))
        status, _, answer = run_app(app, method, path, content)
        if mode == "deaf" and method != "GET":
            raise httpcore.RemoteProtocolError("connection closed")
        return status, json.loads(answer or b"null")

    def append(self, **edit):
        self.log.append({"kind": "edit", "set": {}, **edit})

    def backend(self, server):
        """Return the backend of one server."""
        tree = self.tree(server)
        mode = self.modes.get(server)
        away = errors.Failure(errors.Kind.UNAVAILABLE, "log unreachable", 2.0)

        async def edit(request):
            if mode == "unavailable":
                return result.Err(away)
            decided = api.decided_before_append(tree, request)
            if decided.is_err() or decided.unwrap() is not None:
                return decided
            record = tree_package.edit_record(request)
            self.log.append(json.loads(json.dumps(record)))
            if mode == "unsure":
                kind = errors.Kind.UNKNOWN_OUTCOME
                return result.Err(errors.Failure(kind, "not read back"))
            offset = len(self.log) - 1
            return result.Ok(tree.apply(offset, self.log[offset]))

        async def submit(job):
            if mode == "unavailable":
                return result.Err(away)
            if job.cores and job.cores > 100:
                kind = errors.Kind.NEVER_FITS
                return result.Err(errors.Failure(kind, "larger than any VM"))
            fields = {"path": job.path, "state": "queued", "job": job}
            self.jobs.setdefault(job.id, fields)
            return result.Ok({})

        async def jobs(query):
            ids = [name for name in sorted(self.jobs) if name > query.after]
            listed = [_shown(name, self.jobs) for name in ids[: query.limit]]
            return result.Ok({"jobs": listed})

        async def job(job_id):
            if job_id in self.jobs:
                return result.Ok(_shown(job_id, self.jobs))
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
            return result.Err(away) if mode == "unavailable" else _OK

        async def metrics():
            return result.Ok('{"resource_metrics": []}')

        async def fine():
            return _OK

        return operators.Backend(
            **api.tree_views(lambda: tree),
            edit=edit,
            submit=submit,
            jobs=jobs,
            job=job,
            cancel=cancel,
            live=fine,
            ready=ready,
            metrics=metrics,
            dump=fine,
            drain=drain,
        )


_OK = result.Ok({"ok": True})


def _shown(job_id, jobs):
    fields = jobs[job_id]
    return {"id": job_id, "path": fields["path"], "state": fields["state"]}
