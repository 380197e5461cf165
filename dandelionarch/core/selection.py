"""Selection of an endpoint by a pipeline of generators over the candidates.

Each stage yields the candidates that it keeps and records why it drops the others; the
decision log line shows these records.
"""

import math
from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from dandelionarch.core.world import EndpointState, Health, VmState

EJECTED_HINT_MAX_AGE_S = 2.0
# Agents report at once when a gate opens; the limit bounds the effect of a lost report.
TRIAL_HINT_MAX_AGE_S = 5.0
# Share of the requests that go to an unhealthy endpoint to detect its recovery. A rate
# per ingress would grow with the fleet.
TRIAL_SHARE = 0.02
# Requests per slot at which all slots are taken.
FULL_LOAD = 1.0
DEFAULT_FLOOR_SHARE = 0.5
# Time constant with which a reported load approaches the mean of all endpoints; after
# this time most of the reported work has changed.
REPORT_DECAY_S = 0.5
FRESH_REPORT_S = 0.1
# Requests per slot by which the ingress's data centre may exceed the others before
# these get requests; the way there takes 0.5 ms, far less than waiting for a slot.
NEAR_LOAD_MARGIN = 0.25
WARM_UP_S = 10.0
COLD_SHARE = 1 / 3


def warmup_ramp(age_s):
    """Return the share of the slots that an endpoint of this age (s) can use."""
    return min(1.0, COLD_SHARE + (1 - COLD_SHARE) * max(0.0, age_s) / WARM_UP_S)


