"""The store is down while more than 500 runs end on one runner."""

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
JOBS = 24
TASKS = 60  # of each job, as wide as the largest ones of the site file
WORK_MS = 9000
DOWN_S = 4.5  # the longest outage of the store that the site file names


def _job_id(index):
    return f"{index + 1:016x}"


def _body():
    step = {
        "count": TASKS,
        "cpu": 50,
        "mem-mb": 150,
        "estimate-ms": WORK_MS,
    }
    return {"spec": json.dumps({"work_ms": WORK_MS}), "steps": [step]}


async def _play(case):
    case.configure()
    for i in range(RUNNERS):
        await case.fleet.add(f"i-{i}", f"r{i // RACK_SIZE}")
    await case.start_cell(ZONES)
    await asyncio.sleep(2.0)
    accepted = await asyncio.gather(
        *(case.submit(_job_id(i), _body()) for i in range(JOBS))
    )
    assert all(accepted), "a job was not accepted"
    while not case.of("end"):
        await asyncio.sleep(0.05)
    if case.trouble:
        case.log("store down")
        case.store.busy = True
        await asyncio.sleep(DOWN_S)
        case.store.busy = False
        case.log("store up")
    states = [
        await case.wait_state(_job_id(i), "completed", 60.0)
        for i in range(JOBS)
    ]
    case.log("jobs completed", count=sum(states))
    return checks.started_after_done(case.events)


if __name__ == "__main__":
    cases.run(__file__, _play)
