"""Directed histories that random search reaches too seldom."""

from citrondeal import ownership
from citrondeal.ownership.tests import world


def late_claim_of_restarted_process(group_class=ownership.LeaseGroup):
    """A promise of a restarted process, whose old claim lands later.

    The paused holder lists one peer.  That peer claims, but its append is
    late, and it restarts.  The holder resumes without the log and gets the
    promise of the new incarnation, which cannot read the log either.  The
    late claim lands; a third process, which the holder has never listed,
    claims after it.
    """
    run = world.World(2, group_class)
    run.advance(3.0)
    lease = run.fold.leases["r0"]
    (holder,) = [p for p in run.living() if p.name == lease.holder]
    (peer,) = [p for p in run.living() if p is not holder]
    holder.paused = True
    run.start("c", "c:1", 2)
    run.advance(3.5)
    peer.parks = True
    run.advance(3.5)
    successor = run.restart(peer)
    successor.reads = False
    holder.paused = False
    holder.reads = holder.appends = False
    run.check()
    run.advance(1.0)
    while run.parked:
        run.land(0)
    run.advance(12.0)
    run.settle()


def restart_of_the_group():
    """All processes restart at once at their addresses; returns seconds."""
    run = world.World(3)
    run.advance(3.0)
    for process in run.living():
        run.restart(process)
    return _seconds_to_holders(run)


def killed_holder():
    """A holder dies; returns the seconds until all resources are held."""
    run = world.World(3)
    run.advance(10.0)
    lease = run.fold.leases["r0"]
    for process in run.living():
        if process.name == lease.holder:
            run.kill(process)
    return _seconds_to_holders(run)


def cut_holder(seconds):
    """A holder loses the log but reaches its peers.

    Returns the names of the holders of one resource over this time, the
    name of the one that was cut, and the number of its relayed renewals.
    """
    run = world.World(3)
    run.advance(10.0)
    lease = run.fold.leases["r0"]
    (holder,) = [p for p in run.living() if p.name == lease.holder]
    holder.reads = holder.appends = False
    names = set()
    end = run.t + seconds
    while run.t < end:
        run.advance(world.STEP_S)
        names |= {p.name for p in run.holders("r0")} or {None}
    relays = [r for r in run.log.records if r.get("relay_of") == holder.name]
    return names, holder.name, len(relays)


def joined_process():
    """A better-placed process joins; returns its name and its resources."""
    run = world.World(1)
    run.advance(3.0)
    run.start("b", "b:1", 1)
    run.advance(world.CONFIG.rebalance_after_s - 1.0)
    before = {p.name for r in world.RESOURCES for p in run.holders(r)}
    run.advance(5.0)
    after = {r: run.holders(r)[0].name for r in world.RESOURCES}
    return before, after


def _seconds_to_holders(run):
    start = run.t
    while not all(run.holders(name) for name in world.RESOURCES):
        run.advance(world.STEP_S)
        assert run.t - start < 60.0
    return run.t - start
