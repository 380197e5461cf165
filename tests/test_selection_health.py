"""Selection of an endpoint by health and links."""

import random
from types import SimpleNamespace

from dandelionarch.core.links import MAX_BACKOFF_S, LinkBackoff
from dandelionarch.core.selection import (
    EJECTED_HINT_MAX_AGE_S,
    TRIAL_SHARE,
    Candidate,
    TwoChoices,
    select,
)
from dandelionarch.core.world import EndpointState, Health, VmState


def candidates(count):
    """Return healthy candidates with free slots."""
    vm = SimpleNamespace(state=VmState.ALIVE)
    return [
        Candidate(
            SimpleNamespace(endpoint_id=f"w{n}", slots=3, state=EndpointState.READY), vm
        )
        for n in range(count)
    ]


def count_choices(cands, times=2000, seed=1):
    """Return how often each endpoint is chosen, and the last decision."""
    rng, counts = random.Random(seed), dict.fromkeys(range(len(cands)), 0)
    for _ in range(times):
        decision = select(cands, TwoChoices(), rng)
        counts[cands.index(decision.chosen)] += 1
    return counts, decision


class TestHealthStages:
    """Demoted endpoints come last; recently reported ejections exclude endpoints."""

    def test_ejected_is_dropped_until_the_hint_is_old(self):
        """Guards against excluding an endpoint permanently on an old report."""
        cands = candidates(3)
        cands[0].health = Health.EJECTED
        counts, decision = count_choices(cands)
        assert counts[0] == 0
        assert ("w0", "ejected") in [(d.endpoint_id, d.stage) for d in decision.drops]
        cands[0].health_age_s = EJECTED_HINT_MAX_AGE_S + 0.1
        assert count_choices(cands)[0][0] > 0

    def test_unhealthy_endpoints_get_only_the_trial_share(self):
        """Guards against too many requests to unhealthy endpoints, and against none."""
        for health in (Health.DEMOTED, Health.TRIAL):
            cands = candidates(4)
            cands[0].health = health
            counts, _ = count_choices(cands, times=10_000)
            assert 0.5 * TRIAL_SHARE < counts[0] / 10_000 < 2 * TRIAL_SHARE

    def test_demoted_endpoint_is_used_when_the_others_are_full(self):
        """Guards against losing the capacity of demoted endpoints at high load."""
        cands = candidates(3)
        cands[0].health = Health.DEMOTED
        cands[1].in_flight = cands[2].in_flight = 3
        assert count_choices(cands)[0][0] > 500

    def test_demoted_endpoints_serve_if_there_are_no_others(self):
        """Guards against a service without candidates when all are demoted."""
        cands = candidates(3)
        for cand in cands:
            cand.health = Health.DEMOTED
        assert min(count_choices(cands)[0].values()) > 0


class TestLinkStage:
    """Link faults never exclude more endpoints than the floor allows."""

    def test_bad_links_are_dropped_above_the_floor(self):
        """Guards against sending requests over a link that is down."""
        cands = candidates(4)
        cands[0].link_up = False
        counts, decision = count_choices(cands)
        assert counts[0] == 0
        assert [(d.endpoint_id, d.stage) for d in decision.drops] == [("w0", "link")]

    def test_least_bad_links_stay_at_the_floor(self):
        """Guards against an ingress whose network fault excludes all endpoints."""
        cands = candidates(4)
        for number, cand in enumerate(cands[:3]):
            cand.link_up, cand.link_faults = False, 3 - number
        counts, decision = count_choices(cands)
        assert [n for n, count in counts.items() if count] == [2, 3]
        assert {d.endpoint_id for d in decision.drops} == {"w0", "w1"}

    def test_backoff_of_a_failing_link_doubles_and_ends_with_a_message(self):
        """Guards against connecting for each request, and against never retrying."""
        backoff = LinkBackoff()
        backoff.on_failure("vm-1", 0.0)
        assert not backoff.is_up("vm-1", 0.9)
        assert backoff.is_up("vm-1", 1.0)
        backoff.on_failure("vm-1", 1.0)
        assert not backoff.is_up("vm-1", 2.9)
        for _ in range(40):
            backoff.on_failure("vm-1", 3.0)
        assert backoff.is_up("vm-1", 3.0 + MAX_BACKOFF_S)
        assert backoff.is_up("vm-2", 3.0)
        backoff.on_message("vm-1")
        assert backoff.is_up("vm-1", 3.0)
