"""Steps that run a small cell of real processes."""

from behave import given
from behave import then

from tests import system as systems


@given(
    "a system cell with endpoints {endpoints:d} and workers {workers:d}"
    " per zone"
)
def system_cell(context, endpoints, workers):
    context.system = systems.System(endpoints, workers)
    context.add_cleanup(context.system.cell.__exit__, None, None, None)
    if endpoints:
        systems.wait_until(
            lambda: all_endpoints_held(context.system),
            systems.SETTLE_TIMEOUT_S,
            "leases of all endpoints",
        )


def all_endpoints_held(system):
    held = sum(
        system.cell.get(d.http, "/debug/state")["leases"]["held"]
        for d in system.cell.select("gateway")
        if d.process
    )
    return held == len(system.cell.endpoints)


@then("all guarantees of the system hold")
def guarantees_hold(context):
    system = context.system
    cell = system.cell
    runs = cell.runs_by_request()
    assert system.load.double_runs(runs) == 0
    assert system.load.false_refusals(runs) == 0
    assert cell.sum_endpoint_counter("slots_exceeded") == 0
    assert cell.sum_endpoint_counter("connections_exceeded") == 0
    if cell.workers:
        assert cell.sum_worker_counter("overcommits") == 0
        assert not any(f["two_places"] for f in cell.fleet_stats())
