"""Callers' HTTP application."""

from citrondeal.callers import _app
from citrondeal.callers import _ids

__all__ = ["CLASSES", "CallerRequest", "Reply", "build_app", "new_id"]

CLASSES = _app.CLASSES
CallerRequest = _app.CallerRequest
Reply = _app.Reply
build_app = _app.build_app
new_id = _ids.new_id
