"""Queue of one class of one service, shared fairly between teams.

The algorithm is start-time fair queueing: the start tag of a team is the
virtual time at which its next request begins, and the team with the lowest
start tag is served.  The cost of a request is its slot time in
microseconds, divided by the weight of its team.  The estimated cost is
charged at dispatch and replaced by the actual cost when the slot is
released, so that a team also pays for long requests, whose duration cannot
be known in advance.
"""

import collections
import heapq

# Fixed-point factor of tags: keeps the division by weights precise while
# tags stay integers, whose sums do not depend on the order of additions.
TAG_SCALE = 1024
# Slot seconds by which the finish tag of a team may be ahead of virtual time
# after a correction.  It bounds how long one extremely long request delays
# its team.
DEBT_LIMIT_SLOT_S = 10
# Teams with their own state per class and service; all further teams share
# the state of OVERFLOW_TEAM.  Callers choose team names, so the number of
# teams has no other bound.
TEAM_LIMIT = 1024
OVERFLOW_TEAM = "\0other"


class SizeIndex:
    """Integer sizes by key; finds the key with the largest size in O(1).

    Keys of equal size share a bucket, ordered by the time at which they
    reached that size.  The largest size falls in steps of 1 to the next
    bucket; all these steps together cost no more than its earlier rises.
    """

    def __init__(self):
        self._sizes = {}
        self._buckets = {}
        self._top = 0

    def set(self, key, size):
        """Set the size of a key; size 0 removes it."""
        old = self._sizes.pop(key, 0)
        if old:
            bucket = self._buckets[old]
            if old == size:
                self._sizes[key] = size
                return
            del bucket[key]
            if not bucket:
                del self._buckets[old]
        if size:
            self._sizes[key] = size
            bucket = self._buckets.get(size)
            if bucket is None:
                bucket = self._buckets[size] = collections.OrderedDict()
            bucket[key] = None
            self._top = max(self._top, size)
        while self._top and self._top not in self._buckets:
            self._top -= 1

    def size(self, key):
        """Return the size of a key, 0 if absent."""
        return self._sizes.get(key, 0)

    def largest(self):
        """Return the key that reached the largest size first, or None."""
        return next(iter(self._buckets[self._top])) if self._top else None


class Team:
    """State of one team in one class of one service.

    `direct` has the queued requests that callers sent to this gateway,
    `forwarded` those that another gateway forwarded to it.
    """

    __slots__ = (
        "cost_us",
        "dispatched",
        "finish_tag",
        "name",
        "direct",
        "forwarded",
        "start_tag",
        "units",
        "weight",
    )

    def __init__(self, name, weight):
        self.name = name
        self.weight = weight
        self.dispatched = 0
        self.direct = collections.OrderedDict()
        self.forwarded = collections.OrderedDict()
        self.start_tag = 0
        self.finish_tag = 0
        self.units = 0
        self.cost_us = 0

    def has_requests(self, direct_only):
        """Return whether a request, or a direct one, is queued."""
        return bool(self.direct) or (not direct_only and bool(self.forwarded))


class Entry:
    """One queued or dispatched request.

    `remote` is true if it was dispatched to another gateway.
    """

    __slots__ = (
        "cost_us",
        "deadline",
        "order",
        "class_state",
        "remote",
        "request",
        "started",
        "team",
        "units",
    )

    def __init__(self, request, class_state, team, units, order):
        self.request = request
        self.class_state = class_state
        self.team = team
        self.units = units
        self.order = order
        self.cost_us = 0
        self.deadline = 0.0
        self.remote = False
        self.started = 0.0


def _oldest(team):
    """Return the entry of a team with the lowest order."""
    if not team.forwarded:
        return next(iter(team.direct.values()))
    first = next(iter(team.forwarded.values()))
    if team.direct:
        other = next(iter(team.direct.values()))
        if other.order < first.order:
            return other
    return first


def _newest(team):
    """Return the entry of a team with the highest order."""
    if not team.forwarded:
        return next(reversed(team.direct.values()))
    last = next(reversed(team.forwarded.values()))
    if team.direct:
        other = next(reversed(team.direct.values()))
        if other.order > last.order:
            return other
    return last


