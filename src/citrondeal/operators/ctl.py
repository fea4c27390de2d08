"""Command line for operators.

Every command is first built and run only after all arguments have been
understood: fire calls a function before it reports an argument that it
does not know, so that a mistyped option would otherwise be reported after
the edit.
"""

import dataclasses
import difflib
import json as json_module
import os
import shlex
import sys
import time
import urllib.parse
import uuid

import fire

from citrondeal import config
from citrondeal.operators import _client
from citrondeal.tree import schema

__all__ = ["main", "run"]

OK = 0
REFUSED = 1
USAGE = 2
UNKNOWN = 3

SERVERS_VARIABLE = "CITRONDEAL_SERVERS"
POLL_S = 1.0
SUCCEEDED = ("finished",)
ENDED = ("failed", "cancelled")


class _Stop(Exception):
    """End of a command with an exit status and a text for the operator."""

    def __init__(self, status, text):
        super().__init__(text)
        self.status = status
        self.text = text


@dataclasses.dataclass(frozen=True, slots=True)
class _Command:
    """A command whose arguments have been understood."""

    _call: object
    _args: tuple


def _command(function, *args):
    return _Command(function, args)


_TEXT = fire.decorators.SetParseFn(str)


@dataclasses.dataclass(frozen=True, slots=True)
class _Session:
    """What every command needs.

    Attributes
    ----------
    servers : tuple of str
        Base URLs, in the order in which they are asked.
    as_json : bool
        Print the JSON body and no table.
    environ : dict
        Environment variables.
    sleep : callable
        ``sleep(seconds)``.
    exchange : callable
        Sends to one server, see `_client.exchange`.
    out, err : file
        Where results and messages go.
    """

    servers: tuple
    as_json: bool
    environ: dict
    sleep: object
    exchange: object
    out: object
    err: object

    def send(self, method, path, body=None):
        """Send to the servers in order, see `_client.send`."""
        servers = self.need_servers()
        return _client.send(servers, method, path, body, self.exchange)

    def send_to(self, server, method, path, body=None):
        """Send to one server only."""
        return _client.send([server], method, path, body, self.exchange)

    def need_servers(self):
        """Return the servers; stop if none is given."""
        if not self.servers:
            text = "no server: give --server URL[,URL...] or set "
            raise _Stop(USAGE, text + SERVERS_VARIABLE)
        return self.servers

    def read(self, path, *fields):
        """Return the body of a GET request; stop if it has not `fields`."""
        reply = self.send("GET", path)
        if reply.ok and all(reply.field(name) is not None for name in fields):
            return reply.body
        if reply.ok:
            text = f"{reply.server} is no operators' API of citrondeal"
            raise _Stop(REFUSED, f"{text}; check --server")
        if reply.status == 0 or reply.status >= 500:
            raise _Stop(REFUSED, _unreached(reply))
        raise _Stop(REFUSED, f"refused: {reply.message}")

    def show(self, body, header, rows):
        """Print the body as JSON or the rows as a table."""
        if self.as_json:
            print(json_module.dumps(body, indent=1), file=self.out)
            return
        lines = [header, *rows]
        widths = [
            max(len(str(line[column])) for line in lines)
            for column in range(len(header))
        ]
        for line in lines:
            cells = [
                str(cell).ljust(width)
                for cell, width in zip(line, widths, strict=True)
            ]
            print("  ".join(cells).rstrip(), file=self.out)

    def say(self, body, text):
        """Print the body as JSON or one line of text."""
        if self.as_json:
            text = json_module.dumps(body, indent=1)
        print(text, file=self.out)


def _unreached(reply):
    lines = ["no server could answer; check --server and repeat"]
    lines += [f"  {note}" for note in reply.notes]
    return "\n".join(lines)


