"""ASGI application and server on uvicorn, and a small HTTP/1.1 client."""

from citrondeal.web import _app
from citrondeal.web import _client
from citrondeal.web import _connection
from citrondeal.web import _guard
from citrondeal.web import _limits
from citrondeal.web import _server

__all__ = [
    "App",
    "Budget",
    "CheckFailed",
    "Client",
    "ConnectionEnded",
    "ConnectionRejected",
    "ConnectionTable",
    "Guard",
    "Limits",
    "Refusal",
    "RefusalCounts",
    "Reply",
    "Request",
    "Response",
    "failure_response",
    "json_response",
    "run_server",
]

App = _app.App
Budget = _limits.Budget
CheckFailed = _client.CheckFailed
Client = _client.Client
ConnectionEnded = _client.ConnectionEnded
ConnectionRejected = _client.ConnectionRejected
ConnectionTable = _limits.ConnectionTable
Guard = _guard.Guard
Limits = _limits.Limits
Refusal = _limits.Refusal
RefusalCounts = _guard.RefusalCounts
Reply = _connection.Reply
Request = _app.Request
Response = _app.Response
failure_response = _app.failure_response
json_response = _app.json_response
run_server = _server.run_server
