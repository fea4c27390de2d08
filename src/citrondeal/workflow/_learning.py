"""What reports of workers teach about workers and queues, for placement."""

import collections
import logging
import math

from citrondeal.workflow import _estimates
from citrondeal.workflow import _events
from citrondeal.workflow import _interference
from citrondeal.workflow import _learned
from citrondeal.workflow import _messages
from citrondeal.workflow import _progress

# Run times of a service are compared only after so many ended runs.
MIN_RUN_TIMES = 50.0
# Steps among the longest tenth are long and prefer fast workers.
LONG_QUANTILE = 0.9
THRESHOLD_PERIOD_S = 1.0
MAX_SERVICES = 64
# A run is far behind if it will take this many times as long as nine of ten
# runs of its queue, by their estimates.
BEHIND_FACTOR = 2.0
BEHIND_QUANTILE = 0.9
# A worker slower than this is the last choice. The slowest regular workers
# have 0.6 of the usual speed, and 0.375 of that of the fastest.
SLOW_SPEED = 0.25
# A run that progresses beside one that stands still must have done so within
# this time; workers report at least every second.
RECENT_PROGRESS_S = 1.5
# Classes are shown for so many workers, the furthest off first.
MAX_DUMPED = 50


class Learning:
    """Learns from reports, and prepares steps for the choice of workers.

    Without evidence, each worker has class 0 and the same cost for each step,
    so the choice is the same as without this.

    Attributes
    ----------
    speeds : Speeds
    interference : Interference
    slow_workers : int
        Number of times that a worker was found slow for all its runs.
    runs_behind : int
        Number of runs that were found far behind.
    """

    def __init__(self):
        self.speeds = _estimates.Speeds()
        self.interference = _interference.Interference()
        self.slow_workers = 0
        self.runs_behind = 0
        self._stored_at = -math.inf
        self._run_times = collections.OrderedDict()  # sketches by service
        self._thresholds = {}  # (value, when computed) by service
        self._classes = {}  # by worker id, without those of class 0

    def on_report(self, worker, report, now):
        """Learn from a report, before it is applied to the worker's runs.

        Parameters
        ----------
        worker : WorkerState
        report : Report
        now : float
        """
        for end in report.ended:
            run = worker.runs.get(end.task)
            if (
                run is not None
                and run.number == end.run
                and end.outcome is _messages.RunOutcome.DONE
            ):
                self._on_done(worker, run, report.clock_s, now)
        known = [
            (run, reported)
            for reported in report.running
            if (run := worker.runs.get(reported.task)) is not None
            and run.number == reported.number
        ]
        for run, reported in known:
            self._on_running(worker, run, reported, report.clock_s, now)
        self.interference.on_report(worker, known, report.clock_s, now)
        self._classify(worker, now)

    def prepare(self, step, now):
        """Set what a step asks of workers, before a choice for it."""
        step.wants_fast = step.job.policy.priority == 0 or self._is_long(
            step, now
        )
        step.partner_costs = self.interference.costs(step, now)

    def expected_s(self, step, now):
        """Return the expected run time of a task on a worker of mean speed."""
        ratios = self.speeds.queue(step.job.policy.queue).ratios
        if ratios.evidence(now) < _estimates.MIN_SAMPLES:
            return step.spec.estimate_s
        return step.spec.estimate_s * ratios.quantile(0.5)

    def at_fault(self, worker, stalled, now):
        """Return whether a worker, rather than its work, stands still.

        Parameters
        ----------
        worker : WorkerState
        stalled : list of Run
            Runs on it that stand still.
        now : float
        """
        if not stalled:
            return False
        # A run that progresses beside those that stand still has shown that
        # the worker works, so they are stuck by themselves.
        return not any(
            run.percent > 0
            and run not in stalled
            and now - run.progress_at < RECENT_PROGRESS_S
            and all(run.progress_at > other.progress_at for other in stalled)
            for run in worker.runs.values()
        )

    def take_record(self, now):
        """Return the `Learned` record if it is due to be stored, or None."""
        if now - self._stored_at < _learned.STORE_PERIOD_S:
            return None
        self._stored_at = now
        return _learned.build(self.speeds, self.interference, now)

    def restore(self, record, now):
        """Take over the `Learned` record of an earlier owner."""
        _learned.restore(record, self.speeds, self.interference, now)

    def forget_worker(self, worker_id):
        """Forget a worker that was removed."""
        self._classes.pop(worker_id, None)

    def counters(self):
        """Return the counters to be exported as metrics, by name."""
        return {
            "slow_workers": self.slow_workers,
            "runs_behind": self.runs_behind,
            "interference.found": self.interference.found,
            "interference.apart": self.interference.apart,
            "interference.beside": self.interference.beside,
        }

    def dump(self):
        """Return a summary for the state dump, ready for JSON."""
        classes = sorted(
            self._classes.items(), key=lambda item: (-abs(item[1]), item[0])
        )
        return {
            **self.counters(),
            "speed_classes": dict(classes[:MAX_DUMPED]),
            "interference": self.interference.dump(),
        }

    def _on_running(self, worker, run, reported, clock_s, now):
        percent = min(max(reported.percent, 0.0), 100.0)
        watch = run.watch
        if watch is None:
            run.watch = _progress.begin(percent, clock_s)
            return
        rate = _progress.advance(watch, percent, clock_s)
        if rate is not None:
            self._on_rate(worker, run, rate, watch.samples, now)
            self._check_behind(worker, run, now)

    def _on_done(self, worker, run, clock_s, now):
        watch = run.watch
        step = run.task.step
        rate = total_s = None
        if watch is not None:
            rate = _progress.finish(watch, clock_s)
            watch.percent, watch.at_s = 100.0, clock_s
            total_s = _progress.total_s(watch)
        elif (
            run.confirmed_at is not None
            and not step.accounting_task(run.task).checkpoint
        ):
            took_s = now - run.confirmed_at
            if took_s >= _progress.MIN_SPAN_S / 2:
                rate, total_s = 1.0 / took_s, took_s
        if rate is not None:
            self._on_rate(worker, run, rate, 1, now)
        counts = not step.spec.gang or run.task is step.tasks[0]
        if total_s and counts and _estimates.has_estimate(step):
            self._on_run_time(worker, step, total_s, now)

    def _on_rate(self, worker, run, rate, repeats, now):
        step = run.task.step
        if step.spec.gang and len(step.tasks) > 1:
            return  # says nothing of one worker, since all keep one pace
        value = math.log(rate)
        if _estimates.has_estimate(step):
            value += math.log(step.spec.estimate_s)
        self.speeds.observe(_key(worker), step, value, repeats, now)

    def _on_run_time(self, worker, step, total_s, now):
        job = step.job
        usual_s = total_s
        if not step.spec.gang:  # the slowest member sets the pace of a gang
            belief = self.speeds.belief(_key(worker), now)
            usual_s *= math.exp(belief.mean - self.speeds.center(now))
        self.speeds.queue(job.policy.queue).ratios.add(
            usual_s / step.spec.estimate_s, now
        )
        sketch = self._run_times.get(job.service)
        if sketch is None:
            if len(self._run_times) >= MAX_SERVICES:
                self._thresholds.pop(self._run_times.popitem(last=False)[0], 0)
            sketch = self._run_times[job.service] = _estimates.Sketch()
        sketch.add(usual_s, now)

    def _is_long(self, step, now):
        service = step.job.service
        sketch = self._run_times.get(service)
        if sketch is None:
            return False
        threshold_s, at = self._thresholds.get(service, (math.inf, -math.inf))
        if now - at >= THRESHOLD_PERIOD_S:
            threshold_s = math.inf
            if sketch.evidence(now) >= MIN_RUN_TIMES:
                threshold_s = sketch.quantile(LONG_QUANTILE)
            self._thresholds[service] = threshold_s, now
        return self.expected_s(step, now) > threshold_s

    def _check_behind(self, worker, run, now):
        """Log a run that is far behind, and whether its worker is the cause.

        This tells work that takes long from a worker that is slow.
        """
        watch, step = run.watch, run.task.step
        total_s = _progress.total_s(watch)
        ratios = self.speeds.queue(step.job.policy.queue).ratios
        if (
            watch.behind
            or total_s is None
            or total_s < BEHIND_FACTOR * step.spec.estimate_s
            or not _estimates.has_estimate(step)
            or ratios.evidence(now) < MIN_RUN_TIMES
        ):
            return
        expected_s = step.spec.estimate_s * ratios.quantile(BEHIND_QUANTILE)
        if total_s < BEHIND_FACTOR * expected_s:
            return
        watch.behind = True
        self.runs_behind += 1
        _events.log(
            logging.INFO,
            "run is far behind its estimate",
            job=run.task.id.job,
            task=_events.task_name(run.task.id),
            run=run.number,
            worker=worker.id,
            cause="worker" if worker.speed_class < 0 else "task",
            remaining_s=round(_progress.remaining_s(watch), 3),
            expected_s=round(expected_s, 3),
        )

    def _classify(self, worker, now):
        belief = self.speeds.belief(_key(worker), now)
        center = self.speeds.center(now)
        speed_class = belief.speed_class(center)
        if speed_class != worker.speed_class:
            worker.speed_class = speed_class
            _events.log(
                logging.INFO,
                "speed of a worker is known",
                worker=worker.id,
                speed_class=speed_class,
                speed=round(math.exp(belief.mean - center), 2),
                deviation=round(math.sqrt(belief.variance), 2),
                samples=round(belief.samples),
            )
        if speed_class:
            self._classes[worker.id] = speed_class
        else:
            self._classes.pop(worker.id, None)
        highest = belief.mean + belief.margin - center
        very_slow = speed_class < 0 and highest < math.log(SLOW_SPEED)
        if very_slow and not worker.very_slow:
            self.slow_workers += 1
            _events.log(
                logging.WARNING,
                "worker is slow for all its runs",
                worker=worker.id,
                speed=round(math.exp(belief.mean - center), 2),
            )
        worker.very_slow = very_slow
        if very_slow:
            worker.failed_at = now


def _key(worker):
    """Return the key of one incarnation of a worker."""
    return worker.id, worker.info.born_ms
