"""Options of a model run, and default parts of a model."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from dandelionarch.core import selection
from dandelionarch.core.admission import SlotQueue
from dandelionarch.core.hedging import HedgeDelays
from dandelionarch.core.ingress import Work
from dandelionarch.core.outcome import Outcome, Reason
from dandelionarch.core.world import Health
from dandelionarch.measure.workers import Kind

QUEUE_PER_SLOT = 2


def crest_rate(base, factor, start_s, ramp_s=2.0, duration_s=math.inf):
    """Return a rate (requests/s) that rises by `factor` within `ramp_s` seconds."""

    def rate(now):
        if not start_s <= now < start_s + duration_s:
            return base
        return base * (1 + (factor - 1) * min(1.0, (now - start_s) / ramp_s))

    rate.peak = base * factor
    return rate


def steady_rate(base):
    """Return a constant rate (requests/s)."""
    return crest_rate(base, 1.0, 0.0)


class NoDetector:
    """Detects nothing; base class of the detectors of an agent.

    A detector uses `agent.model.timers` as its clock, and reaches the other agents,
    `agent.model.agents`, by `agent.model.network.send`.
    """

    health = Health.HEALTHY

    def __init__(self, agent):
        self.agent = agent

    def refusal(self, attempt, now):
        """Return the `Reason` to refuse an arriving attempt, or None to accept it."""
        return None

    def on_start(self, attempt, now):
        """Handle the start of an attempt in a slot."""

    def on_finish(self, attempt, service_s, reason, now):
        """Handle the end of an attempt that was accepted at its arrival.

        `service_s` excludes queueing; `reason` is None after a success.
        """


class OpenFilter:
    """Allows all endpoints; base class of ejection by an ingress alone."""

    def allows(self, endpoint_id, now):
        """Return True if the ingress may choose the endpoint."""
        return True

    def on_attempt_end(self, endpoint_id, reason, now):
        """Handle the end of an attempt; `reason` is None after an answer."""


class FreeRetries:
    """Retries without a budget."""

    def on_first_attempt(self, now):
        """Count the first attempt of a request."""

    def take_retry(self, now, reason, proven_not_run):
        """Return True if a further attempt is allowed."""
        return True

    def reserve(self, now):
        """Return None: no request is redirected from a busy endpoint."""
        return None


class NoHedging(HedgeDelays):
    """Sends no hedged attempts."""

    def delay_s(self, service, route, objective_s=math.inf):
        """Return None, so that no second attempt is sent."""
        return None


class UniformReturns:
    """Asks refused callers to return after 1 to 3 s, regardless of the load."""

    def on_answer(self, now):
        """Count an answer."""

    def retry_after_s(self, now, rng, min_s):
        """Return the seconds after which a refused caller may return."""
        return max(1.0, min_s) + rng.uniform(0, 2.0)


@dataclass
class Options:
    """Options of one run; each `make_...` is called once per owner of its result.

    `make_queue(worker)` returns an object with the interface of `SlotQueue` whose
    items are of type `Attempt`. `admit(ingress, work, now)` returns the `Reason` to
    refuse a request, or None. `on_refused(ingress, kind, retry_after_s)` is called for
    each request that gets no answer. `select` has the signature
    of `core.selection.select`.
    """

    workers: int = 8
    slots: int = 3
    data_centres: int = 4
    kinds: tuple = (Kind("default", 0.1),)
    rate: Callable = steady_rate(100.0)
    seed: int = 1
    select: Callable = selection.select
    make_policy: Callable = selection.TwoChoices
    make_queue: Callable = lambda worker: SlotQueue(
        worker.slots, worker.slots * QUEUE_PER_SLOT
    )
    make_detector: Callable = NoDetector
    make_log: Callable = lambda timers, announced: None
    make_filter: Callable = OpenFilter
    make_retries: Callable = FreeRetries
    make_returns: Callable = UniformReturns
    make_hedging: Callable = HedgeDelays
    admit: Callable = lambda ingress, work, now: None
    on_refused: Callable = lambda ingress, kind, retry_after_s: None
    make_customer: Callable = lambda rng: "customer"
    worker_options: dict = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a request, shared by its ingress and its agent."""

    work: Work
    kind: Kind
    deadline: float
    ingress: object
    agent: object
    on_end: Callable
    arrived_s: float = 0.0
    started_s: float | None = None
    ended: bool = False
    timer: object = None
    may_wait: bool = True
    sent_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Result:
    """Result of one request as seen by its caller."""

    kind: str
    customer: str
    started_s: float
    latency_s: float
    outcome: Outcome
    reason: Reason | None
    attempts: int
    endpoint_id: str
