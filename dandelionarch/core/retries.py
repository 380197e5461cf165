"""Retry budgets of an ingress, and the `Retry-After` times of refused callers.

The first attempt of a request is free. All others are extra attempts: retries after a
failure, redirects after a refusal, and hedged (second) attempts.
"""

import math
from collections import deque
from dataclasses import dataclass

from dandelionarch.core.outcome import Reason

RETRY_SHARE = 0.1
WINDOW_S = 10
# Permits single retries when there are too few requests for a share of them.
MIN_EXTRA = 3
# Redirects from busy endpoints leave the rest of the budget to failures.
RESERVE_SHARE = 0.08
OVERLOAD_SHARE = 0.05
# Share of the fleet's budget that is used. Ingresses learn of each other's attempts
# with a delay, and calls by repeated runs are counted by their probability.
STEADY_SHARE = 0.7
# The same in the first window after a start: what the previous ingress on this VM has
# spent is unknown. Both shares together are within the budget.
START_SHARE = 0.3
# A borrowed attempt counts in the lender's window, so it must be used at once.
LOAN_LIFETIME_S = 0.1
# Share of an ingress's allowance for hedged attempts while failed requests need the
# rest: a slow request may still be answered, a failed one is lost without a retry.
HEDGE_SHARE = 0.6
RETURN_SHARE = 0.5
MIN_RETURN_DELAY_S = 1.0
MAX_RETURN_DELAY_S = 120.0
MIN_RETURNS_PER_S = 2.0

# Refusals that show a lack of capacity and not the absence of one endpoint.
OVERLOAD_REASONS = frozenset(
    {Reason.QUEUE_FULL, Reason.TOO_LATE, Reason.SHED, Reason.WORKER_REFUSED}
)


class SlidingWindowCount:
    """Count of events in the last `window_s` seconds, in buckets of one second."""

    def __init__(self, window_s=WINDOW_S):
        self.total = 0
        self._window_s = window_s
        self._seconds = deque()

    def add(self, now, amount=1):
        """Count `amount` events; return the second of their bucket."""
        self.expire(now)
        second = math.floor(now)
        if not self._seconds or self._seconds[-1][0] != second:
            self._seconds.append([second, 0])
        self._seconds[-1][1] += amount
        self.total += amount
        return second

    def remove(self, second):
        """Remove one event from the bucket of a second that `add` returned."""
        for entry in self._seconds:
            if entry[0] == second and entry[1]:
                entry[1] -= 1
                self.total -= 1

    def expire(self, now):
        """Drop the buckets that have left the window."""
        oldest = math.floor(now) - self._window_s
        while self._seconds and self._seconds[0][0] <= oldest:
            self.total -= self._seconds.popleft()[1]


class RetryBudget:
    """Limit extra attempts to a share of the first attempts.

    Retries always draw on the budget. Redirects draw on it if the refusal was due to
    load, or while refusals due to load show an overload. The redirects that the drain
    of an endpoint causes are thus free.
    """

    redirects_are_free = False

    def __init__(self, window_s=WINDOW_S):
        self._first = SlidingWindowCount(window_s)
        self._extra = SlidingWindowCount(window_s)
        self._refused = SlidingWindowCount(window_s)

    def on_first_attempt(self, now):
        """Count the first attempt of a request."""
        self._first.add(now)

    def on_call(self, now, repeats_share):
        """Count a request that an endpoint of this VM has sent during a run.

        `repeats_share` is the probability that the run was itself an extra attempt.
        """

    def take_retry(self, now, reason, proven_not_run):
        """Return True, and count it, if an extra attempt is allowed.

        Parameters
        ----------
        now : float
            Time in seconds.
        reason : Reason
            Why the last attempt ended.
        proven_not_run : bool
            True if the last attempt is proven not to have run.
        """
        self._expire(now)
        if reason in OVERLOAD_REASONS:
            self._refused.add(now)
        if proven_not_run and self._is_free(reason):
            return True
        return self._try_add(now, self._allowed(RETRY_SHARE)) is not None

    def _is_free(self, reason):
        return reason not in OVERLOAD_REASONS and not self.overloaded

    def _allowed(self, share):
        """Return how many extra attempts are allowed in the window."""
        return max(MIN_EXTRA, share * self._first.total)

    def reserve(self, now):
        """Reserve an extra attempt; return a function that releases it, or None.

        A busy endpoint may redirect a request that has a reservation.
        """
        self._expire(now)
        second = self._try_add(now, self._allowed(RESERVE_SHARE))
        if second is None:
            return None
        return lambda: self._extra.remove(second)

    def _expire(self, now):
        for count in (self._first, self._extra, self._refused):
            count.expire(now)

    def _try_add(self, now, allowed):
        if self._extra.total + 1 > allowed:
            return None
        return self._extra.add(now)

    @property
    def overloaded(self):
        """Return True if many attempts in the window were refused due to load."""
        return self._refused.total > max(MIN_EXTRA, OVERLOAD_SHARE * self._first.total)


