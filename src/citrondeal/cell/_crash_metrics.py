"""Metrics of the crashes of workers."""


class CrashMetrics:
    """Exports the counters of one owner's scheduler.

    Parameters
    ----------
    metrics : citrondeal.telemetry.Metrics
    """

    def __init__(self, metrics):
        self._metrics = metrics
        self._worker_crashes = 0
        self._tasks_given_up = 0

    def update(self, crashes):
        """Add what was counted since the last call.

        Parameters
        ----------
        crashes : citrondeal.workflow._crashes.Crashes
        """
        self._metrics.count(
            "citrondeal.worker_crashes",
            crashes.worker_crashes - self._worker_crashes,
        )
        self._metrics.count(
            "citrondeal.tasks_given_up",
            crashes.tasks_given_up - self._tasks_given_up,
        )
        self._worker_crashes = crashes.worker_crashes
        self._tasks_given_up = crashes.tasks_given_up
