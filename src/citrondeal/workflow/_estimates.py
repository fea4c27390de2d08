"""Learned run times of queues and speeds of workers.

Nothing here decides anything. Each figure comes with the amount of evidence
behind it, and all of them age.
"""

import collections
import dataclasses
import math

# Ratio of the bounds of a bin, so a quantile is off by 5 % at most.
BIN_RATIO = 1.1
MIN_VALUE, MAX_VALUE = 1e-3, 1e6
# A quantile is computed again once so many times the values have been added,
# since each planning pass asks for it for each step.
MAX_QUANTILE_GROWTH = 1.02
# Evidence counts half after this time: long enough for a queue with a few
# jobs a minute, short enough to follow a change of what clients send.
HALF_LIFE_S = 900.0
# A worker without samples for an hour is unknown again. Sudden changes are
# found by `CHANGE_SAMPLES`.
SPEED_HALF_LIFE_S = 6 * 3600.0
# Weights grow by up to this power of two before they are scaled down.
MAX_SCALE_EXPONENT = 40.0

# Shorter estimates say nothing, and their logarithm may not exist.
MIN_ESTIMATE_S = 0.001

MAX_QUEUES = 256
MAX_WORKERS = 2_000
MAX_STEPS = 256
MAX_WORKERS_PER_STEP = 32

# Standard deviation of the logarithm of a worker's speed, before any evidence
# and again long after the last: a factor of 1.65 either way.
PRIOR_DEVIATION = 0.5
# Deviation of the logarithm of a run's rate from its peers, before any
# evidence. Estimates are off by a factor of up to 1.9.
FIRST_STEP_DEVIATION = 0.3
FIRST_QUEUE_DEVIATION = 0.6
MIN_DEVIATION = 0.05
SCATTER_GAIN = 0.02
# A sample further away than this many standard deviations is cut off there,
# since a few per cent of the work takes many times as long as the rest.
MAX_DEVIATIONS = 3.0
# After so many such samples of one sign in a row the worker has changed. Two
# long tasks in a row are still common on a large cell.
CHANGE_SAMPLES = 3
# A worker differs from its peers only by at least so many samples and so many
# standard deviations.
MIN_SAMPLES = 5.0
CERTAIN_DEVIATIONS = 2.5
CENTER_PERIOD_S = 1.0
# Width of a class of speeds as a logarithm: workers of one class differ by a
# factor of at most 1.5.
CLASS_WIDTH = 0.4


class Sketch:
    """Quantiles of positive values, which count less as they age.

    The bins are logarithmic, as in [1]_, and the weights follow forward decay
    [2]_: new values weigh more, so that old ones need not be touched.

    References
    ----------
    .. [1] C. Masson, J. E. Rim, H. K. Lee, "DDSketch: a fast and
       fully-mergeable quantile sketch with relative-error guarantees",
       PVLDB 12(12), 2019.
    .. [2] G. Cormode, V. Shkapenyuk, D. Srivastava, B. Xu, "Forward decay: a
       practical time decay model for streaming systems", ICDE 2009.
    """

    def __init__(self):
        self._bins = {}
        self._total = 0.0
        self._since = None
        self._count = 0
        self._quantiles = {}  # (value, count when it was computed) by share

    def add(self, value, now):
        """Add a value."""
        if self._since is None:
            self._since = now
        exponent = (now - self._since) / HALF_LIFE_S
        if exponent > MAX_SCALE_EXPONENT:
            factor = 2.0**-exponent
            self._bins = {i: w * factor for i, w in self._bins.items()}
            self._total *= factor
            self._since, exponent = now, 0.0
        value = min(max(value, MIN_VALUE), MAX_VALUE)
        index = round(math.log(value) / math.log(BIN_RATIO))
        weight = 2.0**exponent
        self._bins[index] = self._bins.get(index, 0.0) + weight
        self._total += weight
        self._count += 1

    def evidence(self, now):
        """Return the number of values, less what has aged."""
        if self._since is None:
            return 0.0
        return self._total * 2.0 ** -((now - self._since) / HALF_LIFE_S)

    def quantile(self, share):
        """Return the value below which a share lies; None if empty."""
        value, count = self._quantiles.get(share, (None, 0))
        if count and self._count <= count * MAX_QUANTILE_GROWTH:
            return value
        value = self._quantile(share)
        self._quantiles[share] = value, self._count
        return value

    def _quantile(self, share):
        left = share * self._total
        index = None
        for index in sorted(self._bins):
            left -= self._bins[index]
            if left <= 0.0:
                break
        return None if index is None else BIN_RATIO**index


