"""Deadlines of the queued requests."""

import heapq

# Entries up to which a heap is not worth rebuilding.
_MIN_REBUILT = 64


class Deadlines:
    """Heap of the deadlines of queued entries.

    Entries that have left the queue stay in the heap until their deadline.
    It is rebuilt when they are the majority, at constant amortised cost.

    Parameters
    ----------
    queued : dict
        Queued entries by the key of their request; the owner changes it.
    """

    def __init__(self, queued):
        self._queued = queued
        self._heap = []

    def __len__(self):
        return len(self._heap)

    def add(self, entry):
        """Add an entry that was queued."""
        heapq.heappush(self._heap, (entry.deadline, entry.order, entry))
        if len(self._heap) > _MIN_REBUILT + 2 * len(self._queued):
            self._heap = [
                (e.deadline, e.order, e) for e in self._queued.values()
            ]
            heapq.heapify(self._heap)

    def pop_due(self, now):
        """Remove and return a queued entry whose deadline has passed.

        Returns
        -------
        Entry or None
            The one with the earliest deadline; None if there is none.
        """
        heap = self._heap
        while heap and heap[0][0] <= now:
            _, _, entry = heapq.heappop(heap)
            if self._queued.get(entry.request.key) is entry:
                return entry
        return None

    def next_time(self):
        """Return the earliest deadline of a queued entry, or None."""
        heap = self._heap
        while heap:
            entry = heap[0][2]
            if self._queued.get(entry.request.key) is entry:
                return heap[0][0]
            heapq.heappop(heap)
        return None
