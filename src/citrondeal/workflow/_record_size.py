"""Sizes of the parts of a job's stored progress, in bytes.

The sum of the parts is never less than the size of the whole, so progress
whose sum is within the limit always fits in a record.
"""

from citrondeal.workflow import _model
from citrondeal.workflow import _records

# Header of a list or map with up to 65,535 entries.
_HEADER_BYTES = 3
# A map with more entries than that has a longer header; there are four.
_MAPS_BYTES = 4 * 5


def empty_progress(submission):
    """Return the size of the progress of a job without any runs."""
    bitmaps = tuple(bytes((step.tasks + 7) // 8) for step in submission.steps)
    progress = _model.Progress(
        _model.JobState.CANCELLED, bitmaps, account=submission.account
    )
    return len(_records.encode(progress)) + _MAPS_BYTES


def entry(key):
    """Return the size of a task's entry, without what it lists."""
    return len(_records.encode(key)) + _HEADER_BYTES


def number(run):
    """Return the size of the number of a run."""
    return len(_records.encode(run))


def start(run):
    """Return the size of an open start, without its places."""
    return len(_records.encode(_model.OpenStart(run, {}))) + _HEADER_BYTES


def place(worker_id, worker_place):
    """Return the size of one place of an open start."""
    return len(_records.encode({worker_id: worker_place}))
