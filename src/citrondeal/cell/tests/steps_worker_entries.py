"""Steps for many entries of no use in the list of workers."""

import logging
import types

from behave import then

from citrondeal.cell import _worker_entries
from citrondeal.cell.tests import doubles
from citrondeal import platform

ENTRIES = 500
PERIODS = 3


class _Lines(logging.Handler):
    """Keeps the log records of one logger."""

    def __init__(self, logger):
        super().__init__()
        self.records = []
        self._logger = logging.getLogger(logger)

    def __enter__(self):
        self._logger.addHandler(self)
        return self

    def __exit__(self, *exc_info):
        self._logger.removeHandler(self)

    def emit(self, record):
        self.records.append(record)


@then("cell malformed entries are all counted, with a bounded number of lines")
def _(context):
    metrics = doubles.Metrics()
    entries = _worker_entries.WorkerEntries(metrics)
    with _Lines(_worker_entries.__name__) as lines:
        for period in range(PERIODS):
            now = period * _worker_entries.LINE_PERIOD_S
            for number in range(ENTRIES):
                record = platform.Record(f"i-{number}", b"[" * 7000)
                assert entries.decode(record, now) is None
    assert len(lines.records) == PERIODS * _worker_entries.MAX_LINES
    name = "citrondeal.worker_entries.refused"
    assert metrics.counts[name] == PERIODS * ENTRIES, metrics.counts


@then("cell entries that reports refute are counted")
def _(context):
    metrics = doubles.Metrics()
    entries = _worker_entries.WorkerEntries(metrics)
    for refuted in (0, 2, 2, 5):
        entries.update(types.SimpleNamespace(refuted_entries=refuted))
    assert metrics.counts["citrondeal.worker_entries.refused"] == 5
