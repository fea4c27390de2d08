"""Steps for an owner whose process was suspended."""

import contextlib
from unittest import mock

import anyio
from behave import then
import result

from citrondeal.cell import _clock
from citrondeal.cell import _confirmation
from citrondeal.cell import _follower
from citrondeal.cell import _records
from citrondeal import peers
from citrondeal.peers.gen.peers import ttypes
from citrondeal import platform

EPOCH = 5
# Shorter than a confirmation counts, and longer than an owner may be silent
# before it is replaced.
SUSPENDED_S = 1.6
STARTED_AT = 100.0
LIMIT_S = 5.0


class _Members:
    """Stands for the membership; its claims were read at one time."""

    def __init__(self, now):
        self.store_confirmed_at = now
        self.reads = 0
        self.others = {
            name: _records.Member(name, f"{name}:1", "zone", 1.0)
            for name in ("b", "c")
        }

    def read_claims_now(self):
        self.reads += 1


class _Links:
    """Members that know these epochs; None stands for no answer."""

    def __init__(self, epochs):
        self._epochs = epochs

    async def call(self, address, message, timeout_s):
        epoch = self._epochs[address.partition(":")[0]]
        if epoch is None:
            raise peers.PeerError("timeout", maybe_sent=True)
        if epoch > EPOCH:
            await anyio.sleep(0.05)
        return ttypes.ProbeReply(
            epoch=epoch, owner=False, store_age_s=0.0, owner_age_s=0.0
        )


class _Process:
    """The confirmation of an owner, on a clock that is set by hand."""

    def __init__(self, epochs=None):
        self.now = STARTED_AT
        self.members = _Members(self.now)
        self.confirmation = _confirmation.OwnerConfirmation(
            EPOCH, self.members, _Links(epochs or {}), "zone"
        )

    def may_answer(self, now):
        self.now = now
        return self.confirmation.may_answer(now)


@contextlib.contextmanager
def _process(epochs=None):
    with mock.patch.object(_clock, "now", autospec=True) as now:
        now.return_value = STARTED_AT
        process = _Process(epochs)
        now.side_effect = lambda: process.now
        yield process


@then("a cell owner that was suspended waits for a later read of the claims")
def _(context):
    with _process() as process:
        assert process.may_answer(100.1)
        resumed_at = 100.1 + SUSPENDED_S
        assert process.confirmation.holds(resumed_at)
        assert not process.may_answer(resumed_at)
        assert process.members.reads == 1, process.members.reads
        # The read that was under way began before the suspension.
        process.members.store_confirmed_at = 100.1
        assert not process.may_answer(resumed_at + 0.1)
        process.members.store_confirmed_at = resumed_at + 0.1
        assert process.may_answer(resumed_at + 0.2)
        assert process.members.reads == 1, process.members.reads


def _answers_after_round(epochs):
    """Return whether an owner may answer while and after members are asked."""
    answers = []

    async def run(process):
        confirmation = process.confirmation
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(confirmation._ask_members)
            await anyio.wait_all_tasks_blocked()
            answers.append(process.may_answer(process.now))
        answers.append(process.may_answer(process.now))

    with _process(epochs) as process:
        assert process.may_answer(100.1)
        assert not process.may_answer(100.1 + SUSPENDED_S)
        assert process.confirmation._state.must_ask_members(process.now)
        anyio.run(run, process)
    return answers


@then("a cell owner that was suspended waits until all members were asked")
def _(context):
    assert _answers_after_round({"b": EPOCH, "c": None})[-1]
    assert _answers_after_round({"b": None, "c": None}) == [False, False]
    # The next owner answers last.
    for epochs in ({"b": EPOCH, "c": EPOCH + 1}, {"b": EPOCH + 1, "c": EPOCH}):
        assert _answers_after_round(epochs) == [False, False], epochs


@then("a cell owner that was never suspended needs no later confirmation")
def _(context):
    with _process() as process:
        # The store is away; the last confirmation counts as before.
        for turn in range(1, 20):
            now = 100.0 + turn * 0.1
            assert process.may_answer(now), now
        assert process.members.reads == 0, process.members.reads


class _HoldingStore:
    """Holds reads that may wait; answers the others at once."""

    def __init__(self):
        self.waits = []

    async def read_newest(self, topic):
        return result.Ok((0, []))

    async def read(self, topic, start, wait_s):
        self.waits.append(wait_s)
        if wait_s:
            await anyio.sleep(LIMIT_S)
        return result.Ok(platform.Batch(0, 0, []))


@then("a cell follower that has to read at once ends its long poll")
def _(context):
    store = _HoldingStore()
    follower = _follower.Follower(store, "topic", None, LIMIT_S)

    async def run():
        await follower.load()
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(follower.run)
            await anyio.wait_all_tasks_blocked()
            asked_at = _clock.now()
            follower.read_now()
            with anyio.fail_after(LIMIT_S / 2):
                while follower.confirmed_at < asked_at:
                    await anyio.sleep(0.01)
            await anyio.wait_all_tasks_blocked()
            task_group.cancel_scope.cancel()

    anyio.run(run)
    assert store.waits == [LIMIT_S, 0.0, LIMIT_S], store.waits
