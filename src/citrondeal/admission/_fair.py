"""Queue of one class of one service: fair queueing between teams.

Start-time fair queueing: a team's start tag is the virtual time at which
its next request begins; the team with the lowest tag is served.  Costs are
slot microseconds divided by the weight of the team.  The estimate is
charged at dispatch and corrected by the actual time at the end, so a team
pays for its heavy tail although no one knows it in advance.
"""

import collections
import heapq

# Fixed-point factor of tags; makes the division by weights precise while
# tags stay integers, whose sums do not depend on the order of additions.
SCALE = 1024
# Distance in slot seconds that a team's tag may be ahead of virtual time.
# It bounds how long one extremely long request delays its team.
DEBT_LIMIT_S = 10
# Teams with state per class and service; further teams share one flow.
TEAM_LIMIT = 1024
OVERFLOW = "\0other"


class Largest:
    """Integer sizes by key; finds the key of the largest in O(1).

    Keys of equal size are in buckets in order of arrival.  The pointer to
    the top bucket falls by no more than it has risen before.
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
        """Return the first key of the largest size, or None."""
        return next(iter(self._buckets[self._top])) if self._top else None


class Team:
    """State of one team in one class of one service."""

    __slots__ = (
        "cost_us",
        "dispatched",
        "finish",
        "name",
        "own",
        "forwarded",
        "tag",
        "units",
        "weight",
    )

    def __init__(self, name, weight):
        self.name = name
        self.weight = weight
        self.dispatched = 0
        self.own = collections.OrderedDict()
        self.forwarded = collections.OrderedDict()
        self.tag = 0
        self.finish = 0
        self.units = 0
        self.cost_us = 0

    def has(self, own_only):
        """Return whether a request is queued."""
        return bool(self.own) or (not own_only and bool(self.forwarded))


class Entry:
    """One queued or dispatched request."""

    __slots__ = (
        "cost_us",
        "deadline",
        "order",
        "queue",
        "remote",
        "request",
        "started",
        "team",
        "units",
    )

    def __init__(self, request, queue, team, units, order):
        self.request = request
        self.queue = queue
        self.team = team
        self.units = units
        self.order = order
        self.cost_us = 0
        self.deadline = 0.0
        self.remote = False
        self.started = 0.0


def _oldest(team):
    if not team.forwarded:
        return next(iter(team.own.values()))
    first = next(iter(team.forwarded.values()))
    if team.own:
        other = next(iter(team.own.values()))
        if other.order < first.order:
            return other
    return first


def _newest(team):
    if not team.forwarded:
        return next(reversed(team.own.values()))
    last = next(reversed(team.forwarded.values()))
    if team.own:
        other = next(reversed(team.own.values()))
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
        self.own_count = 0
        self.units = 0
        self.cost_us = 0
        self.active_weight = 0
        self.virtual = 0
        self._teams = {}
        self._idle = collections.OrderedDict()
        self._orders = 0
        # All teams with requests; teams with requests that may be forwarded.
        self._heaps = ([], [])
        self._sizes = Largest()

    def team(self, name):
        """Return the state of a team, created on first use."""
        team = self._teams.get(name)
        if team is not None:
            return team
        if len(self._teams) >= TEAM_LIMIT:
            if self._idle:
                old, _ = self._idle.popitem(last=False)
                del self._teams[old]
            elif name != OVERFLOW:
                return self.team(OVERFLOW)
        team = Team(name, self.weights.get(name, 1))
        self._teams[name] = team
        self._idle[name] = None
        return team

    def heaviest(self):
        """Return the team with most queue room by weight, or None."""
        name = self._sizes.largest()
        return None if name is None else self._teams[name]

    def backlog_us(self, name):
        """Slot microseconds ahead of a new request of a team.

        Fair queueing serves other teams only in proportion to their
        weights while this team's own requests are served.
        """
        team = self._teams.get(name)
        if team is None or not team.units:
            own, active = 0, self.active_weight + self.weights.get(name, 1)
        else:
            own, active = team.cost_us, self.active_weight
        weight = self.weights.get(name, 1) if team is None else team.weight
        return min(self.cost_us, own * active // weight)

    def add(self, entry, front=False):
        """Queue an entry."""
        team = entry.team
        queue = team.forwarded if entry.request.forwarded else team.own
        fresh = not queue
        was_idle = not team.units
        queue[entry.request.key] = entry
        if front:
            queue.move_to_end(entry.request.key, last=False)
        self.count += 1
        self.own_count += not entry.request.forwarded
        self._account(team, entry, 1)
        if was_idle:
            self._teams[team.name] = team
            self._idle.pop(team.name, None)
            team.tag = max(self.virtual, team.finish)
            self.active_weight += team.weight
            self._push(team)
        elif fresh and not entry.request.forwarded:
            self._push_own(team)

    def discard(self, entry):
        """Remove a queued entry."""
        team = entry.team
        queue = team.forwarded if entry.request.forwarded else team.own
        del queue[entry.request.key]
        self.count -= 1
        self.own_count -= not entry.request.forwarded
        self._account(team, entry, -1)
        if not team.units:
            self.active_weight -= team.weight
            if team.finish <= self.virtual and not team.dispatched:
                del self._teams[team.name]
            else:
                self._idle[team.name] = None

    def head(self, own_only):
        """Return the entry to serve next, or None.

        Parameters
        ----------
        own_only : bool
            Whether requests that were forwarded to this gateway are left
            out.
        """
        heap = self._heaps[own_only]
        while heap:
            tag, _, _, team = heap[0]
            if team.tag == tag and team.has(own_only):
                if own_only:
                    return next(iter(team.own.values()))
                return _oldest(team)
            heapq.heappop(heap)
        return None

    def newest(self, team):
        """Return the entry of a team that was queued last."""
        return _newest(team)

    def serve(self, entry):
        """Remove an entry and charge its estimated cost to its team."""
        team = entry.team
        self.virtual = max(self.virtual, team.tag)
        team.finish = team.tag + entry.cost_us * SCALE // team.weight
        team.dispatched += 1
        self.discard(entry)
        self._retag(team)

    def correct(self, entry, actual_us):
        """Replace the charged estimate by the actual slot time."""
        team = entry.team
        team.dispatched -= 1
        delta = (actual_us - entry.cost_us) * SCALE // team.weight
        limit = self.virtual + DEBT_LIMIT_S * 1_000_000 * SCALE // team.weight
        team.finish = min(limit, team.finish + delta)
        self._retag(team)

    def _retag(self, team):
        if team.units:
            team.tag = max(self.virtual, team.finish)
            self._push(team)

    def _account(self, team, entry, sign):
        team.units += sign * entry.units
        team.cost_us += sign * entry.cost_us
        self.units += sign * entry.units
        self.cost_us += sign * entry.cost_us
        self._sizes.set(team.name, -(-team.units // team.weight))

    def _push(self, team):
        self._orders += 1
        heapq.heappush(
            self._heaps[0], (team.tag, team.name, self._orders, team)
        )
        self._compact(0)
        if team.own:
            self._push_own(team)

    def _push_own(self, team):
        self._orders += 1
        heapq.heappush(
            self._heaps[1], (team.tag, team.name, self._orders, team)
        )
        self._compact(1)

    def _compact(self, index):
        # Outdated items are dropped once they outnumber the teams, which
        # bounds the heap at constant amortised cost.
        heap = self._heaps[index]
        if len(heap) > 64 + 4 * len(self._teams):
            teams = [t for t in self._teams.values() if t.has(bool(index))]
            heap[:] = [(t.tag, t.name, n, t) for n, t in enumerate(teams)]
            heapq.heapify(heap)
