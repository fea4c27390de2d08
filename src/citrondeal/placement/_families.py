"""Estimates per job family from reported usage and past run times."""

import collections

# Weight of one new observation; about the last ten count.
_WEIGHT = 0.2
# A family whose tasks use this many times what they ask for is flagged.
FLAG_RATIO = 1.2
# Workers remembered on which a family failed since its last success.
_MAX_FAILED_ON = 8
# Run time assumed for batch tasks that declare none, in seconds.
DEFAULT_RUN_TIME = 600.0


class Family:
    """What is known about jobs of one family."""

    __slots__ = ("cores", "failed_on", "memory", "run_time", "succeeded")

    def __init__(self):
        # Usage divided by request, and run time divided by the declared
        # one; None before the first observation.
        self.cores = None
        self.memory = None
        self.run_time = None
        self.failed_on = []
        self.succeeded = False


class Families:
    """Least recently used table of families.

    Parameters
    ----------
    limit : int
        Families that are kept.
    """

    def __init__(self, limit):
        self._limit = limit
        self._table = collections.OrderedDict()

    def get(self, name):
        """Return the entry of a family, created if it is missing."""
        family = self._table.get(name)
        if family is None:
            family = self._table[name] = Family()
            if len(self._table) > self._limit:
                self._table.popitem(last=False)
        else:
            self._table.move_to_end(name)
        return family

    def flagged(self, limit):
        """Return names of families that use more than they ask for."""
        names = []
        for name, family in self._table.items():
            ratios = (family.cores or 0.0, family.memory or 0.0)
            if max(ratios) > FLAG_RATIO:
                names.append(name)
                if len(names) >= limit:
                    break
        return names


def _blend(old, new):
    return new if old is None else old + _WEIGHT * (new - old)


def take_usage(family, size, usage):
    """Update the estimate from one report, in cores and MB."""
    if size[0]:
        family.cores = _blend(family.cores, usage["cores"] * 1000 / size[0])
    if size[1]:
        family.memory = _blend(family.memory, usage["memory_mb"] / size[1])


def take_end(family, work, worker, succeeded, run_s):
    """Update the estimate from the end of one task."""
    if succeeded:
        family.succeeded = True
        family.failed_on.clear()
        declared = work.run_time_s or DEFAULT_RUN_TIME
        family.run_time = _blend(family.run_time, run_s / declared)
    elif worker not in family.failed_on:
        family.failed_on.append(worker)
        del family.failed_on[:-_MAX_FAILED_ON]


def run_time(family, work):
    """Return the expected run time of a task in seconds; None: endless."""
    if work.kind == "service":
        return None
    declared = work.run_time_s or DEFAULT_RUN_TIME
    return declared * (1.0 if family.run_time is None else family.run_time)
