"""Steps for request ids: random runs, a reference ledger, single cases."""

import contextlib
import io
import random

from behave import given
from behave import then
from behave import when

from citrondeal import dedup
from citrondeal.dedup.tests import cell as cells
from citrondeal.dedup.tests import central
from citrondeal.dedup.tests import machine
from citrondeal.dedup.tests import mutants
from citrondeal import errors

_MACHINES = {"faults": machine.Faults, "delays": machine.DelaysOnly}


@then('dedup {count:d} "{kind}" runs of {steps:d} events keep the guarantees')
def machine_passes(context, count, kind, steps):
    machine.run(None, count, machine=_MACHINES[kind], steps=steps)


@then('dedup the "{kind}" machine fails for "{mutant}"')
def machine_fails(context, kind, mutant):
    for seed in range(2, 10):
        try:
            # Hypothesis prints the failing run, which is expected here and
            # would hide reports of real failures.
            with contextlib.redirect_stdout(io.StringIO()):
                machine.run(
                    seed,
                    200,
                    ledger=getattr(mutants, mutant),
                    machine=_MACHINES[kind],
                    steps=15,
                    shrink=False,
                )
        except AssertionError:
            return
    raise AssertionError(f"the machine {kind!r} finds no fault in {mutant}")


def _answer_kind(send):
    if isinstance(send.result, errors.Failure):
        return send.result.kind.value
    return send.result


def _differential_event(rng, cell, reference):
    event = rng.choice(["first", "again", "late", "route", "start", "finish"])
    if event in ("first", "again"):
        if event == "first" or not cell.sends:
            request_id = cell.new_id(rng.choice(["uuid7", "plain"]))
        else:
            request_id = rng.choice(list(cell.sends)[-3:])
        cell.send(request_id, rng.choice(cell.names))
        cell.in_flight[-1].delayed = rng.random() < 0.2
        if not cell.in_flight[-1].delayed:
            reference.send(cell.in_flight[-1].body, cell.in_flight[-1].target)
    elif event == "late" and cell.in_flight:
        message = rng.choice(cell.in_flight)
        message.delayed = False
        reference.send(message.body, message.target)
    elif event == "route" and cell.queued():
        node, request_id = rng.choice(cell.queued())
        target = rng.choice(cell.names)
        if rng.random() < 0.2:
            reference.refuse(request_id, "overloaded")
            cell.refuse(node, request_id)
        else:
            if not cell.is_forwarded(node, request_id):
                reference.forward(request_id, target)
            cell.route(node, request_id, target)
    elif event == "start" and cell.ready():
        node, request_id = rng.choice(cell.ready())
        reference.start(request_id)
        cell.start(node, request_id, rng.random() < 0.7)
    elif event == "finish" and cell.running():
        node, request_id = rng.choice(cell.running())
        if node.running[request_id] is not None:
            reference.answer(request_id)
            cell.finish(node, request_id, "answer")
        else:
            reference.refuse(request_id, "unavailable")
            cell.finish(node, request_id, "not_run")
    cell.run_until_idle(depth=0)


@then("dedup {events:d} events give the same answers as a central ledger")
def same_answers(context, events):
    for seed in range(4):
        rng = random.Random(seed)
        cell = cells.Cell(4)
        reference = central.CentralLedger()
        for number in range(events):
            _differential_event(rng, cell, reference)
            cell.check()
            for sends in cell.sends.values():
                for send in sends:
                    expected = reference.results.get(send)
                    where = f"seed {seed}, event {number}, {send}"
                    assert _answer_kind(send) == expected, (
                        f"{expected}: {where}"
                    )


@then('dedup a "{first}" try and a refusal of its retry give "{answer}"')
def idempotent_refusal(context, first, answer):
    ledger, now = cells.Cell(3).nodes["a"].ledger, cells.START_S
    failure = errors.Failure(errors.Kind.OVERLOADED, "queue is full")
    assert ledger.begin("r", 1, True, now, 0.0) == [dedup.Proceed("r")]
    assert ledger.start("r", now) == [dedup.Dispatch("r")]
    if first == "unknown":
        actions = ledger.unknown("r", "silent", now, retry=True)
    else:
        actions = ledger.not_run("r", failure, now, retry=True)
    assert actions == [dedup.Proceed("r")]
    (refusal,) = ledger.not_run("r", failure, now)
    assert refusal.failure.kind.value == answer


@then("dedup the oldest of 3 answers is lost in a cache for 2")
def bounded_answers(context):
    cell = cells.Cell(3, config=dedup.Config(answer_bytes=25))
    ids = [cell.new_id("uuid7") for _ in range(3)]
    for request_id in [*ids, *ids]:
        cell.send(request_id, "a")
        cell.run_until_idle(request_id)
    again = [_answer_kind(cell.sends[request_id][1]) for request_id in ids]
    assert again == ["answer_lost", "answer", "answer"], again


