"""Numbers of runs, which rise over all starts of all owners."""

import logging

from citrondeal.workflow import _events

# An owner may use so many numbers, which are those of its epoch, before it has
# stored anything.
RUNS_PER_EPOCH = 100_000
# A larger number that is stored or reported is taken for an error. The rest up
# to 2^53, from where readers of JSON may round, is enough for any history.
MAX_KNOWN_NUMBER = 2**52


class RunNumbers:
    """Numbers of the runs that one owner starts.

    Numbers are used up to a limit at most, above which the next owner begins:
    the first number of the next epoch or, if that is too low, a limit that
    is stored before it is used.

    Parameters
    ----------
    epoch : int
    """

    def __init__(self, epoch):
        self._last = epoch * RUNS_PER_EPOCH
        self._limit = self._last + RUNS_PER_EPOCH
        self._taken_limit = None  # to be stored
        self._has_ignored = False

    @property
    def left(self):
        """How many numbers may be used before a higher limit is stored."""
        return max(0, self._limit - self._last)

    @property
    def limit_to_store(self):
        """Limit that `take_limit` has taken and is not stored yet, or None."""
        return self._taken_limit

    def take(self):
        """Return the next number; `left` must not be 0."""
        self._last += 1
        return self._last

    def skip(self, number):
        """Begin above a number that an earlier owner has, or may have, used.

        Parameters
        ----------
        number : int
            Stored, or reported by a worker.
        """
        if number <= MAX_KNOWN_NUMBER:
            self._last = max(self._last, number)
        elif not self._has_ignored:  # workers repeat their reports
            self._has_ignored = True
            _events.log(
                logging.WARNING, "run number is ignored", number=number
            )

    def take_limit(self):
        """Choose the limit to store next, if one will be needed soon."""
        if self.left <= RUNS_PER_EPOCH // 2:
            self._taken_limit = self._last + RUNS_PER_EPOCH

    def on_stored(self):
        """Record that the limit that was taken is stored."""
        if self._taken_limit is not None:
            self._limit = max(self._limit, self._taken_limit)
            self._taken_limit = None
