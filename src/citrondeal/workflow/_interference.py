"""Detection of kinds of tasks that slow each other down on one worker."""

import collections
import dataclasses
import itertools
import logging
import math

from citrondeal.workflow import _events
from citrondeal.workflow import _jobs

# A slowdown below this share is not worth a worse choice.
MIN_SLOWDOWN = 0.05
# Probability that any of `MAX_PAIRS` pairs is found within `TEST_PERIOD_S` if
# none interferes.
FALSE_ALARM = 0.01
MAX_PAIRS = 1024
# Of so many pairs without recent observations, the one with the least evidence
# is dropped for a new one.
DROP_CANDIDATES = 32
# Stakes of the bets against a pair; their mean is one bet that does well both
# for a clear slowdown and for one that is often hidden by noise.
STAKES = (0.3, 0.6, 0.9)
# Evidence does not add up for ever, since work changes under one name.
TEST_PERIOD_S = 6 * 3600.0
# A pair that is kept apart gives no further evidence, so its cost fades.
HALF_LIFE_S = 3 * 3600.0
# Progress is measured over at least this time and this share of the task
# while the other tasks on the worker stay the same.
MIN_SPAN_S = 0.5
MIN_PERCENT = 1.0
# The tasks on a worker may stay the same for long; a measurement ends then.
MAX_SPAN_S = 5.0
# A task that uses less of its processors than this waits for something else.
MIN_USAGE_SHARE = 0.02
# A slowdown with at least this share in the use of processors is put down to
# them; otherwise to memory, caches or devices.
PROCESSOR_SHARE = 0.5
MAX_UNPAIRED = 8  # changes of one direction
MAX_MEASURED = 8  # measurements of one run that wait to be compared
MAX_CHANGE = 2.0  # of the logarithm of a rate, in one observation
MAX_DUMPED = 32


@dataclasses.dataclass(slots=True)
class Pair:
    """What is known of how tasks of one kind slow down those of another.

    Attributes
    ----------
    change : float
        Mean change of the logarithm of the rate; negative for a slowdown.
    usage_change : float
        The same for the processor time in use.
    count : int
        Number of observations.
    logs : list of float
        Logarithm of the wealth of each bet.
    began_at, seen_at : float
        When the bets began, and when the last observation was made.
    found : bool
        Whether the kinds are kept apart.
    arrived, left : list of tuple
        Changes that wait for one of the other direction.
    """

    began_at: float
    seen_at: float
    change: float = 0.0
    usage_change: float = 0.0
    count: int = 0
    logs: list = dataclasses.field(default_factory=lambda: [0.0] * len(STAKES))
    found: bool = False
    arrived: list = dataclasses.field(default_factory=list)
    left: list = dataclasses.field(default_factory=list)

    def slowdown(self, now):
        """Return by which share a task is slower, less what has aged."""
        kept = 2.0 ** -(max(0.0, now - self.seen_at) / HALF_LIFE_S)
        return (1.0 - math.exp(min(0.0, self.change))) * kept

    @property
    def log_evidence(self):
        """Logarithm of the evidence that the kinds interfere."""
        highest = max(self.logs)
        total = sum(math.exp(value - highest) for value in self.logs)
        return highest + math.log(total / len(self.logs))


@dataclasses.dataclass(slots=True)
class _Phase:
    """Time in which the kinds of tasks on a worker stay the same.

    Attributes
    ----------
    kinds : dict of str to int
        Number of tasks of each kind; 2 stands for any larger one.
    began_s, at_s : float
        Its first and last report, on the worker's clock.
    first, last : dict of Run to (float, float or None)
        Progress and processor time of its runs in these reports.
    """

    kinds: dict
    began_s: float
    at_s: float
    first: dict
    last: dict


@dataclasses.dataclass(slots=True)
class _Measurement:
    """Rate of a run beside tasks of certain kinds, as logarithms."""

    others: frozenset
    rate: float
    usage: float | None


