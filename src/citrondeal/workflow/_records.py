"""Encoding and decoding of stored submissions, progress and workers."""

import dataclasses

import msgspec

from citrondeal.workflow import _limits
from citrondeal.workflow import _model

_SUBMISSIONS = msgspec.msgpack.Decoder(_model.Submission)
_PROGRESS = msgspec.msgpack.Decoder(_model.Progress)
_WORKERS = msgspec.msgpack.Decoder(_model.StoredWorker)
_ENCODER = msgspec.msgpack.Encoder()


class RecordError(ValueError):
    """Stored bytes that are not a record of the expected type."""


def encode(record):
    """Return the bytes in which a record is stored."""
    return _ENCODER.encode(record)


def decode_submission(data):
    """Return the `Submission` in `data`.

    Raises
    ------
    RecordError
        If `data` holds no such record, or a job far beyond the limits.
    """
    submission = _decode(_SUBMISSIONS, data)
    try:
        _limits.check_record(data)
        _limits.check_steps(submission.steps, _limits.STORED_FACTOR)
    except _limits.LimitError as exc:
        raise RecordError(str(exc)) from exc
    for index, step in enumerate(submission.steps):
        if step.tasks < 1 or any(not 0 <= i < index for i in step.after):
            raise RecordError(f"step {index} of a submission is invalid")
        size = dataclasses.astuple(step.size)
        if min(*size, step.spread, step.estimate_s) < 0:
            raise RecordError(f"step {index} of a submission is negative")
    return submission


def decode_progress(data):
    """Return the `Progress` in `data`.

    Raises
    ------
    RecordError
        If `data` holds no such record.
    """
    return _decode(_PROGRESS, data)


def decode_worker(data):
    """Return the `StoredWorker` in `data`.

    Raises
    ------
    RecordError
        If `data` holds no such record.
    """
    return _decode(_WORKERS, data)


def _decode(decoder, data):
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as exc:
        raise RecordError(
            f"stored {decoder.type.__name__} cannot be decoded: {exc}"
        ) from exc
