"""Costs of kinds of work, estimated from measured service times."""

import math
from bisect import bisect_left, insort
from collections import deque

# Weight of a new sample in the exponentially weighted moving averages.
ALPHA = 0.05
DEFAULT_COST_S = 0.05
MEDIAN_WINDOW = 127
RESIDUAL_WINDOW = 255
MIN_TAIL_SAMPLES = 20
# With fewer samples, a run soon exceeds all of them.
MIN_SURVIVAL_SAMPLES = 4
# Bounds the effect of one slow run on the cost of its kind of work.
MAX_LOG_DEVIATION = math.log(8)
LONG_MEDIANS = 4.0


class RecentTimes:
    """The latest service times in seconds, in ascending order in `sorted`."""

    __slots__ = ("_by_age", "_size", "sorted")

    def __init__(self, size):
        self.sorted = []
        self._by_age = deque()
        self._size = size

    def add(self, seconds):
        """Add one time, and drop the oldest if there are more than `size`."""
        self._by_age.append(seconds)
        insort(self.sorted, seconds)
        if len(self._by_age) > self._size:
            oldest = self._by_age.popleft()
            del self.sorted[bisect_left(self.sorted, oldest)]

    def survival(self, elapsed_s):
        """Return the share of the times that is longer, or None if there are too few.

        It is never 0, as a sample of 20 does not show what happens once in 100 runs.
        """
        if len(self.sorted) < MIN_SURVIVAL_SAMPLES:
            return None
        longer = len(self.sorted) - bisect_left(self.sorted, elapsed_s)
        return (longer + 0.5) / (len(self.sorted) + 1)


class CostEstimate:
    """Exponentially weighted mean and variance of the logarithm of a service time."""

    __slots__ = ("_mean", "_recent", "_variance")

    def __init__(self, first_s):
        self._mean = math.log(first_s)
        self._variance = 0.0
        self._recent = RecentTimes(RESIDUAL_WINDOW)
        self._recent.add(first_s)

    def residual_s(self, elapsed_s):
        """Return the mean remaining time in seconds of a run of this age.

        A run that is older than all recent ones is assumed to take as long again, as
        very slow runs do.
        """
        times = self._recent.sorted
        longer = times[bisect_left(times, elapsed_s) :]
        if not longer:
            return elapsed_s
        return sum(longer) / len(longer) - elapsed_s

    def survival(self, elapsed_s):
        """Return `RecentTimes.survival` of the recent service times."""
        return self._recent.survival(elapsed_s)

    @property
    def p95_s(self):
        """Return the 95th percentile of the recent service times in seconds.

        With few samples, one slow run would be the whole tail, so the result is then at
        most 1.5 times the median.
        """
        times = self._recent.sorted
        if len(times) < MIN_TAIL_SAMPLES:
            return min(times[-1], 1.5 * self.median_s)
        return times[int(0.95 * len(times))]

    @property
    def median_s(self):
        """Return the median of the recent service times in seconds."""
        times = self._recent.sorted
        return times[len(times) // 2]

    def observe(self, seconds):
        """Add one service time in seconds."""
        self._recent.add(seconds)
        deviation = math.log(seconds) - self._mean
        deviation = max(-MAX_LOG_DEVIATION, min(MAX_LOG_DEVIATION, deviation))
        self._mean += ALPHA * deviation
        self._variance = (1 - ALPHA) * (self._variance + ALPHA * deviation**2)

    @property
    def mean_s(self):
        """Return the mean in seconds of the fitted log-normal distribution."""
        return math.exp(self._mean + self._variance / 2)


class CostModel:
    """Costs of the kinds of work of one service.

    Parameters
    ----------
    default_s : float
        Cost in seconds of a kind of work before any was measured.
    """

    def __init__(self, default_s=DEFAULT_COST_S):
        self._default_s = default_s
        self._estimates = {}
        self._recent = RecentTimes(MEDIAN_WINDOW)

    def cost(self, key):
        """Return the expected service time of a kind of work in seconds."""
        estimate = self._estimates.get(key)
        return self._default_s if estimate is None else estimate.mean_s

    def p95(self, key):
        """Return the 95th percentile of the service time in seconds."""
        estimate = self._estimates.get(key)
        return self._default_s if estimate is None else estimate.p95_s

    def kind_median(self, key):
        """Return the median service time of a kind of work in seconds."""
        estimate = self._estimates.get(key)
        return self._default_s if estimate is None else estimate.median_s

    def median(self):
        """Return the median of the recent service times in seconds, or None."""
        times = self._recent.sorted
        return times[len(times) // 2] if times else None

    def residual_s(self, key, elapsed_s):
        """Return the expected remaining time in seconds of a run of this age."""
        estimate = self._estimates.get(key)
        if estimate is None:
            return max(self._default_s - elapsed_s, elapsed_s)
        return estimate.residual_s(elapsed_s)

    def survival(self, key, elapsed_s):
        """Return the share of a kind of work's runs that takes longer, or None.

        A kind with too few samples is treated as an average one of the service.
        """
        estimate = self._estimates.get(key)
        share = None if estimate is None else estimate.survival(elapsed_s)
        return self._recent.survival(elapsed_s) if share is None else share

    def is_long(self, key):
        """Return True if the cost is above 4 times the median of the service."""
        median = self.median()
        return median is not None and self.cost(key) > LONG_MEDIANS * median

    def observe(self, key, seconds):
        """Add the measured service time of one run."""
        seconds = max(seconds, 1e-6)
        estimate = self._estimates.get(key)
        if estimate is None:
            self._estimates[key] = CostEstimate(seconds)
        else:
            estimate.observe(seconds)
        self._recent.add(seconds)