class FairQueue:
    """Requests of one class, shared fairly between teams.

    Parameters
    ----------
    weights : dict of str to int
        Weights of teams.
    """

    def __init__(self, weights):
        self.weights = weights
        self.count = 0
        self.direct_count = 0
        self.units = 0
        self.cost_us = 0
        self.active_weight = 0
        self.virtual_time = 0
        self._teams = {}
        # Names of teams that have state but no queued request, in the order
        # in which they became idle; the first makes way for a new team.
        self._idle = collections.OrderedDict()
        self._sequence = 0
        # Heap of all teams with requests, and heap of the teams with direct
        # requests, the only ones that may be forwarded.
        self._heaps = ([], [])
        self._sizes = SizeIndex()

    def team(self, name):
        """Return the state of a team, created on first use."""
        team = self._teams.get(name)
        if team is not None:
            return team
        if len(self._teams) >= TEAM_LIMIT:
            if self._idle:
                old, _ = self._idle.popitem(last=False)
                del self._teams[old]
            elif name != OVERFLOW_TEAM:
                return self.team(OVERFLOW_TEAM)
        team = Team(name, self.weights.get(name, 1))
        self._teams[name] = team
        self._idle[name] = None
        return team

    def largest_team(self):
        """Return the team with the most queued units by weight, or None."""
        name = self._sizes.largest()
        return None if name is None else self._teams[name]

    def backlog_us(self, name):
        """Return the slot microseconds ahead of a new request of a team.

        While the queued requests of this team are served, fair queueing
        serves the other teams only in proportion to their weights.
        """
        team = self._teams.get(name)
        if team is None or not team.units:
            team_cost_us, active_weight = (
                0,
                self.active_weight + self.weights.get(name, 1),
            )
        else:
            team_cost_us, active_weight = team.cost_us, self.active_weight
        weight = self.weights.get(name, 1) if team is None else team.weight
        return min(self.cost_us, team_cost_us * active_weight // weight)

    def add(self, entry, front=False):
        """Queue an entry as the last or, with `front`, first of its team."""
        team = entry.team
        queue = team.forwarded if entry.request.forwarded else team.direct
        was_empty = not queue
        was_idle = not team.units
        queue[entry.request.key] = entry
        if front:
            queue.move_to_end(entry.request.key, last=False)
        self.count += 1
        self.direct_count += not entry.request.forwarded
        self._account(team, entry, 1)
        if was_idle:
            self._teams[team.name] = team
            self._idle.pop(team.name, None)
            team.start_tag = max(self.virtual_time, team.finish_tag)
            self.active_weight += team.weight
            self._push(team)
        elif was_empty and not entry.request.forwarded:
            self._push_direct(team)

    def discard(self, entry):
        """Remove a queued entry."""
        team = entry.team
        queue = team.forwarded if entry.request.forwarded else team.direct
        del queue[entry.request.key]
        self.count -= 1
        self.direct_count -= not entry.request.forwarded
        self._account(team, entry, -1)
        if not team.units:
            self.active_weight -= team.weight
            if team.finish_tag <= self.virtual_time and not team.dispatched:
                del self._teams[team.name]
            else:
                self._idle[team.name] = None

    def head(self, direct_only):
        """Return the entry to serve next, or None.

        Parameters
        ----------
        direct_only : bool
            Whether to leave out requests that were forwarded to this
            gateway.
        """
        heap = self._heaps[direct_only]
        while heap:
            tag, _, _, team = heap[0]
            if team.start_tag == tag and team.has_requests(direct_only):
                if direct_only:
                    return next(iter(team.direct.values()))
                return _oldest(team)
            heapq.heappop(heap)
        return None

    def newest(self, team):
        """Return the entry of a team that was queued last."""
        return _newest(team)

    def serve(self, entry):
        """Remove an entry and charge its estimated cost to its team."""
        team = entry.team
        self.virtual_time = max(self.virtual_time, team.start_tag)
        team.finish_tag = (
            team.start_tag + entry.cost_us * TAG_SCALE // team.weight
        )
        team.dispatched += 1
        self.discard(entry)
        self._update_start_tag(team)

    def correct_charge(self, entry, actual_us):
        """Replace the charged estimate by the actual slot time.

        At most `DEBT_LIMIT_SLOT_S` remains charged ahead of virtual time.
        """
        team = entry.team
        team.dispatched -= 1
        delta = (actual_us - entry.cost_us) * TAG_SCALE // team.weight
        limit = (
            self.virtual_time
            + DEBT_LIMIT_SLOT_S * 1_000_000 * TAG_SCALE // team.weight
        )
        team.finish_tag = min(limit, team.finish_tag + delta)
        self._update_start_tag(team)

    def _update_start_tag(self, team):
        if team.units:
            team.start_tag = max(self.virtual_time, team.finish_tag)
            self._push(team)

    def _account(self, team, entry, sign):
        team.units += sign * entry.units
        team.cost_us += sign * entry.cost_us
        self.units += sign * entry.units
        self.cost_us += sign * entry.cost_us
        self._sizes.set(team.name, -(-team.units // team.weight))

    def _push(self, team):
        self._sequence += 1
        heapq.heappush(
            self._heaps[0], (team.start_tag, team.name, self._sequence, team)
        )
        self._compact(0)
        if team.direct:
            self._push_direct(team)

    def _push_direct(self, team):
        self._sequence += 1
        heapq.heappush(
            self._heaps[1], (team.start_tag, team.name, self._sequence, team)
        )
        self._compact(1)

    def _compact(self, index):
        # Heap items with old start tags stay until they are popped.  The
        # heap is rebuilt when most items are outdated, which bounds it at
        # constant amortised cost.
        heap = self._heaps[index]
        if len(heap) > 64 + 4 * len(self._teams):
            teams = [
                t for t in self._teams.values() if t.has_requests(bool(index))
            ]
            heap[:] = [
                (t.start_tag, t.name, n, t) for n, t in enumerate(teams)
            ]
            heapq.heapify(heap)
