"""Steps for a scheduler that starts shortly before a pool is first claimed."""

from unittest import mock

import anyio
from behave import then
import result

from citrondeal import config
from citrondeal import logservice
from citrondeal import ownership
from citrondeal.runtime import _vms
from citrondeal.scheduler import main

ENTRY = logservice.Vm(id="entry-1", kind="entry", zone="zone-a", region="bkk")
READ_DELAY_S = 0.1
# After the first read of the log, and before the second one of the VM list.
CLAIM_AT_S = 0.6
VALIDITY_S = 4.0


class _Log:
    """A stream of members, with long polls."""

    def __init__(self):
        self._records = []
        self._appended = anyio.Event()

    async def read(self, stream, start, wait_s):
        # The VM list is read before.
        await anyio.sleep(READ_DELAY_S)
        if start == len(self._records):
            with anyio.move_on_after(wait_s):
                await self._appended.wait()
        found = list(enumerate(self._records))[start:]
        return result.Ok(logservice.Batch(0, len(self._records), found))

    async def append(self, stream, record):
        self._records.append(record)
        self._appended.set()
        self._appended = anyio.Event()
        return result.Ok(len(self._records) - 1)


class _VmList:
    """Answers with the same list each time."""

    async def read(self):
        return result.Ok([ENTRY])


@then("a scheduler that sees an unused pool knows that no task runs there")
def _(context):
    state = anyio.run(_take_over)
    assert state["released"], state


async def _take_over():
    """Return the state of a scheduler after the first owner is lost."""
    settings = config.SchedulerConfig.from_file(
        config.sample_path("scheduler")
    )
    log = _Log()
    async with anyio.create_task_group() as task_group:
        with mock.patch.object(
            logservice.LogClient, "from_config", lambda _: log
        ):
            scheduler = main.Scheduler(settings, task_group)
        leases = scheduler._shared.leases
        leases.set_callbacks(*[lambda *_: None] * 3)
        task_group.start_soon(
            _vms.poll_vms,
            _VmList(),
            scheduler._shared.directory,
            scheduler._on_vms,
            scheduler._on_list_read,
        )
        task_group.start_soon(leases.run)
        task_group.start_soon(scheduler._claim_pool)
        await anyio.sleep(CLAIM_AT_S)
        claim = _first_claim(settings, scheduler._pool_resource)
        await log.append("members", claim)
        await anyio.sleep(1.0)
        owner, now = scheduler._owner, anyio.current_time()
        owner.on_gained(2, now - VALIDITY_S, now)
        owner.on_log_end_read(now, now)
        owner.tick(now, now + VALIDITY_S)
        task_group.cancel_scope.cancel()
    return owner.dump()


def _first_claim(settings, resource):
    """Return the record in which another scheduler claims the pool."""
    other = ownership.LeaseGroup(
        settings.process.zone, "scheduler", "other", "1", "127.0.0.1:1"
    )
    other.set_wanted([resource], 0.0)
    records, now = [], 0.0
    while not any(record["claims"] for record in records):
        records = [action.record for action in other.tick(now)]
        for record in records:
            other.on_record(int(now * 10), record, now)
        other.on_log_end_read(now, True)
        now += 0.5
    return records[0]