@dataclass(frozen=True, slots=True)
class FleetBudget:
    """Budget of a whole fleet for extra attempts at the endpoints of one service.

    In each window of `window_s` seconds it is `ratio` per request plus `slack`.
    """

    ratio: float
    slack: float
    window_s: float


class FleetShareBudget(RetryBudget):
    """One ingress's part of a `FleetBudget`.

    Redirects after a refusal by an agent are free, as such an attempt reaches no
    endpoint. An ingress may borrow unused attempts of another, which counts them as its
    own.

    Parameters
    ----------
    budget : FleetBudget
    daemons : callable
        Returns the number of daemons that share the slack.
    rounding : float, optional
        From 0 to 1, drawn per ingress: a part of 1.7 attempts is 2 for seven
        ingresses in ten, so that the sum of the parts is right.
    started : float, optional
        When this ingress started, in seconds.
    """

    redirects_are_free = True

    def __init__(self, budget, daemons, rounding=0.0, started=-math.inf):
        # One second more, as the oldest bucket is partly outside the window.
        super().__init__(budget.window_s + 1)
        self._budget = budget
        self._daemons = daemons
        self._rounding = rounding
        self._started = started
        self._used_share = START_SHARE
        self._failed = SlidingWindowCount(budget.window_s + 1)
        self._borrowed_at = -math.inf

    def on_call(self, now, repeats_share):
        # A request sent by a repeated run is itself an extra attempt at its service.
        if repeats_share > 0:
            self._extra.add(now, repeats_share)

    def take_retry(self, now, reason, proven_not_run):
        if not (proven_not_run and self._is_free(reason)):
            self._failed.add(now)
        return super().take_retry(now, reason, proven_not_run) or self._use_loan(now)

    def reserve(self, now):
        # Redirects are free here, so only hedged attempts are reserved.
        self._expire(now)
        second = self._try_add(now, self._allowance(hedge=True))
        if second is not None:
            return lambda: self._extra.remove(second)
        if self._use_loan(now):
            # The lender counts the attempt.
            return lambda: None
        return None

    def _use_loan(self, now):
        fresh = now - self._borrowed_at <= LOAN_LIFETIME_S
        self._borrowed_at = -math.inf
        return fresh

    def is_spent(self, now, hedge=False):
        """Return True if no extra attempt, or with `hedge` no hedged one, is left."""
        self._expire(now)
        return self._extra.total + 1 > self._allowance(hedge)

    def lend(self, now, hedge=False):
        """Return True, and count it, if another ingress may make an extra attempt."""
        self._expire(now)
        return self._try_add(now, self._allowance(hedge)) is not None

    def _allowance(self, hedge):
        """Return how many extra attempts, or hedged ones, the window may hold."""
        exact = self._fair_allowance()
        if hedge:
            exact = max(HEDGE_SHARE * exact, exact - self._failed.total)
        return exact + self._rounding

    def _expire(self, now):
        super()._expire(now)
        self._failed.expire(now)
        has_just_started = now - self._started <= self._budget.window_s + 1
        self._used_share = START_SHARE if has_just_started else STEADY_SHARE

    def on_loan(self, now):
        """Record an attempt that another ingress has lent."""
        self._borrowed_at = now

    def _is_free(self, reason):
        return reason is not Reason.WORKER_REFUSED

    def _allowed(self, share):
        return self._allowance(hedge=False)

    def _fair_allowance(self):
        part = self._budget.slack / max(1, self._daemons())
        return self._used_share * (part + self._budget.ratio * self._first.total)


class RetryAfterSchedule:
    """Spread the times at which refused callers are asked to return.

    The returns are scheduled one after the other at half the rate of the recent
    answers. Callers refused during a demand peak thus leave the other half of the
    capacity to new requests.
    """

    def __init__(self):
        self._answers = SlidingWindowCount()
        self._next_at = 0.0

    def on_answer(self, now):
        """Count an answer."""
        self._answers.add(now)

    def retry_after_s(self, now, rng, min_s=0.0):
        """Return the seconds after which a refused caller may return.

        Parameters
        ----------
        now : float
            Time in seconds.
        rng : random.Random
            Source of the jitter.
        min_s : float
            Estimate by the agent, before which a return would be refused again.
        """
        self._answers.expire(now)
        min_s = max(MIN_RETURN_DELAY_S, min_s)
        rate = max(MIN_RETURNS_PER_S, RETURN_SHARE * self._answers.total / WINDOW_S)
        self._next_at = max(self._next_at, now + min_s) + 1 / rate
        delay_s = self._next_at - now
        if delay_s > MAX_RETURN_DELAY_S:
            return rng.uniform(MAX_RETURN_DELAY_S / 2, MAX_RETURN_DELAY_S)
        return max(min_s, delay_s + rng.uniform(-0.5, 0.5))
