"""Baseline of the measurements: ejection by each ingress alone."""

from dandelionarch.measure.options import OpenFilter

FIXED_COUNT = 5
FIXED_HOLD_S = 30.0


class FixedCount(OpenFilter):
    """Ejects an endpoint for 30 s after 5 consecutive failures.

    Refusals and deadlines count as failures, as for a proxy that only sees status
    codes.
    """

    def __init__(self):
        self.ejections = []
        self._failures = {}
        self._ejected_until_s = {}

    def allows(self, endpoint_id, now):
        """Return False while the endpoint is ejected."""
        return now >= self._ejected_until_s.get(endpoint_id, 0.0)

    def on_attempt_end(self, endpoint_id, reason, now):
        """Count consecutive failures."""
        count = 0 if reason is None else self._failures.get(endpoint_id, 0) + 1
        if count >= FIXED_COUNT:
            self._ejected_until_s[endpoint_id] = now + FIXED_HOLD_S
            self.ejections.append((now, endpoint_id))
            count = 0
        self._failures[endpoint_id] = count
