"""Estimates per job family from reported usage and past run times."""

import collections

# Weight of one new observation; about the last ten count.
_SMOOTHING_FACTOR = 0.2
# A family whose tasks use this many times what they ask for is flagged.
OVERUSE_RATIO = 1.2
# Workers remembered on which a family failed since its last success.
_MAX_FAILED_WORKERS = 8
# Run time assumed for batch tasks that declare none, in seconds.
DEFAULT_RUN_TIME_S = 600.0


class FamilyEstimate:
    """What is known about jobs of one family."""

    __slots__ = (
        "cores_ratio",
        "failed_on",
        "memory_ratio",
        "run_time_ratio",
        "succeeded",
    )

    def __init__(self):
        # Usage divided by request, and run time divided by the declared_s
        # one; None before the first observation.
        self.cores_ratio = None
        self.memory_ratio = None
        self.run_time_ratio = None
        self.failed_on = []
        self.succeeded = False


class FamilyTable:
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
            family = self._table[name] = FamilyEstimate()
            if len(self._table) > self._limit:
                self._table.popitem(last=False)
        else:
            self._table.move_to_end(name)
        return family

    def over_request(self, limit):
        """Return names of families that use more than they ask for."""
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
    """Update the estimate from one report, in cores and MB."""
    if size[0]:
        family.cores_ratio = _smooth(
            family.cores_ratio, usage["cores"] * 1000 / size[0]
        )
    if size[1]:
        family.memory_ratio = _smooth(
            family.memory_ratio, usage["memory_mb"] / size[1]
        )


def record_end(family, spec, worker, succeeded, run_s):
    """Update the estimate from the end of one task."""
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
    """Return the expected run time of a task in seconds; None: endless."""
    if spec.kind == "service":
        return None
    declared_s = spec.run_time_s or DEFAULT_RUN_TIME_S
    return declared_s * (
        1.0 if family.run_time_ratio is None else family.run_time_ratio
    )
