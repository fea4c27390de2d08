"""Steps for rows of the VM list that name no usable worker."""

import json
import math

import anyio
from behave import then

from citrondeal import errors
from citrondeal import jobs
from citrondeal.logservice import _vms
from citrondeal import placement
from citrondeal.scheduler import _exchange
from citrondeal.scheduler import main
from citrondeal import telemetry
from citrondeal import workers

HUGE = "1" + "0" * 400  # more digits than a float holds
REPLY = json.dumps({"boot_id": "1", "clock_s": 1.0, "tasks": []}).encode()
HEAD = f"HTTP/1.1 200 OK\r\nContent-Length: {len(REPLY)}\r\n\r\n".encode()


async def _answer(stream):
    async with stream:
        await stream.receive()
        await stream.send(HEAD + REPLY)


@then("a scheduler with a worker at {address} still calls the others")
def _(context, address):
    address = address.replace(r"\ud800", "\ud800")
    anyio.run(_call_others, address)


async def _call_others(odd_address):
    """Exchange with a worker at this address and with one that answers."""
    owner = jobs.PoolOwner(jobs.JobTable(), placement.Pool())
    now = anyio.current_time()
    owner.on_workers([jobs.WorkerInfo("odd"), jobs.WorkerInfo("good")], now)
    owner.on_gained(1, -math.inf, now)
    client = workers.Client(1.0)
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with anyio.create_task_group() as task_group:
        exchanges = _exchange.WorkerExchanges(
            owner,
            client,
            lambda now: now + 1.0,
            lambda record: None,
            task_group,
            telemetry.Metrics("scheduler"),
        )
        exchanges.set_workers(
            {"odd": odd_address, "good": f"127.0.0.1:{port}"}
        )
        task_group.start_soon(listener.serve, _answer)
        task_group.start_soon(exchanges.run)
        with anyio.fail_after(10):
            while not _all_called(owner):
                await anyio.sleep(0.05)
        task_group.cancel_scope.cancel()
    outcome = await client.sync(odd_address, {})
    assert outcome.err_value.kind is errors.Kind.UNAVAILABLE, outcome
    await client.aclose()
    assert owner.dump()["answering"] == 1


def _all_called(owner):
    """Return whether no exchange is under way, and one was answered."""
    waiting = [w.pending_request_at for w in owner._workers.values()]
    return owner.dump()["answering"] and waiting == [None, None]


@then(
    "a scheduler adds the workers of a list with {field} {value} to its pool"
)
def _(context, field, value):
    good = {"id": "w1", "kind": "worker", "zone": "a", "region": "b"}
    value = json.loads(value.replace("HUGE", HUGE))
    vms, invalid = _vms.parse_rows([good | {"id": "w2", field: value}, good])
    owner = jobs.PoolOwner(jobs.JobTable(), placement.Pool())
    owner.on_workers([main._worker_info(vm) for vm in vms], 0.0)
    assert (owner.worker_names(), invalid) == (["w1"], 1)
