"""Command line for operators.

fire calls a function before it reports an argument that it does not know,
so that a mistyped option would be reported only after the edit.  Functions
called by fire therefore only build a command, which runs after all arguments
have been parsed.
"""

import json as json_module
import os
import sys
import time
import urllib.parse

import fire

from citrondeal import config
from citrondeal.operators import _client
from citrondeal.operators import _job_commands
from citrondeal.operators import _session
from citrondeal.operators import _tree_commands
from citrondeal.operators import config_check

__all__ = ["main", "run"]


def _make_root(environ, sleep, exchange, out, err):
    @_session.TEXT_ARGUMENTS
    class Ctl:
        """Command line of citrondeal."""

        def __init__(self, *, server=None, json="False"):
            listed = server or environ.get(_session.SERVERS_VARIABLE, "")
            servers = tuple(
                _server_url(text) for text in listed.split(",") if text
            )
            self._session = _session.Session(
                servers, json != "False", environ, sleep, exchange, out, err
            )
            self.tree = _tree_commands.Tree(self._session)
            self.job = _job_commands.Job(self._session)

        def drain(self):
            """Ask the one given server for a graceful shutdown."""
            return _session.make_command(_drain, self._session)

        def dump(self):
            """Print the state of the first server that answers."""
            return _session.make_command(_dump, self._session)

        @_session.TEXT_ARGUMENTS
        def log_level(self, level):
            """Set the logging level of every given server."""
            return _session.make_command(_log_level, self._session, level)

        @_session.TEXT_ARGUMENTS
        def check(self, file, program=None):
            """Validate the settings FILE of a daemon."""
            return _session.make_command(_check, self._session, file, program)

        @_session.TEXT_ARGUMENTS
        def check_config(self, file, against=None):
            """Check a configuration FILE, and compare it with another."""
            return _session.make_command(
                _check_config, self._session, file, against
            )

        def status(self):
            """Show whether each given server is live and ready."""
            return _session.make_command(_status, self._session)

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
        Streams for results and for messages.

    Returns
    -------
    int
        0 done, 1 refused, 2 usage or settings, 3 outcome unknown.
    """
    out = out or sys.stdout
    err = err or sys.stderr
    # fire would take the argument after a bare --json as its value.
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
        if isinstance(command, _session.Command):
            command._call(*command._args)
        return _session.EXIT_OK
    except _session.CommandExit as exc:
        print(exc.text, file=err)
        return exc.status
    except config.ConfigError as exc:
        print(exc, file=err)
        return _session.EXIT_USAGE
    except fire.core.FireExit as exc:
        return exc.code


def main():
    """Entry point of ``citrondealctl``."""
    # Keeps fire from starting a pager process to show its help.
    os.environ.setdefault("PAGER", "-")
    sys.exit(run(sys.argv[1:]))


def _serialize(component):
    return None if isinstance(component, _session.Command) else component


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
        raise _session.CommandExit(
            _session.EXIT_USAGE, f"--server {text}: should be http://host:port"
        )
    return text


def _drain(session):
    if len(session.servers) > 1:
        # Failover to the next server would drain another process.
        text = "drain needs exactly one server: give --server URL"
        raise _session.CommandExit(_session.EXIT_USAGE, text)
    reply = session.send("POST", "/v1/drain")
    if reply.status == 202:
        server = session.servers[0]
        session.print_result(reply.body, f"accepted: {server} is draining")
        return
    if reply.maybe_executed or reply.ok:
        raise _session.unknown_outcome_exit(session, reply, ["drain"])
    raise _session.refusal_exit(reply)


def _dump(session):
    body = session.get_body("/debug/state")
    print(json_module.dumps(body, indent=1), file=session.out)


def _log_level(session, level):
    rows = []
    status = _session.EXIT_OK
    for server in session.require_servers():
        reply = session.send_to_one(
            server, "POST", "/debug/log-level", {"level": level}
        )
        done = reply.field("level") == level
        rows.append((server, level if done else reply.message))
        if reply.maybe_executed or (reply.ok and not done):
            status = _session.EXIT_UNKNOWN
        elif not done:
            status = status or _session.EXIT_REFUSED
    session.print_table([list(row) for row in rows], ("SERVER", "LEVEL"), rows)
    if status:
        text = "not set on every server; setting it again is harmless"
        raise _session.CommandExit(status, text)


def _check(session, file, program):
    if program not in (None, "gateway", "scheduler"):
        text = f"--program {program}: should be gateway or scheduler"
        raise _session.CommandExit(_session.EXIT_USAGE, text)
    valid = config.check(file, program)
    text = f"{file}: valid for {', '.join(valid)}"
    session.print_result({"file": file, "valid_for": valid}, text)


def _check_config(session, file, against):
    try:
        report = config_check.check(file, against)
    except config_check.UnreadableError as exc:
        raise _session.CommandExit(_session.EXIT_USAGE, str(exc)) from exc
    session.print_result(report.as_json(), report.as_text())
    if report.findings:
        count = len(report.findings)
        raise _session.CommandExit(
            _session.EXIT_REFUSED, f"{file}: {count} findings"
        )


def _status(session):
    rows = []
    for server in session.require_servers():
        live = session.send_to_one(server, "GET", "/livez")
        ready = session.send_to_one(server, "GET", "/readyz")
        rows.append((server, _probe_text(live), _probe_text(ready)))
    session.print_table(
        [list(row) for row in rows], ("SERVER", "LIVE", "READY"), rows
    )
    if any(row[1:] != ("yes", "yes") for row in rows):
        raise _session.CommandExit(
            _session.EXIT_REFUSED, "not every server is ready"
        )


def _probe_text(reply):
    if reply.ok:
        return "yes"
    return "no" if reply.status else "no answer"


if __name__ == "__main__":
    main()
