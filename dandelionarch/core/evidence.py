"""Evidence about one endpoint and kind of work, and the baseline it is held to."""

import math
from collections import deque
from dataclasses import dataclass
from statistics import median

# At 12.7 requests/s, the mean rate of a worker at the target, this holds 40 s.
MAX_RUNS = 512
KEPT_S = 60.0
MIN_SERVICE_S = 1e-4
# Service times that hardly vary must not make a few percent look like a failure.
MIN_SPREAD = 0.25
# Width of the middle half of a normal distribution, in standard deviations.
QUARTILE_WIDTH = 1.349


@dataclass(frozen=True, slots=True)
class Summary:
    """Evidence of one kind of work within a window.

    Attributes
    ----------
    count, failures, timed : int
        Runs, those that failed, and those whose service time is evidence.
    median_log, spread_log : float
        Median and robust standard deviation of the natural logarithm of the
        service time in seconds; 0 without a service time.
    """

    count: int = 0
    failures: int = 0
    timed: int = 0
    median_log: float = 0.0
    spread_log: float = 0.0

    @property
    def failure_share(self):
        """Return the share of failures, 0 without evidence."""
        return self.failures / self.count if self.count else 0.0


@dataclass(slots=True, eq=False)
class Run:
    """A run at the endpoint; without `warm` its service time is no evidence."""

    kind: str
    started: float
    warm: bool
    ended: float | None = None
    failed: bool = False
    recorded: float | None = None

    def log_s(self, now):
        """Return the logarithm of the service time up to now."""
        ended = now if self.ended is None else self.ended
        return math.log(max(ended - self.started, MIN_SERVICE_S))


class Evidence:
    """Recent runs of one kind of work at one endpoint.

    A run that is recorded before its end counts with its age: ages at different
    endpoints can be compared, while the limits at which they were recorded can't.
    """

    def __init__(self):
        self._runs = deque(maxlen=MAX_RUNS)

    def add(self, run, now):
        """Record a run."""
        run.recorded = now
        self._runs.append(run)
        while self._runs[0].recorded < now - KEPT_S:
            self._runs.popleft()

    def summary(self, since, now):
        """Return the `Summary` of what was recorded from `since` to `now`."""
        recent = [run for run in self._runs if run.recorded >= since]
        logs = sorted(run.log_s(now) for run in recent if not run.failed and run.warm)
        failures = sum(run.failed for run in recent)
        if not logs:
            return Summary(len(recent), failures)
        quarter = len(logs) // 4
        width = logs[-1 - quarter] - logs[quarter]
        return Summary(
            len(recent), failures, len(logs), median(logs), width / QUARTILE_WIDTH
        )


@dataclass(frozen=True, slots=True)
class Baseline:
    """What a healthy endpoint of the service shows for one kind of work."""

    median_log: float
    spread_log: float
    failure_share: float


def median_baseline(summaries):
    """Return the `Baseline` in the middle of several summaries, or None."""
    known = [s for s in summaries if s.timed]
    if not known:
        return None
    return Baseline(
        median(s.median_log for s in known),
        max(MIN_SPREAD, median(s.spread_log for s in known)),
        median(s.failure_share for s in summaries),
    )
