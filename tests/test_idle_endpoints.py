"""Requests to healthy endpoints that have no recent answer.

Most requests are not idempotent. Some endpoints have just joined or recovered, while
the others answer all the time and have room for twice the load.
"""

import random

import pytest

from dandelionarch.core.admission import CostQueue
from dandelionarch.core.ingress import Dispatch, RequestLifecycle, Work
from dandelionarch.core.selection import COLD_SHARE, Candidate, TwoChoices, select
from dandelionarch.core.stalls import StallDetector
from dandelionarch.core.world import Endpoint, Vm
from dandelionarch.daemon.agent import REASON_OF_VERDICT
from dandelionarch.daemon.registry_app import MAX_BUSY_REDIRECTS
from tests.support.simulation import Simulation

ENDPOINTS = 30
SLOTS = 3
WORK_S = 0.43
DEADLINE_S = 4.0
LOAD = 0.5
# Share of a service's healthy endpoints that should get requests in each window.
FLOOR_SHARE = 0.7
WINDOW_S = 2.0
VM = Vm("vm", "dc", "r", "h", 0, 0, 0, 0, 1)


class AnsweringEndpoint:
    """A healthy endpoint with its agent's queue and hang detector."""

    def __init__(self, endpoint_id, answered):
        self.endpoint = Endpoint(endpoint_id, "vm", "s", "h", 80, SLOTS, 1620, 1)
        self.queue = CostQueue(SLOTS)
        self.stalls = StallDetector(lambda key, age_s: None)
        self.last_run = 0.0
        if answered:
            self.stalls.on_run_started("first", "k", 0.0)
            self.stalls.on_run_ended("first", answered=True, now=0.0)

    def offer(self, item, work, now, deadline, may_wait):
        """Return (verdict, wait in seconds that the agent reports)."""
        may_move = not may_wait and not work.idempotent
        if may_move and self.stalls.should_redirect(now):
            return "busy", self.queue.retry_after_s(now) + self.stalls.risk_s(now)
        verdict = self.queue.offer(item, now, "k", deadline, may_wait=may_wait)
        return verdict, self.queue.retry_after_s(now)


class Service(Simulation):
    """Endpoints, the last `idle` of which have not answered yet, and requests."""

    def __init__(self, seed, idle, idempotent_share):
        super().__init__()
        self.rng = random.Random(seed)
        self.idle = idle
        self.idempotent_share = idempotent_share
        self.endpoints = {
            f"i-{n}": AnsweringEndpoint(f"i-{n}", answered=n < ENDPOINTS - idle)
            for n in range(ENDPOINTS)
        }
        self.call_at(0.0, self._arrive)

    def least_busy_share(self, seconds):
        """Return the minimum share of idle endpoints with requests in a window."""
        shares = []
        for _ in self.steps(seconds):
            if self.now >= WINDOW_S:
                shares.append(self._busy_share())
        return min(shares)

    def _busy_share(self):
        idle = list(self.endpoints.values())[-self.idle :]
        since = self.now - WINDOW_S
        return sum(e.last_run >= since for e in idle) / self.idle

    def _candidate(self, endpoint):
        return Candidate(endpoint.endpoint, VM)

    def _choose(self, work, tried, only=None):
        candidates = [self._candidate(e) for e in self.endpoints.values()]
        return select(candidates, TwoChoices(), self.rng, tried, only=only)

    def _arrive(self):
        per_s = LOAD * ENDPOINTS * SLOTS / WORK_S
        self.call_at(self.now + self.rng.expovariate(per_s), self._arrive)
        idempotent = self.rng.random() < self.idempotent_share
        work = Work("r", "c", "s", "route", "kind", idempotent, 0)
        deadline = self.now + DEADLINE_S
        lifecycle = RequestLifecycle(
            work,
            self._choose,
            deadline,
            self.rng,
            reserve=lambda: lambda: None,
            max_busy_redirects=MAX_BUSY_REDIRECTS,
        )
        item = object()
        command = lifecycle.start(self.now)
        while isinstance(command, Dispatch):
            endpoint = self.endpoints[command.endpoint.endpoint_id]
            verdict, wait_s = endpoint.offer(
                item, work, self.now, deadline, command.may_wait
            )
            if verdict == "run":
                self._begin(endpoint, item)
            if verdict not in REASON_OF_VERDICT:
                return
            command = lifecycle.on_not_run(REASON_OF_VERDICT[verdict], self.now, wait_s)

    def _begin(self, endpoint, item):
        endpoint.last_run = self.now
        endpoint.stalls.on_run_started(item, "k", self.now)
        work_s = WORK_S * self.rng.uniform(0.5, 1.5)
        self.call_at(self.now + work_s, self._end, endpoint, item)

    def _end(self, endpoint, item):
        endpoint.stalls.on_run_ended(item, answered=True, now=self.now)
        following = endpoint.queue.finish(item, self.now)
        if following is not None:
            self._begin(endpoint, following)


class ServiceWithJoined(Service):
    """The idle endpoints joined at the start and reported that they were warming up.

    Ingresses rarely get load reports; here each has only those of the start.
    """

    def __init__(self, seed, idle, idempotent_share):
        super().__init__(seed, idle, idempotent_share)
        self._joined = set(list(self.endpoints)[-idle:])

    def _candidate(self, endpoint):
        cand = super()._candidate(endpoint)
        joined = endpoint.endpoint.endpoint_id in self._joined
        cand.age_s = self.now
        cand.reported = 0 if joined else LOAD * SLOTS
        cand.warmup = COLD_SHARE if joined else 1.0
        return cand


@pytest.mark.parametrize("seed", range(5))
class TestHealthyIdleEndpoints:
    """A healthy idle endpoint gets the requests that can show that it is healthy."""

    def test_orders_do_not_avoid_an_endpoint_for_long(self, seed):
        """Guards against orders that avoid an idle endpoint because it is idle.

        In a load run three of nine healthy endpoints of a service got no requests for
        two seconds while 32 of 233 requests were not served.
        """
        service = Service(seed, idle=9, idempotent_share=0.1)
        assert service.least_busy_share(8.0) >= FLOOR_SHARE

    def test_joined_endpoint_does_not_count_as_loaded(self, seed):
        """Guards against a new endpoint that counts as loaded until its next report.

        In a load run an endpoint that had joined six seconds before was a candidate in
        70 selections within two seconds and never chosen.
        """
        service = ServiceWithJoined(seed, idle=3, idempotent_share=1.0)
        assert service.least_busy_share(8.0) >= FLOOR_SHARE