@dataclass(slots=True)
class Candidate:
    """An endpoint and its present state as the ingress knows it.

    `in_flight` counts this ingress's own requests and `reported` those of other
    ingresses, as the endpoint's agent reported `age_s` seconds ago. `near` is True for
    an endpoint in the ingress's data centre, `invited` if its agent invites the request
    as a trial of its closed gate. `warmup` is the share of its slots that it can use.
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
        requests = self.in_flight
        if self.age_s <= FRESH_REPORT_S:
            requests += self.reported
        return requests >= self.endpoint.slots

    @property
    def capacity(self):
        """Return the slots that the endpoint can use, fewer during its warm-up."""
        return max(1, self.endpoint.slots) * max(self.warmup, 0.05)

    @property
    def load(self):
        """Return the requests per usable slot."""
        return (self.in_flight + self.reported) / self.capacity


@dataclass(frozen=True, slots=True)
class Drop:
    """Reason for which a stage dropped a candidate."""

    endpoint_id: str
    stage: str
    reason: str


@dataclass(slots=True)
class SelectionDecision:
    """The chosen candidate, or None, and how it was selected.

    `kept` holds the candidates that passed all stages, among which the policy chose.
    `last_resort` is True if no untried endpoint was known to be healthy.
    """

    chosen: object = None
    candidates: list = field(default_factory=list)
    kept: list = field(default_factory=list)
    drops: list = field(default_factory=list)
    last_resort: bool = False


def serving(candidates, drops):
    """Keep endpoints that accept new requests, on VMs that are not dead or leaving."""
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
    """Keep the endpoints whose ids are in `only`, or all if it is None."""
    for cand in candidates:
        if only is None or cand.endpoint.endpoint_id in only:
            yield cand
        else:
            drops.append(Drop(cand.endpoint.endpoint_id, "only", "another is meant"))


def not_tried(candidates, drops, tried):
    """Keep endpoints that this request has not tried before."""
    for cand in candidates:
        if cand.endpoint.endpoint_id in tried:
            drops.append(Drop(cand.endpoint.endpoint_id, "tried", "tried before"))
        else:
            yield cand


def age_reports(candidates):
    """Move each reported load towards the mean of all reports as it ages.

    Decay towards zero would send requests to the endpoints with the oldest reports. The
    mean is taken per usable slot, as small and cold endpoints would otherwise seem
    overloaded.
    """
    with_report = [c for c in candidates if c.age_s < math.inf]
    if not with_report:
        return
    mean = sum(c.reported / c.capacity for c in with_report) / len(with_report)
    for cand in candidates:
        weight = math.exp(-cand.age_s / REPORT_DECAY_S)
        expected = mean * cand.capacity
        cand.reported = expected + weight * (cand.reported - expected)


def not_full(candidates, drops):
    """Keep endpoints not known to be full, or all if every one is."""
    kept = list(candidates)
    free = any(not cand.is_full for cand in kept)
    for cand in kept:
        if free and cand.is_full:
            drops.append(Drop(cand.endpoint.endpoint_id, "not_full", "slots taken"))
        else:
            yield cand


def links_within_floor(candidates, drops, floor_share):
    """Drop endpoints whose links are down, but keep `floor_share` of the service.

    A link fault says nothing about the endpoint. The endpoints with the fewest link
    faults are kept, as an ingress with a network fault must not overload the rest of
    the service.
    """
    cands = list(candidates)
    floor = math.ceil(floor_share * len(cands))
    down = sorted((c for c in cands if not c.link_up), key=lambda c: c.link_faults)
    kept_ids = {id(c) for c in down[: max(0, floor - (len(cands) - len(down)))]}
    for cand in cands:
        if cand.link_up or id(cand) in kept_ids:
            yield cand
        else:
            drops.append(Drop(cand.endpoint.endpoint_id, "link", "link down"))


def not_ejected(candidates, drops):
    """Drop endpoints that were recently reported as ejected.

    A refusal by the agent renews the report.
    """
    drop = ("ejected", "hint")
    return _drop_health(candidates, drops, Health.EJECTED, EJECTED_HINT_MAX_AGE_S, drop)


def gate_open(candidates, drops):
    """Drop endpoints whose gates were recently reported as closed.

    Those whose agents invite this request as a trial are kept.
    """
    cands = list(candidates)
    invited = [c for c in cands if c.invited]
    others = [c for c in cands if not c.invited]
    drop = ("gate", "trials only")
    yield from invited
    yield from _drop_health(others, drops, Health.TRIAL, TRIAL_HINT_MAX_AGE_S, drop)


def _drop_health(candidates, drops, health, hint_max_age_s, drop):
    """Drop endpoints with a recently reported health; `drop` is (stage, reason)."""
    for cand in candidates:
        if cand.health is health and cand.health_age_s <= hint_max_age_s:
            drops.append(Drop(cand.endpoint.endpoint_id, *drop))
        else:
            yield cand


def near_first(candidates, drops):
    """Keep the ingress's data centre unless its load exceeds the others' by a margin.

    The margin is `NEAR_LOAD_MARGIN`.
    """
    kept = list(candidates)
    near = [c.load for c in kept if c.near]
    far = [c.load for c in kept if not c.near]
    only_near = near and far and _mean(near) <= _mean(far) + NEAR_LOAD_MARGIN
    for cand in kept:
        if only_near and not cand.near:
            drops.append(Drop(cand.endpoint.endpoint_id, "near_first", "farther"))
        else:
            yield cand


def _mean(values):
    return sum(values) / len(values)


def invited_first(candidates, drops):
    """Keep only endpoints whose agents invite the request as a trial, if any do."""
    cands = list(candidates)
    invited = [c for c in cands if c.invited and c.health is Health.TRIAL]
    ids = {id(c) for c in invited or cands}
    for cand in cands:
        if id(cand) in ids:
            yield cand
        else:
            drops.append(Drop(cand.endpoint.endpoint_id, "invited", "trial first"))


def healthy_first(candidates, drops, rng, trial_share):
    """Prefer healthy endpoints; use demoted ones once these have no free slot.

    The share `trial_share` of the requests goes to one endpoint that is demoted or on
    trial. Here an endpoint on trial has a closed gate or is being readmitted after an
    ejection.
    """
    cands = list(candidates)
    unhealthy = [c for c in cands if c.health in (Health.DEMOTED, Health.TRIAL)]
    usable = [c for c in cands if c.health not in (Health.DEMOTED, Health.TRIAL)]
    demoted = [c for c in unhealthy if c.health is Health.DEMOTED]
    if not unhealthy:
        kept = usable
    elif rng.random() < trial_share:
        kept = [rng.choice(unhealthy)]
    elif any(c.load < FULL_LOAD for c in usable):
        kept = usable
    else:
        kept = usable + demoted or unhealthy
    ids = {id(c) for c in kept}
    for cand in cands:
        if id(cand) in ids:
            yield cand
        else:
            drops.append(Drop(cand.endpoint.endpoint_id, "health", cand.health.value))


class Policy(ABC):
    """A way to choose among the candidates that passed all stages."""

    @abstractmethod
    def choose(self, candidates, rng):
        """Return one of the candidates, a non-empty list."""


class RandomChoice(Policy):
    """A random candidate; a baseline."""

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
    """The one of two random candidates with fewer requests of this ingress.

    It is a baseline.
    """

    def choose(self, candidates, rng):
        if len(candidates) == 1:
            return candidates[0]
        return min(rng.sample(candidates, 2), key=lambda c: c.in_flight)


class TwoChoices(Policy):
    """The less loaded of two random candidates, by own requests and reports."""

    def choose(self, candidates, rng):
        if len(candidates) == 1:
            return candidates[0]
        first, second = rng.sample(candidates, 2)
        return first if first.load <= second.load else second


def select(
    candidates,
    policy,
    rng,
    tried=frozenset(),
    floor_share=DEFAULT_FLOOR_SHARE,
    skip=frozenset(),
    trial_share=TRIAL_SHARE,
    only_healthy=False,
    prefer_invited=False,
    only=None,
):
    """Run the pipeline and return the `SelectionDecision`.

    Parameters
    ----------
    candidates : list of Candidate
    policy : Policy
    rng : random.Random
    tried : set
        Ids of endpoints that the request has tried.
    floor_share : float
        Share of the service's endpoints that link faults do not exclude.
    skip : set of str
        Stages that a measurement switches off.
    trial_share : float
        Share of the requests that go to unhealthy endpoints.
    only_healthy : bool
        True to exclude endpoints with a closed gate that do not invite the request.
    prefer_invited : bool
        True to prefer endpoints that invite the request as a trial.
    only : set, optional
        Ids of the only endpoints that may be chosen.
    """
    decision = SelectionDecision()
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
    if prefer_invited:
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
