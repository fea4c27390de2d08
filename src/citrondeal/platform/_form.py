"""Bounds the memory that the decoding of a submission takes, beforehand."""

import re

from citrondeal import workflow

# Memory of a decoded step with its stored form, and of a field or an entry of
# `after`. Measured for whole jobs: 600 and 70 bytes.
OBJECT_BYTES = 800
ENTRY_BYTES = 80
# Fields of a step.
STEP_FIELDS = 14
# Unknown fields of a submission are ignored and may have some content, too.
SLACK = 4
MAX_OBJECTS = SLACK * workflow.MAX_STEPS
MAX_LISTS = SLACK * workflow.MAX_STEPS
MAX_ENTRIES = 2 * (
    workflow.MAX_STEPS * STEP_FIELDS + workflow.MAX_DEPENDENCIES
)
# Forms with more than this take over 0.3 ms to decode.
LARGE_OBJECTS = 50
LARGE_ENTRIES = 500

# The next part outside of strings, such as the specification, which may
# contain any of these bytes.
_NEXT_PART = re.compile(
    rb'(?:[^"{\[,]|"(?:[^"\\]|\\.)*+")*+([{\[,])', re.DOTALL
)


class FormError(ValueError):
    """A submission of so many parts that it cannot be a valid job."""


def is_large(body):
    """Return whether the decoding of a submission takes long."""
    objects, _, entries = _count(body)
    return objects > LARGE_OBJECTS or entries > LARGE_ENTRIES


def measure(body):
    """Return the bytes that a submission takes at most once it is decoded.

    The parts are counted without decoding them. A body takes up to 70 times
    its size otherwise.

    Parameters
    ----------
    body : bytes

    Returns
    -------
    int
        Bytes beyond those of the body.

    Raises
    ------
    FormError
        If it has too many parts.
    """
    counts = _count(body)
    if _exceeds(*counts):
        counts = _count_outside_strings(body)
    objects, _, entries = counts
    return OBJECT_BYTES * objects + ENTRY_BYTES * entries + len(body)


def _count(body):
    return body.count(b"{"), body.count(b"["), body.count(b",")


def _exceeds(objects, lists, entries):
    return objects > MAX_OBJECTS or lists > MAX_LISTS or entries > MAX_ENTRIES


def _count_outside_strings(body):
    """Count one part at a time, so that this takes no memory.

    The decoder does not go beyond a string without an end either.
    """
    counts = dict.fromkeys((b"{", b"[", b","), 0)
    end = 0
    while match := _NEXT_PART.match(body, end):
        counts[match[1]] += 1
        end = match.end()
        if _exceeds(*counts.values()):
            raise FormError(
                f"submission has over {MAX_OBJECTS} objects, {MAX_LISTS}"
                f" lists or {MAX_ENTRIES} values"
            )
    return tuple(counts.values())
