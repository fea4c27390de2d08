"""Random faults of workers, owners and the store in a simulation."""

from citrondeal.workflow.tests import capacities

LONG_OUTAGE_S = 15.0
CUT_S = (10.0, 13.0)  # some of these end after the leases of the worker
OWNER_GAP_S = 1.0  # from the end of an owner to the start of the next one


def inject(simulation):
    """Submit a job or inject a fault, both at random.

    Parameters
    ----------
    simulation : Simulation
    """
    rng = simulation.random
    if rng.random() < 0.08:
        simulation.submit()
    worker = rng.choice(list(simulation.workers.values()))
    roll = rng.random()
    if roll < 0.004:
        simulation.record_crash(worker)
        worker.restart()
    elif roll < 0.008:
        worker.unreachable = worker.removed or not worker.unreachable
    elif roll < 0.012 and simulation.owner is not None:
        end_owner(simulation)
    elif roll < 0.013:
        _remove_worker(simulation, worker)
    elif roll < 0.017:
        simulation.store_down_until = simulation.now + rng.uniform(0.2, 4.0)
    elif roll < 0.019:
        simulation.store_down_until = simulation.now + LONG_OUTAGE_S
    elif roll < 0.04:
        worker.capacity.change(capacities.choose(rng), simulation.now)
    elif roll < 0.046:
        worker.unreachable = True
        worker.reachable_at = simulation.now + rng.uniform(*CUT_S)


def end_owner(simulation):
    """End the owner, which may go on beside the next one for some time."""
    if simulation.random.random() < 0.5:
        _split_owner(simulation)
    simulation.owner = None
    simulation.owner_starts_at = simulation.now + OWNER_GAP_S


def _split_owner(simulation):
    """Let the owner go on, and split the workers between it and the next.

    Each of the two cannot reach the workers of the other for some time.
    """
    owner = simulation.owner
    owner.ends_at = simulation.now + simulation.random.uniform(1.0, 4.0)
    simulation.superseded_owners.append(owner)
    reachable_at = (
        simulation.now + OWNER_GAP_S + simulation.random.uniform(0.0, 2.0)
    )
    for name in simulation.workers:
        if simulation.random.random() < 0.5:
            owner.unreachable_until[name] = owner.ends_at
        else:
            simulation.next_unreachable_until[name] = reachable_at


def _remove_worker(simulation, worker):
    """Remove a worker for good, unless it is one of the last two."""
    left = [w for w in simulation.workers.values() if not w.removed]
    # A worker that has crashed is back some time later.
    if len(left) > 2 and not worker.down:
        worker.removed = worker.unreachable = True
