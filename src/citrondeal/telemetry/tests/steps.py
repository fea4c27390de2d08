"""Steps for the traffic counters of the HTTP clients."""

import json
import socket
import threading

import anyio
from behave import then

from citrondeal.logservice import _http
from citrondeal import workers


class _CountingServer:
    """Sends the same response to every request and counts bytes both ways.

    Serves one connection, on a thread of its own.
    """

    def __init__(self, body):
        self._response = (
            b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
            b"content-length: %d\r\n\r\n%b" % (len(body), body)
        )
        self.received = 0
        self.sent = 0
        self._listener = socket.create_server(("127.0.0.1", 0))
        port = self._listener.getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        connection, _ = self._listener.accept()
        with connection:
            pending = b""
            while data := connection.recv(65536):
                self.received += len(data)
                pending += data
                if self._is_complete(pending):
                    pending = b""
                    self.sent += len(self._response)
                    connection.sendall(self._response)

    def _is_complete(self, data):
        head, separator, body = data.partition(b"\r\n\r\n")
        if not separator:
            return False
        length = 0
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                length = int(line.partition(b":")[2])
        return len(body) >= length

    def close(self):
        self._listener.close()


def _check_traffic(server, read_traffic, send_requests):
    try:
        anyio.run(send_requests)
    finally:
        server.close()
    assert server.received > 0
    assert tuple(read_traffic()) == (server.received, server.sent), (
        read_traffic(),
        server.received,
        server.sent,
    )


@then("telemetry exchanges with the platform are counted exactly")
def platform_traffic(context):
    server = _CountingServer(b"{}")
    http_client = _http.HttpClient(f"http://{server.address}", 1)

    async def send_requests():
        headers = [("if-none-match", "abc")]
        outcomes = [
            await http_client.request("GET", "/v1/vms", headers=headers),
            await http_client.request("POST", "/v1/streams/a/records", b"{}"),
        ]
        await http_client.aclose()
        assert all(outcome.is_ok() for outcome in outcomes), outcomes

    _check_traffic(server, lambda: http_client.traffic, send_requests)


@then("telemetry exchanges with a worker are counted exactly")
def worker_traffic(context):
    reply = {"boot_id": "1", "clock_s": 1.0, "tasks": []}
    server = _CountingServer(json.dumps(reply).encode())
    client = workers.Client(2.0)

    async def send_requests():
        for number in range(2):
            outcome = await client.sync(server.address, {"ack": ["t"]})
            assert outcome.is_ok(), outcome
        await client.aclose()

    _check_traffic(server, lambda: client.traffic, send_requests)
