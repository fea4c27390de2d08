"""Metrics of what the scheduler of one owner counts."""

import math

from citrondeal.cell import _account_metrics

WAITS_PERIOD_S = 1.0  # between two updates of the waits of steps


class CounterMetrics:
    """Exports the counters of one part of a scheduler.

    Parameters
    ----------
    metrics : citrondeal.telemetry.Metrics
    read : callable
        ``read(part)`` returns the counters by the name of their metric.
    """

    def __init__(self, metrics, read):
        self._metrics = metrics
        self._read = read
        self._exported = {}

    def update(self, part):
        """Add what was counted since the last call."""
        for name, value in self._read(part).items():
            increase = value - self._exported.get(name, 0)
            self._metrics.count(name, increase)
            self._exported[name] = value


class SchedulerMetrics:
    """Exports what one owner's scheduler counts.

    Parameters
    ----------
    metrics : citrondeal.telemetry.Metrics
    """

    def __init__(self, metrics):
        self._anomalies = CounterMetrics(metrics, _anomaly_counters)
        self._crashes = crash_metrics(metrics)
        self._late_starts = CounterMetrics(metrics, _late_start_counters)
        self._learning = CounterMetrics(metrics, _learning_counters)
        self._accounts = _account_metrics.AccountMetrics(metrics)
        self._waits = WaitMetrics(metrics)

    def update(self, scheduler, now):
        """Add what was counted since the last call.

        Parameters
        ----------
        scheduler : citrondeal.workflow.Scheduler
        now : float
        """
        self._anomalies.update(scheduler.anomalies)
        self._crashes.update(scheduler.crashes)
        self._late_starts.update(scheduler.late_starts)
        self._learning.update(scheduler.learning)
        self._accounts.update(scheduler, now)
        self._waits.update(scheduler.waits, now)


class WaitMetrics:
    """Exports how long steps have waited, by queue and by what they lack.

    Parameters
    ----------
    metrics : citrondeal.telemetry.Metrics
    """

    def __init__(self, metrics):
        self._metrics = metrics
        self._updated_at = -math.inf
        self._exported = {}

    def update(self, waits, now):
        """Add the waits since the last update, if it is due.

        Parameters
        ----------
        waits : citrondeal.workflow.Waits
        now : float
        """
        if now - self._updated_at < WAITS_PERIOD_S:
            return
        self._updated_at = now
        for (queue, reason), seconds in waits.seconds.items():
            increase = seconds - self._exported.get((queue, reason), 0.0)
            self._metrics.count(
                "citrondeal.wait.time",
                increase,
                "s",
                queue=queue,
                reason=reason.value,
            )
        self._exported = dict(waits.seconds)


def crash_metrics(metrics):
    """Return the `CounterMetrics` of the crashes of workers."""
    return CounterMetrics(metrics, _crash_counters)


def _anomaly_counters(anomalies):
    return {
        "citrondeal.runs.repeated": anomalies.repeated_runs,
        "citrondeal.ends.missing": anomalies.missing_ends,
    }


def _crash_counters(crashes):
    return {
        "citrondeal.worker_crashes": crashes.worker_crashes,
        "citrondeal.tasks_given_up": crashes.tasks_given_up,
    }


def _late_start_counters(late_starts):
    return {"citrondeal.late_starts": late_starts.unanswered}


def _learning_counters(learning):
    return {
        f"citrondeal.{name}": value
        for name, value in learning.counters().items()
    }
