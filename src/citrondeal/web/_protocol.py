"""HTTP/1.1 protocol of uvicorn with limits for each connection."""

import os
import socket

import httptools
from uvicorn.protocols.http import httptools_impl

from citrondeal.web import _app
from citrondeal.web import _limits

# Read at a time from a connection; asyncio would read 262,144 bytes from each
# of all connections in one turn.
READ_BYTES = 16 * 1024
# Data that the kernel keeps for a connection in each direction. It counts as
# memory of the VM. Linux doubles the number for its own needs.
SOCKET_BUFFER_BYTES = 32 * 1024
# Connections that wait in the kernel, without a descriptor. A client whose
# connection finds no room there tries again after 1 s.
BACKLOG = 1024
# 100 short header lines take 20 KB as objects; clients send about ten.
MAX_HEADERS = 100
# Requests that wait behind another one; usual clients send none.
MAX_PIPELINED = 8
# Read after a response that came before the end of the body, so that the
# connection can be used again.
MAX_DROPPED_BYTES = 1024 * 1024

_Phase = _limits.Phase
_Refusal = _limits.Refusal

_STATUS = {
    _Refusal.HEADER_BYTES: b"431 Request Header Fields Too Large",
    _Refusal.HEADER_TIMEOUT: b"408 Request Timeout",
    _Refusal.BODY_TIMEOUT: b"408 Request Timeout",
    _Refusal.BODY_LIMIT: b"413 Content Too Large",
    _Refusal.MALFORMED: b"400 Bad Request",
}
_UNAVAILABLE = b"503 Service Unavailable"


class _RefusedError(Exception):
    """Ends the parsing of a connection."""


def configure_listeners(server):
    """Limit the kernel's buffers of the connections that a server accepts.

    Parameters
    ----------
    server : asyncio.Server
        Its listening sockets; connections inherit their options.
    """
    for listener in server.sockets:
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            listener.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
        # asyncio accepts as many connections in one turn as it lets wait in
        # the kernel; more may wait than are to be accepted at a time.
        with socket.socket(fileno=os.dup(listener.fileno())) as duplicate:
            duplicate.listen(BACKLOG)


