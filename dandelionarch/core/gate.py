"""Circuit breaker (gate) of one endpoint: closes on failures, opens after trials.

A closed gate refuses requests, an open one admits them. A trial here is a request
that is admitted through a closed gate to test the endpoint; the trials of
`core.ejection` test an ejected endpoint.

All requests to an endpoint pass its agent, so the agent's latest results are the
earliest evidence of a failure. A refusal by a closed gate proves that the request was
not run, so it only costs a redirect. Requests that are not idempotent and reach a
failing endpoint end with an unknown outcome.
"""

from enum import Enum

from dandelionarch.core.world import Health

# A failing endpoint still serves some requests, so one success proves little: if
# three requests in four fail, two in a row succeed by chance once in 16 times.
SUCCESSES_TO_OPEN = 2
# A small share of application errors is normal; two in a row are not.
ERRORS_TO_CLOSE = 2
TRIAL_INTERVAL_S = 0.25
MAX_TRIAL_INTERVAL_S = 1.0
# A service may have few or no idempotent requests. Requests that are not idempotent are
# admitted as trials once nothing has failed for this long.
ANY_WORK_TRIAL_AFTER_S = 2.0
# Share of the slots that a closed gate gives to idempotent requests whose ingress knows
# no endpoint with an open gate.
LAST_RESORT_SLOT_SHARE = 0.5


class RunResult(Enum):
    """Result of a run as evidence about its endpoint."""

    SERVED = "served"
    APPLICATION_ERROR = "application_error"
    BROKEN = "broken"
    INCONCLUSIVE = "inconclusive"
    HUNG = "hung"


class EndpointGate:
    """Decide which requests an endpoint gets, from the results of its latest runs.

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
        self._counted_as_failed = set()
        self._overdue_trials = set()

    @property
    def health(self):
        """Return `HEALTHY`, or `TRIAL` while the gate is closed."""
        return Health.HEALTHY if self._closed_at is None else Health.TRIAL

    @property
    def trials(self):
        """Return the runs in progress that were admitted as trials."""
        return tuple(self._trials)

    def admits(self, idempotent, now, last_resort=False):
        """Return True if a request may go to the endpoint now.

        `last_resort` is True if the request's ingress knows no endpoint whose gate is
        open; an endpoint that may be failing is then better than none.
        """
        if self._closed_at is None:
            return True
        if idempotent and last_resort and len(self._trials) < self._max_trials:
            return True
        return self.is_trial_due(now) and (idempotent or self.accepts_any_trial(now))

    def is_trial_due(self, now):
        """Return True if the gate is closed and would admit a trial now."""
        if self._closed_at is None or self._trials:
            return False
        return now >= self._next_trial_at

    def accepts_any_trial(self, now):
        """Return True if the next trial need not be idempotent."""
        return now - self._last_failure_at >= ANY_WORK_TRIAL_AFTER_S

    def on_run_admitted(self, run, now):
        """Record a run that has been admitted; it is a trial if the gate is closed."""
        if self._closed_at is not None:
            self._trials.add(run)
            self._next_trial_at = now + self._trial_interval_s

    def on_runs_hung(self, runs, now):
        """Close the gate because runs hang.

        A trial among them counts as failed, so the next one need not wait for its end.
        The failure of these runs is counted here and not again at their deadlines.
        """
        self._counted_as_failed.update(runs)
        if self._closed_at is None:
            self._close(now, is_trial=False)
            self._hung_runs = frozenset(runs)
        elif overdue := self._trials.intersection(runs):
            self._overdue_trials |= overdue
            self._trials -= overdue
            self._close(now, is_trial=True)

    def on_run_ended(self, run, result, now):
        """Update the gate with the result of a run."""
        if run in self._hung_runs and result is RunResult.SERVED:
            # The run was slow and did not hang, so the gate was closed in error.
            self._open()
        was_counted = run in self._counted_as_failed
        self._counted_as_failed.discard(run)
        is_trial = run in self._trials or run in self._overdue_trials
        self._trials.discard(run)
        self._overdue_trials.discard(run)
        if was_counted and result is not RunResult.SERVED:
            return
        if result is RunResult.SERVED:
            self._record_success(is_trial)
        elif result is RunResult.BROKEN:
            self._close(now, is_trial)
        elif result is RunResult.APPLICATION_ERROR:
            self._errors += 1
            if is_trial or self._errors >= ERRORS_TO_CLOSE:
                self._close(now, is_trial)
        elif is_trial:
            # The trial showed nothing, for example because its caller disconnected.
            self._next_trial_at = now

    def _record_success(self, is_trial):
        self._errors = 0
        if self._closed_at is None or not is_trial:
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

    def _close(self, now, is_trial):
        self._successes = 0
        # A late answer to an earlier run must not reopen the gate after this failure.
        self._hung_runs = frozenset()
        self._last_failure_at = now
        if self._closed_at is None:
            self._closed_at = now
            self._trial_interval_s = TRIAL_INTERVAL_S
        elif is_trial:
            self._trial_interval_s = min(
                MAX_TRIAL_INTERVAL_S, 2 * self._trial_interval_s
            )
        self._next_trial_at = now + self._trial_interval_s
