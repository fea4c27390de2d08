"""A task starts again while a silent worker still runs it."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parents[1]))

import standins_2 as worlds  # noqa: E402

# Largest lengths of node_cut in the site file; `how` servers has 5.5 s.
FIRST_CUT_S = 12.0
SECOND_CUT_S = 5.5
# The owner holds a renewal for 1 s. Each cut begins in the second half of one,
# which the owner gives up 1.7 s after it was sent.
RENEWAL_AGE_S = 0.5
KILL_AFTER_S = 1.8
JOBS = 12
TASKS = 4  # of a job, one on each runner
WORK_S = 40.0
END_S = 20.0


async def play(world, trouble):
    """Cut a worker, then the one that runs its task; kill the owner."""
    step = {
        "count": TASKS,
        "cpu": 2000,
        "mem-mb": 64,
        "estimate-ms": 1000 * WORK_S,
        "max-per-server": 1,
    }
    jobs = [f"{number:016x}" for number in range(JOBS)]
    for job in jobs:
        if not await world.submit_anywhere(job, [step], WORK_S):
            raise worlds.CannotRun(f"job {job} is not accepted")
    await asyncio.sleep(3.0)
    owner = await world.owner()
    world.record.add(f"the owner is {owner.name}")
    # Runners are recovered in the order of their ids.
    first = min((r for r in world.runners if r.running), key=lambda r: r.name)
    tasks = set(first.running)
    world.record.add(f"{first.name} runs {sorted(tasks)}")
    restarted = asyncio.Event()
    places = []

    def on_run(run):
        if run.task in tasks and run.runner is not first:
            places.append(run.runner)
            restarted.set()

    world.on_run = on_run
    if trouble:
        loop = asyncio.get_running_loop()
        await first.cut(RENEWAL_AGE_S)
        loop.call_later(FIRST_CUT_S, first.reconnect)
        try:
            await asyncio.wait_for(restarted.wait(), FIRST_CUT_S)
        except TimeoutError:
            raise worlds.CannotRun("no task has started elsewhere") from None
        second = places[0]
        await second.cut(RENEWAL_AGE_S)
        loop.call_later(SECOND_CUT_S, second.reconnect)
        await asyncio.sleep(KILL_AFTER_S)
        await owner.kill()
        await asyncio.sleep(0.5)
        await owner.start()
    await asyncio.sleep(END_S)
    broken = []
    for task, runs in sorted(world.runs.items()):
        for run, other, seconds in worlds.overlaps(runs):
            broken.append(
                f"TWICE: run {run.number} on {run.runner.name} and run"
                f" {other.number} on {other.runner.name} of {task} at the"
                f" same time, for {seconds:.2f} s"
            )
    return broken


worlds.main(play, runners=8)
