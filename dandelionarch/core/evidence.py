"""Evidence about one endpoint and kind of work, and baselines to compare it with."""

import math
from collections import deque
from dataclasses import dataclass
from statistics import median

# The runs of 40 s at 12.7 requests/s, the mean rate of a worker at the target load.
MAX_RUNS = 512
RETENTION_S = 60.0
MIN_SERVICE_S = 1e-4
# With less spread, a difference of a few percent would look like a failure.
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
    """A run at the endpoint; without `warm` its service time is no evidence.

    `cut_short` is True if the run was ended from outside, and `counted` once the tests
    include it.
    """

    kind: str
    started: float
    warm: bool
    ended: float | None = None
    failed: bool = False
    cut_short: bool = False
    counted: bool = False

    def log_s(self, now):
        """Return the natural logarithm of the service time (s) up to now."""
        ended = now if self.ended is None else self.ended
        return math.log(max(ended - self.started, MIN_SERVICE_S))


class Evidence:
    """Recent and current runs of one kind of work at one endpoint."""

    def __init__(self):
        self._ended = deque(maxlen=MAX_RUNS)
        self._current = {}

    def start(self, run):
        """Add a run that has started."""
        self._current[run] = True

    def end(self, run, now):
        """Move a run to those that have ended, and drop runs that are too old."""
        self._current.pop(run, None)
        self._ended.append(run)
        while self._ended[0].ended < now - RETENTION_S:
            self._ended.popleft()

    def drop(self, run):
        """Remove a run that is no evidence."""
        self._current.pop(run, None)

    def summary(self, since, now, cap_log=math.inf):
        """Return the `Summary` of the runs that ended since an instant.

        Runs in progress and runs that were cut short count with their age if it reaches
        the cap. All peers use the cap of the endpoint that asks, as ages above
        different caps can't be compared.
        """
        runs = [run for run in self._ended if run.ended >= since]
        runs = [r for r in runs if not r.cut_short or r.log_s(now) >= cap_log]
        runs += [r for r in self._current if r.log_s(now) >= cap_log]
        logs = sorted(run.log_s(now) for run in runs if not run.failed and run.warm)
        failures = sum(run.failed for run in runs)
        if not logs:
            return Summary(len(runs), failures)
        quarter = len(logs) // 4
        width = logs[-1 - quarter] - logs[quarter]
        return Summary(
            len(runs), failures, len(logs), median(logs), width / QUARTILE_WIDTH
        )


@dataclass(frozen=True, slots=True)
class Baseline:
    """Evidence that a healthy endpoint of the service shows for one kind of work."""

    median_log: float
    spread_log: float
    failure_share: float

    def raise_to_medians(self, peers):
        """Return the baseline raised to the peers' medians where these are worse.

        The spread is kept, as a short window has too few runs to estimate it.
        """
        logs = [p.median_log for p in peers if p.timed]
        share = median(p.failure_share for p in peers)
        return Baseline(
            max(self.median_log, median(logs)) if logs else self.median_log,
            self.spread_log,
            max(self.failure_share, share),
        )


def median_baseline(summaries):
    """Return the `Baseline` of the medians of several summaries, or None."""
    timed = [s for s in summaries if s.timed]
    if not timed:
        return None
    return Baseline(
        median(s.median_log for s in timed),
        max(MIN_SPREAD, median(s.spread_log for s in timed)),
        median(s.failure_share for s in summaries),
    )
