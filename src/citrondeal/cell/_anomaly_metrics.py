"""Metrics of reports that contradict what an owner believed."""


class AnomalyMetrics:
    """Exports the counters of one owner's scheduler.

    Parameters
    ----------
    metrics : citrondeal.telemetry.Metrics
    """

    def __init__(self, metrics):
        self._metrics = metrics
        self._repeated_runs = 0
        self._missing_ends = 0

    def update(self, anomalies):
        """Add what was counted since the last call.

        Parameters
        ----------
        anomalies : citrondeal.workflow._anomalies.Anomalies
        """
        self._metrics.count(
            "citrondeal.runs.repeated",
            anomalies.repeated_runs - self._repeated_runs,
        )
        self._metrics.count(
            "citrondeal.ends.missing",
            anomalies.missing_ends - self._missing_ends,
        )
        self._repeated_runs = anomalies.repeated_runs
        self._missing_ends = anomalies.missing_ends
