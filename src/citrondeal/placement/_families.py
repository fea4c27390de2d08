"""Estimates of usage, run times and failures per family of jobs.

The table belongs to one `Pool`; its entries are kept in memory only.
"""

import collections

# Exponential smoothing: weight of a new observation, so that about the last
# ten count.
_SMOOTHING_FACTOR = 0.2
# Usage divided by request above which a family is listed in the state dump.
OVERUSE_RATIO = 1.2
# Workers kept per family on which it failed since its last success.
_MAX_FAILED_WORKERS = 8
# Assumed for batch tasks that declare no run time.
DEFAULT_RUN_TIME_S = 600.0


class FamilyEstimate:
    """Estimates for the jobs of one family.

    The ratios are smoothed averages and None before the first observation;
    `failed_on` lists the names of workers, the latest last.
    """

    __slots__ = (
        "cores_ratio",
        "failed_on",
        "memory_ratio",
        "run_time_ratio",
        "succeeded",
    )

    def __init__(self):
        # Usage divided by request.
        self.cores_ratio = None
        self.memory_ratio = None
        # Run time divided by the declared one.
        self.run_time_ratio = None
        self.failed_on = []
        self.succeeded = False


class FamilyTable:
    """Estimates by name of the family; drops the least recently used.

    Parameters
    ----------
    limit : int
        Largest number of families.
    """

    def __init__(self, limit):
        self._limit = limit
        self._table = collections.OrderedDict()

    def get(self, name):
        """Return the estimates of a family, creating them if missing."""
        family = self._table.get(name)
        if family is None:
            family = self._table[name] = FamilyEstimate()
            if len(self._table) > self._limit:
                self._table.popitem(last=False)
        else:
            self._table.move_to_end(name)
        return family

    def over_request(self, limit):
        """Return at most `limit` names of families above their requests."""
        names = []
        for name, family in self._table.items():
            ratios = (family.cores_ratio or 0.0, family.memory_ratio or 0.0)
            if max(ratios) > OVERUSE_RATIO:
                names.append(name)
                if len(names) >= limit:
                    break
        return names


def _smooth(old, new):
    return new if old is None else old + _SMOOTHING_FACTOR * (new - old)


def record_usage(family, size, usage):
    """Update the usage ratios from one usage report of a task.

    Parameters
    ----------
    family : FamilyEstimate
        Estimates to update.
    size : tuple of int
        Allotment of the task.
    usage : dict
        ``cores`` and ``memory_mb`` as reported.
    """
    if size[0]:
        family.cores_ratio = _smooth(
            family.cores_ratio, usage["cores"] * 1000 / size[0]
        )
    if size[1]:
        family.memory_ratio = _smooth(
            family.memory_ratio, usage["memory_mb"] / size[1]
        )


def record_end(family, spec, worker, succeeded, run_s):
    """Update the estimates from the end of one task.

    Parameters
    ----------
    family : FamilyEstimate
        Estimates to update.
    spec : JobSpec
        Job of the task.
    worker : str
        Name of the worker on which the task ran.
    succeeded : bool
        Whether the task succeeded; the run time counts only then.
    run_s : float
        Run time in seconds.
    """
    if succeeded:
        family.succeeded = True
        family.failed_on.clear()
        declared_s = spec.run_time_s or DEFAULT_RUN_TIME_S
        family.run_time_ratio = _smooth(
            family.run_time_ratio, run_s / declared_s
        )
    elif worker not in family.failed_on:
        family.failed_on.append(worker)
        del family.failed_on[:-_MAX_FAILED_WORKERS]


def expected_run_time_s(family, spec):
    """Return the expected run time of a task; None for services."""
    if spec.kind == "service":
        return None
    declared_s = spec.run_time_s or DEFAULT_RUN_TIME_S
    return declared_s * (
        1.0 if family.run_time_ratio is None else family.run_time_ratio
    )
