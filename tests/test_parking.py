"""Parking: requests wait at the ingress while no endpoint is available.

Most endpoints of a small service fail at once, the last open gate closes too, and some
gates open again after a few tenths of a second. Callers do not retry after a refusal.
"""

import dataclasses
import random

import pytest

from dandelionarch.core.ingress import (
    MAX_DISPATCHES,
    PARK_BUDGET_SHARE,
    Dispatch,
    Park,
    Refuse,
    RequestLifecycle,
    Work,
)
from dandelionarch.core.outcome import Outcome, Reason
from dandelionarch.core.selection import Candidate, TwoChoices, select
from dandelionarch.core.world import Endpoint, Health, Vm

VM = Vm("vm", "dc", "r", "h", 0, 0, 0, 0, 1)
ORDER = Work("r", "c", "s", "route", "kind", False, 0)
DEADLINE_S = 2.0


class Gates:
    """Endpoints whose gates the test opens and closes, and one request to them."""

    def __init__(self, size=3, open_ids=(), work=ORDER, can_park=True):
        self.rng = random.Random(1)
        self.health = {f"i-{n}": Health.TRIAL for n in range(size)}
        self.open(*open_ids)
        self.lifecycle = RequestLifecycle(
            work,
            self._choose,
            DEADLINE_S,
            self.rng,
            reserve=lambda: lambda: None,
            max_busy_redirects=3,
            can_park=can_park,
        )

    def open(self, *endpoint_ids):
        """Open the gates of some endpoints."""
        self.health |= dict.fromkeys(endpoint_ids, Health.HEALTHY)

    def close(self, *endpoint_ids):
        """Close the gates of some endpoints."""
        self.health |= dict.fromkeys(endpoint_ids, Health.TRIAL)

    def _choose(self, work, tried, only=None):
        candidates = [
            Candidate(Endpoint(e, "vm", "s", "h", 80, 2, 330, 1), VM, health=h)
            for e, h in self.health.items()
        ]
        return select(
            candidates,
            TwoChoices(),
            self.rng,
            tried,
            only_healthy=not work.idempotent,
            only=only,
        )


class TestParking:
    """A request waits for an open gate for a part of its time, then it is refused."""

    def test_order_goes_to_the_gate_that_opens(self):
        """Guards against a refusal while gates open every few tenths of a second.

        In a load run 63 of 1,444 requests were refused at closed gates, most of them
        with over half of their time left.
        """
        gates = Gates()
        command = gates.lifecycle.start(0.0)
        assert isinstance(command, Park)
        gates.open("i-1")
        command = gates.lifecycle.resume(command.reason, 0.3)
        assert isinstance(command, Dispatch)
        assert command.endpoint.endpoint_id == "i-1"

    def test_endpoint_whose_agent_refused_is_tried_again(self):
        """Guards against excluding an endpoint whose gate was closed before."""
        gates = Gates(open_ids=["i-0"])
        command = gates.lifecycle.start(0.0)
        gates.close("i-0")
        command = gates.lifecycle.on_not_run(Reason.EJECTED, 0.1)
        assert isinstance(command, Park)
        gates.open("i-0")
        command = gates.lifecycle.resume(command.reason, 0.4)
        assert command.endpoint.endpoint_id == "i-0"

    def test_endpoint_that_was_reached_is_not_tried_again(self):
        """Guards against retrying an idempotent request where it has just failed."""
        idempotent = dataclasses.replace(ORDER, idempotent=True)
        gates = Gates(size=1, open_ids=["i-0"], work=idempotent)
        gates.lifecycle.start(0.0)
        command = gates.lifecycle.on_failed(Reason.WORKER_FAILED, 0.1)
        assert isinstance(command, Park)
        assert not isinstance(gates.lifecycle.resume(command.reason, 0.4), Dispatch)

    def test_other_busy_endpoint_is_next_after_a_refusal(self):
        """Guards against a refusal although another busy endpoint allows a wait."""
        gates = Gates(size=2, open_ids=["i-0", "i-1"])
        command = gates.lifecycle.start(0.0)
        first = command.endpoint.endpoint_id
        command = gates.lifecycle.on_not_run(Reason.BUSY, 0.0, 0.1)
        command = gates.lifecycle.on_not_run(Reason.BUSY, 0.0, 0.2)
        assert (command.endpoint.endpoint_id, command.may_wait) == (first, True)
        command = gates.lifecycle.on_not_run(Reason.WORKER_REFUSED, 0.1)
        assert isinstance(command, Dispatch)
        assert command.endpoint.endpoint_id != first
        assert command.may_wait

    def test_endpoint_that_refused_is_not_tried_again(self):
        """Guards against spending all attempts of a route at one full endpoint."""
        gates = Gates(size=1, open_ids=["i-0"])
        gates.lifecycle.start(0.0)
        gates.lifecycle.on_not_run(Reason.BUSY, 0.0, 0.1)
        command = gates.lifecycle.on_not_run(Reason.WORKER_REFUSED, 0.1)
        assert isinstance(command, Park)
        command = gates.lifecycle.resume(command.reason, 0.4)
        assert isinstance(command, Park)

    def test_request_is_refused_once_it_would_end_too_late(self):
        """Guards against parking a request that can no longer be served in time."""
        gates = Gates()
        gates.lifecycle.start(0.0)
        command = gates.lifecycle.resume(Reason.EJECTED, PARK_BUDGET_SHARE * DEADLINE_S)
        assert isinstance(command, Refuse)
        assert command.outcome is Outcome.NOT_RUN

    @pytest.mark.parametrize("reason", [Reason.QUEUE_FULL, Reason.TOO_LATE])
    def test_overload_is_refused_at_once(self, reason):
        """Guards against a second queue at the ingress during an overload."""
        gates = Gates(size=1, open_ids=["i-0"])
        gates.lifecycle.start(0.0)
        assert isinstance(gates.lifecycle.on_not_run(reason, 0.1), Refuse)

    def test_order_that_may_have_run_is_never_parked(self):
        """Guards against running an order twice."""
        gates = Gates(open_ids=["i-0", "i-1"])
        gates.lifecycle.start(0.0)
        command = gates.lifecycle.on_failed(Reason.WORKER_LINK, 0.1)
        assert isinstance(command, Refuse)
        assert command.outcome is Outcome.UNKNOWN

    def test_attempts_stay_bounded(self):
        """Guards against a request that is redirected for its whole time."""
        gates = Gates(size=40, open_ids=[f"i-{n}" for n in range(40)])
        command, dispatches, now = gates.lifecycle.start(0.0), 0, 0.0
        while not isinstance(command, Refuse):
            if isinstance(command, Park):
                now += 0.25
                command = gates.lifecycle.resume(command.reason, now)
            else:
                dispatches += 1
                command = gates.lifecycle.on_not_run(Reason.EJECTED, now)
        parks = PARK_BUDGET_SHARE * DEADLINE_S / 0.25
        assert dispatches <= (parks + 1) * MAX_DISPATCHES
