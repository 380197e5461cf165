"""Choice of an endpoint: a pipeline of generators over the candidates.

Each stage passes candidates on or notes why it dropped one; the notes make up the
decision log line.
"""

import math
from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from dandelionarch.core.world import EndpointState, Health, VmState

EJECTED_HINT_MAX_AGE_S = 2.0
# Agents tell at once when they admit all work again; the age only bounds the harm of
# a message that was lost.
TRIAL_HINT_MAX_AGE_S = 5.0
# Requests that go to an endpoint that is not healthy, so that its recovery shows.
# A share of requests, not a rate per ingress, which would grow with the fleet.
TRIAL_SHARE = 0.02
# All slots of the healthy endpoints taken, as far as the ingress knows.
FULL_LOAD = 1.0
DEFAULT_FLOOR_SHARE = 0.5
# A report says little about the load after this time: most work has changed.
REPORT_DECAY_S = 0.5
FRESH_REPORT_S = 0.1
# Work per slot by which the own data centre may exceed the others before they
# share its work; the way there costs 0.5 ms, far less than waiting for a slot.
NEAR_LOAD_MARGIN = 0.25
WARM_UP_S = 10.0
COLD_SHARE = 1 / 3


def warmup_ramp(age_s):
    """Return the share of its slots that an endpoint of this age can use."""
    return min(1.0, COLD_SHARE + (1 - COLD_SHARE) * max(0.0, age_s) / WARM_UP_S)


@dataclass(slots=True)
class Candidate:
    """An endpoint with what the ingress knows of it now.

    `in_flight` counts this ingress's own requests; `reported` those of others, as
    the endpoint's agent told `age_s` seconds ago; `near` says that the endpoint is
    in the ingress's data centre, `invited` that its agent asks for the request as a
    trial.
    """

    endpoint: object
    vm: object
    link_up: bool = True
    in_flight: int = 0
    reported: float = 0
    warmup: float = 1.0
    health: Health = Health.HEALTHY
    health_age_s: float = 0.0
    invited: bool = False
    link_faults: int = 0
    age_s: float = math.inf
    near: bool = True

    @property
    def is_full(self):
        """Return True if all slots are known to be taken."""
        known = self.in_flight
        if self.age_s <= FRESH_REPORT_S:
            known += self.reported
        return known >= self.endpoint.slots

    @property
    def capacity(self):
        """Slots that the endpoint can use, fewer while it is still cold."""
        return max(1, self.endpoint.slots) * max(self.warmup, 0.05)

    @property
    def load(self):
        """Work per slot, higher while the endpoint is still cold."""
        return (self.in_flight + self.reported) / self.capacity


@dataclass(frozen=True, slots=True)
class Drop:
    """Why a stage dropped a candidate."""

    endpoint_id: str
    stage: str
    reason: str


@dataclass(slots=True)
class Decision:
    """The endpoint chosen, or None, and how it came about.

    `kept` holds the candidates that passed all stages, among which the policy chose.
    `last_resort` says that no endpoint was known that takes all work.
    """

    chosen: object = None
    candidates: list = field(default_factory=list)
    kept: list = field(default_factory=list)
    drops: list = field(default_factory=list)
    last_resort: bool = False


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


def only_requested(candidates, drops, only):
    """Keep the endpoints that the request is meant for, all if that is None."""
    for cand in candidates:
        if only is None or cand.endpoint.endpoint_id in only:
            yield cand
        else:
            drops.append(Drop(cand.endpoint.endpoint_id, "only", "another is meant"))


def not_tried(candidates, drops, tried):
    """Keep endpoints that this request has not tried."""
    for cand in candidates:
        if cand.endpoint.endpoint_id in tried:
            drops.append(Drop(cand.endpoint.endpoint_id, "tried", "tried before"))
        else:
            yield cand


def age_reports(candidates):
    """Move each reported load towards the mean of all as it ages.

    Towards zero would send work to whatever was not heard of for longest. The mean is
    of the work per slot, or small and cold endpoints would count as overloaded.
    """
    heard = [c for c in candidates if c.age_s < math.inf]
    if not heard:
        return
    mean = sum(c.reported / c.capacity for c in heard) / len(heard)
    for cand in candidates:
        weight = math.exp(-cand.age_s / REPORT_DECAY_S)
        usual = mean * cand.capacity
        cand.reported = usual + weight * (cand.reported - usual)


def not_full(candidates, drops):
    """Keep endpoints with a free slot as far as known, or all if there is none."""
    kept = list(candidates)
    free = any(not cand.is_full for cand in kept)
    for cand in kept:
        if free and cand.is_full:
            drops.append(Drop(cand.endpoint.endpoint_id, "not_full", "slots taken"))
        else:
            yield cand


def links_within_floor(candidates, drops, floor_share):
    """Drop endpoints with a bad link, but keep the floor share of the service.

    A link fault says nothing about the endpoint; the least bad links stay, as one
    ingress with a bad network must not take the rest of the service away.
    """
    cands = list(candidates)
    least = math.ceil(floor_share * len(cands))
    bad = sorted((c for c in cands if not c.link_up), key=lambda c: c.link_faults)
    stay = {id(c) for c in bad[: max(0, least - (len(cands) - len(bad)))]}
    for cand in cands:
        if cand.link_up or id(cand) in stay:
            yield cand
        else:
            drops.append(Drop(cand.endpoint.endpoint_id, "link", "link down"))


