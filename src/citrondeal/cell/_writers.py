"""Choice of the members that append for others while the store is slow."""

import math

import xxhash

# Members asked in turn before a process appends by itself, or gives up.
MAX_WRITERS = 2
# A member whose calls to the store take up to this many times as long as
# those of the nearest one, and some milliseconds more, is near the store.
NEAR_FACTOR = 3.0
NEAR_MARGIN_MS = 5.0
# A writer that has failed is left out for a time that doubles with each
# further failure. The first is that of a short pause.
MIN_SKIP_S = 2.0
MAX_SKIP_S = 32.0
# One that has refused is left out until it can have read from the store again.
REFUSED_SKIP_S = 1.0

_HASH_BITS = 52  # exact in a float, so that the hash is never 0.0 or 1.0


def writer_order(topic, members):
    """Return the members in the order in which they write to a topic.

    All processes that know the same records of members get the same order:
    first those near the store, by weighted rendezvous hashing with the
    number of cores as weight (Schindelhauer and Schomaker, "Weighted
    distributed hash tables", 2005); then those far from it; then those of
    earlier versions, which do not know how far they are.

    Parameters
    ----------
    topic : str
    members : iterable of Member

    Returns
    -------
    list of Member
    """
    members = list(members)
    known = [m.store_ms for m in members if m.store_ms >= 0.0]
    near_ms = min(known, default=0.0) * NEAR_FACTOR + NEAR_MARGIN_MS

    def rank(member):
        tier = 0 if member.store_ms <= near_ms else 1
        if member.store_ms < 0.0:
            tier = 2
        return tier, -_score(topic, member), member.name

    return sorted(members, key=rank)


def _score(topic, member):
    text = f"{member.name}\0{topic}".encode("utf-8", "surrogatepass")
    value = xxhash.xxh3_64_intdigest(text) >> (64 - _HASH_BITS)
    return -member.cores / math.log((value + 0.5) / 2**_HASH_BITS)


class Writers:
    """The writers of all topics, as one process chooses them.

    Parameters
    ----------
    own : callable
        Returns the `Member` of this process, as it is stored.
    others : callable
        Returns the other members by name.
    """

    def __init__(self, own, others):
        self._own = own
        self._others = others
        self._failures = {}  # by name: count, and until when it is left out

    def ahead(self, topic, now):
        """Return the writers to use before this process appends by itself.

        Empty if this process is the first writer that is not left out, or
        if no member of this version is.
        """
        own = self._own()
        order = writer_order(topic, [own, *self._others().values()])
        chosen = []
        for member in order:
            if member.name == own.name or member.store_ms < 0.0:
                break
            if not self._is_skipped(member.name, now):
                chosen.append(member)
        return chosen[:MAX_WRITERS]

    def others(self, topic, now):
        """Return the members to use when this process cannot append."""
        order = writer_order(topic, self._others().values())
        usable = [m for m in order if not self._is_skipped(m.name, now)]
        return (usable or order)[:MAX_WRITERS]

    def on_refused(self, name, now):
        """Leave a writer out that has answered that it does not append."""
        self._failures[name] = (0, now + REFUSED_SKIP_S)

    def on_failed(self, name, now):
        """Leave a writer out that does not answer."""
        count, _ = self._failures.get(name, (0, 0.0))
        skip_s = min(MIN_SKIP_S * 2.0**count, MAX_SKIP_S)
        self._failures[name] = (min(count + 1, 16), now + skip_s)

    def on_answered(self, name):
        """Record that a writer has stored records."""
        self._failures.pop(name, None)

    def _is_skipped(self, name, now):
        return name in self._failures and now < self._failures[name][1]
