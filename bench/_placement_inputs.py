"""Workers and random jobs for the measurements of the placement core."""

from citrondeal import placement

WORKER = (32, 128_000)  # cores and MB, see the design page
ACCELERATORS = 820  # on 810 workers, eight on one


def fill(pool, count, accelerators=True):
    """Add `count` workers in racks of eight."""
    special = round(ACCELERATORS / 8 * count / 810) if accelerators else 0
    for number in range(count):
        own = 0
        if number < special:
            own = 4 if number == special - 1 and count == 810 else 8
        capacity = placement.capacity_of(*WORKER, own)
        pool.set_worker(
            f"w{number:04}", capacity, f"r{number // 8}", True, 0.0
        )


def size(rng, kind="mixed"):
    """Return the request of one task, in cores and MB per task."""
    if kind == "even":
        cores = rng.choice((1, 2, 4, 8))
        return cores, cores * 4000
    shape = rng.random()
    if shape < 0.4:
        return rng.choice((2, 4, 6, 10)), rng.choice((1000, 4000))
    if shape < 0.7:
        return rng.choice((0.5, 1, 2)), rng.choice((16000, 30000, 44000))
    return rng.choice((1, 3, 5)), rng.choice((4000, 12000, 20000))


def work_of(rng, number, kind="mixed", **fields):
    """Return a random job."""
    cores, memory_mb = size(rng, kind)
    accelerators = 0
    if kind == "mixed" and rng.random() < 0.05:
        accelerators = rng.choice((1, 1, 2, 4))
    values = {
        "job": f"j{number}",
        "family": f"/batch/f{rng.randrange(40)}",
        "team": f"t{rng.randrange(35)}",
        "priority": rng.choices(placement.PRIORITIES, (1, 6, 3))[0],
        "kind": "service" if rng.random() < 0.2 else "batch",
        "size": placement.size_of(cores, memory_mb, accelerators),
        "run_time_s": rng.uniform(10, 600),
    }
    return placement.JobSpec(**(values | fields))
