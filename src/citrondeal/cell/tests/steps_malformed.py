"""Steps that write malformed records and messages to a running cell."""

import contextlib
import socket
import struct

from behave import then
from behave import when

from citrondeal.cell import _records
from citrondeal.cell.tests import processes
from citrondeal import platform
from citrondeal import workflow

CALL_TIMEOUT_S = 2.0
DEPTH = 100_000
LAST_INCARNATION = 2**53 - 1


def _bad_submission():
    """Return a stored job whose step comes after one that does not exist."""
    step = workflow.Step(2, workflow.Size(1000, 10), after=(7,))
    policy = workflow.Policy("holds", "lanes")
    return workflow.encode(workflow.Submission("0", "", (step,), policy))


@when("malformed records are appended to all topics of the cell")
def _(context):
    job_topic = _records.JOB_TOPICS[0]
    keys = {
        job_topic: ["job/0", "job/zz", "cancel/", "barrier", "odd", ""],
        _records.CELL_TOPIC: ["owner", "member/x", "odd"],
        _records.STATE_TOPIC: ["job/0", "worker/x", "odd"],
        platform.WORKERS_TOPIC: ["x", ""],
        platform.OPERATOR_TOPIC: ["config", "odd"],
    }
    values = (b"x", b"\xff\xfe", b"{}", b"\x93\x01", _bad_submission())
    for topic, names in keys.items():
        for name in names:
            for value in values:
                context.cell.append(topic, name, value)
    deep = b'{"x":' + b"[" * DEPTH + b"]" * DEPTH + b"}"
    context.cell.append(platform.OPERATOR_TOPIC, platform.CONFIG_KEY, deep)
    workers = {
        "deep": deep,
        "port": processes.worker_entry(address="127.0.0.1:x"),
        "huge": processes.worker_entry(capacity={"cpu": 10**30, "mem-mb": 1}),
        "i" * 250: processes.worker_entry(),
    }
    for name, value in workers.items():
        context.cell.append(platform.WORKERS_TOPIC, name, value)


@when("another writer leaves entries under the ids of all cell workers")
def _(context):
    odd = (
        processes.worker_entry(born=LAST_INCARNATION),
        processes.worker_entry(
            born=LAST_INCARNATION - 1, address="nobody.example:1"
        ),
    )
    for worker in context.cell.worker_ids:
        for value in odd:
            context.cell.append(platform.WORKERS_TOPIC, worker, value)


@when("malformed messages are sent to all cell members")
def _(context):
    frames = (
        b"\x00",
        struct.pack(">I", 2**31),
        struct.pack(">I", 5) + b"\xff" * 5,
        struct.pack(">I", 0),
    )
    for member in context.cell.members:
        host, _, port = member.front.rpartition(":")
        for offset in (0, 2):  # the ports for clients and for members
            for frame in frames:
                # The member may close the connection at any moment.
                with contextlib.suppress(OSError):
                    with socket.create_connection(
                        (host, int(port) + offset), CALL_TIMEOUT_S
                    ) as connection:
                        connection.sendall(frame)


@then("all cell members still run")
def _(context):
    for member in context.cell.members:
        assert member.process.poll() is None, member.name
