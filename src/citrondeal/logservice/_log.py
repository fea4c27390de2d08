"""Client of the append-only log service."""

import dataclasses
import json

import result

from citrondeal import errors
from citrondeal.logservice import _http

APPEND_TIMEOUT_S = 2.0
# Added to the long-poll time before a read counts as failed.
READ_SLACK_S = 2.0
MAX_BATCH_RECORDS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Answer to one read of a stream.

    Attributes
    ----------
    first_offset : int
        Lowest offset that the service still retains.
    next_offset : int
        Offset that the next appended record will get.
    records : list of (int, object)
        Offset and decoded JSON value of each record, in order of offsets.
    """

    first_offset: int
    next_offset: int
    records: list


class LogClient:
    """Appends to and reads from streams of the log service.

    Parameters
    ----------
    base_url : str
        ``http://host:port`` of the service.
    """

    def __init__(self, base_url):
        self._http_client = _http.HttpClient(base_url, connections=16)

    @classmethod
    def from_config(cls, config):
        """Build from the ``[platform]`` settings of a daemon."""
        return cls(config.platform.log_url)

    @property
    def traffic(self):
        """Bytes sent and received so far, with HTTP headers."""
        return self._http_client.traffic

    async def append(self, stream, record, timeout_s=APPEND_TIMEOUT_S):
        """Append one record.

        Parameters
        ----------
        stream : str
            Name of the stream.
        record : dict
            Record to encode as JSON.
        timeout_s : float
            Seconds to wait for the answer.

        Returns
        -------
        result.Result
            ``Ok(int)`` with the offset of the record; ``Err`` of kind
            ``unavailable`` if the record cannot have been written,
            ``unknown_outcome`` if it may have been.
        """
        body = json.dumps(record, separators=(",", ":")).encode()
        outcome = await self._http_client.request(
            "POST",
            f"/v1/streams/{stream}/records",
            body,
            [("content-type", "application/json")],
            timeout_s,
        )
        if outcome.is_err():
            return outcome
        response = outcome.ok_value
        if response.status == 503:
            return _failure(
                errors.Kind.UNAVAILABLE,
                f"log service answered the append to stream {stream} with"
                " status 503",
            )
        if response.status != 200:
            return _failure(
                errors.Kind.UNKNOWN_OUTCOME,
                f"log service answered the append to stream {stream} with"
                f" status {response.status}, expected 200",
            )
        try:
            return result.Ok(int(json.loads(response.content)["offset"]))
        except (ValueError, KeyError, RecursionError, TypeError):
            return _failure(
                errors.Kind.UNKNOWN_OUTCOME,
                "log service's answer to the append to stream"
                f" {stream} cannot be decoded",
            )

    async def read(self, stream, start, wait_s, limit=MAX_BATCH_RECORDS):
        """Read records starting at an offset.

        Parameters
        ----------
        stream : str
            Name of the stream.
        start : int
            Offset of the first record to read.
        wait_s : float
            Seconds for which the service may hold the request while there
            are no records to return.
        limit : int
            Largest number of records to return.

        Returns
        -------
        result.Result
            ``Ok(Batch)`` or ``Err`` of kind ``unavailable``.  A record
            that isn't JSON, and so has no data, is returned as None in its
            place.
        """
        path = (
            f"/v1/streams/{stream}/records"
            f"?from={start}&limit={limit}&wait_ms={int(wait_s * 1000)}"
        )
        outcome = await self._http_client.request(
            "GET", path, timeout_s=wait_s + READ_SLACK_S
        )
        if outcome.is_err():
            return _failure(errors.Kind.UNAVAILABLE, outcome.err_value.message)
        response = outcome.ok_value
        if response.status != 200:
            return _failure(
                errors.Kind.UNAVAILABLE,
                f"log service answered the read of stream {stream} with"
                f" status {response.status}, expected 200",
            )
        try:
            return result.Ok(_decode_batch(json.loads(response.content)))
        except (ValueError, KeyError, RecursionError, TypeError):
            return _failure(
                errors.Kind.UNAVAILABLE,
                f"log service's answer to the read of stream {stream} cannot"
                " be decoded",
            )

    async def aclose(self):
        """Close all connections."""
        await self._http_client.aclose()


def _decode_batch(value):
    records = [
        (int(record["offset"]), record.get("data"))
        for record in value["records"]
    ]
    return Batch(int(value["first"]), int(value["next"]), records)


def _failure(kind, message):
    return result.Err(errors.Failure(kind, message))
