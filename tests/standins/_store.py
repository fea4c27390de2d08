"""The store of the platform: keyed topics, their appends and reads."""

import base64
import collections
import json
import random
import struct
import time

import anyio

from citrondeal import web
from tests.standins import _append_queue
from tests.standins import _common

# A producer that repeats one of its last appends gets the first answer again.
REPEATABLE_APPENDS = 5


class Partition:
    """Records of one topic, with the last appends of each producer.

    Attributes
    ----------
    records : list of (str, bytes)
        All records ever appended, also those that can no longer be read.
    first : int
        Offset of the first record that can still be read.
    epochs : dict of str to (int, int)
        Epoch and sequence number of the last append of each producer.
    replies : dict of str to deque
        By producer, the last appends of its epoch: sequence and answer.
    appends : AppendQueue
        The appends that wait.
    """

    def __init__(self):
        self.records = []
        self.first = 0
        self.epochs = {}
        self.replies = {}
        self.appends = _append_queue.AppendQueue()

    def compact(self):
        """Delete the history; `newest` still returns the newest records."""
        self.first = len(self.records)

    def newest(self):
        """Return offset and value of the newest record of each key."""
        newest_by_key = {}
        for offset, (key, value) in enumerate(self.records):
            newest_by_key[key] = (offset, value)
        return {k: v for k, v in sorted(newest_by_key.items()) if v[1]}


class Store:
    """Keyed topics with one partition each."""

    def __init__(self, faults):
        self.topics = {}
        self.faults = faults

    def partition(self, topic):
        """Return the partition of a topic."""
        return self.topics.setdefault(topic, Partition())

    def put_json(self, topic, key, value):
        """Append a JSON record without a check of its producer."""
        self.partition(topic).records.append((key, json.dumps(value).encode()))

    def delete(self, topic, key):
        """Append the deletion of a key."""
        self.partition(topic).records.append((key, b""))

    def app(self):
        """Return the HTTP application."""
        app = web.App()
        app.add_route("POST", "/v1/log-append", self.append)
        app.add_route("GET", "/v1/log-read", self.read)
        app.add_route("GET", "/v1/log-newest", self.read_newest)
        return app

    async def append(self, request):
        """Answer ``POST /v1/log-append``."""
        if self.faults["store_down"]:
            return web.Response(503)
        partition = self.partition(request.query["topic"])
        wait_s = partition.appends.admit(
            self.faults["append_ms"] / 1000.0, time.monotonic()
        )
        if wait_s is None:
            return web.Response(503)
        await anyio.sleep(wait_s)
        at = request.query.get("at")
        if at is not None and int(at) != len(partition.records):
            return web.json_response({"end": len(partition.records)}, 412)
        answer = self._check_producer(partition, request.query)
        if answer is None:
            offset = len(partition.records)
            partition.records += _parse_records(request.body)
            answer = web.json_response(
                {"offset": offset, "end": len(partition.records)}
            )
            producer = request.query.get("producer")
            if producer is not None:
                sequence = int(request.query["seq"])
                partition.replies[producer].append((sequence, answer))
        if random.random() < self.faults["store_lost"]:
            return web.Response(_common.LOST_ANSWER_STATUS)
        return answer

    @staticmethod
    def _check_producer(partition, query):
        """Check the epoch and sequence of an append.

        Returns
        -------
        web.Response or None
            Refusal, or the earlier reply to the same append; None if the
            records are to be appended.
        """
        producer = query.get("producer")
        if producer is None:
            return None
        epoch, sequence = int(query["epoch"]), int(query["seq"])
        last_epoch, last_sequence = partition.epochs.get(producer, (-1, -1))
        if epoch < last_epoch:
            return web.json_response({"reason": "fenced"}, 409)
        if epoch > last_epoch:
            partition.replies[producer] = collections.deque(
                maxlen=REPEATABLE_APPENDS
            )
        else:
            for earlier_sequence, reply in partition.replies[producer]:
                if earlier_sequence == sequence:
                    return reply
            if sequence != last_sequence + 1:
                return web.json_response(
                    {"reason": "seq", "seq": last_sequence + 1}, 409
                )
        partition.epochs[producer] = (epoch, sequence)
        return None

    async def read(self, request):
        """Answer ``GET /v1/log-read``; wait if there is no record yet."""
        if self.faults["store_down"]:
            return web.Response(503)
        partition = self.partition(request.query["topic"])
        start = int(request.query["from"])
        if start < partition.first:
            return web.json_response({"first": partition.first}, 410)
        limit = time.monotonic() + int(request.query.get("wait-ms", 0)) / 1000
        while len(partition.records) <= start and time.monotonic() < limit:
            await anyio.sleep(0.01)
        if start < partition.first:
            return web.json_response({"first": partition.first}, 410)
        body = struct.pack(">QQ", len(partition.records), partition.first)
        for key, value in partition.records[start:]:
            content = bytes([len(key)]) + key.encode() + value
            body += struct.pack(">I", len(content)) + content
        return web.Response(200, body)

    async def read_newest(self, request):
        """Answer ``GET /v1/log-newest`` with one page of keys."""
        if self.faults["store_down"]:
            return web.Response(503)
        partition = self.partition(request.query["topic"])
        after = request.query.get("after", "")
        items = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (offset, value) in partition.newest().items()
            if key > after
        ]
        answer = {
            "items": items[:500],
            "more": len(items) > 500,
            "end": len(partition.records),
        }
        return web.json_response(answer)


def _parse_records(body):
    records = []
    position = 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        content = body[position + 4 : position + 4 + length]
        position += 4 + length
        key_end = 1 + content[0]
        records.append((content[1:key_end].decode(), content[key_end:]))
    return records
