"""Steps for the follower of a topic."""

import anyio
from behave import then
import result

from citrondeal.cell import _follower
from citrondeal import errors
from citrondeal import platform

WAIT_S = 1.0


class _Store:
    """Fails the first two reads, then answers."""

    def __init__(self):
        self.waits = []

    async def read(self, topic, start, wait_s):
        self.waits.append(wait_s)
        await anyio.sleep(0)
        if len(self.waits) <= 2:
            return result.Err(
                errors.Failure(errors.Kind.UNAVAILABLE, "timeout")
            )
        return result.Ok(platform.Batch(0, 0, []))


async def _read(store, count):
    follower = _follower.Follower(store, "topic", lambda _: None, WAIT_S)
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(follower.run)
        with anyio.fail_after(5.0):
            while len(store.waits) < count:
                await anyio.sleep(0.01)
        task_group.cancel_scope.cancel()


@then("a cell follower uses no long poll until the store has answered again")
def _(context):
    store = _Store()
    anyio.run(_read, store, 4)
    assert store.waits[:4] == [WAIT_S, 0.0, 0.0, WAIT_S], store.waits
