"""Failures with which requests are refused, and their `retry_after_s`."""

from citrondeal import errors

# Bounds of `retry_after_s`.  A shorter pause would not relieve the service; a
# longer one would keep callers away after the overload has ended.
RETRY_AFTER_MIN_S = 0.1
RETRY_AFTER_MAX_S = 30.0


def overloaded(retry_after_s):
    """Return the failure of a request that finds no room in the queue."""
    return errors.Failure(
        errors.Kind.OVERLOADED, "the queue is full", retry_after_s
    )


def deadline_on_arrival():
    """Return the failure of a request that arrives after its deadline."""
    return errors.Failure(errors.Kind.DEADLINE, "the deadline has passed")


def wait_too_long(excess_s):
    """Return the failure of a request that would wait beyond its deadline."""
    return errors.Failure(
        errors.Kind.DEADLINE,
        "the expected wait exceeds the remaining time",
        retry_after(excess_s),
    )


def unknown_service():
    """Return the failure of a request to a service without settings."""
    return errors.Failure(
        errors.Kind.UNKNOWN_SERVICE, "the service is not configured"
    )


def deadline_in_queue():
    """Return the failure of a request that waited beyond its deadline."""
    return errors.Failure(
        errors.Kind.DEADLINE, "the deadline passed in the queue"
    )


def evicted():
    """Return the failure of a request that gave way to another one."""
    return errors.Failure(
        errors.Kind.OVERLOADED,
        "evicted because its class or team exceeds its part of the queue",
        RETRY_AFTER_MIN_S,
    )


def retry_after(wait_s):
    """Return `retry_after_s` for an expected wait in seconds."""
    return max(RETRY_AFTER_MIN_S, min(RETRY_AFTER_MAX_S, wait_s))
