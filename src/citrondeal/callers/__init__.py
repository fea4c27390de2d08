"""HTTP application through which callers submit requests to services."""

from citrondeal.callers import _app
from citrondeal.callers import _ids

__all__ = [
    "REQUEST_CLASSES",
    "CallerRequest",
    "Reply",
    "build_app",
    "new_request_id",
]

REQUEST_CLASSES = _app.REQUEST_CLASSES
CallerRequest = _app.CallerRequest
Reply = _app.Reply
build_app = _app.build_app
new_request_id = _ids.new_request_id