class _Tree:
    """Settings tree."""

    def __init__(self, session):
        self._session = session

    @_TEXT
    def show(self, path="/"):
        """Own settings of all branches at and below PATH."""
        return _command(_show_tree, self._session, path)

    @_TEXT
    def explain(self, path):
        """Effective settings of PATH and where each one comes from."""
        return _command(_explain, self._session, path)

    @_TEXT
    def history(self, path):
        """Last accepted edits of PATH."""
        return _command(_show_history, self._session, path)

    @_TEXT
    def set(self, path, *settings, base=None, edit_id=None, author=None):
        """Set key=value ... at PATH; without any, create the node."""
        values = _pairs(settings)
        change = {
            "set": {
                name: schema.parse_value(name, text)
                for name, text in values.items()
            }
        }
        again = ["set", path, *settings]
        return _command(
            _edit, self._session, path, change, base, edit_id, author, again
        )

    @_TEXT
    def unset(self, path, *keys, base=None, edit_id=None, author=None):
        """Inherit the keys of PATH from the branch above again."""
        if not keys:
            raise _Stop(USAGE, "tree unset needs at least one key")
        change = {"unset": list(keys)}
        again = ["unset", path, *keys]
        return _command(
            _edit, self._session, path, change, base, edit_id, author, again
        )

    @_TEXT
    def delete(self, path, base=None, edit_id=None, author=None):
        """Delete the node PATH, which must have no children."""
        again = ["delete", path]
        return _command(
            _edit,
            self._session,
            path,
            {"delete": True},
            base,
            edit_id,
            author,
            again,
        )


class _Job:
    """Jobs."""

    def __init__(self, session):
        self._session = session

    @_TEXT
    def submit(self, path, *settings, id=None):
        """Submit a job with the defaults of PATH and key=value ..."""
        return _command(_submit, self._session, path, _pairs(settings), id)

    @_TEXT
    def status(self, id):
        """Show one job."""
        return _command(_show_job, self._session, id)

    @_TEXT
    def list(self, limit="100", after=""):
        """List jobs."""
        return _command(_list_jobs, self._session, limit, after)

    @_TEXT
    def cancel(self, id):
        """Cancel a job."""
        return _command(_cancel, self._session, id)

    @_TEXT
    def wait(self, id, limit_s="3600"):
        """Wait until a job has ended, at most LIMIT_S seconds."""
        return _command(_wait, self._session, id, limit_s)


def _make_root(environ, sleep, exchange, out, err):
    @_TEXT
    class Ctl:
        """Command line of citrondeal."""

        def __init__(self, *, server=None, json="False"):
            listed = server or environ.get(SERVERS_VARIABLE, "")
            servers = tuple(
                _server_url(text) for text in listed.split(",") if text
            )
            self._session = _Session(
                servers, json != "False", environ, sleep, exchange, out, err
            )
            self.tree = _Tree(self._session)
            self.job = _Job(self._session)

        def drain(self):
            """Ask the one given server for a graceful shutdown."""
            return _command(_drain, self._session)

        def dump(self):
            """Print the state of the first server that answers."""
            return _command(_dump, self._session)

        @_TEXT
        def log_level(self, level):
            """Set the logging level of every given server."""
            return _command(_log_level, self._session, level)

        @_TEXT
        def check(self, file, program=None):
            """Validate the settings FILE of a daemon."""
            return _command(_check, self._session, file, program)

        def status(self):
            """Show whether each given server is live and ready."""
            return _command(_status, self._session)

    return Ctl


def run(argv, environ=None, sleep=None, exchange=None, out=None, err=None):
    """Run one command line.

    Parameters
    ----------
    argv : list of str
        Arguments without the program name.
    environ : dict, optional
        Environment variables.
    sleep : callable, optional
        ``sleep(seconds)`` between polls.
    exchange : callable, optional
        Sends a request to one server, see `_client.exchange`.
    out, err : file, optional
        Where results and messages go.

    Returns
    -------
    int
        0 done, 1 refused, 2 usage or settings, 3 outcome unknown.
    """
    out = out or sys.stdout
    err = err or sys.stderr
    # fire would take the word after a flag without a value as its value.
    argv = ["--json=True" if word == "--json" else word for word in argv]
    root = _make_root(
        os.environ if environ is None else environ,
        sleep or time.sleep,
        exchange or _client.exchange,
        out,
        err,
    )
    try:
        command = fire.Fire(
            root, command=argv, name="citrondealctl", serialize=_serialize
        )
        if isinstance(command, _Command):
            command._call(*command._args)
        return OK
    except _Stop as exc:
        print(exc.text, file=err)
        return exc.status
    except config.ConfigError as exc:
        print(exc, file=err)
        return USAGE
    except fire.core.FireExit as exc:
        return exc.code


