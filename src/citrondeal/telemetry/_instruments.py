"""OpenTelemetry instruments of one process, collected on request.

A periodic reader would start a thread, but each daemon runs a single event
loop on a single thread; ``/metrics`` therefore collects on demand.
"""

import math

from opentelemetry import metrics as api_metrics
from opentelemetry.sdk import metrics as sdk_metrics
from opentelemetry.sdk.metrics import export
from opentelemetry.sdk.metrics import view


class Instruments:
    """OpenTelemetry instruments behind `citrondeal.telemetry.Metrics`.

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
        """Add to a counter; see `Metrics.count`."""
        counter = self._instruments.get(name)
        if counter is None:
            counter = self._meter.create_counter(name, unit=unit)
            self._instruments[name] = counter
        counter.add(amount, attributes)

    def record(self, name, value, unit="s", **attributes):
        """Record one value in a histogram; see `Metrics.record`."""
        histogram = self._instruments.get(name)
        if histogram is None:
            histogram = self._meter.create_histogram(name, unit=unit)
            self._instruments[name] = histogram
        histogram.record(value, attributes)

    def gauge(self, name, read, unit="1"):
        """Register a gauge; see `Metrics.gauge`."""

        def observe(options):
            value = read()
            # JSON has no number for a value that is not finite.
            if math.isfinite(value):
                yield api_metrics.Observation(value)

        self._instruments[name] = self._meter.create_observable_gauge(
            name, callbacks=[observe], unit=unit
        )

    def collect(self):
        """Return the current values; see `Metrics.collect`."""
        data = self._reader.get_metrics_data()
        if data is None:
            return '{"resource_metrics": []}'
        return data.to_json(indent=None)
