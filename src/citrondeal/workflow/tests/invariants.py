"""What no history of a simulation may break."""

# A task is given up after this many crashed runs, and starts at most so many
# times more if not all of its crashes could be seen in time.
MAX_CRASHES = 3
LATE_STARTS = 2


class InvariantViolation(AssertionError):
    """An invariant of the scheduler was violated."""