class Interference:
    """Beliefs about pairs of kinds, by the changes of rates in reports.

    A run is compared with itself: just before and after a task of another
    kind started or ended beside it. So its size, the speed of its worker and
    a wrong estimate cancel out. An arrival is joined with a departure, which
    cancels a trend such as a slow beginning. Whether the pair interferes is a
    bet on the sign of each such observation, whose wealth exceeds ``1 / p``
    with a probability of at most ``p`` if it does not [1]_ [2]_.

    Attributes
    ----------
    found : int
        Number of pairs that were found.
    apart, beside : int
        Number of starts of tasks of a pair on a worker without, or with, tasks
        of the other kind.

    References
    ----------
    .. [1] J. Ville, "Étude critique de la notion de collectif", 1939.
    .. [2] G. Shafer, "Testing by betting: a strategy for statistical and
       scientific communication", J. R. Stat. Soc. A 184(2), 2021.
    """

    def __init__(self):
        self._pairs = collections.OrderedDict()
        self._costs = {}  # by kind, the pairs that were found
        self.found = 0
        self.apart = 0
        self.beside = 0

    def on_report(self, worker, reported, clock_s, now):
        """Learn from the running tasks of a report.

        Parameters
        ----------
        worker : WorkerState
        reported : list of (Run, ReportedRun)
        clock_s : float
            Time on the worker's clock.
        now : float
        """
        kinds = {}
        for run, _ in reported:
            kind = run.task.step.kind
            kinds[kind] = min(2, kinds.get(kind, 0) + 1)
        state = {run: (row.percent, row.usage) for run, row in reported}
        phase = worker.phase
        if phase is not None:
            if phase.kinds == kinds:
                phase.at_s, phase.last = clock_s, state
                if clock_s - phase.began_s < MAX_SPAN_S:
                    return
            # The change lies between the last report and this one, so the
            # time between them counts for neither phase.
            self._on_phase_end(phase, now)
        worker.phase = _Phase(kinds, clock_s, clock_s, state, state)

    def costs(self, step, now):
        """Return what tasks of other kinds cost a task of a step.

        Returns
        -------
        dict of str to float
            By kind, the share by which both are slower; without kinds that
            cost nothing.
        """
        names = self._costs.get(step.kind)
        if not names:
            return {}
        costs = {}
        for other in names:
            costs[other] = sum(
                self._pairs[key].slowdown(now)
                for key in {(step.kind, other), (other, step.kind)}
                if key in self._pairs and self._pairs[key].found
            )
        return {k: cost for k, cost in costs.items() if cost >= MIN_SLOWDOWN}

    def known(self):
        """Return the pairs that were found, the newest last, by kinds."""
        return [item for item in self._pairs.items() if item[1].found]

    def restore(self, key, pair):
        """Take over a `Pair` that an earlier owner has found."""
        self._pairs[key] = pair
        self._index()

    def on_start(self, step, worker):
        """Count a start of a kind that is kept apart from others."""
        if not step.partner_costs:
            return
        if cost_on(step, worker):
            self.beside += 1
        else:
            self.apart += 1

    def dump(self):
        """Return the pairs that were found, ready for JSON."""
        return [
            {
                "slowed": kind,
                "by": other,
                "slowdown": round(pair.slowdown(pair.seen_at), 3),
                "observations": pair.count,
                "log_evidence": round(pair.log_evidence, 1),
            }
            for (kind, other), pair in self.known()[-MAX_DUMPED:]
        ]

    def _on_phase_end(self, phase, now):
        span_s = phase.at_s - phase.began_s
        if span_s < MIN_SPAN_S:
            return
        changes = {}
        for run, (percent, usage) in phase.last.items():
            first = phase.first.get(run)
            if first is None or run.watch is None or not _is_alone(run):
                continue
            gained = percent - first[0]
            idle = _is_idle(run, usage) or _is_idle(run, first[1])
            if gained < MIN_PERCENT or idle:
                continue
            own = run.task.step.kind
            others = frozenset(
                kind
                for kind, count in phase.kinds.items()
                if kind != own or count > 1
            )
            now_measured = _Measurement(
                others, math.log(gained / span_s), usage and math.log(usage)
            )
            before = _take_comparable(run.watch.measured, others)
            if before is not None:
                _add_change(changes, own, before, now_measured)
            run.watch.measured[others] = now_measured
            if len(run.watch.measured) > MAX_MEASURED:
                del run.watch.measured[next(iter(run.watch.measured))]
        for (own, other, arrived), values in changes.items():
            count = len(values)
            mean = tuple(sum(column) / count for column in zip(*values))
            self._on_change((own, other), arrived, mean, now)

    def _on_change(self, key, arrived, change, now):
        """Take in one change beside tasks of a kind, of one phase."""
        pair = self._pair(key, now)
        same, opposite = pair.arrived, pair.left
        if not arrived:
            same, opposite = opposite, same
        if not opposite:
            same.append(change)
            del same[:-MAX_UNPAIRED]
            return
        other = opposite.pop(0)
        rate, usage = ((a + b) / 2 for a, b in zip(change, other, strict=True))
        pair.seen_at = now
        pair.count += 1
        gain = max(0.1, 1.0 / pair.count)
        pair.change += gain * (rate - pair.change)
        pair.usage_change += gain * (usage - pair.usage_change)
        sign = 1 if rate < math.log(1.0 - MIN_SLOWDOWN) else -1
        pair.logs = [
            value + math.log(1.0 + sign * stake)
            for value, stake in zip(pair.logs, STAKES, strict=True)
        ]
        self._decide(key, pair)

    def _decide(self, key, pair):
        if not pair.found:
            if pair.log_evidence >= math.log(MAX_PAIRS / FALSE_ALARM):
                pair.found = True
                self.found += 1
                self._log("kinds of tasks slow each other down", key, pair)
                self._index()
        elif pair.change > math.log(1.0 - MIN_SLOWDOWN):
            self._log("kinds of tasks slow each other no more", key, pair)
            del self._pairs[key]
            self._index()

    def _pair(self, key, now):
        pair = self._pairs.get(key)
        if pair is not None and now - pair.began_at > TEST_PERIOD_S:
            if pair.slowdown(now) < MIN_SLOWDOWN or not pair.found:
                del self._pairs[key]
                pair = None
                self._index()
        if pair is None:
            if len(self._pairs) >= MAX_PAIRS:
                self._drop_one()
            pair = self._pairs[key] = Pair(now, now)
        self._pairs.move_to_end(key)
        return pair

    def _drop_one(self):
        oldest = itertools.islice(self._pairs.items(), DROP_CANDIDATES)
        key, _ = min(
            oldest, key=lambda item: (item[1].found, item[1].log_evidence)
        )
        del self._pairs[key]
        self._index()

    def _index(self):
        self._costs = {}
        for (kind, other), _ in self.known():
            self._costs.setdefault(kind, set()).add(other)
            self._costs.setdefault(other, set()).add(kind)

    def _log(self, message, key, pair):
        processor = pair.usage_change <= PROCESSOR_SHARE * pair.change
        _events.log(
            logging.INFO,
            message,
            slowed=key[0],
            by=key[1],
            slowdown=round(1.0 - math.exp(pair.change), 3),
            cause="processor" if processor else "other",
            observations=pair.count,
            log_evidence=round(pair.log_evidence, 1),
        )


