"""Load on a service of which many gates are closed, in a fleet of many ingresses.

Patterns: connections break for a few seconds at two endpoints in three, and a third of
them has to carry the work although all are sound again; and a quiet spell in which few
requests are idempotent, so that few could show which endpoints are sound again.
"""

import random

import pytest

from dandelionarch.core.gate import EndpointGate, RunResult
from dandelionarch.core.ingress import MAX_DISPATCHES
from dandelionarch.core.selection import Candidate, TwoChoices, select
from dandelionarch.core.trials import TrialInviter, TrialInvites
from dandelionarch.core.world import Endpoint, Health, Vm
from dandelionarch.daemon.registry_app import GATE_TRIAL_SHARE
from dandelionarch.daemon.watch import CHECK_PERIOD_S
from tests.support.simulation import Simulation

INGRESSES = 99
# Calls that endpoints make come from the VMs of the services that make them.
IDEMPOTENT_INGRESSES = 33
ENDPOINTS = 30
SLOTS = 3
QUEUE = 3
WORK_S = 0.56
VM = Vm("vm", "dc", "r", "h", 0, 0, 0, 0, 1)


class SoundEndpoint:
    """An endpoint that serves all that its gate and its queue let in."""

    def __init__(self, number, rng):
        self.endpoint = Endpoint(f"i-{number}", "vm", "s", "h", 80, SLOTS, 330, 1)
        self.gate = EndpointGate()
        self.inviter = TrialInviter(rng)
        self.running = 0
        self.waiting = []
        self.last_run = 0.0
        # When the ingresses heard of the gate last; one that is refused asks for all.
        self.told = 0.0


class Service(Simulation):
    """All endpoints of a service, and the requests that come to it."""

    def __init__(
        self,
        seed,
        closed,
        rate_per_s,
        idempotent_share,
        ingresses=INGRESSES,
        idempotent_ingresses=IDEMPOTENT_INGRESSES,
    ):
        super().__init__()
        self.rng = random.Random(seed)
        self.refused = 0
        self.requests = 0
        self.rate_per_s = rate_per_s
        self.idempotent_share = idempotent_share
        self.ingresses = ingresses
        self.idempotent_ingresses = idempotent_ingresses
        self.invites = [TrialInvites() for _ in range(ingresses)]
        self.endpoints = {
            f"i-{number}": SoundEndpoint(number, self.rng)
            for number in range(ENDPOINTS)
        }
        for number in range(closed):
            self._close(self.endpoints[f"i-{number}"])
        self.call_at(0.0, self._arrive)
        self.call_at(0.0, self._invite)

    def _close(self, endpoint):
        """Let the endpoint's last requests break, which came from a few ingresses."""
        for _ in range(2):
            endpoint.inviter.asked(self.rng.randrange(self.idempotent_ingresses))
        run = object()
        endpoint.gate.began(run, 0.0)
        endpoint.gate.ended(run, RunResult.BROKEN, 0.0)

    def open_share(self):
        """Return the share of the endpoints that take all work."""
        healths = [e.gate.health for e in self.endpoints.values()]
        return healths.count(Health.HEALTHY) / ENDPOINTS

    def busy_share(self, window_s):
        """Return the share of the endpoints that got work within a time."""
        since = self.now - window_s
        return sum(e.last_run >= since for e in self.endpoints.values()) / ENDPOINTS

    def _invite(self):
        self.call_at(self.now + CHECK_PERIOD_S, self._invite)
        for endpoint_id, endpoint in self.endpoints.items():
            due = endpoint.inviter.due(endpoint.gate, self.now, self._ingresses)
            for ingress in due:
                any_work = endpoint.gate.takes_any_trial(self.now)
                self.invites[ingress].invited(endpoint_id, self.now, any_work)

    def _ingresses(self):
        return range(self.ingresses)

    def _arrive(self):
        self.call_at(self.now + self.rng.expovariate(self.rate_per_s), self._arrive)
        self.requests += 1
        idempotent = self.rng.random() < self.idempotent_share
        senders = self.idempotent_ingresses if idempotent else self.ingresses
        ingress = self.rng.randrange(senders)
        if not self._place(ingress, idempotent):
            self.refused += 1

    def _place(self, ingress, idempotent):
        tried = set()
        for _ in range(MAX_DISPATCHES):
            decision = select(
                [
                    self._candidate(e, ingress, idempotent)
                    for e in self.endpoints.values()
                ],
                TwoChoices(),
                self.rng,
                tried,
                trial_share=GATE_TRIAL_SHARE if idempotent else 0.0,
                only_healthy=not idempotent,
                may_try=not tried,
            )
            if decision.chosen is None:
                return False
            chosen = decision.chosen.endpoint.endpoint_id
            tried.add(chosen)
            self.invites[ingress].used(chosen)
            if self._offer(self.endpoints[chosen], ingress, idempotent):
                return True
        return False

    def _candidate(self, endpoint, ingress, idempotent):
        endpoint_id = endpoint.endpoint.endpoint_id
        return Candidate(
            endpoint.endpoint,
            VM,
            health=endpoint.gate.health,
            health_age_s=self.now - endpoint.told,
            invited=self.invites[ingress].holds(endpoint_id, self.now, idempotent),
        )

    def _offer(self, endpoint, ingress, idempotent):
        if idempotent:
            endpoint.inviter.asked(ingress)
        if not endpoint.gate.admits(idempotent, self.now):
            endpoint.told = self.now
            return False
        run = object()
        if endpoint.running < SLOTS:
            self._begin(endpoint, run)
        elif len(endpoint.waiting) < QUEUE:
            endpoint.waiting.append(run)
        else:
            return False
        endpoint.gate.began(run, self.now)
        return True

    def _begin(self, endpoint, run):
        endpoint.running += 1
        endpoint.last_run = self.now
        work_s = WORK_S * self.rng.uniform(0.5, 1.5)
        self.call_at(self.now + work_s, self._end, endpoint, run)

    def _end(self, endpoint, run):
        endpoint.running -= 1
        endpoint.gate.ended(run, RunResult.SERVED, self.now)
        endpoint.inviter.trial_ended()
        if endpoint.waiting:
            self._begin(endpoint, endpoint.waiting.pop(0))