class LimitedProtocol(httptools_impl.HttpToolsProtocol):
    """Connection of a client, under the limits of a `Guard`.

    Parameters
    ----------
    guard : Guard
    **options
        See ``uvicorn.protocols.http.httptools_impl.HttpToolsProtocol``.
    """

    def __init__(self, guard, **options):
        super().__init__(**options)
        self._guard = guard
        self._connection = None
        self._held = b""
        self._head_bytes = 0
        self._extra_bytes = 0
        self._work_s = 0.0
        self._in_head = False
        self._in_message = False
        self._body_seen = False
        self._ending = False  # after the present response
        self._closing = False
        self._refusal = None

    @property
    def connection(self):
        """The `Connection` in the table of the server; None if refused."""
        return self._connection

    def reserve(self, size, refusal=_Refusal.BODY_BUDGET):
        """Return whether the present request may hold `size` bytes more."""
        return self._guard.reserve(self._connection, size, refusal)

    def release(self):
        """Release what the present request holds."""
        self._guard.release(self._connection)

    # Connection

    def connection_made(self, transport):
        """Add the connection, or refuse it."""
        super().connection_made(transport)
        # Without a mark, the transport reports any data that it could not
        # send at once, so that a client that does not read is noticed.
        transport.set_write_buffer_limits(high=0)
        transport.max_size = READ_BYTES
        client = self.client[0] if self.client else ""
        now = self.loop.time()
        self._connection = self._guard.admit(client, self.end, now)
        if self._connection is None:
            self._closing = True
            transport.abort()

    def connection_lost(self, exc):
        """Remove the connection."""
        self._closing = True
        self._held = b""
        self.pipeline.clear()
        if self._connection is not None:
            self._guard.forget(self._connection)
        super().connection_lost(exc)

    def end(self, refusal):
        """End the connection, with a response if a request is incomplete.

        Parameters
        ----------
        refusal : Refusal or None
            None if the client is not to blame.
        """
        phase = self._connection.phase
        if (
            refusal is not None
            and not self._closing
            and phase in (_Phase.HEADERS, _Phase.BODY)
        ):
            self._refuse(refusal)
            if refusal is not _Refusal.STALLED:
                return
        # The descriptor is needed, or the client does not read.
        self._closing = True
        self.transport.abort()

    def refuse(self, refusal):
        """Answer the present request, which is incomplete, and close.

        The application learns that the client has disconnected.
        """
        if not self._closing:
            self._count_and_refuse(refusal)

    def _refuse(self, refusal):
        """Answer an incomplete request and close the connection.

        If a request is being handled, only those after it are dropped. They
        have not run.
        """
        handling = self._is_handling()
        self._held = b""
        self.pipeline.clear()
        if handling:
            self._ending = True
            return
        cycle = self.cycle
        if cycle is not None and not cycle.response_complete:
            # Its task ends, since it reads that the client has disconnected.
            cycle.disconnected = True
            cycle.message_event.set()
            if cycle.response_started:
                self._closing = True
                self.transport.abort()
                return
        elif self._in_message and not self._in_head:
            self._close_softly()  # it has its response already
            return
        self._answer(refusal)
        self._close_softly()

    def _answer(self, refusal):
        status = _STATUS.get(refusal, _UNAVAILABLE)
        retry = b"retry-after: 1\r\n" if status is _UNAVAILABLE else b""
        self.transport.write(
            b"HTTP/1.1 %s\r\n%scontent-length: 0\r\nconnection: close\r\n\r\n"
            % (status, retry)
        )

    def _close_softly(self):
        """Close the sending side, then drop what the client still sends.

        A client that is reset while it sends may not see its response.
        """
        self._closing = True
        if self.transport.is_closing():
            return
        self._change(_Phase.CLOSING)
        self.transport.resume_reading()
        try:
            self.transport.write_eof()
        except OSError:  # the client has reset the connection
            self.transport.abort()

    # Received data

    def data_received(self, data):
        """Parse data now, or in a later turn of the event loop."""
        if self._closing or self._ending:
            return
        if self._held:
            self._held += data
        elif self._guard.may_parse(self._work_s):
            self._parse(data)
        else:
            self._held = data
            self.transport.pause_reading()
            self._guard.put_off(self._parse_held, self._work_s)

    def _parse_held(self):
        data, self._held = self._held, b""
        if self._closing or self._ending or not data:
            return
        if not self.flow.read_paused:
            self.transport.resume_reading()
        self._parse(data)

    def _parse(self, data):
        started = self.loop.time()
        self._body_seen = False
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            pass  # the request is answered without the upgrade
        except httptools.HttpParserError:
            self._count_and_refuse(self._refusal or _Refusal.MALFORMED)
            return
        if self._in_message:
            self._check_overhead(len(data))
        took_s = self.loop.time() - started
        self._work_s += took_s
        self._guard.on_parsed(took_s)
        if not self._closing:
            self._update_phase()

    def _check_overhead(self, size):
        """Limit what the parser holds of incomplete headers and trailers."""
        if self._in_head:
            self._head_bytes += size
        elif not self._body_seen:
            self._extra_bytes += size
        else:
            self._extra_bytes = 0
        if max(self._head_bytes, self._extra_bytes) > (
            self._guard.header_bytes + READ_BYTES
        ):
            self._count_and_refuse(_Refusal.HEADER_BYTES)

    def _count_and_refuse(self, refusal):
        client = self._connection.client
        self._guard.count(refusal, client, self.loop.time())
        self._refuse(refusal)

    def _stop(self, refusal):
        self._refusal = refusal
        raise _RefusedError

    # Callbacks of the parser

    def on_message_begin(self):
        """Begin a request."""
        if len(self.pipeline) >= MAX_PIPELINED:
            self._stop(_Refusal.PIPELINED)
        self._in_head = self._in_message = True
        self._head_bytes = self._extra_bytes = 0
        self._work_s = 0.0
        super().on_message_begin()

    def on_header(self, name, value):
        """Keep a header, or a trailer after the body."""
        if len(self.headers) >= MAX_HEADERS:
            self._stop(_Refusal.HEADER_BYTES)
        super().on_header(name, value)

    def on_headers_complete(self):
        """Start the handling of a request."""
        self._in_head = False
        self._head_bytes = 0
        size = len(self.url)
        for name, value in self.headers:
            size += len(name) + len(value) + 4  # ": " and the line break
        if size > self._guard.header_bytes:
            # Only a request without a response can be answered here.
            self._in_head = True
            self._stop(_Refusal.HEADER_BYTES)
        if len(self.tasks) >= self._guard.table.limits.connections:
            # Requests of clients that have disconnected are counted, too.
            self._in_head = True
            self._stop(_Refusal.REQUESTS)
        self.scope["extensions"] = {_app.PROTOCOL_EXTENSION: self}
        self._connection.received = 0
        super().on_headers_complete()

    def on_body(self, body):
        """Keep a part of a body."""
        self._body_seen = True
        connection = self._connection
        connection.received += len(body)
        if (
            self.cycle.response_complete
            and connection.received > MAX_DROPPED_BYTES
        ):
            self._stop(_Refusal.BODY_LIMIT)
        super().on_body(body)

    def on_message_complete(self):
        """End a request."""
        self._in_message = False
        super().on_message_complete()

    # Phases

    def _is_handling(self):
        """Return whether a whole request is being handled."""
        cycle = self.cycle
        if cycle is None or cycle.response_complete:
            return False
        return bool(self.pipeline) or not cycle.more_body

    def _update_phase(self):
        cycle = self.cycle
        if self.flow.write_paused:
            return
        if cycle is None or cycle.response_complete:
            if self._in_head:
                self._change(_Phase.HEADERS)
            elif self._in_message:
                self._change(_Phase.BODY)
            elif cycle is not None:
                self._change(_Phase.IDLE)
        elif cycle.more_body and not self.pipeline:
            self._change(_Phase.BODY)
        else:
            self._change(_Phase.HANDLING)

    def _change(self, phase):
        connection = self._connection
        if connection.phase is not phase:
            self._guard.table.change(connection, phase, self.loop.time())

    def on_response_complete(self):
        """Start the next request, or wait for one.

        The keep-alive timer of uvicorn is not used; the sweep of the guard
        has the deadline at a lower cost.
        """
        self.server_state.total_requests += 1
        if self._closing or self.transport.is_closing():
            return
        self.flow.resume_reading()
        if self._ending:
            self._close_softly()
            return
        if self.pipeline:
            self._start_asgi_task(*self.pipeline.pop())
        self._update_phase()

    def pause_writing(self):
        """Wait until the client reads."""
        super().pause_writing()
        if self._connection is not None and not self._closing:
            size = self.transport.get_write_buffer_size()
            self._connection.unread = size
            self._change(_Phase.WRITING)

    def resume_writing(self):
        """Continue once the client has read."""
        super().resume_writing()
        if not self._closing:
            self._update_phase()
