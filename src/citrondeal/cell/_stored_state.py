"""Decoding of the state that earlier owners have stored."""

import logging

from citrondeal.cell import _records
from citrondeal import telemetry
from citrondeal import workflow

_LOG = logging.getLogger(__name__)


def decode(records, metrics):
    """Return the stored state by kind and name.

    Parameters
    ----------
    records : list of citrondeal.platform.Record
    metrics : citrondeal.telemetry.Metrics
        Counts the records that are skipped.

    Returns
    -------
    dict of str to dict
    """
    state = {
        "job": {},
        "worker": {},
        _records.RUN_LIMIT_KEY: {},
        _records.LEARNED_KEY: {},
    }
    for record in records:
        kind, name = _records.split_key(record.key)
        if kind not in state or not record.value:
            continue
        try:
            state[kind][name] = _DECODERS[kind](record.value)
        except workflow.RecordError as exc:
            telemetry.event(
                _LOG,
                logging.WARNING,
                "state is skipped",
                key=record.key,
                reason=str(exc),
            )
            metrics.count("citrondeal.state.skipped")
    return state


_DECODERS = {
    "job": workflow.decode_progress,
    "worker": workflow.decode_worker,
    _records.RUN_LIMIT_KEY: _records.decode_run_limit,
    _records.LEARNED_KEY: workflow.decode_learned,
}
