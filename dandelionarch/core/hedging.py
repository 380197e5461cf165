"""Times until answers, and the delays of second attempts (hedging) that follow."""

import math

from dandelionarch.core.costs import RecentTimes

MEDIAN_FACTOR = 2.0
# Most second attempts before this delay would only double the work.
MIN_MEDIAN_FACTOR = 1.2
# Time in medians that a second attempt needs to end within the objective.
SECOND_ATTEMPT_MEDIANS = 1.25
# Share of the objective that is used as the delay while too few times are known.
FALLBACK_SHARE = 0.5
MIN_SAMPLES = 4
WINDOW_SAMPLES = 63
LIKELY_SHARE = 0.95
# The next time exceeds the longest of these in one case of twenty or fewer.
MIN_SAMPLES_OF_LONGEST = 20


class HedgeDelays:
    """Delays until a second attempt, estimated from the times until answers began.

    The delay leaves a second attempt enough time to end within the latency objective,
    the time within which an answer is worth most to its caller. All times are in
    seconds.
    """

    def __init__(self):
        self._recent = {}

    def observe(self, service, route, seconds):
        """Add the time from an attempt's dispatch to its answer."""
        key = (service, route)
        times = self._recent.get(key)
        if times is None:
            times = self._recent[key] = RecentTimes(WINDOW_SAMPLES)
        times.add(seconds)

    def delay_s(self, service, route, objective_s=math.inf):
        """Return the delay, or None if there is no objective and too few times."""
        times = self._recent.get((service, route))
        if times is None or len(times.sorted) < MIN_SAMPLES:
            return None if objective_s == math.inf else FALLBACK_SHARE * objective_s
        median_s = times.sorted[len(times.sorted) // 2]
        latest_s = objective_s - SECOND_ATTEMPT_MEDIANS * median_s
        delay_s = min(MEDIAN_FACTOR * median_s, latest_s)
        return max(MIN_MEDIAN_FACTOR * median_s, delay_s)

    def likely_s(self, service, route, objective_s=math.inf):
        """Return the time within which most answers begin.

        It is the latency objective while too few times are known.
        """
        times = self._recent.get((service, route))
        if times is None or len(times.sorted) < MIN_SAMPLES:
            return objective_s
        return times.sorted[int(LIKELY_SHARE * len(times.sorted))]

    def longest_s(self, service, route):
        """Return the longest of the recent times, inf while too few are known."""
        times = self._recent.get((service, route))
        if times is None or len(times.sorted) < MIN_SAMPLES_OF_LONGEST:
            return math.inf
        return times.sorted[-1]
