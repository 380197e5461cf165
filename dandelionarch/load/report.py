"""Results of a load: latency histograms and counts by outcome."""

import json
from collections import Counter

from hdrh.histogram import HdrHistogram

MIN_LATENCY_US = 1
MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50, 90, 99, 99.9, 100)


class Report:
    """Latencies and outcomes of one load.

    `latency` is measured from the time at which a request was due, so that a server
    that slows the generator down can't hide its delays (coordinated omission).
    `service` is measured from the time at which the request was sent.

    Parameters
    ----------
    records : file or None
        Receives one JSON line per request.
    """

    def __init__(self, records=None):
        self.latency = {}
        self.service = _histogram()
        self.outcomes = Counter()
        self.statuses = Counter()
        self._records = records

    def add(self, due_s, sent_s, end_s, result):
        """Add a finished request; all times are in seconds from the same start."""
        outcome = result["outcome"]
        self.outcomes[outcome] += 1
        self.statuses[f"{outcome} {result['status']}"] += 1
        latency = self.latency.setdefault(outcome, _histogram())
        latency.record_value(_microseconds(end_s - due_s))
        self.service.record_value(_microseconds(end_s - sent_s))
        if self._records is not None:
            line = {"due_s": due_s, "latency_ms": (end_s - due_s) * 1000, **result}
            self._records.write(json.dumps(line) + "\n")

    def count_unsent(self, due_s):
        """Count a request that was not sent because too many were in flight."""
        self.outcomes["not-sent"] += 1
        if self._records is not None:
            line = {"due_s": due_s, "outcome": "not-sent"}
            self._records.write(json.dumps(line) + "\n")

    def to_dict(self):
        """Return the counts and the percentiles in ms."""
        return {
            "outcomes": dict(self.outcomes),
            "statuses": dict(self.statuses),
            "latency_ms": {
                outcome: _percentiles(histogram)
                for outcome, histogram in sorted(self.latency.items())
            },
            "service_ms": _percentiles(self.service),
        }

    def lines(self):
        """Yield the lines of a printed summary."""
        for outcome, count in sorted(self.outcomes.items()):
            yield f"{outcome:12} {count:8}"
        for outcome, histogram in sorted(self.latency.items()):
            percentiles = "  ".join(
                f"p{name} {value:.2f}"
                for name, value in _percentiles(histogram).items()
            )
            yield f"{outcome:12} latency ms  {percentiles}"


def _histogram():
    return HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


def _microseconds(seconds):
    return min(MAX_LATENCY_US, max(MIN_LATENCY_US, round(seconds * 1e6)))


def _percentiles(histogram):
    return {str(p): histogram.get_value_at_percentile(p) / 1000 for p in PERCENTILES}
