"""Tells from the ages of an endpoint's runs whether it has stopped answering.

An endpoint that hangs breaks no connection, so a gate that waits for failures learns
of it at the first deadlines, after seconds of lost work. The agent sees every run: one
that is older than its kind of work usually takes speaks for a hang, and each answer to
work that began later speaks against it.
"""

import math
from collections import deque
from dataclasses import dataclass

# Of the requests in a failing spell, about this share is never answered.
UNANSWERED_SHARE = 0.85
# Younger runs than the median say nothing.
OLD_SURVIVAL_SHARE = 0.5
# A run that so few of its kind outlive is taken for hung once the endpoint is suspect.
HUNG_SURVIVAL_SHARE = 0.1
# A trial that takes so many times as long as half of its kind do has failed, one that
# was given up, as another endpoint was faster, a little earlier.
OVERDUE_MEDIANS = 3.0
ABANDONED_MEDIANS = 2.0
# Below this a delay may be the daemons' own.
MIN_AGE_S = 0.1
# Callers' time budgets are some five times as long as the work takes.
OVERDUE_BUDGET_SHARE = 0.3
# Natural logarithms of likelihood ratios, hang against sound. The runs are weighed ten
# times a second, so that chance alone reaches a lower bound too often.
SUSPECT_NATS = 4.5
DOUBTFUL_NATS = 0.7
ANSWER_NATS = -math.log(1 - UNANSWERED_SHARE)
# An endpoint may have begun to fail since its last answer, the more likely the longer
# ago that was. Such a risk is worth about as long a wait elsewhere.
FRESH_ANSWER_S = 0.5
MAX_RISK_S = 2.0
# An endpoint that gets no work gives no answer, so it is not avoided for longer. With
# the run before and the time until the next request that is within two seconds.
MAX_AVOIDED_S = 1.0
# Runs that were given up, for one as another endpoint was faster, count for this long.
ABANDONED_KEPT_S = 5.0
# Answers to runs that began after an old one; more would change nothing.
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
    """A run that ended without an answer when it was old, with what that weighs."""

    started: float
    ended: float
    weight: float


class StallDetector:
    """Weighs the runs of one endpoint.

    Parameters
    ----------
    survival : callable
        `survival(key, age_s)` returns which share of the runs of a kind of work takes
        longer than `age_s` seconds, or None while too little is known.
    """

    def __init__(self, survival):
        self._survival = survival
        self._running = {}
        self._abandoned = deque(maxlen=MAX_ANSWERS)
        self._answered = deque(maxlen=MAX_ANSWERS)
        self._answered_at = -math.inf
        self._started_at = -math.inf
        self._redirected = False

    def on_run_started(self, run, key, now, budget_s=math.inf):
        """Take note of a run that begins.

        `key` names its kind of work; it has `budget_s` seconds.
        """
        self._running[run] = _RunInProgress(key, now, budget_s)
        self._started_at = now
        self._redirected = False

    def on_run_ended(self, run, answered, now):
        """Take note of the end of a run."""
        known = self._running.pop(run, None)
        if known is None:
            return
        if answered:
            self._answered.append(known.started)
            self._answered_at = now
        elif self._share(known, now) <= OLD_SURVIVAL_SHARE:
            weight = self._weight(known, now)
            self._abandoned.append(_AbandonedRun(known.started, now, weight))

    def forget_abandoned(self):
        """Forget the runs that were given up: the endpoint has passed its trials."""
        self._abandoned.clear()

    def hang_evidence(self, now):
        """Return the logarithm of the likelihood ratio, 0 without old runs.

        A hang may begin while a straggler runs. So the newest old runs are weighed
        first, against the answers to work that began after them.
        """
        best = total = 0.0
        weights = [(run.started, self._weight(run, now)) for run in self._old(now)]
        weights += [
            (run.started, run.weight)
            for run in self._abandoned
            if now - run.ended <= ABANDONED_KEPT_S
        ]
        for started, weight in sorted(weights, reverse=True):
            total += weight
            later = sum(answered > started for answered in self._answered)
            best = max(best, total - ANSWER_NATS * later)
        return best

    def is_suspect(self, now):
        """Return True if the endpoint has most likely stopped answering."""
        return self.hang_evidence(now) >= SUSPECT_NATS

    def risk_s(self, now):
        """Return the wait elsewhere that is better for work that can't be repeated.

        It is 0 for an endpoint that has answered a moment ago.
        """
        if self.hang_evidence(now) >= DOUBTFUL_NATS:
            return MAX_RISK_S
        age_s = now - self._answered_at
        return 0.0 if age_s <= FRESH_ANSWER_S else min(MAX_RISK_S, age_s)

    def should_redirect(self, now):
        """Return True, and count it, if an order is better off elsewhere.

        An order is work that can't be repeated. Where there is little other work, only
        an order can show that the endpoint answers. So once one was turned away and
        nothing has begun or ended for a while, the next one is let in.
        """
        if not self.risk_s(now):
            return False
        idle_s = now - max(self._answered_at, self._started_at)
        if self._redirected and idle_s >= MAX_AVOIDED_S:
            return False
        self._redirected = True
        return True

    def hung_runs(self, now):
        """Return the runs that are taken for hung if the endpoint is suspect."""
        return [
            run
            for run, known in self._running.items()
            if self._share(known, now) <= HUNG_SURVIVAL_SHARE
        ]

    def is_overdue(self, run, now, medians=OVERDUE_MEDIANS):
        """Return True if a run has taken several times as long as half of its kind.

        Where the usual time of its kind of work is not known yet, a share of the run's
        own time budget stands for it.
        """
        known = self._running.get(run)
        if known is None or now - known.started < MIN_AGE_S:
            return False
        age_s = now - known.started
        share = self._survival(known.key, age_s / medians)
        if share is None:
            return age_s >= OVERDUE_BUDGET_SHARE * known.budget_s
        return share <= OLD_SURVIVAL_SHARE

    def was_cut_short(self, run, now):
        """Return True if a run is known to have had less time than most need."""
        known = self._running.get(run)
        if known is None:
            return False
        share = self._survival(known.key, now - known.started)
        return share is not None and share > OLD_SURVIVAL_SHARE

    def take_unreported(self, runs):
        """Return those of the runs that were not asked about before."""
        fresh = [run for run in runs if not self._running[run].reported]
        for run in fresh:
            self._running[run].reported = True
        return fresh

    def _old(self, now):
        return [
            r
            for r in self._running.values()
            if self._share(r, now) <= OLD_SURVIVAL_SHARE
        ]

    def _share(self, known, now):
        age_s = now - known.started
        share = None if age_s < MIN_AGE_S else self._survival(known.key, age_s)
        return 1.0 if share is None else share

    def _weight(self, known, now):
        share = self._share(known, now)
        return math.log((UNANSWERED_SHARE + (1 - UNANSWERED_SHARE) * share) / share)
