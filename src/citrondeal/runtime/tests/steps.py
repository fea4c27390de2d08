"""Steps for lease drivers whose log is replaced by an empty one."""

from behave import then

from citrondeal.runtime.tests import lease_group

# Long enough for a log that isn't as long again within the recovery limit.
_LONG_RUN_S = 300.0
# Longer than the validity of a lease and of a promise (4 s each).
_EXPIRY_S = 6.0


async def _run_two(group, seconds):
    """Run two processes and return the name of the holder."""
    group.start("a")
    group.start("b")
    await group.advance(seconds)
    (holder,) = group.holders()
    return holder


@then("runtime a process that starts on a replaced log is no second holder")
def start_on_replaced_log(context):
    async def check(group):
        await _run_two(group, 10.0)
        group.replace_log()
        await group.advance(_EXPIRY_S)
        group.start("c")
        await group.advance(lease_group.RECOVERY_LIMIT_S)
        assert group.holders() == ["c"], group.holders()

    lease_group.run(check)


@then("runtime a holder that reads a replaced log gives up its lease at once")
def lease_given_up(context):
    async def check(group):
        holder = await _run_two(group, 10.0)
        group.replace_log()
        # One long poll, one pause between reads and their delays.
        await group.advance(1.0 + 0.4 + 0.1)
        assert group.holders() == []
        assert group.processes[holder].lost_count == 1

    lease_group.run(check)


@then("runtime the lease of a killed holder on a replaced log ends")
def killed_holder(context):
    async def check(group):
        holder = await _run_two(group, _LONG_RUN_S)
        group.kill(holder)
        group.replace_log()
        await group.advance(lease_group.RECOVERY_LIMIT_S)
        assert len(group.holders()) == 1, "the resource is blocked"
        assert group.holders() != [holder]

    lease_group.run(check)


@then("runtime leases on a replaced log are those of its records")
def state_of_new_log(context):
    async def check(group):
        holder = await _run_two(group, _LONG_RUN_S)
        group.kill(holder)
        group.replace_log()
        await group.advance(_EXPIRY_S)
        (survivor,) = group.processes.values()
        # The survivor may not have read the last record yet.
        folded = group.folded_state()
        state = survivor.driver.group.snapshot()
        assert state["leases"] == folded["leases"], state["leases"]
        names = [row[0] for row in state["incarnations"]]
        assert names == [survivor.name], names
        assert 0 <= folded["position"] - state["position"] <= 1, state

    lease_group.run(check)


@then("runtime a process is registered again by a record in the new log")
def registered_again(context):
    async def check(group):
        group.start("a")
        await group.advance(10.0)
        driver = group.processes["a"].driver
        assert driver.registered
        group.refused_appends.add("a")
        group.replace_log()
        await group.advance(2.0)
        assert not driver.registered
        group.refused_appends.clear()
        await group.advance(4.0)
        assert driver.registered and not driver.is_first_incarnation

    lease_group.run(check)
