"""Detection of an endpoint that has stopped answering, from the ages of its runs.

An endpoint that hangs breaks no connection, so a gate that waits for failures would
learn of it at the first deadlines, after seconds of lost work. The agent sees every
run: a run that is older than its kind of work usually takes is evidence of a hang, and
each answer to a later request is evidence against it.
"""

import math
from collections import deque
from dataclasses import dataclass

# Share of the requests that a hanging endpoint never answers.
UNANSWERED_SHARE = 0.85
# A run counts as old once at most this share of its kind takes longer. Younger runs are
# no evidence.
OLD_SURVIVAL_SHARE = 0.5
# A run of a suspect endpoint counts as hung once at most this share takes longer.
HUNG_SURVIVAL_SHARE = 0.1
# A trial of a closed gate has failed once it has taken this many medians of its kind; a
# trial that was cancelled because a second attempt was faster, after fewer.
OVERDUE_MEDIANS = 3.0
ABANDONED_MEDIANS = 2.0
# Shorter delays may come from the daemons themselves.
MIN_AGE_S = 0.1
# Callers' time budgets are about five times the time that the work takes.
OVERDUE_BUDGET_SHARE = 0.3
# Natural logarithms of likelihood ratios of a hang to a healthy endpoint. The runs are
# evaluated ten times a second; lower thresholds are reached by chance too often.
SUSPECT_NATS = 4.5
DOUBTFUL_NATS = 0.7
ANSWER_NATS = -math.log(1 - UNANSWERED_SHARE)
# The older an endpoint's last answer, the more likely it has begun to fail since. The
# risk is expressed as the wait at another endpoint that is as bad.
FRESH_ANSWER_S = 0.5
MAX_RISK_S = 2.0
# An endpoint without requests gives no answers, so requests are redirected for at most
# this time. With the run before and the time until the next request, an endpoint is
# without a run for at most two seconds.
MAX_REDIRECTING_S = 1.0
# Runs that were cancelled, for example as a second attempt was faster, count this long.
ABANDONED_RETENTION_S = 5.0
# Number of answers remembered; more would not change the evidence.
MAX_ANSWERS = 16


@dataclass(slots=True, eq=False)
class _RunInProgress:
    """A run in progress: its kind of work, its start and its budget in seconds."""

    key: object
    started: float
    budget_s: float
    reported: bool = False


@dataclass(frozen=True, slots=True)
class _AbandonedRun:
    """A run that ended without an answer when it was old, as evidence of a hang."""

    started: float
    ended: float
    weight_nats: float


