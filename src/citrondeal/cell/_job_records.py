"""Decodes submissions, cancellations and barriers, and passes them on."""

import logging

from citrondeal.cell import _records
from citrondeal import telemetry
from citrondeal import workflow

# The age of a submission is the difference of two machines' wall clocks,
# which may be wrong, so it is limited to this.
MAX_SUBMISSION_AGE_S = 60.0

_LOG = logging.getLogger(__name__)


def deliver(scheduler, records, recovered, now, unix):
    """Pass records of one topic of submissions on to the scheduler.

    A record that cannot be used is logged and skipped.

    Parameters
    ----------
    scheduler : citrondeal.workflow.Scheduler
    records : list of citrondeal.platform.Record
    recovered : bool
        Whether they were stored before this owner started to read.
    now : float
    unix : float
        Wall clock of this machine, in seconds since the epoch.
    """
    # Of two accounts that use the same id, the first one has the job.
    for record in sorted(records, key=lambda record: record.offset):
        with telemetry.contain(_LOG, "job record", key=record.key):
            _deliver_one(scheduler, record, recovered, now, unix)


def _deliver_one(scheduler, record, recovered, now, unix):
    kind, name = _records.split_key(record.key)
    if record.key == _records.BARRIER_KEY:
        deliver_barrier(scheduler, record)
    elif kind == "cancel" and record.value:
        _deliver_cancellation(scheduler, record, name, now)
    elif kind == "job" and record.value:
        _deliver_submission(scheduler, record, recovered, now, unix)


def deliver_barrier(scheduler, record):
    """Pass the barrier of an owner on to the scheduler.

    Parameters
    ----------
    scheduler : citrondeal.workflow.Scheduler
    record : citrondeal.platform.Record
    """
    if record.value.isdigit():
        scheduler.on_barrier(int(record.value))


def _deliver_cancellation(scheduler, record, name, now):
    try:
        caller = _records.decode_caller(record.value)
    except workflow.RecordError as exc:
        _log_skipped("cancellation is skipped", record, exc)
        return
    scheduler.on_cancel(_records.job_of_name(name), now, caller)


def _deliver_submission(scheduler, record, recovered, now, unix):
    try:
        submission = workflow.decode_submission(record.value)
    except workflow.RecordError as exc:
        _log_skipped("submission is skipped", record, exc)
        return
    age = min(max(0.0, unix - submission.submitted_unix), MAX_SUBMISSION_AGE_S)
    # If a client sent a job again, only the newest record of its key is left,
    # so the offset does not show when an earlier owner first read the job.
    scheduler.on_submission(submission, record.offset, now, recovered, age)


def _log_skipped(message, record, error):
    telemetry.event(
        _LOG,
        logging.WARNING,
        message,
        key=record.key,
        reason=str(error),
    )
