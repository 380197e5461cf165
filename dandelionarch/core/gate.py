"""Gate in front of one endpoint: closes on first failures, opens after trials.

The agent alone reaches its endpoint, so its own last few outcomes are the first
evidence there is. A closed gate proves to the ingress that a request was not run,
which costs a redirect; an open one in front of a failing endpoint costs the outcome
of work that is not idempotent.
"""

from enum import Enum

from dandelionarch.core.world import Health

# An endpoint in a failing spell still serves some requests, so one success proves
# little: at three failures in four, two in a row pass by chance once in 16 times.
SUCCESSES_TO_OPEN = 2
# Application errors are a normal small share of responses; two in a row are not.
ERRORS_TO_CLOSE = 2
TRIAL_INTERVAL_S = 0.25
MAX_TRIAL_INTERVAL_S = 1.0
# A service may have no idempotent requests, or few; then other work is a trial once no
# trial has failed for this long.
ANY_WORK_TRIAL_AFTER_S = 2.0
# Of the slots, for idempotent work that would find no endpoint otherwise.
LAST_RESORT_SLOT_SHARE = 0.5


class RunResult(Enum):
    """What a run says of its endpoint, most often by its end."""

    SERVED = "served"
    APPLICATION_ERROR = "application_error"
    BROKEN = "broken"
    INCONCLUSIVE = "inconclusive"
    HUNG = "hung"


class EndpointGate:
    """Decides which requests an endpoint gets, by its last runs.

    Times are in seconds on one monotonic clock.

    Parameters
    ----------
    slots : int
        Requests that the endpoint runs at once.
    """

    def __init__(self, slots=1):
        self._closed_at = None
        self._successes = 0
        self._errors = 0
        self._trials = set()
        self._max_trials = max(1, int(LAST_RESORT_SLOT_SHARE * slots))
        self._next_trial_at = 0.0
        self._trial_interval_s = TRIAL_INTERVAL_S
        self._last_failure_at = 0.0
        self._hung_runs = frozenset()
        self._abandoned = set()
        self._overdue_trials = set()

    @property
    def health(self):
        """Return `HEALTHY`, or `TRIAL` while the gate is closed."""
        return Health.HEALTHY if self._closed_at is None else Health.TRIAL

    @property
    def trials(self):
        """Return the runs behind the closed gate."""
        return tuple(self._trials)

    def admits(self, idempotent, now, last_resort=False):
        """Return True if a request may go to the endpoint now.

        With `last_resort` its ingress knows no endpoint whose gate is open, so that a
        doubtful one is better than none.
        """
        if self._closed_at is None:
            return True
        if idempotent and last_resort and len(self._trials) < self._max_trials:
            return True
        return self.is_trial_due(now) and (idempotent or self.accepts_any_trial(now))

    def is_trial_due(self, now):
        """Return True if the gate is closed and would let a trial in now."""
        if self._closed_at is None or self._trials:
            return False
        return now >= self._next_trial_at

    def accepts_any_trial(self, now):
        """Return True if a trial need not be idempotent."""
        return now - self._last_failure_at >= ANY_WORK_TRIAL_AFTER_S

    def on_run_admitted(self, run, now):
        """Take note that a request goes to the endpoint."""
        if self._closed_at is not None:
            self._trials.add(run)
            self._next_trial_at = now + self._trial_interval_s

    def on_runs_hung(self, runs, now):
        """Take note that the endpoint has stopped answering, by its runs that hang.

        A trial among them has failed, so that the next one need not wait for its end.
        Their failures are counted here, not once more at their deadlines.
        """
        self._abandoned.update(runs)
        if self._closed_at is None:
            self._close(now, trial=False)
            self._hung_runs = frozenset(runs)
        elif overdue := self._trials.intersection(runs):
            self._overdue_trials |= overdue
            self._trials -= overdue
            self._close(now, trial=True)

    def on_run_ended(self, run, result, now):
        """Take note of the end of a run."""
        if run in self._hung_runs and result is RunResult.SERVED:
            # It was a straggler: what closed the gate has proved wrong.
            self._open()
        given_up = run in self._abandoned
        self._abandoned.discard(run)
        trial = run in self._trials or run in self._overdue_trials
        self._trials.discard(run)
        self._overdue_trials.discard(run)
        if given_up and result is not RunResult.SERVED:
            return
        if result is RunResult.SERVED:
            self._record_success(trial)
        elif result is RunResult.BROKEN:
            self._close(now, trial)
        elif result is RunResult.APPLICATION_ERROR:
            self._errors += 1
            if trial or self._errors >= ERRORS_TO_CLOSE:
                self._close(now, trial)
        elif trial:
            # Nothing is known yet, for one as its caller has left.
            self._next_trial_at = now

    def _record_success(self, trial):
        self._errors = 0
        if self._closed_at is None or not trial:
            return
        self._successes += 1
        self._next_trial_at = 0.0
        if self._successes >= SUCCESSES_TO_OPEN:
            self._open()

    def _open(self):
        self._closed_at = None
        self._trial_interval_s = TRIAL_INTERVAL_S
        self._hung_runs = frozenset()
        self._trials.clear()

    def _close(self, now, trial):
        self._successes = 0
        # What failed since outweighs a late answer to an earlier run.
        self._hung_runs = frozenset()
        self._last_failure_at = now
        if self._closed_at is None:
            self._closed_at = now
            self._trial_interval_s = TRIAL_INTERVAL_S
        elif trial:
            self._trial_interval_s = min(
                MAX_TRIAL_INTERVAL_S, 2 * self._trial_interval_s
            )
        self._next_trial_at = now + self._trial_interval_s
