"""A job whose workers crash is shown as failed without a failed run."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins_3 as standins  # noqa: E402

RUNNERS = 12
CRASHES = 4
JOB = f"{0xA0:016x}"
WORK_S = 6.0
BEFORE_CRASH_S = 1.0  # for which the task has been running
PERIOD_S = 0.1
LIMIT_S = 80
CHECK_S = 3


async def play(cell, trouble):
    """Crash the runner of a task some times, and ask for the job."""
    if await cell.submit(JOB, standins.job(1, WORK_S)) != 200:
        raise RuntimeError("the job is not accepted")
    loop = asyncio.get_running_loop()
    limit = loop.time() + LIMIT_S
    crashes = 0
    state = None
    while loop.time() < limit and state not in ("completed", "failed"):
        runners = [r for r in cell.runners if r.runs_for_s() > BEFORE_CRASH_S]
        if trouble and runners and crashes < CRASHES:
            runners[0].crash()
            crashes += 1
        await asyncio.sleep(PERIOD_S)
        state = await cell.state(JOB, CHECK_S)
    # No run of these runners ends as failed.
    cell.record.write(f"{crashes} crashes, no run ended failed")
    if state == "failed":
        return "LOST: the job is shown as failed without a failed run"
    if state != "completed":
        return f"LOST: {state}"
    return None


play.create = lambda folder: standins.Cell(folder, runners=RUNNERS)

if __name__ == "__main__":
    sys.exit(standins.main(play, FOLDER))
