"""Steps for the requests to a small cell while gateways and endpoints fail."""

import signal
import time

from behave import then
from behave import when

# The VM list lags by 0.5 s and the daemons poll it each second.
LEAVING_LIMIT_S = 5.0


@when("a system gateway is paused for {seconds:d} seconds under load")
def pause_gateway(context, seconds):
    system = context.system
    victim = system.cell.select("gateway", "bkk-a")[0]
    pending = system.start_requests_for(1.0)
    victim.process.send_signal(signal.SIGSTOP)
    # A load balancer stops choosing a silent gateway after a short time.
    time.sleep(0.3)
    system.load.exclude(victim)
    pending += system.start_requests_for(seconds)
    victim.process.send_signal(signal.SIGCONT)
    system.load.include(victim)
    pending += system.start_requests_for(2.0)
    for request in pending:
        request.wait()


@when("a system gateway is killed and replaced under load")
def kill_gateway(context):
    system = context.system
    victim = system.cell.select("gateway", "bkk-a")[0]
    pending = system.start_requests_for(1.0)
    system.cell.kill(victim)
    system.load.exclude(victim)
    pending += system.start_requests_for(1.0)
    system.cell.launch(victim)
    system.cell.wait_ready(victim)
    system.load.include(victim)
    pending += system.start_requests_for(2.0)
    for request in pending:
        request.wait()


@when("every system daemon is replaced gracefully under load")
def replace_all_daemons(context):
    system = context.system
    pending = []
    for daemon in list(system.cell.daemons.values()):
        pending += system.start_requests_for(0.5)
        if daemon.role == "gateway":
            system.load.exclude(daemon)
        statuses = system.cell.stop_daemons([daemon])
        assert statuses[daemon.name] == 0, statuses
        system.cell.launch(daemon)
        system.cell.wait_ready(daemon)
        if daemon.role == "gateway":
            system.load.include(daemon)
        pending += system.start_requests_for(0.5)
    for request in pending:
        request.wait()


@when("a system gateway is killed while requests are running")
def kill_abruptly(context):
    system = context.system
    victim = system.cell.select("gateway", "bkk-a")[0]
    pending = system.start_requests_for(3.0)
    pending.append(system.load.start("cut", 30))
    time.sleep(0.02)
    system.cell.kill(victim)
    system.load.exclude(victim)
    for request in pending:
        request.wait()


@when("system connections to endpoints go silent under load")
def silence_connections(context):
    system = context.system
    pending = system.start_requests_for(1.0)
    for address in system.cell.endpoints.values():
        system.cell.post(address, "/silence", {})
    pending += system.start_requests_for(3.0)
    for request in pending:
        request.wait()
    assert system.cell.sum_endpoint_counter("silenced") > 0


@then("the system answered every request")
def all_answered(context):
    figures = context.system.load.figures()
    assert figures["requests"] > 100, figures
    assert figures["whole_answers"] == figures["requests"], figures


@then("the system answered every request at the first attempt")
def all_answered_at_first_attempt(context):
    all_answered(context)
    figures = context.system.load.figures()
    assert figures.get("connections_broken", 0) == 0, figures
    refusals = [name for name in figures if name.startswith("answered_")]
    assert refusals == [], figures


@then("the system lost no request and answered none wrongly")
def none_lost_or_wrong(context):
    figures = context.system.load.figures()
    assert figures["requests"] > 100, figures
    assert figures["lost"] == figures["wrong_answers"] == 0, figures
    answers = figures["whole_answers"] / figures["requests"]
    assert answers > 0.5, figures


@then("the system check of first attempts fails")
def first_attempts_fail(context):
    try:
        all_answered_at_first_attempt(context)
    except AssertionError:
        return
    raise AssertionError("the check passed although a gateway was killed")


def count_runs_after_mark(system, leaving):
    """Store the runs of an endpoint at and 3 s after `LEAVING_LIMIT_S`."""
    name, address = next(iter(system.cell.endpoints.items()))
    pending = system.start_requests_for(1.0)
    if leaving:
        row = {"id": name, "state": "leaving"}
        system.cell.post(system.cell.vm_list_address, "/rows", [row])
    pending += system.start_requests_for(LEAVING_LIMIT_S)
    before = system.cell.get(address, "/stats")["counts"].get("runs", 0)
    pending += system.start_requests_for(3.0)
    for request in pending:
        request.wait()
    after = system.cell.get(address, "/stats")["counts"].get("runs", 0)
    system.observations["runs"] = (before, after)


@when("a system endpoint is marked as leaving under load")
def endpoint_leaves(context):
    count_runs_after_mark(context.system, leaving=True)


@when("a system endpoint stays unmarked under load")
def endpoint_stays(context):
    count_runs_after_mark(context.system, leaving=False)


@then("the system sent the leaving endpoint no request after 5 seconds")
def no_new_work(context):
    before, after = context.system.observations["runs"]
    assert before > 0, "the endpoint got no requests before the limit"
    assert after == before, (before, after)


@then("the system check of the leaving endpoint fails")
def leaving_check_fails(context):
    try:
        no_new_work(context)
    except AssertionError:
        return
    raise AssertionError("the check passed for an endpoint that is not marked")