class StallDetector:
    """Estimate from the runs of one endpoint whether it hangs.

    Parameters
    ----------
    survival : callable
        `survival(key, age_s)` returns the share of the runs of a kind of work that
        takes longer than `age_s` seconds, or None while too few runs are known.
    """

    def __init__(self, survival):
        self._survival = survival
        self._running = {}
        self._abandoned = deque(maxlen=MAX_ANSWERS)
        self._answered_starts = deque(maxlen=MAX_ANSWERS)
        self._answered_at = -math.inf
        self._started_at = -math.inf
        self._redirected = False

    def on_run_started(self, run, key, now, budget_s=math.inf):
        """Record the start of a run.

        Parameters
        ----------
        run : object
            The run; hashable.
        key : hashable
            Kind of work.
        now : float
            Time in seconds.
        budget_s : float
            Time in seconds that the run has.
        """
        self._running[run] = _RunInProgress(key, now, budget_s)
        self._started_at = now
        self._redirected = False

    def on_run_ended(self, run, answered, now):
        """Record the end of a run, with or without an answer."""
        entry = self._running.pop(run, None)
        if entry is None:
            return
        if answered:
            self._answered_starts.append(entry.started)
            self._answered_at = now
        elif self._survival_share(entry, now) <= OLD_SURVIVAL_SHARE:
            weight_nats = self._weight_nats(entry, now)
            self._abandoned.append(_AbandonedRun(entry.started, now, weight_nats))

    def forget_abandoned(self):
        """Forget abandoned runs, as the endpoint has passed the trials of its gate."""
        self._abandoned.clear()

    def hang_evidence(self, now):
        """Return the log likelihood ratio of a hang in nats, 0 without old runs.

        A hang may begin while a slow run is in progress. The sum therefore starts with
        the newest of the old runs, and answers count only against runs that began
        before them.
        """
        best = total = 0.0
        weights = [
            (run.started, self._weight_nats(run, now)) for run in self._old_runs(now)
        ]
        weights += [
            (run.started, run.weight_nats)
            for run in self._abandoned
            if now - run.ended <= ABANDONED_RETENTION_S
        ]
        for started, weight_nats in sorted(weights, reverse=True):
            total += weight_nats
            later = sum(answered > started for answered in self._answered_starts)
            best = max(best, total - ANSWER_NATS * later)
        return best

    def is_suspect(self, now):
        """Return True if the endpoint has probably stopped answering."""
        return self.hang_evidence(now) >= SUSPECT_NATS

    def risk_s(self, now):
        """Return the risk of a hang as a wait in seconds, for non-idempotent requests.

        A wait up to this long at another endpoint is preferable. It is 0 for an
        endpoint that has answered recently.
        """
        if self.hang_evidence(now) >= DOUBTFUL_NATS:
            return MAX_RISK_S
        age_s = now - self._answered_at
        return 0.0 if age_s <= FRESH_ANSWER_S else min(MAX_RISK_S, age_s)

    def should_redirect(self, now):
        """Return True, and record it, if a non-idempotent request should go elsewhere.

        With few idempotent requests, only other requests can show that the endpoint
        answers. So once one was redirected and no run has begun or ended for
        `MAX_REDIRECTING_S`, the next one is admitted.
        """
        if not self.risk_s(now):
            return False
        idle_s = now - max(self._answered_at, self._started_at)
        if self._redirected and idle_s >= MAX_REDIRECTING_S:
            return False
        self._redirected = True
        return True

    def hung_runs(self, now):
        """Return the runs that count as hung if the endpoint is suspect."""
        return [
            run
            for run, entry in self._running.items()
            if self._survival_share(entry, now) <= HUNG_SURVIVAL_SHARE
        ]

    def is_overdue(self, run, now, medians=OVERDUE_MEDIANS):
        """Return True if a run has taken `medians` times the median of its kind.

        While the median is unknown, a share of the run's own time budget is the limit.
        """
        entry = self._running.get(run)
        if entry is None or now - entry.started < MIN_AGE_S:
            return False
        age_s = now - entry.started
        share = self._survival(entry.key, age_s / medians)
        if share is None:
            return age_s >= OVERDUE_BUDGET_SHARE * entry.budget_s
        return share <= OLD_SURVIVAL_SHARE

    def was_cut_short(self, run, now):
        """Return True if a run had less time than most runs of its kind need."""
        entry = self._running.get(run)
        if entry is None:
            return False
        share = self._survival(entry.key, now - entry.started)
        return share is not None and share > OLD_SURVIVAL_SHARE

    def take_unreported(self, runs):
        """Return those of the runs that no earlier call has returned."""
        unreported = [run for run in runs if not self._running[run].reported]
        for run in unreported:
            self._running[run].reported = True
        return unreported

    def _old_runs(self, now):
        return [
            r
            for r in self._running.values()
            if self._survival_share(r, now) <= OLD_SURVIVAL_SHARE
        ]

    def _survival_share(self, entry, now):
        age_s = now - entry.started
        share = None if age_s < MIN_AGE_S else self._survival(entry.key, age_s)
        return 1.0 if share is None else share

    def _weight_nats(self, entry, now):
        share = self._survival_share(entry, now)
        return math.log((UNANSWERED_SHARE + (1 - UNANSWERED_SHARE) * share) / share)
