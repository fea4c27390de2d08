"""Promises that peers have given to this process."""

import math

from citrondeal.ownership import _actions


class PeerPromises:
    """Requests to peers and the promises that they have granted.

    Parameters
    ----------
    ttl_s : float
        Seconds for which a promise lasts from its request on.
    period_s : float
        Seconds between two rounds of requests.
    """

    def __init__(self, ttl_s, period_s):
        self._ttl_s = ttl_s
        self._period_s = period_s
        self._requested_at = None
        self._requests = {}  # (name, send time) -> (address, epochs)
        self._granted = {}  # (name, address) -> (send time, epochs)

    def is_request_due(self, now):
        """Return whether the last round is long enough ago."""
        return (
            self._requested_at is None
            or now - self._requested_at >= self._period_s
        )

    def request(self, peers, epochs, now):
        """Begin a round of requests.

        Parameters
        ----------
        peers : set of tuple
            Name and address of each process to ask.
        epochs : dict
            Epochs of the resources by name.
        now : float

        Returns
        -------
        list of RequestPromise
        """
        self._requested_at = now
        self._forget_before(now - self._ttl_s)
        actions = []
        for name, address in sorted(peers):
            # Requests to two processes of one name are told apart by their
            # send times.  An earlier time only shortens the promise.
            sent_at = now
            while (name, sent_at) in self._requests:
                sent_at = math.nextafter(sent_at, -math.inf)
            self._requests[name, sent_at] = (address, epochs)
            actions.append(
                _actions.RequestPromise(
                    name, address, epochs, self._ttl_s, sent_at
                )
            )
        return actions

    def take_request(self, name, sent_at):
        """Remove a request; return its address and epochs, or None."""
        return self._requests.pop((name, sent_at), None)

    def add(self, name, address, sent_at, epochs):
        """Add a promise, unless a newer one of the same process is known."""
        last = self._granted.get((name, address))
        if last is None or last[0] < sent_at:
            self._granted[name, address] = (sent_at, epochs)

    def lasts_until(self, resource, epoch, peers):
        """Return the time until which the promises of all `peers` last.

        It is minus infinity if one of them is missing.
        """
        end = float("inf")
        for peer in peers:
            sent_at, epochs = self._granted.get(peer, (0.0, {}))
            if epochs.get(resource) != epoch:
                return float("-inf")
            end = min(end, sent_at + self._ttl_s)
        return end

    def _forget_before(self, limit):
        self._requests = {
            k: v for k, v in self._requests.items() if k[1] > limit
        }
        self._granted = {
            k: v for k, v in self._granted.items() if v[0] > limit
        }
