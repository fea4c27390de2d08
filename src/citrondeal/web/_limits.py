"""Limits of a server: decisions about connections and bodies, without I/O.

Times are in seconds on any clock that does not go back.
"""

import collections
import dataclasses
import enum

# A client that sends its body, or reads its response, at this rate is served
# however long that takes: 32 kbit/s, less than any mobile network in use.
MIN_BYTES_PER_S = 4096
# Allowance before the rate counts: two retransmissions of a lost packet.
BODY_GRACE_S = 5.0
WRITE_GRACE_S = 5.0
# A connection that the server ends still reads for this long, because a
# client that is reset while it sends may not see its response.
CLOSING_S = 1.0
# A request that is complete within this time is not disturbed while there
# are older ones to close: a round trip between two regions takes 0.02 s.
STALLED_AFTER_S = 0.5
# Each connection may hold this much of the budget, however short it is: a
# usual job takes 1 to 5 KB, and its decoded form about as much.
SMALL_BYTES = 16 * 1024


class Phase(enum.Enum):
    """What a connection waits for."""

    OPENED = "opened"  # the first byte of its first request
    HEADERS = "headers"
    BODY = "body"
    HANDLING = "handling"  # the server
    WRITING = "writing"  # the client, to read its response
    IDLE = "idle"  # the next request
    CLOSING = "closing"


class Refusal(enum.StrEnum):
    """Reason for which a request is refused or a connection is closed."""

    CONNECTIONS = "connections"
    CLIENT_CONNECTIONS = "client-connections"
    STALLED = "closed-for-others"
    REQUESTS = "requests"
    HEADER_BYTES = "header-bytes"
    HEADER_TIMEOUT = "header-timeout"
    BODY_TIMEOUT = "body-timeout"
    BODY_BUDGET = "body-budget"
    BODY_LIMIT = "body-limit"
    DECODED_BUDGET = "decoded-budget"
    WRITE_TIMEOUT = "write-timeout"
    PIPELINED = "pipelined"
    MALFORMED = "malformed"


