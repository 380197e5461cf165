"""Ejection by each ingress alone, a baseline of the measurements."""

from dandelionarch.measure.options import OpenFilter

FIXED_COUNT = 5
FIXED_HOLD_S = 30.0


class FixedCount(OpenFilter):
    """Baseline: an ingress ejects for 30 s after 5 failures in a row.

    Refusals and deadlines count as failures, as they do for a proxy that sees
    only status codes.
    """

    def __init__(self):
        self.ejections = []
        self._failures = {}
        self._until = {}

    def keeps(self, endpoint_id, now):
        """Return False while the endpoint is ejected."""
        return now >= self._until.get(endpoint_id, 0.0)

    def ended(self, endpoint_id, reason, now):
        """Count failures in a row."""
        count = 0 if reason is None else self._failures.get(endpoint_id, 0) + 1
        if count >= FIXED_COUNT:
            self._until[endpoint_id] = now + FIXED_HOLD_S
            self.ejections.append((now, endpoint_id))
            count = 0
        self._failures[endpoint_id] = count
