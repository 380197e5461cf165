"""Metrics of one daemon, sent to statsd or exposed in the format of Prometheus."""

from abc import ABC, abstractmethod

import statsd
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

# From the time of a redirect between daemons to the longest time budgets.
LATENCY_BUCKETS_MS = (1, 3, 10, 30, 100, 200, 300, 500, 800, 1200, 2000, 4000, 8000)


class Metrics(ABC):
    """Counters, gauges and timings by name."""

    @abstractmethod
    def incr(self, name, count=1):
        """Add to a counter."""

    @abstractmethod
    def gauge(self, name, value):
        """Set a gauge."""

    @abstractmethod
    def timing(self, name, ms):
        """Record a duration in milliseconds."""


class NullMetrics(Metrics):
    """Discards all metrics."""

    def incr(self, name, count=1):
        pass

    def gauge(self, name, value):
        pass

    def timing(self, name, ms):
        pass


class StatsdMetrics(Metrics):
    """Sends metrics to a statsd server.

    Parameters
    ----------
    host : str
        Address of the statsd server.
    port : int
    prefix : str
        Prefix of every metric's name.
    """

    def __init__(self, host, port=8125, prefix="dandelion"):
        self._client = statsd.StatsClient(host, port, prefix)

    def incr(self, name, count=1):
        self._client.incr(name, count)

    def gauge(self, name, value):
        self._client.gauge(name, value)

    def timing(self, name, ms):
        self._client.timing(name, ms)


class PrometheusMetrics(Metrics):
    """Collects metrics and renders them in the text format of Prometheus."""

    content_type = CONTENT_TYPE_LATEST

    def __init__(self):
        self._registry = CollectorRegistry()
        labels = {"labelnames": ["name"], "registry": self._registry}
        self._counters = Counter("dandelion_events", "Events by name", **labels)
        self._gauges = Gauge("dandelion_level", "Present values by name", **labels)
        self._histograms = Histogram(
            "dandelion_duration_ms",
            "Durations in milliseconds by name",
            buckets=LATENCY_BUCKETS_MS,
            **labels,
        )

    def incr(self, name, count=1):
        self._counters.labels(name).inc(count)

    def gauge(self, name, value):
        self._gauges.labels(name).set(value)

    def timing(self, name, ms):
        self._histograms.labels(name).observe(ms)

    def render(self):
        """Return all metrics as the bytes of a page."""
        return generate_latest(self._registry)


def statsd_metrics(host, port, prefix):
    """Return metrics that are sent to statsd, or discarded if `host` is empty."""
    return StatsdMetrics(host, port, prefix) if host else NullMetrics()
