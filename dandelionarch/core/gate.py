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
ANY_TRIAL_AFTER_S = 5.0


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
    """

    def __init__(self):
        self._closed_at = None
        self._successes = 0
        self._errors = 0
        self._trial_running = None
        self._next_trial = 0.0
        self._interval_s = TRIAL_INTERVAL_S
        self._failed_at = 0.0
        self._hung = frozenset()
        self._given_up = set()
        self._overdue_trial = None

    @property
    def health(self):
        """Return `HEALTHY`, or `TRIAL` while the gate is closed."""
        return Health.HEALTHY if self._closed_at is None else Health.TRIAL

    def admits(self, idempotent, now):
        """Return True if a request may go to the endpoint now."""
        if self._closed_at is None:
            return True
        if self._trial_running is not None or now < self._next_trial:
            return False
        return idempotent or now - self._failed_at >= ANY_TRIAL_AFTER_S

    @property
    def trial(self):
        """Return the trial that runs behind the closed gate, or None."""
        return self._trial_running

    def wants_trial(self, now):
        """Return True if the gate is closed and would let a trial in now."""
        if self._closed_at is None or self._trial_running is not None:
            return False
        return now >= self._next_trial

    def began(self, run, now):
        """Take note that a request goes to the endpoint."""
        if self._closed_at is not None and self._trial_running is None:
            self._trial_running = run
            self._next_trial = now + self._interval_s

    def stalled(self, runs, now):
        """Take note that the endpoint has stopped answering, by its runs that hang.

        A trial among them has failed, so that the next one need not wait for its end.
        Their failures are counted here, not once more at their deadlines.
        """
        self._given_up.update(runs)
        if self._closed_at is None:
            self._close(now, trial=False)
            self._hung = frozenset(runs)
        elif self._trial_running is not None and self._trial_running in runs:
            self._overdue_trial = self._trial_running
            self._trial_running = None
            self._close(now, trial=True)

    def ended(self, run, result, now):
        """Take note of the end of a run."""
        if run in self._hung and result is RunResult.SERVED:
            # It was a straggler: what closed the gate has proved wrong.
            self._open()
        given_up = run in self._given_up
        self._given_up.discard(run)
        if given_up and result is not RunResult.SERVED:
            return
        trial = run in (self._trial_running, self._overdue_trial)
        if run is self._trial_running:
            self._trial_running = None
        if result is RunResult.SERVED:
            self._served(trial)
        elif result is RunResult.BROKEN:
            self._close(now, trial)
        elif result is RunResult.APPLICATION_ERROR:
            self._errors += 1
            if trial or self._errors >= ERRORS_TO_CLOSE:
                self._close(now, trial)
        elif trial:
            # Its caller has left, so nothing is known yet.
            self._next_trial = now

    def _served(self, trial):
        self._errors = 0
        if self._closed_at is None or not trial:
            return
        self._successes += 1
        self._next_trial = 0.0
        if self._successes >= SUCCESSES_TO_OPEN:
            self._open()

    def _open(self):
        self._closed_at = None
        self._interval_s = TRIAL_INTERVAL_S
        self._hung = frozenset()

    def _close(self, now, trial):
        self._successes = 0
        # What failed since outweighs a late answer to an earlier run.
        self._hung = frozenset()
        self._failed_at = now
        if self._closed_at is None:
            self._closed_at = now
            self._interval_s = TRIAL_INTERVAL_S
        elif trial:
            self._interval_s = min(MAX_TRIAL_INTERVAL_S, 2 * self._interval_s)
        self._next_trial = now + self._interval_s
