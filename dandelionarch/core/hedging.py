"""When an idempotent request counts as a straggler and gets a second attempt."""

import math

from dandelionarch.core.costs import RecentTimes

MEDIAN_FACTOR = 2.0
# Earlier than this most second attempts would only double the work.
MIN_MEDIAN_FACTOR = 1.2
# What a second attempt needs of the time that is left of the objective, in medians.
SECOND_ATTEMPT_MEDIANS = 1.25
# Of the objective, while too little is known of the usual time.
FALLBACK_SHARE = 0.5
MIN_SAMPLES = 4
WINDOW_SAMPLES = 63


class HedgeDelays:
    """Delays until a second attempt, learnt from the times until answers began.

    A second attempt that starts too late ends after the objective, the time within
    which an answer is worth most to its caller. All times are in seconds.
    """

    def __init__(self):
        self._recent = {}

    def observe(self, service, route, seconds):
        """Take note of the time from an attempt's dispatch to its answer."""
        key = (service, route)
        times = self._recent.get(key)
        if times is None:
            times = self._recent[key] = RecentTimes(WINDOW_SAMPLES)
        times.add(seconds)

    def delay_s(self, service, route, objective_s=math.inf):
        """Return the delay, or None while nothing tells how long to wait."""
        times = self._recent.get((service, route))
        if times is None or len(times.sorted) < MIN_SAMPLES:
            return None if objective_s == math.inf else FALLBACK_SHARE * objective_s
        median_s = times.sorted[len(times.sorted) // 2]
        latest_s = objective_s - SECOND_ATTEMPT_MEDIANS * median_s
        delay_s = min(MEDIAN_FACTOR * median_s, latest_s)
        return max(MIN_MEDIAN_FACTOR * median_s, delay_s)
