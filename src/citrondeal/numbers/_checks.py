"""Checks of numbers in values that were decoded from outside."""

import sys


def is_finite(value):
    """Return whether a value is a number that a float can hold.

    JSON has integers of any size, on which `math.isfinite` raises
    OverflowError. Booleans are no numbers here.
    """
    return (
        isinstance(value, int | float)
        and not isinstance(value, bool)
        and -sys.float_info.max <= value <= sys.float_info.max
    )
