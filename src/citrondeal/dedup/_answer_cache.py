"""Cache of the complete answers of one gateway, limited in bytes."""

import collections


class AnswerCache:
    """Complete answers by request id; evicts the oldest beyond a size limit.

    Parameters
    ----------
    limit_bytes : int
        Largest sum of the sizes of the cached answers.
    """

    def __init__(self, limit_bytes):
        self._limit_bytes = limit_bytes
        self._size_bytes = 0
        self._entries = collections.OrderedDict()

    @property
    def size_bytes(self):
        """Bytes of the cached answers."""
        return self._size_bytes

    def __len__(self):
        return len(self._entries)

    def put(self, request_id, answer, size_bytes):
        """Cache an answer unless it alone exceeds the limit."""
        self.discard(request_id)
        if size_bytes > self._limit_bytes:
            return
        self._entries[request_id] = (answer, size_bytes)
        self._size_bytes += size_bytes
        while self._size_bytes > self._limit_bytes:
            _, (_, evicted_bytes) = self._entries.popitem(last=False)
            self._size_bytes -= evicted_bytes

    def get(self, request_id):
        """Return ``(answer, size_bytes)``, or None if it is not cached."""
        return self._entries.get(request_id)

    def discard(self, request_id):
        """Remove the answer to an id, if there is one."""
        entry = self._entries.pop(request_id, None)
        if entry is not None:
            self._size_bytes -= entry[1]
