"""A store in memory with the protocol's rules for offsets and producers."""

import collections

import anyio
import result

from citrondeal import errors
from citrondeal import platform

# A producer that repeats one of its last appends gets the first answer again.
REPEATABLE_APPENDS = 5
POLL_S = 0.01


class _Producer:
    """Epoch, next sequence number and last answers of one producer."""

    def __init__(self):
        self.epoch = -1
        self.next_sequence = 0
        self.offsets = collections.OrderedDict()


class MemoryStore:
    """Stands for `platform.StoreClient`; each call is one turn of the loop.

    Attributes
    ----------
    topics : dict of str to list of platform.Record
        All records ever appended.
    before_append : callable or None
        ``await before_append(topic, records)`` is called before an append
        takes effect.
    """

    def __init__(self):
        self.topics = collections.defaultdict(list)
        self.before_append = None
        self._first = collections.Counter()
        self._producers = collections.defaultdict(_Producer)

    async def append(self, topic, records, at=None, producer=None):
        """Append like `platform.StoreClient.append`."""
        await anyio.sleep(0)
        if self.before_append is not None:
            await self.before_append(topic, records)
        if at is not None and at != len(self.topics[topic]):
            return _failure(errors.Kind.CONFLICT, "end")
        return self.append_now(topic, records, producer)

    def append_now(self, topic, records, producer=None):
        """Append at once, unless the producer may not."""
        if producer is not None:
            earlier = self._check(self._producers[topic], producer)
            if earlier is not None:
                return earlier
            state = self._producers[topic]
            state.offsets[producer.sequence] = len(self.topics[topic])
            while len(state.offsets) > REPEATABLE_APPENDS:
                state.offsets.popitem(last=False)
        return result.Ok(self.put(topic, records))

    def put(self, topic, records):
        """Append without a check of the producer; return the offset."""
        stored = self.topics[topic]
        first = len(stored)
        for index, record in enumerate(records):
            stored.append(
                platform.Record(record.key, record.value, first + index)
            )
        return first

    @staticmethod
    def _check(state, producer):
        """Return the answer to an append that is not to be executed."""
        if producer.epoch < state.epoch:
            return _failure(errors.Kind.BARRED, "fenced")
        if producer.epoch == state.epoch:
            if producer.sequence in state.offsets:
                return result.Ok(state.offsets[producer.sequence])
            if producer.sequence != state.next_sequence:
                return _failure(errors.Kind.CONFLICT, "seq")
        else:
            state.offsets.clear()
        state.epoch = producer.epoch
        state.next_sequence = producer.sequence + 1
        return None

    async def read(self, topic, start, wait_s):
        """Read like `platform.StoreClient.read`."""
        await anyio.sleep(0)
        with anyio.move_on_after(wait_s):
            while len(self.topics[topic]) <= start:
                await anyio.sleep(POLL_S)
        if start < self._first[topic]:
            return _failure(errors.Kind.CONFLICT, "deleted")
        records = self.topics[topic][start:]
        end = len(self.topics[topic])
        return result.Ok(platform.Batch(end, end, records))

    async def read_newest(self, topic):
        """Read like `platform.StoreClient.read_newest`."""
        await anyio.sleep(0)
        return result.Ok((len(self.topics[topic]), self.newest(topic)))

    def newest(self, topic):
        """Return the newest record of each key that is not deleted."""
        newest = {record.key: record for record in self.topics[topic]}
        return [record for record in newest.values() if record.value]

    def compact(self):
        """Delete the history of all topics."""
        for topic, records in self.topics.items():
            self._first[topic] = len(records)


def _failure(kind, message):
    return result.Err(errors.Failure(kind, message))