@given('dedup a cell of {size:d} gateways and a "{kind}" id')
def make_cell(context, size, kind):
    context.cell = cells.Cell(size)
    context.id = context.cell.new_id(kind)


@given('dedup a cell of {size:d} gateways and a "{kind}" id with "{mutant}"')
def make_mutant_cell(context, size, kind, mutant):
    context.cell = cells.Cell(size, getattr(mutants, mutant))
    context.id = context.cell.new_id(kind)


@given("dedup a cell of {size:d} gateways that remember {count:d} ids")
def make_cell_with_few_ids(context, size, count):
    config = dedup.Config(max_ids=count)
    context.cell = cells.Cell(size, config=config)
    context.id = context.cell.new_id("uuid7")


@then("dedup a successor's memory excludes its predecessor's last intents")
def last_intents(context):
    cell = cells.Cell(4)
    cell.replace("b", lag_s=3.0)
    (old,) = cell.replaced_nodes
    cell.advance(1.0)
    # The caller's clock is ahead, so that the id seems younger than it is.
    request_id = cell.new_id("uuid7", 2.9)
    cell.send(request_id, "a")
    cell.run_until_idle(request_id, 2)
    assert old.ledger.dump()["ids"] == 1 and len(cell.runs) == 1
    cell.kill("a")
    cell.advance(4.0)
    cell.send(request_id, "c")
    cell.run_until_idle(request_id)
    cell.check()
    assert _answer_kind(cell.sends[request_id][1]) == "unknown_outcome"


@then('dedup "{text}" breaks a guarantee')
def breaks_guarantee(context, text):
    try:
        apply_events(context, text)
    except AssertionError:
        return
    raise AssertionError(f"no guarantee is broken after {text}")


@when('dedup "{text}" happens')
def apply_events(context, text):
    for part in text.split(", "):
        _apply_event(context.cell, context.id, part.split())


def _node(cell, names):
    return [cell.nodes[name] for name in names]


def _apply_event(cell, request_id, words):
    verb, *names = words
    if verb in ("send", "queue", "prepare", "start", "finish"):
        depth = ["queue", "prepare", "start", "finish"]
        cell.send(request_id, names[0])
        depth = 0 if verb == "send" else depth.index(verb)
        target = names[1] if len(names) > 1 else None
        if verb == "send":
            cell.in_flight[-1].delayed = True
        cell.run_until_idle(request_id, depth, target)
    elif verb == "repeat-first":
        cell.send(request_id, names[0], 1)
        cell.run_until_idle(request_id)
    elif verb == "forward-late":
        cell.route(cell.nodes[names[0]], request_id, names[1])
        cell.time_out(cell.in_flight[-1])
        cell.run_until_idle(request_id)
    elif verb == "deliver-late":
        for message in cell.in_flight:
            message.delayed = False
        cell.run_until_idle(depth=3)
    elif verb == "kill":
        for name in names:
            cell.kill(name)
    elif verb == "kill-witness":
        cell.kill(_witness(cell, request_id))
    elif verb == "replace":
        cell.replace(names[0])
    elif verb in ("pause", "resume"):
        for node in [*_node(cell, names), *cell.replaced_nodes]:
            node.paused = verb == "pause"
    elif verb == "cut":
        for message in _cut(cell, names):
            cell.time_out(message)
    elif verb == "time-out":
        for message in list(cell.in_flight):
            cell.time_out(message)
    elif verb == "refuse":
        cell.refuse(cell.nodes[names[0]], request_id)
    elif verb == "lost":
        cell.finish(cell.nodes[names[0]], request_id, "unknown")
    elif verb == "leave":
        cell.leave(names[0], names[1] if len(names) > 1 else None)
    elif verb == "fill-memory":
        for _ in range(2):
            other = cell.new_id("uuid7")
            cell.send(other, names[0])
            cell.run_until_idle(other, 0)
            cell.refuse(cell.nodes[names[0]], other)
    elif verb == "wait":
        cell.advance(float(names[0]))
    else:
        raise ValueError(f"unknown event {verb!r}")
    cell.check()


def _cut(cell, names):
    first, second = names
    cell.partitions |= {frozenset((a, b)) for a in first for b in second}
    return list(cell.in_flight)


def _witness(cell, request_id):
    for node in cell.nodes.values():
        record = node.ledger._records.get(request_id)
        if record is not None and record.process_status:
            return node.name
    raise AssertionError(f"no gateway has an intent for {request_id}")


@then('dedup the attempts are answered "{answers}" with {runs:d} runs')
def answered(context, answers, runs):
    cell = context.cell
    given_answers = [_answer_kind(s) or "-" for s in cell.sends[context.id]]
    assert " ".join(given_answers) == answers, given_answers
    assert len(cell.runs) == runs, len(cell.runs)
