"""Stored record of what an owner has learned, for the next one."""

import dataclasses

import msgspec

from citrondeal.workflow import _estimates
from citrondeal.workflow import _interference
from citrondeal.workflow import _kinds
from citrondeal.workflow import _records

VERSION = 1
# What is learned changes slowly, and a lost record only costs time.
STORE_PERIOD_S = 30.0
# Together less than 100 KB of a record of 256 KB.
MAX_PAIRS = 64
MAX_WORKERS = 500
MAX_NAME_CHARS = _kinds.MAX_KIND_CHARS
MAX_MEAN = 5.0
MAX_COUNT = 1e9
MAX_AGE_S = 1e7


@dataclasses.dataclass(frozen=True, slots=True)
class Learned:
    """Speeds of workers, and kinds of tasks that slow each other down.

    Attributes
    ----------
    version : int
    workers : tuple of (str, int, float, float, float)
        Id, incarnation, and `mean`, `variance` and `samples` of the
        `Belief`.
    pairs : tuple of (str, str, float, float, int, float)
        The slowed kind, the other one, `change`, `usage_change` and `count`
        of the `Pair`, and the seconds since its last observation.
    """

    version: int
    workers: tuple[tuple[str, int, float, float, float], ...] = ()
    pairs: tuple[tuple[str, str, float, float, int, float], ...] = ()


_DECODER = msgspec.msgpack.Decoder(Learned)


def build(speeds, interference, now):
    """Return the `Learned` of an owner, or None if it knows nothing yet."""
    workers = [
        (name, born_ms, belief.mean, belief.variance, belief.samples)
        for (name, born_ms), belief in speeds.known(now)
        if len(name) <= MAX_NAME_CHARS
    ]
    pairs = [
        (
            *key,
            pair.change,
            pair.usage_change,
            pair.count,
            max(0.0, now - pair.seen_at),
        )
        for key, pair in interference.known()
    ]
    if not workers and not pairs:
        return None
    return Learned(
        VERSION, tuple(workers[-MAX_WORKERS:]), tuple(pairs[-MAX_PAIRS:])
    )


def restore(record, speeds, interference, now):
    """Take over what an earlier owner has learned."""
    for name, born_ms, mean, variance, samples in record.workers:
        speeds.restore(
            (name, born_ms),
            _estimates.Belief(mean, variance, samples, now),
        )
    for slowed, other, change, usage_change, count, age_s in record.pairs:
        pair = _interference.Pair(now, now - age_s)
        pair.change, pair.usage_change = change, usage_change
        pair.count, pair.found = count, True
        interference.restore((slowed, other), pair)


def decode(data):
    """Return the `Learned` in `data`.

    Raises
    ------
    RecordError
        If it is malformed, of another version, or has values that no owner
        writes.
    """
    try:
        record = _DECODER.decode(data)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as exc:
        raise _records.RecordError(
            f"learned record cannot be decoded: {exc}"
        ) from exc
    if record.version != VERSION:
        raise _records.RecordError(
            f"learned record of version {record.version} is not known"
        )
    if len(record.workers) > MAX_WORKERS or len(record.pairs) > MAX_PAIRS:
        raise _records.RecordError("learned record has too many entries")
    # A value that is no number fails each comparison.
    valid = all(
        len(name) <= MAX_NAME_CHARS
        and abs(mean) <= MAX_MEAN
        and 0.0 < variance <= _estimates.PRIOR_DEVIATION**2
        and 0.0 <= samples <= MAX_COUNT
        for name, _, mean, variance, samples in record.workers
    ) and all(
        max(len(slowed), len(other)) <= MAX_NAME_CHARS
        and -_interference.MAX_CHANGE <= change <= 0.0
        and abs(usage_change) <= _interference.MAX_CHANGE
        and 0 <= count <= MAX_COUNT
        and 0.0 <= age_s <= MAX_AGE_S
        for slowed, other, change, usage_change, count, age_s in record.pairs
    )
    if not valid:
        raise _records.RecordError("learned record has invalid values")
    return record
