"""Steps that check the simulated workers themselves."""

from behave import given
from behave import then
from behave import when

from citrondeal.workflow.tests import capacities
from citrondeal.workflow.tests import simulation


@given("a workflow simulation without faults")
def _(context):
    context.simulation = simulated = simulation.Simulation(0)
    simulated.end_faults()
    _tick(simulated, capacities.HEARTBEAT_S)
    worker = next(iter(simulated.workers.values()))
    assert simulated.owner.scheduler.workers[worker.name].usable


@when("a worker of the workflow simulation starts again")
def _(context):
    simulated = context.simulation
    context.worker = worker = next(iter(simulated.workers.values()))
    simulated.record_crash(worker)
    worker.restart()


@then("workflow its first entry counts before its next one is due")
def _(context):
    simulated, worker = context.simulation, context.worker
    assert worker.info().clock_s >= 0.0
    _tick(simulated, capacities.HEARTBEAT_S - simulation.TICK_S)
    known = simulated.owner.scheduler.workers[worker.name]
    assert known.info.born_ms == worker.born_ms
    assert known.listed


def _tick(simulated, seconds):
    end = simulated.now + seconds
    while simulated.now < end:
        simulated.tick()
