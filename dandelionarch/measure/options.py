"""Options of a model run: what can be exchanged for another part."""

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


def crest(base, factor, start_s, ramp_s=2.0, lasts_s=math.inf):
    """Return a rate (requests/s) that rises by `factor` within `ramp_s` seconds."""

    def rate(now):
        if not start_s <= now < start_s + lasts_s:
            return base
        return base * (1 + (factor - 1) * min(1.0, (now - start_s) / ramp_s))

    rate.peak = base * factor
    return rate


def steady(base):
    """Return a constant rate (requests/s)."""
    return crest(base, 1.0, 0.0)


class NoDetector:
    """Judges nothing; the base of the detectors that an agent can be given.

    `agent.model.timers` is the clock, `agent.model.network.send` reaches the
    other agents, `agent.model.agents` lists them.
    """

    health = Health.HEALTHY

    def __init__(self, agent):
        self.agent = agent

    def refusal(self, attempt, now):
        """Return a `Reason` to refuse an attempt at its arrival, or None."""
        return None

    def started(self, attempt, now):
        """Take note of an attempt that got a slot."""

    def finished(self, attempt, service_s, reason, now):
        """Take note of the end of an attempt that was not refused at its arrival.

        `service_s` has no queueing; `reason` is None for a success.
        """


class OpenFilter:
    """Judges nothing at an ingress; base of ingress-side ejection baselines."""

    def keeps(self, endpoint_id, now):
        """Return True if the ingress may choose the endpoint."""
        return True

    def ended(self, endpoint_id, reason, now):
        """Take note of an attempt's end; `reason` is None for an answer."""


class FreeRetries:
    """Retries without a budget; `first` is called per request."""

    def on_first_attempt(self, now):
        """Take note of a first attempt."""

    def take_retry(self, now, reason, proven):
        """Return True if a further attempt is allowed."""
        return True

    def reserve(self, now):
        """Return None: no request is turned away by a busy endpoint."""
        return None


class NoHedging(HedgeDelays):
    """Sends no second attempt beside a straggling one."""

    def delay_s(self, service, route, objective_s=math.inf):
        """Return None."""
        return None


class UniformReturns:
    """Asks refused callers to return within 1 to 3 s, whatever the load."""

    def on_answer(self, now):
        """Take note of an answer."""

    def retry_after_s(self, now, rng, least_s):
        """Return in how many seconds a refused caller may return."""
        return max(1.0, least_s) + rng.uniform(0, 2.0)


@dataclass
class Options:
    """One run of the model; all `make_...` are called once per owner.

    `make_queue(worker)` has the interface of `SlotQueue`, with the `Attempt` as
    item; `admit(ingress, work, now)` returns a `Reason` to refuse, or None;
    `on_refused` is called with the `Retry-After` in seconds.
    `select` has the signature of `core.selection.select`.
    """

    workers: int = 8
    slots: int = 3
    data_centres: int = 4
    kinds: tuple = (Kind("default", 0.1),)
    rate: Callable = steady(100.0)
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
    """One attempt of a request, known to its ingress and its agent."""

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
    """What the caller of one request saw."""

    kind: str
    customer: str
    started_s: float
    latency_s: float
    outcome: Outcome
    reason: Reason | None
    attempts: int
    endpoint_id: str
