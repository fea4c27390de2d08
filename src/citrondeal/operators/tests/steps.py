"""Steps for the operators' application and command line."""

import http.server
import io
import json
import logging
import operator
import shlex
import subprocess
import sys
import threading

from behave import given
from behave import then
from behave import when
import httpcore

from citrondeal import config
from citrondeal.operators import _client
from citrondeal.operators import api
from citrondeal.operators import ctl
from citrondeal.operators.tests import fake

SERVERS = ("http://one", "http://two")


@given("operators a cell of two servers")
def cell_of_two_servers(context):
    context.cell = fake.Cell()


@given('operators server "{name}" is "{mode}"')
def server_is(context, name, mode):
    context.cell.modes[f"http://{name}"] = mode


@given('operators edit "{edit_id}" by "{author}" creates "{path}"')
def edit_creates(context, edit_id, author, path):
    context.cell.append(edit_id=edit_id, author=author, path=path, base=0)


@given(
    'operators edit "{edit_id}" by "{author}" of "{path}" is appended first'
)
def edit_appended_first(context, edit_id, author, path):
    cell = context.cell

    def edit():
        base = cell.tree(SERVERS[0]).branch_version(path)
        cell.append(edit_id=edit_id, author=author, path=path, base=base)

    cell.before_next_write = edit


@given('operators job "{job_id}" goes through "{states}"')
def job_states(context, job_id, states):
    first, *later_states = states.split()
    job = {"path": "/batch/b", "state": first}
    context.cell.jobs[job_id] = job
    context.later_states = [
        lambda s=state: job.update(state=s) for state in later_states
    ]


@when("operators a request {method} {path} is sent")
def request_sent(context, method, path):
    app = api.build_app(context.cell.backend(SERVERS[0]))
    content = (context.text or "").encode()
    status, headers, body = fake.run_app(app, method, path, content)
    context.status, context.headers = status, headers
    context.body = json.loads(body or b"null")


@then('operators the answer is {status:d} with "{name}" {value}')
def answer_is(context, status, name, value):
    assert context.status == status, (context.status, context.body)
    found = context.body
    for part in name.split("."):
        found = found[part]
    assert found == json.loads(value), context.body


@then('operators the message names "{words}"')
def message_names(context, words):
    message = context.body["error"]["message"]
    assert all(word in message for word in words.split()), message


@then("operators the log has {count:d} records")
def log_has(context, count):
    assert len(context.cell.log) == count, context.cell.log


@then("operators a new id was generated for the job")
def id_generated(context):
    (job_id,) = context.cell.jobs
    assert context.body["id"] == job_id, context.body


@then('operators the job has "{name}" {value}')
def job_has(context, name, value):
    (fields,) = context.cell.jobs.values()
    found = operator.attrgetter(name)(fields["job"])
    assert found == json.loads(value), fields


@then('operators the logging level is "{level}" until the scenario ends')
def level_is(context, level):
    root = logging.getLogger()
    found = root.level
    # Restores the level that features/environment.py sets.
    root.setLevel(logging.CRITICAL)
    assert found == getattr(logging, level), found


def _run(context, line, environ=None):
    out, err = io.StringIO(), io.StringIO()

    def sleep(seconds):
        if context.later_states:
            context.later_states.pop(0)()

    context.later_states = getattr(context, "later_states", [])
    words = shlex.split(line)
    context.code = ctl.run(
        words,
        {"CITRONDEAL_SERVERS": ",".join(SERVERS), **(environ or {})},
        sleep,
        context.cell.exchange,
        out,
        err,
    )
    context.out, context.err = out.getvalue(), err.getvalue()


@when('operators citrondealctl "{line}"')
def run_ctl(context, line):
    _run(context, line)


@when('operators citrondealctl "{line}" without servers')
def run_without_servers(context, line):
    _run(context, line, {"CITRONDEAL_SERVERS": ""})


@when("operators citrondealctl runs the command that it printed")
def run_printed_command(context):
    lines = [line.strip() for line in context.err.splitlines()]
    (line,) = [text for text in lines if text.startswith("citrondealctl ")]
    _run(context, line.removeprefix("citrondealctl "))


@when('operators citrondealctl checks the sample of "{program}"')
def run_check(context, program):
    _run(context, f"check {config.sample_path(program)}")


@then('operators it exits with {code:d} and says "{words}"')
def exits_with(context, code, words):
    text = context.out + context.err
    assert context.code == code, (context.code, text)
    assert all(word in text for word in words.split()), text


@then("operators it exits with {code:d} and sends nothing")
def sends_nothing(context, code):
    assert context.code == code, (context.code, context.err)
    assert not context.cell.requests, context.cell.requests


@then("operators it prints JSON")
def prints_json(context):
    assert context.code == 0, context.err
    json.loads(context.out)


@then('operators "{path}" is at version {version:d}')
def at_version(context, path, version):
    tree = context.cell.tree("http://reader")
    assert tree.branch_version(path) == version, tree.listing()


@then("operators there is {count:d} job")
def job_count(context, count):
    assert len(context.cell.jobs) == count, context.cell.jobs


@then('operators the drained servers are "{names}"')
def drained(context, names):
    assert context.cell.drained == names.split(), context.cell.drained


@then("operators importing each daemon loads neither fire nor pydantic")
def imports_of_daemons(context):
    code = (
        "import sys, citrondeal.gateway.main, citrondeal.scheduler.main; "
        "print(*{n.split('.')[0] for n in sys.modules})"
    )
    done = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        check=True,
        text=True,
    )
    unwanted = {"behave", "fire", "hypothesis", "pydantic", "pydantic_core"}
    assert not unwanted & set(done.stdout.split()), done.stdout


@then("operators the client sends over a real connection")
def real_connection(context):
    cell = context.cell

    class Handler(http.server.BaseHTTPRequestHandler):
        def do_POST(self):
            size = int(self.headers["content-length"])
            body = json.loads(self.rfile.read(size)) if size else None
            if self.path == "/cut":
                self.wfile.write(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n")
                self.wfile.write(b"\r\n{")
                return
            status, value = cell.exchange("", "POST", self.path, body)
            answer = json.dumps(value).encode()
            self.send_response(status)
            self.send_header("content-length", str(len(answer)))
            self.end_headers()
            self.wfile.write(answer)

        def log_message(self, *args):
            pass

    server = http.server.HTTPServer(("127.0.0.1", 0), Handler)
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    url = f"http://127.0.0.1:{server.server_port}"
    closed = "http://127.0.0.1:1"
    edit = {"edit_id": "a", "path": "/teams/t", "base": 0}
    try:
        reply = _client.send(
            [closed, url], "POST", "/v1/tree/edits", edit, _client.exchange
        )
        cut = _client.send([url], "POST", "/cut", None, _client.exchange)
    finally:
        server.shutdown()
        thread.join()
        server.server_close()
    assert reply.ok and reply.body["version"] == 1, reply
    assert not reply.maybe_executed, reply
    assert cut.status == 0 and cut.maybe_executed, cut
    try:
        _client.exchange(url, "GET", "/livez", None)
    except httpcore.ConnectError:
        return
    raise AssertionError("the server still answers")