def not_ejected(candidates, drops):
    """Drop ejected endpoints while the hint is fresh; a refusal renews it."""
    drop = ("ejected", "hint")
    return _drop_health(candidates, drops, Health.EJECTED, EJECTED_HINT_MAX_AGE_S, drop)


def gate_open(candidates, drops):
    """Drop endpoints that have lately said that they take trials only.

    Those stay whose agents ask for this request as a trial.
    """
    cands = list(candidates)
    asking = [c for c in cands if c.invited]
    others = [c for c in cands if not c.invited]
    drop = ("gate", "trials only")
    yield from asking
    yield from _drop_health(others, drops, Health.TRIAL, TRIAL_HINT_MAX_AGE_S, drop)


def _drop_health(candidates, drops, health, hint_max_age_s, drop):
    """Drop endpoints of a health that was told lately; `drop` is (stage, reason)."""
    for cand in candidates:
        if cand.health is health and cand.health_age_s <= hint_max_age_s:
            drops.append(Drop(cand.endpoint.endpoint_id, *drop))
        else:
            yield cand


def near_first(candidates, drops):
    """Keep the own data centre until its load exceeds the others' by the margin."""
    kept = list(candidates)
    near = [c.load for c in kept if c.near]
    far = [c.load for c in kept if not c.near]
    stay = near and far and _mean(near) <= _mean(far) + NEAR_LOAD_MARGIN
    for cand in kept:
        if stay and not cand.near:
            drops.append(Drop(cand.endpoint.endpoint_id, "near_first", "farther"))
        else:
            yield cand


def _mean(values):
    return sum(values) / len(values)


def invited_first(candidates, drops):
    """Keep endpoints whose agents have asked for a trial, if there are any."""
    cands = list(candidates)
    asking = [c for c in cands if c.invited and c.health is Health.TRIAL]
    ids = {id(c) for c in asking or cands}
    for cand in cands:
        if id(cand) in ids:
            yield cand
        else:
            drops.append(Drop(cand.endpoint.endpoint_id, "invited", "trial first"))


def healthy_first(candidates, drops, rng, trial_share):
    """Prefer healthy endpoints; demoted ones take what these have no slot for.

    The share `trial_share` of requests goes to one demoted endpoint or one on trial.
    """
    cands = list(candidates)
    weak = [c for c in cands if c.health in (Health.DEMOTED, Health.TRIAL)]
    fit = [c for c in cands if c.health not in (Health.DEMOTED, Health.TRIAL)]
    demoted = [c for c in weak if c.health is Health.DEMOTED]
    if not weak:
        kept = fit
    elif rng.random() < trial_share:
        kept = [rng.choice(weak)]
    elif any(c.load < FULL_LOAD for c in fit):
        kept = fit
    else:
        kept = fit + demoted or weak
    ids = {id(c) for c in kept}
    for cand in cands:
        if id(cand) in ids:
            yield cand
        else:
            drops.append(Drop(cand.endpoint.endpoint_id, "health", cand.health.value))


class Policy(ABC):
    """A way to choose among candidates that may take the request."""

    @abstractmethod
    def choose(self, candidates, rng):
        """Return one of the candidates, a non-empty list."""


class RandomChoice(Policy):
    """Any candidate; a baseline."""

    def choose(self, candidates, rng):
        return rng.choice(candidates)


class RoundRobin(Policy):
    """The candidates in turn; a baseline."""

    def __init__(self):
        self._turn = 0

    def choose(self, candidates, rng):
        self._turn += 1
        return candidates[self._turn % len(candidates)]


class PlainTwoChoices(Policy):
    """The one of two random candidates with fewer own requests; a baseline."""

    def choose(self, candidates, rng):
        if len(candidates) == 1:
            return candidates[0]
        return min(rng.sample(candidates, 2), key=lambda c: c.in_flight)


class TwoChoices(Policy):
    """The less loaded of two random candidates, by own work and by reports."""

    def choose(self, candidates, rng):
        if len(candidates) == 1:
            return candidates[0]
        one, two = rng.sample(candidates, 2)
        return one if one.load <= two.load else two


def select(
    candidates,
    policy,
    rng,
    tried=frozenset(),
    floor_share=DEFAULT_FLOOR_SHARE,
    skip=frozenset(),
    trial_share=TRIAL_SHARE,
    only_healthy=False,
    may_try=False,
    only=None,
):
    """Run the pipeline and return the `Decision`.

    `trial_share` is the share of requests that try unhealthy endpoints; with
    `only_healthy` none that takes trials only is chosen, with `may_try` one that asks
    for a trial comes first, and with `only` one of these ids is chosen; `skip` names
    stages that a measurement switches off.
    """
    decision = Decision()
    drops = decision.drops
    decision.candidates = [c.endpoint.endpoint_id for c in candidates]
    stream = serving(candidates, drops)
    stream = links_within_floor(stream, drops, floor_share)
    stream = only_requested(stream, drops, only)
    stream = reachable = list(not_tried(stream, drops, tried))
    if "age_reports" not in skip:
        age_reports(stream)
    stream = not_ejected(stream, drops)
    if only_healthy:
        stream = gate_open(stream, drops)
    if may_try:
        stream = invited_first(stream, drops)
    if "not_full" not in skip:
        stream = not_full(stream, drops)
    stream = healthy_first(stream, drops, rng, trial_share)
    if "near_first" not in skip:
        stream = near_first(stream, drops)
    kept = decision.kept = list(stream)
    healthy = Health.HEALTHY
    decision.last_resort = not any(c.health is healthy for c in reachable)
    if kept:
        decision.chosen = policy.choose(kept, rng)
    return decision
