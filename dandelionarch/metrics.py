"""Metrics by statsd; nothing is sent when no host is set."""

import statsd


class Metrics:
    """Counters, gauges and timings of one daemon.

    Parameters
    ----------
    host : str
        Address of the statsd server; empty to send nothing.
    port : int
    prefix : str
        First part of each metric's name.
    """

    def __init__(self, host="", port=8125, prefix="dandelion"):
        self._client = statsd.StatsClient(host, port, prefix) if host else None

    def incr(self, name, count=1):
        """Add to a counter."""
        if self._client is not None:
            self._client.incr(name, count)

    def gauge(self, name, value):
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(name, value)

    def timing(self, name, ms):
        """Record a duration in milliseconds."""
        if self._client is not None:
            self._client.timing(name, ms)
