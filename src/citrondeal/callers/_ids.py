"""Request ids that contain their time of creation (UUIDv7, RFC 9562)."""

import secrets
import time
import uuid

_VERSION = 7
_VARIANT = 0b10


def new_request_id():
    """Return a new UUIDv7 in its text form."""
    milliseconds = time.time_ns() // 1_000_000
    value = (milliseconds & (2**48 - 1)) << 80
    value |= _VERSION << 76
    value |= secrets.randbits(12) << 64
    value |= _VARIANT << 62
    value |= secrets.randbits(62)
    return str(uuid.UUID(int=value))
