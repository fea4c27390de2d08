"""A series of random faults, which may overlap in time."""

import anyio


async def inject(faults, rng, pause_range_s, injected, seconds):
    """Start faults for `seconds` and return when the last one is over.

    Parameters
    ----------
    faults : dict of str to tuple
        By name, a function whose call ``await function(duration_s)`` is the
        fault, and the range of its durations in seconds.
    rng : random.Random
    pause_range_s : tuple of float
        Range of the seconds between the starts of two faults.
    injected : list of tuple of str and float
        Gets name and duration in seconds of each fault, as it starts.
    seconds : float
    """
    end = anyio.current_time() + seconds
    async with anyio.create_task_group() as task_group:
        while anyio.current_time() < end:
            name = rng.choice(sorted(faults))
            function, duration_range_s = faults[name]
            duration_s = rng.uniform(*duration_range_s)
            injected.append((name, round(duration_s, 2)))
            task_group.start_soon(function, duration_s)
            await anyio.sleep(rng.uniform(*pause_range_s))
