"""Fixed sequences of events that random search reaches too seldom."""

from citrondeal import ownership
from citrondeal.ownership.tests import simulation


def late_claim_of_restarted_process(group_class=ownership.LeaseGroup):
    """Claim of a process that takes effect after its restart and a promise.

    The paused holder has listed one peer.  The peer claims, but its append
    is late, and it restarts.  The holder resumes without access to the log
    and is granted a promise by the new incarnation, which cannot read the
    log either.  Then the late claim is appended, and a third process, which
    the holder has never listed, claims after it.
    """
    run = simulation.Simulation(2, group_class)
    run.advance(3.0)
    lease = run.table.leases["r0"]
    (holder,) = [p for p in run.alive_processes() if p.name == lease.holder]
    (peer,) = [p for p in run.alive_processes() if p is not holder]
    holder.paused = True
    run.start("c", "c:1", 2)
    run.advance(3.5)
    peer.postpones_appends = True
    run.advance(3.5)
    successor = run.restart(peer)
    successor.reads = False
    holder.paused = False
    holder.reads = holder.appends = False
    run.check()
    run.advance(1.0)
    while run.postponed_appends:
        run.append_postponed(0)
    run.advance(12.0)
    run.check_recovery()


def restart_of_the_group():
    """Restart all processes at once, at the same addresses.

    Returns the seconds until all resources are held.
    """
    run = simulation.Simulation(3)
    run.advance(3.0)
    for process in run.alive_processes():
        run.restart(process)
    return _seconds_to_holders(run)


def killed_holder():
    """Kill a holder; return the seconds until all resources are held."""
    run = simulation.Simulation(3)
    run.advance(10.0)
    lease = run.table.leases["r0"]
    for process in run.alive_processes():
        if process.name == lease.holder:
            run.kill(process)
    return _seconds_to_holders(run)


def cut_holder(seconds):
    """Cut a holder from the log, but not from its peers.

    Returns the names of the holders of one resource over this time, the
    name of the holder that was cut, and the number of renewals that peers
    relayed for it.
    """
    run = simulation.Simulation(3)
    run.advance(10.0)
    lease = run.table.leases["r0"]
    (holder,) = [p for p in run.alive_processes() if p.name == lease.holder]
    holder.reads = holder.appends = False
    names = set()
    end = run.time_s + seconds
    while run.time_s < end:
        run.advance(simulation.STEP_S)
        names |= {p.name for p in run.holders("r0")} or {None}
    relays = [r for r in run.log.records if r.get("relay_of") == holder.name]
    return names, holder.name, len(relays)


def joined_process():
    """Start a second process; return the holders before and after.

    The first value is the set of holders shortly before the rebalancing, the
    second one maps resources to their holders after it.
    """
    run = simulation.Simulation(1)
    run.advance(3.0)
    run.start("b", "b:1", 1)
    run.advance(simulation.CONFIG.rebalance_after_s - 1.0)
    before = {p.name for r in simulation.RESOURCES for p in run.holders(r)}
    run.advance(5.0)
    after = {r: run.holders(r)[0].name for r in simulation.RESOURCES}
    return before, after


def _seconds_to_holders(run):
    start = run.time_s
    while not all(run.holders(name) for name in simulation.RESOURCES):
        run.advance(simulation.STEP_S)
        assert run.time_s - start < 60.0
    return run.time_s - start
