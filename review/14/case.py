"""Small jobs wait on idle workers beside large tasks of an urgent job."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins_3 as standins  # noqa: E402

RUNNERS = 24
RUNNER_CPU = 32_000
LONG_CPU = 1_000
LONG_S = 30.0
LARGE_S = 40.0
SMALL_JOBS = 4
PAUSE_S = 1.0
FINISH_S = 14  # after the traffic the jobs are asked for
WAIT_S = 3  # a job may have nothing running beside enough idle room
PERIOD_S = 0.05


async def play(cell, trouble):
    """Hand in a large job that does not fit yet, and small ones after it."""
    loop = asyncio.get_running_loop()
    long = standins.job(RUNNERS, LONG_S, LONG_CPU)
    long["steps"][0]["max-per-server"] = 1
    await cell.submit(f"{0xA0:016x}", long, prefix=standins.BATCH_PREFIX)
    await asyncio.sleep(PAUSE_S)
    if trouble:
        large = standins.job(RUNNERS, LARGE_S, RUNNER_CPU)
        await cell.submit(f"{0xB0:016x}", large)
        await asyncio.sleep(PAUSE_S)
    accepted = []
    for number in range(SMALL_JOBS):
        job = f"{0xC0 + number:016x}"
        small = standins.job(1, 1.0, 1_000)
        if await cell.submit(job, small, prefix=standins.BATCH_PREFIX) == 200:
            accepted.append(job)
    cell.record.write("traffic has ended")
    await asyncio.sleep(FINISH_S)
    began = loop.time()
    most_used = 0
    while loop.time() <= began + WAIT_S + PERIOD_S:
        used = sum(runner.used_cpu() for runner in cell.runners)
        most_used = max(most_used, used)
        await asyncio.sleep(PERIOD_S)
    idle = [job for job in accepted if not cell.starts_of(job)]
    capacity = RUNNERS * RUNNER_CPU
    cell.record.write(
        f"{len(accepted)} small jobs accepted; not started: {idle}; at most"
        f" {most_used} of {capacity} thousandths of a core in use for"
        f" {WAIT_S} s, from {FINISH_S} s after the traffic on"
    )
    if idle and most_used * 2 < capacity:
        return f"LOST: nothing runs of {idle}"
    return None


play.create = lambda path: standins.Cell(path, runners=RUNNERS)

if __name__ == "__main__":
    sys.exit(standins.main(play, FOLDER / "record.txt"))