# Phases in which a connection waits for its client in the middle of a request
# or before the first one.
_STALLED_PHASES = frozenset(
    (Phase.OPENED, Phase.HEADERS, Phase.BODY, Phase.WRITING, Phase.CLOSING)
)


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of one server.

    Attributes
    ----------
    connections : int
        Open connections.
    client_connections : int
        Open connections of one client address.
    header_bytes : int
        Size of the request line and the headers.
    header_timeout_s : float
        Time for the headers, from the first byte or, for the first request,
        from the opening of the connection.
    idle_timeout_s : float
        Time between two requests of a connection.
    """

    connections: int
    client_connections: int
    header_bytes: int = 16_384
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(slots=True, eq=False)
class Connection:
    """State of one connection.

    Attributes
    ----------
    client : str
        Address of the client.
    phase : Phase
    since : float
        Start of the phase.
    waiting_since : float
        Start of the request, if the connection waits for its client.
    received : int
        Bytes of the present body.
    unread : int
        Bytes of the response that waited when the client stopped reading.
    reserved : int
        Bytes of the budget that the present request holds.
    close : callable
        ``close(refusal)`` ends the connection.
    """

    client: str
    phase: Phase
    since: float
    waiting_since: float
    received: int = 0
    unread: int = 0
    reserved: int = 0
    close: object = None


class _Waiting:
    """Connections that wait for their clients, those of a group in order."""

    __slots__ = ("count", "idle", "stalled")

    def __init__(self):
        self.count = 0  # all connections, also those that do not wait
        self.idle = collections.OrderedDict()
        self.stalled = collections.OrderedDict()

    def find_victim(self, now):
        """Return the connection to close for another one, or None.

        Requests that take long come first, then connections between two
        requests, then requests that have begun just now.
        """
        stalled = next(iter(self.stalled), None)
        if (
            stalled is not None
            and now - stalled.waiting_since >= STALLED_AFTER_S
        ):
            return stalled
        return next(iter(self.idle), None) or stalled


class ConnectionTable:
    """The open connections of one server.

    When there are too many, the one that has waited longest for its client
    is closed for the new one. So a client that sends whole requests is served
    beside any number of others that do not.

    Parameters
    ----------
    limits : Limits
        May be replaced at any time.
    """

    def __init__(self, limits):
        self.limits = limits
        self._all = {}
        self._waiting = _Waiting()
        self._clients = {}

    def __len__(self):
        return len(self._all)

    def open(self, client, now):
        """Add a connection.

        Returns
        -------
        connection : Connection or None
            None if it is refused, since all others are being served.
        victim : Connection or None
            Connection that has to be closed and removed for it.
        refusal : Refusal or None
            Why there is a victim or no connection.
        """
        of_client = self._clients.get(client)
        victim = refusal = None
        if of_client and of_client.count >= self.limits.client_connections:
            refusal = Refusal.CLIENT_CONNECTIONS
            victim = of_client.find_victim(now)
        elif len(self._all) >= self.limits.connections:
            refusal = Refusal.CONNECTIONS
            victim = self._waiting.find_victim(now)
        if refusal is not None and victim is None:
            return None, None, refusal
        if of_client is None:
            of_client = self._clients[client] = _Waiting()
        connection = Connection(client, Phase.OPENED, now, now)
        self._all[connection] = None
        of_client.count += 1
        self._waiting.stalled[connection] = None
        of_client.stalled[connection] = None
        return connection, victim, refusal

    def remove(self, connection):
        """Remove a connection, if it has not been removed already."""
        if connection not in self._all:
            return
        del self._all[connection]
        of_client = self._clients[connection.client]
        for waiting in (self._waiting, of_client):
            waiting.stalled.pop(connection, None)
            waiting.idle.pop(connection, None)
        of_client.count -= 1
        if not of_client.count:
            del self._clients[connection.client]

    def change(self, connection, phase, now):
        """Record the phase of a connection."""
        earlier = connection.phase
        if phase is earlier or connection not in self._all:
            return
        connection.phase = phase
        if (earlier, phase) != (Phase.OPENED, Phase.HEADERS):
            # The time for the first headers begins with the connection.
            connection.since = now
        was_stalled = earlier in _STALLED_PHASES
        is_stalled = phase in _STALLED_PHASES
        if was_stalled and is_stalled:
            return  # the request has its place by its start
        for waiting in (self._waiting, self._clients[connection.client]):
            if was_stalled:
                del waiting.stalled[connection]
            elif earlier is Phase.IDLE:
                del waiting.idle[connection]
            if is_stalled:
                waiting.stalled[connection] = None
            elif phase is Phase.IDLE:
                waiting.idle[connection] = None
        connection.waiting_since = now

    def expired(self, now):
        """Return the connections to end, each with a `Refusal` or None.

        None stands for an idle connection, of which no request is refused.
        """
        found = []
        for connection in self._all:
            limit_s = self._limit_s(connection)
            if now - connection.since > limit_s:
                found.append((connection, _EXPIRED[connection.phase]))
        return found

    def _limit_s(self, connection):
        phase = connection.phase
        if phase is Phase.HANDLING:
            return float("inf")
        if phase is Phase.IDLE:
            return self.limits.idle_timeout_s
        if phase is Phase.BODY:
            return BODY_GRACE_S + connection.received / MIN_BYTES_PER_S
        if phase is Phase.WRITING:
            return WRITE_GRACE_S + connection.unread / MIN_BYTES_PER_S
        if phase is Phase.CLOSING:
            return CLOSING_S
        return self.limits.header_timeout_s


_EXPIRED = {
    Phase.OPENED: None,
    Phase.HEADERS: Refusal.HEADER_TIMEOUT,
    Phase.BODY: Refusal.BODY_TIMEOUT,
    Phase.HANDLING: None,
    Phase.WRITING: Refusal.WRITE_TIMEOUT,
    Phase.IDLE: None,
    Phase.CLOSING: None,
}


class Budget:
    """Memory of a process for the bodies of requests and what comes of them.

    Each of `connections` may hold `SMALL_BYTES`; larger requests share the
    rest. If that is used up, the oldest large body that is still incomplete
    after `STALLED_AFTER_S` is given up for a new one.

    Parameters
    ----------
    limit : int
        Bytes in all.
    connections : int
        Number of connections that may hold a part.
    """

    def __init__(self, limit, connections):
        self._large_limit = max(0, limit - connections * SMALL_BYTES)
        self._large = collections.OrderedDict()
        self._large_used = 0

    @property
    def large_used(self):
        """Bytes that requests hold beyond `SMALL_BYTES` each."""
        return self._large_used

    @staticmethod
    def reserve_small(connection, size):
        """Reserve bytes if the connection then holds few; tell whether."""
        wanted = connection.reserved + size
        if wanted > SMALL_BYTES:
            return False
        connection.reserved = wanted
        return True

    def reserve(self, connection, size, now):
        """Reserve more bytes for the present request of a connection.

        Returns
        -------
        granted : bool
        victims : list of Connection
            Connections whose parts have been released for it; they have to
            be closed.
        """
        if self.reserve_small(connection, size):
            return True, []
        wanted = connection.reserved + size
        extra = wanted - SMALL_BYTES
        held = self._large.get(connection, 0)
        victims = []
        missing = self._large_used - held + extra - self._large_limit
        if missing > 0:
            victims = self._find_victims(connection, missing, now)
            if victims is None:
                return False, []
        for victim in victims:
            self.release(victim)
        connection.reserved = wanted
        self._large[connection] = extra
        self._large_used += extra - held
        return True, victims

    def _find_victims(self, connection, missing, now):
        found = []
        for other, size in self._large.items():
            if (
                other is not connection
                and other.phase is Phase.BODY
                and now - other.since >= STALLED_AFTER_S
            ):
                found.append(other)
                missing -= size
                if missing <= 0:
                    return found
        return None

    def release(self, connection):
        """Release what a connection holds."""
        connection.reserved = 0
        self._large_used -= self._large.pop(connection, 0)