@dataclasses.dataclass(slots=True)
class Belief:
    """Logarithm of a worker's speed relative to its peers.

    Attributes
    ----------
    mean, variance : float
    samples : float
        Number of samples, less what has aged.
    at : float
        Time to which these apply.
    surprises : int
        Number of samples in a row that were far off; negative if the worker
        was slower than believed.
    """

    mean: float = 0.0
    variance: float = PRIOR_DEVIATION**2
    samples: float = 0.0
    at: float = 0.0
    surprises: int = 0

    @property
    def margin(self):
        """Distance from the mean within which the speed is certain to be."""
        return CERTAIN_DEVIATIONS * math.sqrt(self.variance)

    def speed_class(self, center):
        """Return a whole number that rises with the speed.

        Parameters
        ----------
        center : float
            Mean of the usual worker; see `Speeds.center`.

        Returns
        -------
        int
            0 unless the evidence shows that the worker is not a usual one.
        """
        difference = self.mean - center
        if self.samples < MIN_SAMPLES or abs(difference) < self.margin:
            return 0
        return round(difference / CLASS_WIDTH)

    def age(self, now):
        """Let the belief return to what it was before any evidence."""
        elapsed_s = now - self.at
        if elapsed_s <= 0.0:
            return
        kept = 2.0 ** -(elapsed_s / SPEED_HALF_LIFE_S)
        prior = PRIOR_DEVIATION**2
        self.mean *= kept
        self.variance = prior + (self.variance - prior) * kept * kept
        self.samples *= kept
        self.at = now

    def update(self, value, variance):
        """Take in one sample, as a Kalman filter does, but robustly."""
        limit = MAX_DEVIATIONS * math.sqrt(self.variance + variance)
        error = value - self.mean
        if abs(error) > limit:
            sign = 1 if error > 0 else -1
            same = self.surprises * sign > 0
            self.surprises = self.surprises + sign if same else sign
            if abs(self.surprises) >= CHANGE_SAMPLES:
                self.variance = PRIOR_DEVIATION**2
                self.surprises = 0
                limit = MAX_DEVIATIONS * math.sqrt(self.variance + variance)
            error = min(max(error, -limit), limit)
        else:
            self.surprises = 0
        gain = self.variance / (self.variance + variance)
        self.mean += gain * error
        self.variance *= 1.0 - gain
        self.samples += 1.0


class _Queue:
    """What is known of one queue.

    Attributes
    ----------
    ratios : Sketch
        Actual run times divided by the estimates.
    level : float or None
        Mean logarithm of estimate times rate.
    step_scatter, queue_scatter : float
        Variance of a sample about the level of its step, and of its queue.
    """

    __slots__ = ("ratios", "level", "samples", "step_scatter", "queue_scatter")

    def __init__(self):
        self.ratios = Sketch()
        self.level = None
        self.samples = 0
        self.step_scatter = FIRST_STEP_DEVIATION**2
        self.queue_scatter = FIRST_QUEUE_DEVIATION**2


