"""Client of the append-only log service."""

import dataclasses
import json

import result

from citrondeal import errors
from citrondeal.logservice import _http

APPEND_TIMEOUT = 2.0  # seconds
# Added to the long-poll time before a read counts as failed.
READ_SLACK = 2.0  # seconds
BATCH_LIMIT = 500  # records per read


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Records of one read.

    Attributes
    ----------
    first_offset : int
        Lowest offset that the service still retains.
    next_offset : int
        Offset that the next append will get.
    records : list of (int, object)
        Offset and decoded JSON value, in order of offsets.
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

    async def append(self, stream, record, timeout_s=APPEND_TIMEOUT):
        """Append one record.

        Parameters
        ----------
        stream : str
            Name of the stream.
        record : dict
            JSON-ready record.
        timeout_s : float
            Seconds to wait for the answer.

        Returns
        -------
        result.Result
            ``Ok(int)`` with the offset; ``Err`` of kind ``unavailable`` if
            the record cannot have been written, ``unknown_outcome`` if it
            may have been.
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
            return _err(errors.Kind.UNAVAILABLE, "log service is unavailable")
        if response.status != 200:
            return _err(
                errors.Kind.UNKNOWN_OUTCOME,
                f"log service answered {response.status}",
            )
        try:
            return result.Ok(int(json.loads(response.content)["offset"]))
        except (ValueError, KeyError, TypeError):
            return _err(
                errors.Kind.UNKNOWN_OUTCOME, "undecodable answer of the log"
            )

    async def read(self, stream, start, wait_s, limit=BATCH_LIMIT):
        """Read records from an offset on.

        Parameters
        ----------
        stream : str
            Name of the stream.
        start : int
            First offset wanted.
        wait_s : float
            Seconds that the service may hold the request while there is
            nothing to return.
        limit : int
            Most records to return.

        Returns
        -------
        result.Result
            ``Ok(Batch)`` or ``Err`` of kind ``unavailable``.  A record
            that is no JSON is returned as None in its place.
        """
        path = (
            f"/v1/streams/{stream}/records"
            f"?from={start}&limit={limit}&wait_ms={int(wait_s * 1000)}"
        )
        outcome = await self._http_client.request(
            "GET", path, timeout_s=wait_s + READ_SLACK
        )
        if outcome.is_err():
            return _err(errors.Kind.UNAVAILABLE, outcome.err_value.message)
        response = outcome.ok_value
        if response.status != 200:
            return _err(
                errors.Kind.UNAVAILABLE,
                f"log service answered {response.status}",
            )
        try:
            return result.Ok(_decode(json.loads(response.content)))
        except (ValueError, KeyError, TypeError):
            return _err(
                errors.Kind.UNAVAILABLE, "undecodable answer of the log"
            )

    async def aclose(self):
        """Close all connections."""
        await self._http_client.aclose()


def _decode(value):
    records = [(int(r["offset"]), r.get("data")) for r in value["records"]]
    return Batch(int(value["first"]), int(value["next"]), records)


def _err(kind, message):
    return result.Err(errors.Failure(kind, message))
