"""Steps for the jobs of a small cell of real processes."""

import signal
import time
import uuid

from behave import given
from behave import then
from behave import when

from tests import system as systems


@given('system jobs "service" with {count:d} tasks are running')
def service_is_running(context, count):
    system = context.system
    answer = system.submit(
        "steady", path="/batch/mirror", tasks=count, priority="normal"
    )
    assert answer.get("id") == "steady", answer

    def is_running():
        _, tasks = system.state_of("steady")
        return tasks == ["running"] * count

    systems.wait_until(
        is_running, systems.SETTLE_TIMEOUT_S, "all service tasks running"
    )
    # A task is lost if its owner fails before the first renewal of its
    # lease, 0.25 s after the start.
    time.sleep(1.0)
    system.observations["service_tasks"] = count
    system.observations["service_placements"] = service_placements(system)


def service_placements(system):
    """Return ``(task, worker)`` of the running tasks of the service."""
    placements = set()
    for name, address in system.cell.workers.items():
        for task, job in system.cell.get(address, "/stats")["running"]:
            if job == "steady":
                placements.add((task, name))
    return placements


@given("system batch jobs wait for free cores")
def waiting_jobs(context):
    system = context.system
    # The 4 workers of the zone have 32 cores each and run about half of these
    # tasks at a time; the others wait.
    answer = system.submit(
        "wave", tasks=24, cores=10.0, run_time_s=4.0, priority="low"
    )
    assert answer.get("id") == "wave", answer
    systems.wait_until(
        lambda: system.starts() > 8,
        systems.SETTLE_TIMEOUT_S,
        "starts of the first wave",
    )


@when("the system owner of the pool is killed")
def kill_owner(context):
    system = context.system
    victim = system.owner()
    system.cell.kill(victim)
    system.cell.launch(victim)
    system.cell.wait_ready(victim)


@when("the system owner of the pool is paused for {seconds:d} seconds")
def pause_owner(context, seconds):
    system = context.system
    victim = system.owner()
    system.submit("during", tasks=8)
    victim.process.send_signal(signal.SIGSTOP)
    time.sleep(seconds)
    victim.process.send_signal(signal.SIGCONT)


@then("a system urgent job ends within {seconds:d} seconds")
def urgent_job_ends(context, seconds):
    system = context.system
    job_id = f"urgent-{uuid.uuid4().hex[:8]}"

    def is_submitted():
        return system.submit(job_id, priority="urgent").get("id") == job_id

    systems.wait_until(is_submitted, seconds, "submission of the urgent job")
    systems.wait_until(
        lambda: system.state_of(job_id)[0] == "finished",
        seconds,
        "end of the urgent job",
    )


@then("the system started no task of the service twice")
def service_tasks_not_restarted(context):
    system = context.system
    assert (
        service_placements(system) == system.observations["service_placements"]
    ), (
        service_placements(system),
        system.observations["service_placements"],
    )
