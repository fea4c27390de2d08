"""Client of the platform's metadata store: logs with keyed records."""

import base64
import dataclasses
import math
import struct
import urllib.parse

import anyio
import msgspec
import result

from citrondeal import errors
from citrondeal import web

APPEND_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 0.8
# Added to the time for which the store may delay its answer to a read.  Each
# part of an answer that arrives leaves at least this time for the rest.
READ_TIMEOUT_MARGIN_S = 0.7
MAX_CONNECTIONS = 32  # an owner follows ten topics
MAX_READ_KB = 512
# A partition rejects appends while it has more work than this before it.
MAX_WAITING_APPENDS_S = 2.0

_LENGTH_PREFIX = struct.Struct(">I")
_READ_HEADER = struct.Struct(">QQ")


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One keyed record; one with an empty value deletes its key."""

    key: str
    value: bytes
    offset: int = -1


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Records of one read.

    Attributes
    ----------
    end_offset : int
        Offset that the next appended record gets.
    next_offset : int
        Offset to read from next.
    records : list of Record
    """

    end_offset: int
    next_offset: int
    records: list


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """One page of the newest records of all keys."""

    end_offset: int
    more: bool
    records: list


@dataclasses.dataclass(frozen=True, slots=True)
class Producer:
    """Identity under which the store orders and fences appends.

    Attributes
    ----------
    name : str
    epoch : int
        An append with a lower epoch than one seen before is rejected.
    sequence : int
        Number of the append; a repeated append gets the answer to the first
        one again.
    """

    name: str
    epoch: int
    sequence: int


class _Appended(msgspec.Struct):
    offset: int = -1
    end: int = -1


class _Rejected(msgspec.Struct):
    reason: str = ""


class _Item(msgspec.Struct):
    key: str
    value: str
    offset: int


class _Newest(msgspec.Struct):
    items: list[_Item]
    more: bool
    end: int


_APPENDED_DECODER = msgspec.json.Decoder(_Appended)
_REJECTED_DECODER = msgspec.json.Decoder(_Rejected)
_NEWEST_DECODER = msgspec.json.Decoder(_Newest)


class StoreClient:
    """Client of the store.

    Failures are of kind ``unavailable`` if nothing was done, ``conflict``
    if a condition did not hold or a sequence number does not follow the last
    one, ``barred`` if the producer is fenced, and ``unknown_outcome`` if the
    call may have taken effect or may still do so.

    Parameters
    ----------
    address : str
        ``host:port`` of the store.
    """

    def __init__(self, address):
        self._client = web.Client(address, MAX_CONNECTIONS)
        self._last_success_at = -math.inf

    @property
    def calls(self):
        """Number of calls so far."""
        return self._client.requests_sent

    @property
    def last_success_age_s(self):
        """Seconds since the last call that succeeded, infinite before it."""
        return anyio.current_time() - self._last_success_at

    async def append(
        self,
        topic,
        records,
        at=None,
        producer=None,
        timeout_s=APPEND_TIMEOUT_S,
    ):
        """Append records to partition 0 of a topic, all or none.

        Parameters
        ----------
        topic : str
        records : list of Record
        at : int, optional
            Append only if this is the offset at the end of the partition.
        producer : Producer, optional
        timeout_s : float, optional
            Seconds to wait for the answer.

        Returns
        -------
        result.Result
            ``Ok(int)`` with the offset of the first record.
        """
        query = {"topic": topic, "part": 0}
        if at is not None:
            query["at"] = at
        if producer is not None:
            query["producer"] = producer.name
            query["epoch"] = producer.epoch
            query["seq"] = producer.sequence
        body = b"".join(_encode_record(record) for record in records)
        path = "/v1/log-append?" + urllib.parse.urlencode(query)
        outcome = await self._request("POST", path, body, timeout_s)
        if outcome.is_err():
            return outcome
        reply = outcome.ok_value
        if reply.status == 200:
            return _decode_reply(
                _APPENDED_DECODER, reply.body, lambda value: value.offset
            )
        return _append_failure(reply)

    async def read(self, topic, start, wait_s):
        """Read records from an offset on.

        Parameters
        ----------
        topic : str
        start : int
        wait_s : float
            Seconds for which the store may wait for a record.

        Returns
        -------
        result.Result
            ``Ok(Batch)``; kind ``conflict`` if records from `start` on have
            been deleted and the newest records are to be read instead.
        """
        query = urllib.parse.urlencode(
            {
                "topic": topic,
                "part": 0,
                "from": start,
                "max-kb": MAX_READ_KB,
                "wait-ms": int(wait_s * 1000),
            }
        )
        outcome = await self._request(
            "GET", "/v1/log-read?" + query, b"", wait_s + READ_TIMEOUT_MARGIN_S
        )
        if outcome.is_err():
            return _unavailable(outcome.err_value.message)
        reply = outcome.ok_value
        if reply.status == 410:
            return _deleted(topic, start)
        if reply.status != 200:
            return _unavailable(f"store answered {reply.status}")
        try:
            _, first = _READ_HEADER.unpack_from(reply.body)
            if first > start:
                # Records were deleted while the store held the read.
                return _deleted(topic, start)
            return result.Ok(_decode_batch(reply.body, start))
        except (struct.error, ValueError) as exc:
            return _unavailable(f"records of {topic} cannot be decoded: {exc}")

    async def read_newest_page(self, topic, after=""):
        """Read a page of the newest records of all keys after a key.

        Returns
        -------
        result.Result
            ``Ok(Page)``; a topic that does not exist has no records.
        """
        query = {"topic": topic, "part": 0}
        if after:
            query["after"] = after
        path = "/v1/log-newest?" + urllib.parse.urlencode(query)
        outcome = await self._request("GET", path, b"", READ_TIMEOUT_S)
        if outcome.is_err():
            return _unavailable(outcome.err_value.message)
        reply = outcome.ok_value
        if reply.status != 200:
            return _unavailable(f"store answered {reply.status}")
        return _decode_reply(_NEWEST_DECODER, reply.body, _build_page)

    async def read_newest(self, topic):
        """Read the newest records of all keys.

        Returns
        -------
        result.Result
            ``Ok((int, list of Record))``: the offset from which to read on,
            and the records.
        """
        records = []
        end = None
        after = ""
        while True:
            outcome = await self.read_newest_page(topic, after)
            if outcome.is_err():
                return outcome
            page = outcome.ok_value
            end = page.end_offset if end is None else end
            records += page.records
            if not page.more or not page.records:
                return result.Ok((end, records))
            after = page.records[-1].key

    async def _request(self, method, path, body, timeout_s):
        outcome = await self._client.request(
            method, path, body, timeout_s, extension_s=READ_TIMEOUT_MARGIN_S
        )
        if outcome.is_ok() and outcome.ok_value.status == 200:
            self._last_success_at = anyio.current_time()
        return outcome

    async def aclose(self):
        """Close idle connections."""
        await self._client.aclose()


