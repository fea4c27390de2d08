"""Topics, keys and encoding of the records that a cell stores."""

import msgspec
import xxhash

from citrondeal import election
from citrondeal import workflow

# Claims of the ownership, and the members of the cell.
CELL_TOPIC = "keyed.citrondeal.cell"
# Submissions and cancellations, written by all members. A slow store accepts
# only about nine appends a second on each topic.
JOB_TOPICS = tuple(f"keyed.citrondeal.work.{i}" for i in range(8))
# Progress of jobs, and the workers in use, written by the owner.
STATE_TOPIC = "keyed.citrondeal.state"
OWNER_KEY = "owner"
BARRIER_KEY = "barrier"
RUN_LIMIT_KEY = "runs"
# What the owner has learned, in the topic of progress.
LEARNED_KEY = "learned"
PRODUCER = "citrondeal.owner"
# Half of what the store takes in a call. It refuses a larger call as a whole,
# and each next owner would have the same changes to store.
MAX_APPEND_BYTES = 1024 * 1024
# Lengths of the record and of its key, which the store counts as well.
RECORD_OVERHEAD_BYTES = 5

MAX_DIGITS = 19  # of a number below 2^63

_MEMBER_PREFIX = "member/"
_JOB_PREFIX = "job/"
_CANCEL_PREFIX = "cancel/"
_WORKER_PREFIX = "worker/"


class Member(msgspec.Struct):
    """Stored record of a process of the cell.

    Attributes
    ----------
    name : str
    address : str
        ``host:port`` where it answers other members.
    zone : str
    cores : float
        Number of cores that it may use.
    store_ms : float
        Milliseconds of a call to the store when it started; negative in
        records of earlier versions, whose processes group no records of
        other members.
    """

    name: str
    address: str
    zone: str
    cores: float
    store_ms: float = -1.0


class Cancellation(msgspec.Struct):
    """Stored cancellation of a job.

    Attributes
    ----------
    account : str
        Client account that sent it; empty if there is none.
    queue : str
        Queue that it was sent to.
    """

    account: str
    queue: str


# Earlier versions stored this for a cancellation that counts for any job.
_ANY_CANCELLATION = b"\x01"
_CANCELLATION_DECODER = msgspec.msgpack.Decoder(Cancellation)
_CLAIM_DECODER = msgspec.msgpack.Decoder(election.Claim)
_MEMBER_DECODER = msgspec.msgpack.Decoder(Member)


def member_key(name):
    """Return the key of a member's record."""
    return _MEMBER_PREFIX + name


def job_key(job, account=""):
    """Return the key of a submission, or of the progress of a job.

    Accounts that use the same id do not overwrite each other's submissions.
    """
    return _JOB_PREFIX + _job_name(job, account)


def cancel_key(job, account=""):
    """Return the key of the cancellation of a job by an account."""
    return _CANCEL_PREFIX + _job_name(job, account)


def _job_name(job, account):
    if not account:
        return job
    # A name of any length would not fit in a key.
    return f"{job}.{xxhash.xxh3_64_hexdigest(account.encode())}"


def job_of_name(name):
    """Return the id of the job in the name of a submission's key."""
    return name.partition(".")[0]


def job_topic(key):
    """Return the topic of a submission or cancellation by its key."""
    _, name = split_key(key)
    return JOB_TOPICS[int(job_of_name(name), 16) % len(JOB_TOPICS)]


def worker_key(worker):
    """Return the key of the record of a worker in use."""
    return _WORKER_PREFIX + worker


def split_key(key):
    """Return the kind of a key, such as ``job``, and the name in it."""
    kind, _, name = key.partition("/")
    return kind, name


def encode(value):
    """Return the stored bytes of a value."""
    return msgspec.msgpack.encode(value)


def decode_claim(data):
    """Return the `election.Claim` in `data`, or None if it is invalid."""
    return _decode(_CLAIM_DECODER, data)


def decode_caller(data):
    """Return the caller of a stored cancellation.

    Returns
    -------
    workflow.Caller or None
        None if it counts for any job.

    Raises
    ------
    workflow.RecordError
        If `data` is no cancellation.
    """
    if data == _ANY_CANCELLATION:
        return None
    cancellation = _decode(_CANCELLATION_DECODER, data)
    if cancellation is None:
        raise workflow.RecordError("cancellation cannot be decoded")
    return workflow.Caller(cancellation.account, cancellation.queue)


def decode_run_limit(data):
    """Return the stored limit of run numbers.

    Raises
    ------
    workflow.RecordError
        If `data` is no number.
    """
    if not data.isdigit() or len(data) > MAX_DIGITS:
        raise workflow.RecordError("limit of run numbers cannot be decoded")
    return int(data)


def decode_member(data):
    """Return the `Member` in `data`, or None if it is invalid."""
    return _decode(_MEMBER_DECODER, data)


def split(records):
    """Yield records in order, in groups for one append each."""
    group, size = [], 0
    for record in records:
        record_bytes = (
            len(record.key.encode())
            + len(record.value)
            + RECORD_OVERHEAD_BYTES
        )
        if group and size + record_bytes > MAX_APPEND_BYTES:
            yield group
            group, size = [], 0
        size += record_bytes
        group.append(record)
    if group:
        yield group


def _decode(decoder, data):
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError):
        return None
