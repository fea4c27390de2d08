"""Which incarnation of a worker is the present one.

An entry in the list of workers proves no incarnation, since any writer of the
list may have left it.  Only a report of the worker does.  An entry of another
incarnation, or of a worker that has not reported yet, is therefore kept as
unconfirmed until the worker answers a renewal.
"""

import dataclasses
import logging

from citrondeal import telemetry
from citrondeal.workflow import _events
from citrondeal.workflow import _model
from citrondeal.workflow import _workers

# Another writer can leave any number of entries.
MAX_LINES = 10
LINE_PERIOD_S = 10.0
# By how much the clock of an entry may be ahead of what reports show.
CLOCK_MARGIN_S = 1.0


class Incarnations:
    """Decides which entries of the list of workers are believed.

    Parameters
    ----------
    state : State

    Attributes
    ----------
    refuted_entries : int
        Entries that a report of their worker has shown to be wrong.
    """

    def __init__(self, state):
        self._state = state
        self.refuted_entries = 0
        self._lines = telemetry.LineLimit(MAX_LINES, LINE_PERIOD_S)

    def on_entry(self, info, now):
        """Add or update a worker from its entry in the list of workers.

        Parameters
        ----------
        info : WorkerInfo
        now : float
        """
        worker = self._state.workers.get(info.worker)
        if worker is None:
            worker = self._state.add_worker(info, now)
            self._accept(worker, info, now)
        elif info.born_ms != worker.info.born_ms or (
            info.born_ms and not worker.has_reported
        ):
            self._keep(worker, info, now)
        elif _is_older(info, worker.info):
            return
        elif worker.clock is not None and _is_ahead(info, *worker.clock, now):
            self._refute(worker, info, now)
        else:
            self._accept(worker, info, now)

    def on_report(self, worker, report, sent_at, now):
        """Settle by a report which incarnation of a worker runs.

        Parameters
        ----------
        worker : WorkerState
        report : Report
        sent_at : float
            When the renewal that it answers was sent.
        now : float

        Returns
        -------
        bool
            False if the report is a late one of an earlier incarnation, or
            shows a later one that earlier orders may still reach.
        """
        born_ms = report.born_ms or _assumed_born_ms(worker, sent_at)
        if born_ms < worker.info.born_ms:
            if worker.has_reported:
                self._on_earlier(worker, sent_at)
                return False
            self._correct(worker, born_ms, now)
        elif born_ms > worker.info.born_ms:
            if not worker.is_fenced(sent_at):
                self._state.raise_fence(worker, now)
                self._log_fenced(worker, born_ms)
                return False
            self._state.on_worker_restart(worker, born_ms, now)
        if sent_at >= worker.fence_raised_at:
            worker.is_proven = True
        worker.has_reported = True
        worker.claimed_capacity = _model.Size()
        if _is_ahead(worker.info, report.clock_s, sent_at, now):
            self._refute(worker, worker.info, now)
            self._await_entry(worker, born_ms)
        self._settle(worker, report.clock_s, sent_at, now)
        return True

    def _on_earlier(self, worker, sent_at):
        """Let the leases of a worker expire if an earlier incarnation answers.

        The known one does not answer under its present fence.  The wall clock
        may have been set back before the worker started again.
        """
        if worker.reachable and worker.is_fenced(sent_at):
            self._state.set_reachable(worker, False)
            _events.log(
                logging.WARNING,
                "worker does not answer",
                worker=worker.id,
                reason="an earlier incarnation answers",
            )

    def _keep(self, worker, info, now):
        """Keep the entry of another incarnation until a report settles it."""
        if info.born_ms == worker.refuted_born_ms:
            return
        if info.born_ms < worker.info.born_ms and worker.has_reported:
            return  # a late entry of an earlier incarnation
        if info.born_ms >= worker.info.born_ms and not worker.has_reported:
            worker.claimed_capacity = worker.claimed_capacity.maximum(
                info.capacity
            )
        known = worker.unconfirmed
        if known is None or known.born_ms != info.born_ms:
            worker.unconfirmed_since = now
            if info.born_ms != worker.info.born_ms:
                self._state.raise_fence(worker, now)
            self._log_unconfirmed(worker, info, now)
        elif _is_older(info, known):
            return
        worker.unconfirmed = info

    def _log_fenced(self, worker, born_ms):
        _events.log(
            logging.INFO,
            "worker has started again, its fence is raised",
            worker=worker.id,
            born_ms=born_ms,
            known_born_ms=worker.info.born_ms,
            fence=worker.fence,
        )

    def _log_unconfirmed(self, worker, info, now):
        if info.born_ms == worker.info.born_ms:
            return
        omitted = self._lines.add("unconfirmed", now)
        if omitted is None:
            return
        _events.log(
            logging.INFO,
            "entry names another incarnation of a worker",
            worker=worker.id,
            born_ms=info.born_ms,
            known_born_ms=worker.info.born_ms,
            omitted_before=omitted,
        )

    def _settle(self, worker, clock_s, sent_at, now):
        entry = worker.unconfirmed
        if entry is None:
            return
        if entry.born_ms == worker.info.born_ms:
            worker.unconfirmed = None
            if _is_ahead(entry, clock_s, sent_at, now):
                self._refute(worker, entry, now)
            elif not _is_older(entry, worker.info):
                self._accept(worker, entry, now)
        elif sent_at >= worker.unconfirmed_since:
            worker.unconfirmed = None
            if entry.born_ms > worker.info.born_ms:
                worker.refuted_born_ms = entry.born_ms
                self._refute(worker, entry, now)

    def _accept(self, worker, info, now):
        worker.listed = True
        if info.draining and not worker.info.draining:
            _events.log(logging.INFO, "worker is draining", worker=worker.id)
            self._state.crashes.on_draining(worker)
        worker.info = info
        if worker.has_reported:
            self._state.crashes.on_incarnation(worker.id, info.born_ms, now)

    def _correct(self, worker, born_ms, now):
        """Replace a believed incarnation that the worker has never been."""
        worker.refuted_born_ms = worker.info.born_ms
        self._refute(worker, worker.info, now)
        self._await_entry(worker, born_ms)

    def _await_entry(self, worker, born_ms):
        """Use a worker again once its own entry has been read."""
        worker.info = dataclasses.replace(
            worker.info, born_ms=born_ms, clock_s=0.0, draining=False
        )
        worker.listed = False

    def _refute(self, worker, info, now):
        self.refuted_entries += 1
        omitted = self._lines.add("refuted", now)
        if omitted is None:
            return
        _events.log(
            logging.WARNING,
            "entry of a worker is refuted by its report",
            worker=worker.id,
            born_ms=info.born_ms,
            clock_s=info.clock_s,
            omitted_before=omitted,
        )


def _assumed_born_ms(worker, sent_at):
    """Return the incarnation of a worker whose reports name none."""
    if worker.unconfirmed is not None and sent_at >= worker.unconfirmed_since:
        return worker.unconfirmed.born_ms
    return worker.info.born_ms


def _is_older(info, known):
    """Return whether a worker wrote an entry before the known one.

    A write that got no answer may be carried out after newer ones, and would
    bring back an earlier capacity, or the state before the worker drained.
    """
    # Without an incarnation a restart, which begins a new clock, is not known.
    return info.born_ms > 0 and info.clock_s < known.clock_s


def _is_ahead(info, clock_s, known_since, now):
    """Return whether the clock of an entry is ahead of what a report shows.

    Parameters
    ----------
    info : WorkerInfo
        Entry of the incarnation that reported.
    clock_s : float
        Time on the worker's clock in the report.
    known_since : float
        Time before which the clock did not show it.
    now : float
    """
    passed_s = (now - known_since) * _workers.CLOCK_DRIFT_FACTOR
    return info.clock_s > clock_s + passed_s + CLOCK_MARGIN_S