def main():
    """Entry point of ``citrondealctl``."""
    # Keeps fire from starting a pager process for its help.
    os.environ.setdefault("PAGER", "-")
    sys.exit(run(sys.argv[1:]))


def _serialize(component):
    return None if isinstance(component, _Command) else component


def _server_url(text):
    text = text.strip().rstrip("/")
    if "//" not in text:
        text = f"http://{text}"
    parts = urllib.parse.urlsplit(text)
    try:
        usable = parts.scheme == "http" and parts.hostname and parts.port != 0
    except ValueError:
        usable = False
    if not usable:
        raise _Stop(USAGE, f"--server {text}: should be http://host:port")
    return text


def _pairs(settings):
    pairs = {}
    for text in settings:
        name, separator, value = text.partition("=")
        if not separator or not name:
            raise _Stop(USAGE, f"{text}: should be key=value")
        if name in pairs:
            raise _Stop(USAGE, f"{name} is given twice")
        pairs[name] = value
    return pairs


def _show_tree(session, path):
    path = schema.normalize_path(path)
    query = urllib.parse.urlencode({"below": path})
    body = session.read(f"/v1/tree?{query}", "branches")
    rows = []
    for branch, item in body["branches"].items():
        settings = list(item["set"].items()) or [("", "")]
        rows += [
            (branch, item["version"], name, value) for name, value in settings
        ]
    session.show(body, ("PATH", "VERSION", "KEY", "VALUE"), rows)


def _explain(session, path):
    path = schema.normalize_path(path)
    url = f"/v1/tree/node/{_client.quote(path)}"
    body = session.read(url, "values", "exists")
    rows = [
        (
            name,
            item["value"],
            item["unit"],
            item["origin"] or "(default)",
            item["version"],
            schema.KEYS[name].meaning if name in schema.KEYS else "",
        )
        for name, item in body["values"].items()
    ]
    if not body["exists"]:
        print(f"{path} does not exist; it would inherit:", file=session.err)
    header = ("KEY", "VALUE", "UNIT", "FROM", "VERSION", "MEANING")
    session.show(body, header, rows)


def _show_history(session, path):
    path = schema.normalize_path(path)
    body = session.read(f"/v1/tree/history/{_client.quote(path)}", "edits")
    rows = []
    for edit in body["edits"]:
        changes = [f"{name}={value}" for name, value in edit["set"].items()]
        changes += [f"unset {name}" for name in edit["unset"]]
        if edit["delete"]:
            changes.append("delete")
        rows.append(
            (
                edit["version"],
                edit["author"],
                edit["edit_id"],
                " ".join(changes),
            )
        )
    session.show(body, ("VERSION", "AUTHOR", "EDIT", "CHANGE"), rows)


def _edit(session, path, change, base, edit_id, author, again):
    path = schema.normalize_path(path)
    if base is None:
        url = f"/v1/tree/node/{_client.quote(path)}"
        node = session.read(url, "version")
        base = node["version"]
    elif not str(base).isdecimal():
        raise _Stop(USAGE, f"--base {base}: should be a whole number")
    if author is None:
        author = session.environ.get("USER", "")
    body = {
        "edit_id": edit_id or uuid.uuid4().hex,
        "path": path,
        "base": int(base),
        "author": author,
        **change,
    }
    reply = session.send("POST", "/v1/tree/edits", body)
    if reply.ok and reply.field("outcome") == "accepted":
        text = f"accepted: {path} is at version {reply.body['version']}"
        session.say(reply.body, text)
        return
    repeat = ["tree", *again, "--base", str(base)]
    repeat += ["--edit-id", body["edit_id"]]
    decided = _edit_decided(reply)
    if session.as_json and reply.body:
        session.say(reply.body, "")
    if not decided:
        raise _undecided(session, reply, repeat)
    names = [*change.get("set", ()), *change.get("unset", ())]
    raise _Stop(REFUSED, _why_rejected(reply, path, names))


