"""Steps for the process to which a scheduler hands its pool over."""

import itertools

import anyio
from behave import then

from citrondeal import config
from citrondeal import ownership
from citrondeal.scheduler import main

STEP_S = 0.25
STARTED_AT_S = 20.0


@then(
    "a scheduler hands its pool over after {first:g} to {last:g} s, not before"
)
def _(context, first, last):
    drained_at = anyio.run(_drained_at, STARTED_AT_S + 2 * last)
    assert first <= drained_at - STARTED_AT_S <= last, drained_at


async def _drained_at(end):
    """Return when a scheduler first drains its pool for a better process."""
    settings = config.SchedulerConfig.from_file(
        config.sample_path("scheduler")
    )
    async with anyio.create_task_group() as task_group:
        scheduler = main.Scheduler(settings, task_group)
    name, resource = settings.process.name, scheduler._pool_resource
    names = (f"other-{number}" for number in itertools.count())
    better = next(
        other
        for other in names
        if ownership.rendezvous_order(resource, [name, other])[0] == other
    )
    holder = scheduler._shared.leases.group
    holder.set_wanted([resource], 0.0)
    restarted = ownership.LeaseGroup(
        settings.process.zone, "scheduler", better, "1", "127.0.0.1:1"
    )
    groups, offsets, now = [holder], itertools.count(), 0.0
    while now < end:
        if now == STARTED_AT_S:
            groups.append(restarted)
        actions = [a for group in groups for a in group.tick(now)]
        if any(isinstance(action, ownership.Drain) for action in actions):
            return now
        _share(actions, groups, offsets, now)
        now += STEP_S
    raise AssertionError("the pool stays with its holder")


def _share(actions, groups, offsets, now):
    """Let all groups read the records of their actions."""
    for action in actions:
        if isinstance(action, ownership.AppendRecord):
            offset = next(offsets)
            for group in groups:
                group.on_record(offset, action.record, now)
    for group in groups:
        group.on_log_end_read(now, True)
