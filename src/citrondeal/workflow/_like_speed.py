"""Choice of workers of like speed for a gang, whose slowest sets the pace."""


def choose(step, chosen, workers, choose_among, rank):
    """Return a choice for a gang among workers of like speed, if there is one.

    Of the ranges of speed that hold the whole gang, the narrowest is taken. It
    must not be worse otherwise, for example need new tickets.

    Parameters
    ----------
    step : StepState
    chosen : list of (TaskState, WorkerState)
        Complete choice regardless of speed, which is returned if no other one
        is better.
    workers : list of WorkerState
    choose_among : callable
        ``choose_among(workers)`` returns a choice among some of the workers.
    rank : callable
        ``rank(worker)`` returns a tuple; a choice that has more workers with
        a true entry at the first position where both differ is worse.

    Returns
    -------
    list of (TaskState, WorkerState)
    """
    used = [worker.speed_class for _, worker in chosen]
    limit = _loss(chosen, rank)
    present = sorted({worker.speed_class for worker in workers})
    for low, high in _ranges(present, used, step.wants_fast):
        subset = [w for w in workers if low <= w.speed_class <= high]
        other = choose_among(subset)
        if len(other) == len(chosen) and _loss(other, rank) <= limit:
            return other
    return chosen


def _ranges(present, used, wants_fast):
    """Return ranges of classes that are better than the one in use.

    They are narrower or, for a gang that is to be fast, faster. Of those of
    one width, the fastest comes first, or for a gang that need not be fast
    the one that changes the choice least.
    """
    slowest, width = min(used), max(used) - min(used)
    ranges = [
        (low, high)
        for low in present
        for high in present
        if 0 <= high - low < width
        or (wants_fast and high - low == width and low > slowest)
    ]

    def order(bounds):
        low, high = bounds
        kept = sum(low <= speed_class <= high for speed_class in used)
        return high - low, -low if wants_fast else -kept, -low

    return sorted(ranges, key=order)


def _loss(chosen, rank):
    """Return for each entry of the rank how many workers have it true."""
    return [sum(column) for column in zip(*(rank(w) for _, w in chosen))]