def _encode_record(record):
    key = record.key.encode()
    content = bytes([len(key)]) + key + record.value
    return _LENGTH_PREFIX.pack(len(content)) + content


def _decode_batch(body, start):
    end, _ = _READ_HEADER.unpack_from(body)
    position = _READ_HEADER.size
    offset = start
    records = []
    while position < len(body):
        (length,) = _LENGTH_PREFIX.unpack_from(body, position)
        position += _LENGTH_PREFIX.size
        content = body[position : position + length]
        if len(content) < length:
            raise ValueError(f"record at offset {offset} is cut off")
        position += length
        split = 1 + content[0] if content else 0
        key = content[1:split].decode("utf-8", "replace")
        records.append(Record(key, content[split:], offset))
        offset += 1
    return Batch(end, offset, records)


def _build_page(value):
    records = [
        Record(item.key, base64.b64decode(item.value), item.offset)
        for item in value.items
    ]
    return Page(value.end, value.more, records)


def _append_failure(reply):
    text = f"store answered {reply.status}"
    if reply.status == 412:
        return _failure(errors.Kind.CONFLICT, text)
    if reply.status == 409:
        out_of_sequence = _rejection_reason(reply.body) == "seq"
        kind = errors.Kind.CONFLICT if out_of_sequence else errors.Kind.BARRED
        return _failure(kind, text + f" {reply.body!r}")
    if reply.status in (429, 503, 507) and not reply.repeated:
        return _unavailable(text)
    return _failure(errors.Kind.UNKNOWN_OUTCOME, text)


def _rejection_reason(body):
    try:
        return _REJECTED_DECODER.decode(body).reason
    except (msgspec.DecodeError, UnicodeDecodeError):
        return ""


def _decode_reply(decoder, body, convert):
    try:
        return result.Ok(convert(decoder.decode(body)))
    except (msgspec.DecodeError, RecursionError, ValueError) as exc:
        return _failure(
            errors.Kind.UNKNOWN_OUTCOME,
            f"answer of the store cannot be decoded: {exc}",
        )


def _failure(kind, message):
    return result.Err(errors.Failure(kind, message))


def _deleted(topic, start):
    return _failure(
        errors.Kind.CONFLICT,
        f"records of {topic} from offset {start} on were deleted",
    )


def _unavailable(message):
    return _failure(errors.Kind.UNAVAILABLE, message)
