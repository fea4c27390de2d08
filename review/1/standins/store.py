"""Stand-in for the platform's metadata store."""

import asyncio
import base64
import collections
import json
import struct

# The site files give this time for an answer.
ANSWER_S = 0.004
PAGE_ITEMS = 500
REPEATABLE_APPENDS = 5
# Only the operator and the runners write to these.
FOREIGN_TOPICS = ("keyed.op", "keyed.servers")


class _Partition:
    def __init__(self):
        self.records = []
        self.epochs = {}
        self.replies = {}
        self.changed = asyncio.Event()

    def append(self, records):
        """Append records and return the offset of the first one."""
        offset = len(self.records)
        self.records += records
        self.changed.set()
        self.changed = asyncio.Event()
        return offset

    def newest(self):
        """Return offset and value of the newest record of each key."""
        newest = {}
        for offset, (key, value) in enumerate(self.records):
            newest[key] = (offset, value)
        return {key: item for key, item in sorted(newest.items()) if item[1]}


class Store:
    """Keyed topics with one partition each.

    Attributes
    ----------
    busy : bool
        Whether each call of the cell is answered with 503.
    """

    def __init__(self):
        self._topics = {}
        self.busy = False

    def _partition(self, topic):
        return self._topics.setdefault(topic, _Partition())

    def put(self, topic, key, value):
        """Write a record as the operator or a runner does; None deletes."""
        data = b"" if value is None else json.dumps(value).encode()
        self._partition(topic).append([(key, data)])

    async def handle(self, request):
        """Answer a call of the cell."""
        await asyncio.sleep(ANSWER_S)
        if self.busy:
            return 503, b""
        if request.path == "/v1/log-append":
            return self._append(request)
        if request.path == "/v1/log-read":
            return await self._read(request.query)
        if request.path == "/v1/log-newest":
            return self._read_newest(request.query)
        return 404, b""

    def _append(self, request):
        query = request.query
        if query["topic"] in FOREIGN_TOPICS:
            return 403, b""
        partition = self._partition(query["topic"])
        end = len(partition.records)
        if "at" in query and int(query["at"]) != end:
            return 412, {"end": end}
        if "producer" in query:
            refusal = _check_producer(partition, query)
            if refusal is not None:
                return refusal
        records = _decode_records(request.body)
        offset = partition.append(records)
        answer = 200, {"offset": offset, "end": offset + len(records)}
        if "producer" in query:
            replies = partition.replies[query["producer"]]
            replies.append((int(query["seq"]), answer))
        return answer

    async def _read(self, query):
        partition = self._partition(query["topic"])
        start = int(query["from"])
        limit_s = int(query.get("wait-ms", 0)) / 1000
        try:
            async with asyncio.timeout(limit_s):
                while len(partition.records) <= start:
                    await partition.changed.wait()
        except TimeoutError:
            pass
        if self.busy:
            return 503, b""
        body = struct.pack(">QQ", len(partition.records), 0)
        limit = int(query.get("max-kb", 1024)) * 1024
        for key, value in partition.records[start:]:
            content = bytes([len(key)]) + key.encode() + value
            body += struct.pack(">I", len(content)) + content
            if len(body) > limit:
                break
        return 200, body

    def _read_newest(self, query):
        partition = self._partition(query["topic"])
        after = query.get("after", "")
        items = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (offset, value) in partition.newest().items()
            if key > after
        ]
        more = len(items) > PAGE_ITEMS
        end = len(partition.records)
        return 200, {"items": items[:PAGE_ITEMS], "more": more, "end": end}


def _check_producer(partition, query):
    """Return the refusal or the earlier answer of an append, or None."""
    name, epoch = query["producer"], int(query["epoch"])
    sequence = int(query["seq"])
    last_epoch, last_sequence = partition.epochs.get(name, (-1, -1))
    if epoch < last_epoch:
        return 409, {"reason": "fenced"}
    if epoch > last_epoch:
        partition.replies[name] = collections.deque(maxlen=REPEATABLE_APPENDS)
    else:
        for earlier, answer in partition.replies[name]:
            if earlier == sequence:
                return answer
        if sequence != last_sequence + 1:
            return 409, {"reason": "seq", "seq": last_sequence + 1}
    partition.epochs[name] = (epoch, sequence)
    return None


def _decode_records(body):
    records, position = [], 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        content = body[position + 4 : position + 4 + length]
        position += 4 + length
        split = 1 + content[0]
        records.append((content[1:split].decode(), content[split:]))
    return records
