"""Choice of an endpoint: a pipeline of generators over the candidates.

Each stage passes candidates on or notes why it dropped one; the notes make up the
decision log line.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from dandelionarch.core.world import EndpointState, Health, VmState


@dataclass(slots=True)
class Candidate:
    """An endpoint with what the ingress knows of it now."""

    endpoint: object
    vm: object
    link_up: bool = True
    in_flight: int = 0
    reported: int = 0
    warmup: float = 1.0
    health: Health = Health.HEALTHY

    @property
    def load(self):
        """Work per slot, higher while the endpoint is still cold."""
        slots = max(1, self.endpoint.slots) * max(self.warmup, 0.05)
        return (self.in_flight + self.reported) / slots


@dataclass(frozen=True, slots=True)
class Drop:
    """Why a stage dropped a candidate."""

    endpoint_id: str
    stage: str
    reason: str


@dataclass(slots=True)
class Decision:
    """The endpoint chosen, or None, and how it came about."""

    chosen: object = None
    candidates: list = field(default_factory=list)
    drops: list = field(default_factory=list)


def serving(candidates, drops):
    """Keep endpoints that take new work on VMs that are not gone or leaving."""
    for cand in candidates:
        state = cand.endpoint.state
        if state not in (EndpointState.READY, EndpointState.STARTING):
            drops.append(Drop(cand.endpoint.endpoint_id, "serving", state.value))
        elif cand.vm is None or cand.vm.state in (VmState.LEAVING, VmState.DEAD):
            reason = cand.vm.state.value if cand.vm else "unknown vm"
            drops.append(Drop(cand.endpoint.endpoint_id, "serving", reason))
        else:
            yield cand


def reachable(candidates, drops):
    """Keep endpoints whose link is up."""
    for cand in candidates:
        if cand.link_up:
            yield cand
        else:
            drops.append(Drop(cand.endpoint.endpoint_id, "reachable", "link down"))


def not_tried(candidates, drops, tried):
    """Keep endpoints that this request has not tried."""
    for cand in candidates:
        if cand.endpoint.endpoint_id in tried:
            drops.append(Drop(cand.endpoint.endpoint_id, "tried", "tried before"))
        else:
            yield cand


class Policy(ABC):
    """A way to choose among candidates that may take the request."""

    @abstractmethod
    def choose(self, candidates, rng):
        """Return one of the candidates, a non-empty list."""


class TwoChoices(Policy):
    """The less loaded of two random candidates."""

    def choose(self, candidates, rng):
        if len(candidates) == 1:
            return candidates[0]
        one, two = rng.sample(candidates, 2)
        return one if one.load <= two.load else two


def select(candidates, policy, rng, tried=frozenset()):
    """Run the pipeline and return the `Decision`."""
    decision = Decision()
    decision.candidates = [c.endpoint.endpoint_id for c in candidates]
    stream = serving(candidates, decision.drops)
    stream = reachable(stream, decision.drops)
    stream = not_tried(stream, decision.drops, tried)
    kept = list(stream)
    if kept:
        decision.chosen = policy.choose(kept, rng)
    return decision
