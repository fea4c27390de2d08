"""Small ASGI application shared by the HTTP borders, on uvicorn."""

from citrondeal.web import _app
from citrondeal.web import _server

__all__ = [
    "App",
    "Request",
    "Response",
    "failure_response",
    "json_response",
    "run_server",
]

App = _app.App
Request = _app.Request
Response = _app.Response
failure_response = _app.failure_response
json_response = _app.json_response
run_server = _server.run_server
