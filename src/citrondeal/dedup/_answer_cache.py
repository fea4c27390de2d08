"""Cache of complete answers, bounded in bytes."""

import collections


class Answers:
    """Answers by request id; the oldest are dropped beyond the bound.

    Parameters
    ----------
    limit_bytes : int
        Sum of the sizes of the kept answers.
    """

    def __init__(self, limit_bytes):
        self._limit_bytes = limit_bytes
        self._bytes = 0
        self._kept = collections.OrderedDict()

    @property
    def size_bytes(self):
        """Bytes of the kept answers."""
        return self._bytes

    def __len__(self):
        return len(self._kept)

    def put(self, request_id, answer, size_bytes):
        """Keep an answer if it fits into the bound at all."""
        self.discard(request_id)
        if size_bytes > self._limit_bytes:
            return
        self._kept[request_id] = (answer, size_bytes)
        self._bytes += size_bytes
        while self._bytes > self._limit_bytes:
            _, (_, dropped) = self._kept.popitem(last=False)
            self._bytes -= dropped

    def get(self, request_id):
        """Return ``(answer, size_bytes)``, or None if it is not kept."""
        return self._kept.get(request_id)

    def discard(self, request_id):
        """Forget the answer to an id."""
        kept = self._kept.pop(request_id, None)
        if kept is not None:
            self._bytes -= kept[1]
