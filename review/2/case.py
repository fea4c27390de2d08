"""A runner loses power for a moment and is back under the id that it had."""

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "1"))

from standins import case as cases  # noqa: E402
from standins import checks  # noqa: E402

ZONES = ("zone-a", "zone-a", "zone-b")
RUNNERS = 8
RACK_SIZE = 4
ROUNDS = 5
BUSY_S = 12.0  # each round begins with a task that takes so long
QUIET_S = 1.0  # from its start to the loss of power
DARK_S = 0.6  # the site file names up to 4.5
TASKS = 4
WORK_MS = 3000
# Jobs are handed in all the while, before the loss of power and after it.
FLOW_S = 6.0
JOB_PERIOD_S = 0.15


def _body(tasks, cpu, work_ms):
    step = {
        "count": tasks,
        "cpu": cpu,
        "mem-mb": 1000,
        "estimate-ms": work_ms,
    }
    return {"spec": json.dumps({"work_ms": work_ms}), "steps": [step]}


async def _play(case):
    case.configure()
    for i in range(RUNNERS):
        await case.fleet.add(f"i-{i}", f"r{i // RACK_SIZE}")
    await case.start_cell(ZONES)
    await asyncio.sleep(2.0)
    jobs = []
    for number in range(1, ROUNDS + 1):
        jobs += await _play_round(case, number)
    for job in jobs:
        await case.wait_state(job, "completed", 20.0)
    return checks.overlapping_runs(case.events) + checks.started_after_done(
        case.events
    )


async def _play_round(case, number):
    """Let a busy runner lose power while jobs are handed in."""
    ends_at = case.now() + BUSY_S
    first = f"{number:08x}{0:08x}"
    body = _body(1, 4000, int(BUSY_S * 1000))
    assert await case.submit(first, body), "a job was not accepted"
    jobs = [first]
    async with asyncio.TaskGroup() as group:
        group.create_task(_send_jobs(case, number, jobs))
        await asyncio.sleep(QUIET_S)
        if case.trouble:
            await _cycle_power(case, first)
    await asyncio.sleep(max(0.0, ends_at - case.now()))
    return jobs


async def _send_jobs(case, number, jobs):
    """Hand in small jobs, one after the other."""
    ends_at = case.now() + FLOW_S
    while case.now() < ends_at:
        job = f"{number:08x}{len(jobs):08x}"
        body = _body(TASKS, 500, WORK_MS)
        assert await case.submit(job, body), "a job was not accepted"
        jobs.append(job)
        await asyncio.sleep(JOB_PERIOD_S)


async def _cycle_power(case, job):
    """Let the runner of a job lose power, and start again after a while."""
    start = [e for e in case.of("start") if e["task"].startswith(job)]
    runners = {r.name: r for r in case.fleet.runners}
    runner = runners[start[-1]["runner"]]
    runner.crash(power=False)
    await asyncio.sleep(DARK_S)
    await runner.start()


if __name__ == "__main__":
    cases.run(__file__, _play)