@pytest.mark.parametrize("seed", range(5))
class TestClosedGates:
    """A sound service is not left to the part of it whose gates are open.

    The floor of 0.7 of the sound endpoints is to stand two seconds after they are sound
    again; two more seconds are for the trials.
    """

    def test_gates_open_again_while_the_rest_is_full(self, seed):
        """Guards against a service that refuses work beside closed, sound endpoints.

        On kintaat-fi-grown trouble-1, 21 of 29 gates stayed closed for six seconds
        while the open endpoints refused work.
        """
        service = Service(seed, closed=21, rate_per_s=45, idempotent_share=0.8)
        service.run(until=4.0)
        assert service.open_share() >= 0.7
        assert service.refused <= 0.05 * service.requests

    def test_gates_open_where_few_requests_are_idempotent(self, seed):
        """Guards against ingresses that are invited and have no such request.

        On a small twin of sengupta-lamps-large quiet-1 a gate that had closed for a
        spell of about 3 s stayed closed for 9 s (median of 25), up to 20 s.
        """
        service = Service(
            seed,
            closed=12,
            rate_per_s=45,
            idempotent_share=0.4,
            ingresses=233,
            idempotent_ingresses=233,
        )
        service.run(until=4.0)
        assert service.open_share() >= 0.7

    def test_trials_that_are_given_up_do_not_keep_a_gate_closed(self, seed):
        """Guards against trials that end before they show anything.

        On sengupta-lamps-grown trouble-1, 13 of 15 gates stayed closed for eight
        seconds: most trials were one of two calls, and were given up after 20 ms as
        the other one had been refused.
        """
        rng, gate, now = random.Random(seed), EndpointGate(), 0.0
        for _ in range(4):
            gate.began("failed", now)
            gate.ended("failed", RunResult.BROKEN, now)
        while gate.health is not Health.HEALTHY:
            now += 0.05
            if not gate.admits(idempotent=True, now=now):
                continue
            gate.began("trial", now)
            given_up = rng.random() < 0.7
            now += 0.02 if given_up else 0.2
            result = RunResult.INCONCLUSIVE if given_up else RunResult.SERVED
            gate.ended("trial", result, now)
        assert now <= 4.0

    def test_gates_are_tried_while_few_requests_are_idempotent(self, seed):
        """Guards against sound endpoints that get nothing for want of a trial.

        On kintaat-fi-grown trouble-1, gates stayed closed for 10 s in a quiet spell.
        """
        service = Service(seed, closed=15, rate_per_s=40, idempotent_share=0.25)
        service.run(until=4.0)
        assert service.busy_share(window_s=2.0) >= 0.7


class TestNoIdempotentWork:
    """A service whose work can't be repeated gets its sound endpoints back as well."""

    def test_closed_gates_are_tried_by_orders(self):
        """Guards against sound endpoints that only idempotent work could show.

        Agents let other work in five seconds after the last failure, and ingresses
        send it there five seconds after they heard of the gate.
        """
        service = Service(seed=0, closed=15, rate_per_s=40, idempotent_share=0.0)
        service.run(until=4.0)
        assert service.busy_share(window_s=2.0) >= 0.7
