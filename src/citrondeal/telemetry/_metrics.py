"""OpenTelemetry instruments of one process, collected on request.

A periodic reader would start a thread, but each daemon runs a single event
loop on a single thread; ``/metrics`` therefore collects on demand.
"""

from opentelemetry import metrics as api_metrics
from opentelemetry.sdk import metrics as sdk_metrics
from opentelemetry.sdk.metrics import export
from opentelemetry.sdk.metrics import view


class Metrics:
    """Counters, histograms and gauges of one process, by name.

    Parameters
    ----------
    process : str
        Name of the meter.
    """

    def __init__(self, process):
        self._reader = export.InMemoryMetricReader()
        provider = sdk_metrics.MeterProvider(
            metric_readers=[self._reader],
            shutdown_on_exit=False,
            views=[
                view.View(
                    instrument_type=sdk_metrics.Histogram,
                    aggregation=(view.ExponentialBucketHistogramAggregation()),
                )
            ],
        )
        self._meter = provider.get_meter(process)
        self._instruments = {}

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
        counter = self._instruments.get(name)
        if counter is None:
            counter = self._meter.create_counter(name, unit=unit)
            self._instruments[name] = counter
        counter.add(amount, attributes)

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
        histogram = self._instruments.get(name)
        if histogram is None:
            histogram = self._meter.create_histogram(name, unit=unit)
            self._instruments[name] = histogram
        histogram.record(value, attributes)

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

        def observe(options):
            yield api_metrics.Observation(read())

        self._instruments[name] = self._meter.create_observable_gauge(
            name, callbacks=[observe], unit=unit
        )

    def collect(self):
        """Return the current values of all instruments.

        Returns
        -------
        str
            JSON text in the data model of OpenTelemetry.
        """
        data = self._reader.get_metrics_data()
        if data is None:
            return '{"resource_metrics": []}'
        return data.to_json(indent=None)