def cost_on(step, worker):
    """Return the cost of the tasks that run on a worker, for one of a step."""
    kinds = {run.task.step.kind for run in worker.runs.values()}
    return sum(step.partner_costs.get(kind, 0.0) for kind in kinds)


def _is_alone(run):
    """Return whether a run keeps its own pace, unlike members of a gang."""
    step = run.task.step
    return run.state is _jobs.RunState.RUNNING and (
        not step.spec.gang or len(step.tasks) == 1
    )


def _is_idle(run, usage):
    if usage is None:
        return False
    return usage <= MIN_USAGE_SHARE * run.task.step.spec.size.millicores


def _take_comparable(measured, others):
    """Return the last measurement beside one kind more or less, if any.

    It is removed, since the observations have to be independent.
    """
    for kinds in reversed(measured):
        if len(kinds ^ others) == 1:
            return measured.pop(kinds)
    return None


def _add_change(changes, own, before, after):
    (other,) = before.others ^ after.others
    arrived = other in after.others
    with_it, without = (after, before) if arrived else (before, after)
    rate = with_it.rate - without.rate
    usage = 0.0
    if with_it.usage is not None and without.usage is not None:
        usage = with_it.usage - without.usage
    changes.setdefault((own, other, arrived), []).append(
        tuple(min(max(x, -MAX_CHANGE), MAX_CHANGE) for x in (rate, usage))
    )
