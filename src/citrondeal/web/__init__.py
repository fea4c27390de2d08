"""ASGI application and server on uvicorn, and a small HTTP/1.1 client."""

from citrondeal.web import _app
from citrondeal.web import _client
from citrondeal.web import _server

__all__ = [
    "App",
    "Client",
    "Reply",
    "Request",
    "Response",
    "failure_response",
    "json_response",
    "run_server",
]

App = _app.App
Client = _client.Client
Reply = _client.Reply
Request = _app.Request
Response = _app.Response
failure_response = _app.failure_response
json_response = _app.json_response
run_server = _server.run_server
