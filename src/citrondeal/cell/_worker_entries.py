"""Reads the entries of the list of workers, and counts those of no use."""

import logging

from citrondeal import platform
from citrondeal import telemetry

# Another writer can leave any number of malformed entries.
MAX_LINES = 10
LINE_PERIOD_S = 10.0

_LOG = logging.getLogger(__name__)


class WorkerEntries:
    """Decodes entries for one owner.

    Parameters
    ----------
    metrics : citrondeal.telemetry.Metrics
    """

    def __init__(self, metrics):
        self._metrics = metrics
        self._lines = telemetry.LineLimit(MAX_LINES, LINE_PERIOD_S)
        self._refuted = 0

    def decode(self, record, now):
        """Return the `workflow.WorkerInfo` of a record, or None.

        Parameters
        ----------
        record : citrondeal.platform.Record
            With a value.
        now : float
        """
        try:
            return platform.decode_worker(record.key, record.value)
        except platform.RecordError as exc:
            self._on_malformed(record.key, exc, now)
            return None

    def update(self, incarnations):
        """Count the entries that reports have refuted since the last call.

        Parameters
        ----------
        incarnations : citrondeal.workflow._incarnations.Incarnations
        """
        refuted = incarnations.refuted_entries - self._refuted
        self._refuted = incarnations.refuted_entries
        if refuted:
            self._count(refuted, "refuted")

    def _on_malformed(self, worker, error, now):
        self._count(1, "malformed")
        omitted = self._lines.add("malformed", now)
        if omitted is None:
            return
        telemetry.event(
            _LOG,
            logging.WARNING,
            "worker is skipped",
            worker=worker,
            reason=str(error),
            omitted_before=omitted,
        )

    def _count(self, amount, reason):
        self._metrics.count(
            "citrondeal.worker_entries.refused", amount, reason=reason
        )
