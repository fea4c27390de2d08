"""Topics and keys under which a cell keeps its state in the store."""

import msgspec

from citrondeal import election

# Claims of the ownership, and members.
CELL_TOPIC = "keyed.citrondeal.cell"
# Submissions and cancellations, written by all processes. While the store is
# slow it takes about nine appends a second on each of them.
WORK_TOPICS = tuple(f"keyed.citrondeal.work.{i}" for i in range(8))
# Progress of jobs and workers in use, written by the owner.
STATE_TOPIC = "keyed.citrondeal.state"
OWNER_KEY = "owner"
BARRIER_KEY = "barrier"
PRODUCER = "citrondeal.owner"

_MEMBER = "member/"
_JOB = "job/"
_CANCEL = "cancel/"
_WORKER = "worker/"


class Member(msgspec.Struct):
    """A process of the cell."""

    name: str
    address: str
    zone: str
    cores: float


_CLAIM = msgspec.msgpack.Decoder(election.Claim)
_MEMBERS = msgspec.msgpack.Decoder(Member)


def member_key(name):
    """Return the key of a member."""
    return _MEMBER + name


def job_key(job):
    """Return the key of a submission, or of the progress of a job."""
    return _JOB + job


def cancel_key(job):
    """Return the key of the cancellation of a job."""
    return _CANCEL + job


def work_topic(key):
    """Return the topic of a submission or cancellation by its key."""
    _, job = split_key(key)
    return WORK_TOPICS[int(job, 16) % len(WORK_TOPICS)]


def worker_key(worker):
    """Return the key of a worker in use."""
    return _WORKER + worker


def split_key(key):
    """Return the kind and the name in a key."""
    kind, _, name = key.partition("/")
    return kind, name


def encode(value):
    """Return the stored bytes of a value."""
    return msgspec.msgpack.encode(value)


def decode_claim(data):
    """Return the `election.Claim` in `data`, or None if it is invalid."""
    return _decode(_CLAIM, data)


def decode_member(data):
    """Return the `Member` in `data`, or None if it is invalid."""
    return _decode(_MEMBERS, data)


def _decode(decoder, data):
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