def _edit_decided(reply):
    """Whether a failed edit is known not to be in effect.

    After one server may have appended the edit, a refusal by another proves
    nothing, unless it was read back from the log (it then has an offset and
    holds for all copies of the id) or is a conflict (the version of a
    branch never returns to the base, so that a copy is rejected as well).
    """
    if reply.ok:
        # Not an answer of this API.
        return False
    if not reply.unknown:
        return True
    return reply.field("code") == "conflict" or (
        reply.field("offset") is not None
    )


def _undecided(session, reply, words):
    servers = ",".join(session.servers)
    line = shlex.join(["citrondealctl", "--server", servers, *words])
    lines = [
        "outcome unknown: the request may have taken effect; to find out, "
        "repeat it as follows, which cannot carry it out twice:",
        f"  {line}",
        *(f"  {note}" for note in reply.notes),
    ]
    return _Stop(UNKNOWN, "\n".join(lines))


def _why_rejected(reply, path, names):
    if reply.status in (0, 503):
        return f"refused, nothing was changed: {_unreached(reply)}"
    lines = [f"rejected: {reply.message}"]
    lines += _key_hints(names)
    winner = reply.field("winner")
    if winner:
        author = f" by {winner['author']}" if winner["author"] else ""
        lines.append(
            f"the edit that won is {winner['edit_id'] or '(forgotten)'}"
            f"{author}, version {winner['version']}; look at it with "
            f"`citrondealctl tree history {path}` and edit again"
        )
    return "\n".join(lines)


def _key_hints(names):
    hints = []
    for name in names:
        near = difflib.get_close_matches(name, schema.KEYS, 1)
        if name not in schema.KEYS and near:
            hints.append(f"did you mean {near[0]} instead of {name}?")
    return hints


def _submit(session, path, settings, job_id):
    body = {"path": path, "id": job_id or uuid.uuid4().hex}
    for name, text in settings.items():
        name = name.removeprefix("job.")
        if name in body:
            raise _Stop(USAGE, f"{name} is given twice")
        body[name] = schema.parse_value(f"job.{name}", text)
    reply = session.send("POST", "/v1/jobs", body)
    if reply.ok and reply.field("id") == body["id"]:
        session.say(reply.body, f"accepted: job {body['id']}")
        return
    if reply.unknown or reply.ok:
        words = [f"{name}={text}" for name, text in settings.items()]
        repeat = ["job", "submit", path, *words, "--id", body["id"]]
        raise _undecided(session, reply, repeat)
    raise _refused(reply)


def _refused(reply):
    if reply.status in (0, 503):
        text = f"refused, nothing was changed: {_unreached(reply)}"
        return _Stop(REFUSED, text)
    return _Stop(REFUSED, f"refused: {reply.message}")


def _show_job(session, job_id):
    body = session.read(f"/v1/jobs/{_client.quote(job_id)}", "id")
    rows = [item for item in body.items() if item[0] != "task_states"]
    for task in body.get("task_states") or []:
        place = f" on {task['worker']}" if task.get("worker") else ""
        rows.append((f"task {task['index']}", f"{task['state']}{place}"))
    session.show(body, ("FIELD", "VALUE"), rows)


def _list_jobs(session, limit, after):
    query = urllib.parse.urlencode({"limit": limit, "after": after})
    body = session.read(f"/v1/jobs?{query}", "jobs")
    rows = [
        (job.get("id", ""), job.get("path", ""), job.get("state", ""))
        for job in body["jobs"]
    ]
    session.show(body, ("JOB", "PATH", "STATE"), rows)


