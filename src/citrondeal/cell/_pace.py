"""What a process believes of the time that the store takes for an append."""

import collections
import dataclasses
import math

# At this time for an append, the eight topics of submissions together take 80
# appends a second, less than the members of a large cell send one by one.
SLOW_APPEND_S = 0.1
# Slowest link to the store; a large record takes longer on it.
LINK_BYTES_PER_S = 500_000
# A store counts as slow for this long after the last sign of it. Several
# submissions reach each member in this time, so few members append by
# themselves only because they have seen no sign lately.
HOLD_S = 3.0
# A fast append ends the belief only after this time without a sign, because
# the backlogs of the topics end at different times.
MIN_SLOW_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class _Append:
    topic: str
    sent_at: float
    limit_s: float  # a longer append is a sign that the store is slow


class StorePace:
    """Whether the store is slow, and how soon it can finish an append.

    The earliest end of an append is estimated as for a queue with one server
    in order of arrival: each topic is busy until a known time, and an append
    takes at least the shortest time observed lately. What other processes
    have sent is known only as far as it has delayed an append or led to a
    rejection, so appends may take longer than estimated.

    Parameters
    ----------
    round_trip_s : callable
        Returns the seconds that a short call to the store took at the start.
    on_change : callable
        ``on_change(slow, reason)`` is called when the belief has changed.
    """

    def __init__(
        self, round_trip_s=lambda: 0.0, on_change=lambda slow, reason: None
    ):
        self._round_trip_s = round_trip_s
        self._on_change = on_change
        # The call at the start may have been delayed.
        self._shortest_s = math.inf
        self._pending = set()
        self._busy_until = {}
        self._slow_times = collections.deque()  # (end, seconds)
        self._sign_at = -math.inf
        self._reason = ""
        self._slow = False

    def start_append(self, topic, size_bytes, now):
        """Record that an append is sent; return its handle."""
        limit_s = (
            SLOW_APPEND_S
            + min(self._round_trip_s(), self._shortest_s)
            + size_bytes / LINK_BYTES_PER_S
        )
        append = _Append(topic, now, limit_s)
        self._pending.add(append)
        return append

    def end_append(self, append, stored, now):
        """Record the end of an append; return whether it was slow."""
        self._pending.discard(append)
        took_s = now - append.sent_at
        slow = took_s > append.limit_s
        if stored:
            self._shortest_s = min(self._shortest_s, took_s)
        if slow:
            self._on_sign("an append of this process", now)
            if stored:
                self._observe(append.topic, took_s, now)
        elif stored:
            self._on_fast_append(append.sent_at, now)
        return slow

    def on_report(self, topic, slow, append_s, sent_at, now):
        """Record what a writer has reported in its answer.

        Parameters
        ----------
        topic : str
        slow : bool
            Whether the append of the writer was slow. What it believes does
            not count, or members would confirm each other's beliefs for ever.
        append_s : float
            Seconds that its append took.
        sent_at : float
            When the records were sent to the writer.
        now : float
        """
        if slow:
            self._on_sign("an append of a writer", now)
            self._observe(topic, append_s, now)
        else:
            self._on_fast_append(sent_at, now)

    def on_backlog(self, topic, wait_s, now):
        """Record that a topic is busy for some seconds from now on."""
        self._busy_until[topic] = now + wait_s

    def is_slow(self, now):
        """Return whether the store is believed to be slow."""
        if any(now - a.sent_at > a.limit_s for a in self._pending):
            self._on_sign("an append of this process", now)
        self._update(now)
        return self._slow

    def append_s(self, now):
        """Return the shortest time of a slow append lately; 0.0 if none."""
        while self._slow_times and now - self._slow_times[0][0] > HOLD_S:
            self._slow_times.popleft()
        return min((s for _, s in self._slow_times), default=0.0)

    def earliest_s(self, topic, now):
        """Return the seconds after which an append can be done.

        Zero while the store is not slow.
        """
        if not self.is_slow(now):
            return 0.0
        append_s = self.append_s(now)
        free_at = max(now, self._busy_until.get(topic, now))
        for append in self._pending:
            if append.topic == topic:
                free_at = max(free_at, append.sent_at + append_s)
        return free_at - now + append_s

    def max_earliest_s(self, now):
        """Return the largest `earliest_s` of the topics known to be busy."""
        topics = {*self._busy_until, *(a.topic for a in self._pending)}
        return max((self.earliest_s(t, now) for t in topics), default=0.0)

    def _observe(self, topic, took_s, now):
        self._slow_times.append((now, took_s))
        self._busy_until[topic] = now

    def _on_sign(self, reason, now):
        self._sign_at = now
        self._reason = reason
        self._update(now)

    def _on_fast_append(self, sent_at, now):
        if sent_at - self._sign_at >= MIN_SLOW_S:
            self._sign_at = -math.inf
            self._slow_times.clear()
            self._reason = "a fast append"
        self._update(now)

    def _update(self, now):
        slow = now - self._sign_at < HOLD_S
        if slow == self._slow:
            return
        self._slow = slow
        if not slow and math.isfinite(self._sign_at):
            self._reason = f"no slow append for {HOLD_S} s"
        self._on_change(slow, self._reason)
