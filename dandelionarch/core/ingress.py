"""State machine of one request at its ingress: events in, commands out."""

import math
from dataclasses import dataclass

from dandelionarch.core.outcome import Outcome, Reason
from dandelionarch.core.routes import DEFAULT_MAX_ATTEMPTS
from dandelionarch.core.world import Health
from dandelionarch.ids import Revision

# Refused attempts reach no endpoint and cost only a round trip between daemons.
MAX_DISPATCHES = 8
MIN_RETRY_AFTER_S = 1.0
RETRY_AFTER_SPREAD_S = 2.0

# Share of its time budget for which a request waits if no endpoint is available; after
# it the request would hardly end in time.
PARK_BUDGET_SHARE = 0.5
# Every endpoint is full, and waiting at the ingress would only hide the overload.
FULL_REASONS = frozenset({Reason.QUEUE_FULL, Reason.TOO_LATE, Reason.SHED})

# The connection failed, not the endpoint: the same endpoint may be tried again.
LINK_REASONS = frozenset({Reason.LINK_LOST, Reason.WORKER_LINK, Reason.WORKER_SILENT})


@dataclass(frozen=True, slots=True)
class Work:
    """A request with the properties of its route.

    An answer within `objective_s` seconds, the latency objective of the route, is worth
    most to the caller. `revision` is that of the configuration that has the route.
    """

    request_id: str
    customer: str
    service: str
    route: str
    kind: str
    idempotent: bool
    priority: int
    max_attempts: int = DEFAULT_MAX_ATTEMPTS
    objective_s: float = math.inf
    revision: Revision = Revision(0)


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Command: send an attempt to an endpoint's agent.

    `repeats` is True if another endpoint may have received the request before.
    """

    endpoint: object
    decision: object
    may_wait: bool = True
    repeats: bool = False


@dataclass(frozen=True, slots=True)
class Park:
    """Command: wait until an endpoint may be available again, then `resume`."""

    reason: Reason


@dataclass(frozen=True, slots=True)
class Refuse:
    """Command: end the request with a refusal."""

    outcome: Outcome
    reason: Reason
    retry_after_s: float


@dataclass(frozen=True, slots=True)
class Deliver:
    """Command: pass the answer on to the caller.

    `whole` is True if no part of it was passed on before.
    """

    whole: bool


class RequestLifecycle:
    """Decide on the attempts, the waits and the outcome of one request.

    Parameters
    ----------
    work : Work
        The request.
    choose : callable
        `choose(work, tried)` returns a `SelectionDecision`;
        `choose(work, tried, only)` chooses among the endpoints whose ids are in `only`.
    deadline : float
        Instant in seconds by which the request must have ended.
    rng : random.Random
        Source of the spread of `Retry-After`.
    may_retry : callable
        `may_retry(reason, proven_not_run)` returns True if the retry budget allows
        another attempt now; `proven_not_run` is True if the last one is known not to
        have run.
    retry_after : callable
        `retry_after(min_s)` returns the `Retry-After` of a refusal in seconds; `min_s`
        is the estimate of the last agent.
    replayable : callable
        Returns False once a part of the caller's body was consumed and not kept.
    reserve : callable
        Reserves a redirect in the retry budget and returns a function that releases
        it, or None if the budget is used up. With a reservation, the first endpoint
        may redirect the request if it is busy.
    reserve_hedge : callable, optional
        The same for a second attempt beside a slow one; `reserve` by default.
    max_busy_redirects : int
        Number of busy endpoints in a row that may redirect the request; after these
        it waits at the endpoint with the shortest reported wait.
    can_park : bool
        True if the request waits for a part of its time while no endpoint is available.
    """

    def __init__(
        self,
        work,
        choose,
        deadline,
        rng,
        may_retry=lambda reason, proven_not_run: True,
        retry_after=None,
        replayable=lambda: True,
        reserve=lambda: None,
        reserve_hedge=None,
        max_busy_redirects=1,
        can_park=False,
    ):
        self.work = work
        self.deadline = deadline
        self.attempts = 0
        self._reached_count = 0
        self.tried = set()
        self.finished = False
        self.answer = None
        self.caller_error = None
        self._current = None
        self._sent = False
        self._choose = choose
        self._rng = rng
        self._may_retry = may_retry
        self._retry_after = retry_after or self._spread_retry_after
        self._reserve = reserve
        self._reserve_hedge = reserve_hedge
        self._unreserve = None
        self._unreserve_hedge = None
        self._max_busy_redirects = max_busy_redirects
        self._waits_s = {}
        self._can_park = can_park
        self._park_until = -math.inf
        self._refused_by = set()
        self._dispatch_limit = MAX_DISPATCHES
        self._min_retry_after_s = 0.0
        self._replayable = replayable
        self._may_have_run = False

    def start(self, now):
        """Return the first command, at the arrival of the request."""
        if self._can_park:
            self._park_until = now + PARK_BUDGET_SHARE * (self.deadline - now)
        return self._dispatch(Reason.NO_ENDPOINT, now)

    def on_sent(self):
        """Record that the current attempt has been sent to the agent."""
        self._sent = True

    def resume(self, reason, now):
        """Handle the end of a `Park`.

        Endpoints whose agents refused the request may be tried again; those that it
        has reached stay excluded.
        """
        self.tried -= self._refused_by
        self._refused_by.clear()
        self._waits_s.clear()
        self._dispatch_limit = self.attempts + MAX_DISPATCHES
        self._unreserve = self._reserve()
        return self._dispatch(reason, now)

    def on_not_run(self, reason, now, retry_after_s=0.0):
        """Handle a refusal or fault that proves the current attempt was not run."""
        self._sent = False
        self._refused_by.add(self._current)
        self._min_retry_after_s = retry_after_s
        if reason in LINK_REASONS:
            self.tried.discard(self._current)
        if reason is Reason.WORKER_REFUSED:
            self._count_reached()
        if reason is Reason.QUARANTINED:
            self._release_reservation()
            return self._refuse_until(reason, retry_after_s)
        if reason is Reason.BUSY and self._unreserve is not None:
            self._waits_s[self._current] = retry_after_s
            if len(self._waits_s) >= self._max_busy_redirects:
                self._unreserve = None
            return self._dispatch(reason, now)
        self._release_reservation()
        return self._retry(reason, now, proven_not_run=True)

    def on_failed(self, reason, now):
        """Handle the failure of an attempt that the endpoint may have run."""
        self._sent = False
        self._may_have_run = True
        self._count_reached()
        self._release_reservation()
        if not self.work.idempotent or reason is Reason.DEADLINE:
            return self._refuse(reason)
        if reason in LINK_REASONS:
            self.tried.discard(self._current)
        return self._retry(reason, now, proven_not_run=False)

    def hedge(self, now):
        """Return a second `Dispatch` beside a slow attempt, or None.

        Only idempotent requests are hedged, and only within the retry budget.
        """
        if not self.work.idempotent or not self._replayable():
            return None
        if now >= self.deadline or self._is_exhausted(running=1):
            return None
        unreserve = self._reserve_second_attempt()
        if unreserve is None:
            return None
        decision = self._choose(self.work, frozenset(self.tried))
        if decision.chosen is None:
            unreserve()
            return None
        self.attempts += 1
        endpoint = decision.chosen.endpoint
        self.tried.add(endpoint.endpoint_id)
        self._unreserve_hedge = unreserve
        # A hedged request may use a free slot but not delay a waiting first attempt.
        return Dispatch(endpoint, decision, may_wait=False, repeats=True)

    def on_hedge_refused(self):
        """Release the reservation of a second attempt that was not run."""
        if self._unreserve_hedge is not None:
            self._unreserve_hedge()
            self._unreserve_hedge = None

    def _reserve_second_attempt(self):
        if self._reserve_hedge is not None:
            return self._reserve_hedge()
        unreserve = self._unreserve or self._reserve()
        self._unreserve = None
        return unreserve

    def on_attempt_discarded(self):
        """Record that one of two attempts ended without a result; it may have run."""
        self._may_have_run = True
        self._reached_count += 1

    def on_answer(self):
        """Handle an answer that is passed on to the caller."""
        self.finished = True
        self._release_reservation()
        return Deliver(whole=True)

    def on_error_answer(self, now):
        """Handle an endpoint's answer that is an error.

        Idempotent requests are retried elsewhere, as the fault may be the endpoint's.
        The owner of this object keeps the answer in case no better one arrives.
        """
        if not self.work.idempotent:
            return self.on_answer()
        self._may_have_run = True
        self._count_reached()
        self._release_reservation()
        command = self._retry(Reason.ENDPOINT_ERROR, now, proven_not_run=False)
        return command if isinstance(command, Dispatch) else self.on_answer()

    def _count_reached(self):
        """Count an attempt that reached its endpoint; keep the endpoint excluded."""
        self._reached_count += 1
        self._refused_by.discard(self._current)

    def _release_reservation(self):
        if self._unreserve is not None:
            self._unreserve()
            self._unreserve = None

    def on_abandoned(self, reason):
        """Handle the end of the request while an attempt may be in flight."""
        self._may_have_run = self._may_have_run or self._sent
        return self._refuse(reason)

    def on_deadline(self):
        """Handle the end of the request's time budget."""
        return self.on_abandoned(Reason.DEADLINE)

    def can_go_on(self, proven_not_run):
        """Return True if a further attempt is allowed, apart from the retry budget.

        `proven_not_run` is True if the present attempt is known not to have run.
        """
        repeatable = proven_not_run or self.work.idempotent
        return repeatable and not self._is_exhausted(running=1)

    def _is_exhausted(self, running=0):
        """Return True if no attempt is allowed in addition to the `running` ones."""
        reached = self._reached_count + running
        if reached >= self.work.max_attempts:
            return True
        return self.attempts >= self._dispatch_limit

    def _retry(self, reason, now, proven_not_run):
        if now >= self.deadline or self._reached_count >= self.work.max_attempts:
            return self._refuse(reason)
        if self._is_exhausted():
            return self._park(reason, now)
        if not self._replayable():
            return self._refuse(reason)
        if not self._may_retry(reason, proven_not_run):
            return self._refuse(Reason.RETRY_BUDGET)
        return self._dispatch(reason, now)

    def _dispatch(self, reason, now):
        decision = self._choose_next()
        if decision.chosen is None:
            return self._park(reason, now)
        if self.attempts == 0 and len(decision.candidates) > 1:
            self._unreserve = self._reserve()
        self.attempts += 1
        endpoint = decision.chosen.endpoint
        self.tried.add(endpoint.endpoint_id)
        self._current = endpoint.endpoint_id
        may_wait = self._unreserve is None
        return Dispatch(endpoint, decision, may_wait, repeats=self._reached_count > 0)

    def _choose_next(self):
        """Return the next choice; waiting at a busy endpoint precedes closed gates."""
        was_busy = bool(self._waits_s)
        if was_busy and self._unreserve is None and self._max_busy_redirects > 1:
            return self._choose_shortest_wait()
        decision = self._choose(self.work, frozenset(self.tried))
        chosen = decision.chosen
        if was_busy and (chosen is None or chosen.health is Health.TRIAL):
            return self._choose_shortest_wait()
        return decision

    def _choose_shortest_wait(self):
        """Return the choice of the endpoint that reported the shortest wait.

        If it has left or its gate has closed meanwhile, any endpoint may be chosen.
        """
        self._unreserve = None
        shortest = min(self._waits_s, key=self._waits_s.get)
        del self._waits_s[shortest]
        decision = self._choose(self.work, frozenset(), frozenset({shortest}))
        if decision.chosen is not None:
            return decision
        return self._choose(self.work, frozenset())

    def _park(self, reason, now):
        """Return `Park` if an endpoint may be available in time, else `Refuse`."""
        self._release_reservation()
        if now >= self._park_until or reason in FULL_REASONS or not self._replayable():
            return self._refuse(reason)
        return Park(reason)

    def _refuse(self, reason):
        return self._refuse_until(reason, self._retry_after(self._min_retry_after_s))

    def _refuse_until(self, reason, retry_after_s):
        """Return the end of the request; its caller may return after these seconds."""
        self.finished = True
        outcome = Outcome.UNKNOWN if self._may_have_run else Outcome.NOT_RUN
        return Refuse(outcome, reason, retry_after_s)

    def _spread_retry_after(self, min_s):
        spread = self._rng.uniform(0, RETRY_AFTER_SPREAD_S)
        return max(MIN_RETRY_AFTER_S, min_s) + spread