class Speeds:
    """Speeds of workers, learned from runs of the same step or queue.

    The tasks of one step differ least, so a run is compared with those of its
    step on other workers. The first run of a step is compared with its queue.
    Each further run beside it on the same worker would repeat the error of
    the step's estimate, so it is not.
    """

    def __init__(self):
        self._beliefs = collections.OrderedDict()
        self._queues = collections.OrderedDict()
        self._steps = collections.OrderedDict()
        self._center = 0.0
        self._center_at = -math.inf

    def queue(self, name):
        """Return what is known of a queue, to be changed."""
        return _recent(self._queues, name, _Queue, MAX_QUEUES)

    def belief(self, worker_id, now):
        """Return the `Belief` about a worker as of `now`."""
        belief = _recent(self._beliefs, worker_id, Belief, MAX_WORKERS)
        belief.age(now)
        return belief

    def known(self, now):
        """Return the beliefs with enough evidence, the newest last, by key."""
        known = []
        for key, belief in self._beliefs.items():
            belief.age(now)
            if belief.samples >= MIN_SAMPLES:
                known.append((key, belief))
        return known

    def restore(self, key, belief):
        """Take over a `Belief` of an earlier owner."""
        self._beliefs.setdefault(key, belief)

    def center(self, now):
        """Return the median of the workers of which enough is known.

        Only differences between workers can be observed, so all means may be
        off by the same amount.
        """
        if now - self._center_at >= CENTER_PERIOD_S:
            means = sorted(
                belief.mean
                for belief in self._beliefs.values()
                if belief.samples >= MIN_SAMPLES
            )
            self._center = means[len(means) // 2] if means else 0.0
            self._center_at = now
        return self._center

    def observe(self, worker_id, step, value, repeats, now):
        """Take in the rate of a run.

        Parameters
        ----------
        worker_id : str
        step : StepState
        value : float
            Logarithm of estimate times rate.
        repeats : int
            Number of samples of the same run, this one included. They share
            the size of the task, so later ones count less.
        now : float

        Returns
        -------
        float or None
            The logarithm of the run's speed relative to what was expected on
            this worker; None if there was nothing to compare it with.
        """
        queue = self.queue(step.job.policy.queue)
        belief = self.belief(worker_id, now)
        peers = _recent(self._steps, step.id, dict, MAX_STEPS)
        noise = queue.step_scatter * repeats
        weight, total = _sum_of_others(peers, worker_id)
        surprise = None
        if weight > 0.0:
            level = total / weight
            surprise = value - level - belief.mean
            belief.update(value - level, noise + 1.0 / weight)
            _add_scatter(queue, "step_scatter", surprise, 1.0 / weight)
        elif not peers and queue.level is not None and has_estimate(step):
            surprise = value - queue.level - belief.mean
            belief.update(value - queue.level, queue.queue_scatter)
        self._add_to_level(queue, step, value - belief.mean, not peers)
        if worker_id in peers or len(peers) < MAX_WORKERS_PER_STEP:
            own = peers.setdefault(worker_id, [0.0, 0.0])
            sample_weight = 1.0 / (noise + belief.variance)
            own[0] += sample_weight
            own[1] += sample_weight * (value - belief.mean)
        return surprise

    def _add_to_level(self, queue, step, value, is_first):
        if not is_first or not has_estimate(step):
            return
        queue.samples += 1
        if queue.level is None:
            queue.level = value
            return
        error = value - queue.level
        limit = MAX_DEVIATIONS * math.sqrt(queue.queue_scatter)
        queue.level += max(SCATTER_GAIN, 1.0 / queue.samples) * min(
            max(error, -limit), limit
        )
        _add_scatter(queue, "queue_scatter", error, 0.0)


def has_estimate(step):
    """Return whether a step has an estimate to compare run times with."""
    return step.spec.estimate_s >= MIN_ESTIMATE_S


def _sum_of_others(peers, worker_id):
    weight = total = 0.0
    for other, (own_weight, own_total) in peers.items():
        if other != worker_id:
            weight += own_weight
            total += own_total
    return weight, total


def _add_scatter(queue, name, error, known_variance):
    variance = getattr(queue, name)
    limit = MAX_DEVIATIONS**2 * (variance + known_variance)
    sample = min(error * error, limit) - known_variance
    variance += SCATTER_GAIN * (sample - variance)
    setattr(queue, name, max(variance, MIN_DEVIATION**2))


def _recent(entries, key, factory, limit):
    """Return an entry, and drop the one not used for longest if need be."""
    entry = entries.get(key)
    if entry is None:
        entry = entries[key] = factory()
        if len(entries) > limit:
            entries.popitem(last=False)
    else:
        entries.move_to_end(key)
    return entry
