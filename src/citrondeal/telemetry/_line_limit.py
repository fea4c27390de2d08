"""Bounds the number of log lines about events that clients can cause."""


class LineLimit:
    """Allows a number of lines of each kind in a period.

    Parameters
    ----------
    lines : int
        Lines of one kind in a period.
    period_s : float
    """

    def __init__(self, lines, period_s):
        self._lines = lines
        self._period_s = period_s
        self._periods = {}  # (start, events) by kind

    def add(self, kind, now):
        """Count an event.

        Returns
        -------
        int or None
            Events of this kind in the period before that had no line; None
            if this one is to have none.
        """
        start, count = self._periods.get(kind, (now, 0))
        omitted = 0
        if now - start >= self._period_s:
            omitted = max(0, count - self._lines)
            start, count = now, 0
        self._periods[kind] = (start, count + 1)
        return omitted if count < self._lines else None
