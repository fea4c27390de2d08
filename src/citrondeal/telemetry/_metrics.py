"""Metrics of one process; OpenTelemetry is imported once they are needed."""

# Measurements kept until OpenTelemetry is imported. They take about 0.4 MB,
# and a process that is not scraped imports it after as many.
MAX_PENDING = 1000


class Metrics:
    """Counters, histograms and gauges of one process, by name.

    The OpenTelemetry SDK is imported for the first collection, or after
    `MAX_PENDING` measurements, which then are passed on in their order. Its
    import takes over a tenth of the processor time of all imports.

    Parameters
    ----------
    process : str
        Name of the meter.
    """

    def __init__(self, process):
        self._process = process
        self._instruments = None
        self._pending = []  # method, arguments and attributes of each call

    def count(self, name, amount=1, unit="1", **attributes):
        """Add to a counter, which is created on first use.

        Parameters
        ----------
        name : str
            Name of the metric.
        amount : int or float, optional
            Increment, not negative.
        unit : str, optional
            Unit of the metric; takes effect on first use.
        **attributes
            Labels of the time series.
        """
        self._call("count", (name, amount, unit), attributes)

    def record(self, name, value, unit="s", **attributes):
        """Record one value in a histogram, which is created on first use.

        Parameters
        ----------
        name : str
            Name of the metric.
        value : int or float
            Value in `unit`, not negative.
        unit : str, optional
            Unit of the metric; takes effect on first use.
        **attributes
            Labels of the time series.
        """
        self._call("record", (name, value, unit), attributes)

    def gauge(self, name, read, unit="1"):
        """Register a gauge whose value is read at collection time.

        Parameters
        ----------
        name : str
            Name of the metric.
        read : callable
            Called without arguments; returns the current value.
        unit : str, optional
            Unit of the metric.
        """
        self._call("gauge", (name, read, unit), {})

    def collect(self):
        """Return the current values of all instruments.

        Returns
        -------
        str
            JSON text in the data model of OpenTelemetry.
        """
        return self._load().collect()

    def _call(self, method, arguments, attributes):
        if self._instruments is None and len(self._pending) < MAX_PENDING:
            self._pending.append((method, arguments, attributes))
            return
        getattr(self._load(), method)(*arguments, **attributes)

    def _load(self):
        if self._instruments is None:
            # The first answer of a daemon does not need OpenTelemetry.
            from citrondeal.telemetry import _instruments

            self._instruments = _instruments.Instruments(self._process)
            for method, arguments, attributes in self._pending:
                getattr(self._instruments, method)(*arguments, **attributes)
            self._pending = []
        return self._instruments