def _cancel(session, job_id):
    reply = session.send("DELETE", f"/v1/jobs/{_client.quote(job_id)}")
    if reply.status == 202:
        session.say(reply.body, f"accepted: job {job_id} is cancelled")
        return
    if reply.unknown or reply.ok:
        raise _undecided(session, reply, ["job", "cancel", job_id])
    raise _refused(reply)


def _wait(session, job_id, limit_s):
    try:
        polls = max(1, int(float(limit_s) / POLL_S))
    except (ValueError, OverflowError):
        text = f"--limit_s {limit_s}: should be a number of seconds"
        raise _Stop(USAGE, text) from None
    state = "not known"
    for poll in range(polls):
        if poll:
            session.sleep(POLL_S)
        reply = session.send("GET", f"/v1/jobs/{_client.quote(job_id)}")
        if reply.status == 404:
            raise _refused(reply)
        if not reply.ok:
            continue
        state = reply.field("state") or "not known"
        if state in SUCCEEDED:
            session.say(reply.body, f"job {job_id}: {state}")
            return
        if state in ENDED:
            raise _Stop(REFUSED, f"job {job_id}: {state}")
        if state == "held":
            text = (
                f"job {job_id} is held ({reply.field('reason')}); correct it,"
                " cancel it, and submit it under a new id"
            )
            raise _Stop(REFUSED, text)
        if state == "unknown":
            text = (
                f"job {job_id}: a task may have run and is not run again; "
                "check its effects"
            )
            raise _Stop(UNKNOWN, text)
    text = f"job {job_id} has not ended: {state}; wait again or look at it"
    raise _Stop(UNKNOWN, f"{text} with `citrondealctl job status {job_id}`")


def _drain(session):
    if len(session.servers) > 1:
        # The next server in the list is another process.
        text = "drain needs exactly one server: give --server URL"
        raise _Stop(USAGE, text)
    reply = session.send("POST", "/v1/drain")
    if reply.status == 202:
        server = session.servers[0]
        session.say(reply.body, f"accepted: {server} is draining")
        return
    if reply.unknown or reply.ok:
        raise _undecided(session, reply, ["drain"])
    raise _refused(reply)


def _dump(session):
    body = session.read("/debug/state")
    print(json_module.dumps(body, indent=1), file=session.out)


def _log_level(session, level):
    rows = []
    status = OK
    for server in session.need_servers():
        reply = session.send_to(
            server, "POST", "/debug/log-level", {"level": level}
        )
        done = reply.field("level") == level
        rows.append((server, level if done else reply.message))
        if reply.unknown or (reply.ok and not done):
            status = UNKNOWN
        elif not done:
            status = status or REFUSED
    session.show([list(row) for row in rows], ("SERVER", "LEVEL"), rows)
    if status:
        text = "not set on every server; setting it again is harmless"
        raise _Stop(status, text)


def _check(session, file, program):
    if program not in (None, "gateway", "scheduler"):
        text = f"--program {program}: should be gateway or scheduler"
        raise _Stop(USAGE, text)
    valid = config.check(file, program)
    text = f"{file}: valid for {', '.join(valid)}"
    session.say({"file": file, "valid_for": valid}, text)


def _status(session):
    rows = []
    for server in session.need_servers():
        live = session.send_to(server, "GET", "/livez")
        ready = session.send_to(server, "GET", "/readyz")
        rows.append((server, _word(live), _word(ready)))
    session.show(
        [list(row) for row in rows], ("SERVER", "LIVE", "READY"), rows
    )
    if any(row[1:] != ("yes", "yes") for row in rows):
        raise _Stop(REFUSED, "not every server is ready")


def _word(reply):
    if reply.ok:
        return "yes"
    return "no" if reply.status else "no answer"


if __name__ == "__main__":
    main()
