"""Gate (circuit breaker) of an endpoint: closing on failures, opening after trials."""

import random

from hypothesis import given
from hypothesis import strategies as st

from dandelionarch.core.gate import (
    ANY_WORK_TRIAL_AFTER_S,
    MAX_TRIAL_INTERVAL_S,
    EndpointGate,
    RunResult,
)
from dandelionarch.core.world import Health


class Run:
    """A request at the endpoint."""


def finish(gate, result, now):
    """Admit one request and end it with a result."""
    run = Run()
    gate.on_run_admitted(run, now)
    gate.on_run_ended(run, result, now)


class TestClosing:
    """A broken connection closes the gate at once, errors after two in a row."""

    def test_reset_refuses_orders_at_once(self):
        """Guards against a second order lost to an endpoint that has just failed one.

        Orders are requests that are not idempotent.
        """
        gate = EndpointGate()
        finish(gate, RunResult.BROKEN, 1.0)
        assert not gate.admits(idempotent=False, now=1.0)
        assert gate.health is Health.TRIAL

    def test_single_application_error_is_normal(self):
        """Guards against closing the gate on the usual share of application errors."""
        gate = EndpointGate()
        for n in range(20):
            result = RunResult.APPLICATION_ERROR if n % 2 else RunResult.SERVED
            finish(gate, result, float(n))
        assert gate.admits(idempotent=False, now=20.0)

    def test_consecutive_errors_close_the_gate(self):
        """Guards against sending orders to an endpoint that fails them all."""
        gate = EndpointGate()
        finish(gate, RunResult.APPLICATION_ERROR, 1.0)
        finish(gate, RunResult.APPLICATION_ERROR, 1.1)
        assert not gate.admits(idempotent=False, now=1.1)


class TestTrials:
    """At first only idempotent requests are trials, one at a time."""

    def closed_gate(self):
        """Return a gate that closed at 0 s."""
        gate = EndpointGate()
        finish(gate, RunResult.BROKEN, 0.0)
        return gate

    def test_one_trial_at_a_time(self):
        """Guards against a burst of requests into a failing endpoint."""
        gate = self.closed_gate()
        assert gate.admits(idempotent=True, now=1.0)
        run = Run()
        gate.on_run_admitted(run, 1.0)
        assert not gate.admits(idempotent=True, now=1.5)

    def test_one_success_does_not_open_the_gate(self):
        """Guards against opening when one request in four succeeds by chance."""
        gate = self.closed_gate()
        finish(gate, RunResult.SERVED, 1.0)
        assert not gate.admits(idempotent=False, now=1.1)
        finish(gate, RunResult.SERVED, 1.1)
        assert gate.admits(idempotent=False, now=1.1)

    def test_earlier_runs_do_not_open_the_gate(self):
        """Guards against counting runs that began before the failure as trials."""
        gate = EndpointGate()
        early = [Run(), Run()]
        for run in early:
            gate.on_run_admitted(run, 0.0)
        finish(gate, RunResult.BROKEN, 0.1)
        for run in early:
            gate.on_run_ended(run, RunResult.SERVED, 0.2)
        assert not gate.admits(idempotent=False, now=0.2)

    def test_service_without_idempotent_requests_recovers(self):
        """Guards against a gate that stays closed for lack of idempotent trials."""
        gate = self.closed_gate()
        assert not gate.admits(idempotent=False, now=ANY_WORK_TRIAL_AFTER_S - 0.1)
        assert gate.admits(idempotent=False, now=ANY_WORK_TRIAL_AFTER_S + 0.1)

    def test_few_idempotent_requests_do_not_keep_other_work_out(self):
        """Guards against a gate that waits for a second idempotent trial.

        In a load run with one idempotent request per endpoint every two seconds, a gate
        stayed closed for 9 s.
        """
        gate = self.closed_gate()
        late = ANY_WORK_TRIAL_AFTER_S - 0.1
        assert gate.admits(idempotent=True, now=late)
        finish(gate, RunResult.SERVED, late)
        assert gate.admits(idempotent=False, now=ANY_WORK_TRIAL_AFTER_S + 0.1)

    @given(st.integers(0, 10_000))
    def test_failing_endpoint_costs_few_requests(self, seed):
        """Guards against losing more than the trials while an endpoint fails.

        Three requests in four fail for 10 s; 20 requests arrive per second, a third of
        them idempotent.
        """
        rng = random.Random(seed)
        gate, lost, trials = EndpointGate(), 0, 0
        for n in range(200):
            now, idempotent = n / 20, rng.random() < 1 / 3
            if not gate.admits(idempotent, now):
                continue
            failed = rng.random() < 0.75
            lost += failed and not idempotent
            trials += failed and idempotent
            finish(gate, RunResult.BROKEN if failed else RunResult.SERVED, now)
        assert lost <= 8
        assert trials <= 10 / 0.25

    @given(st.lists(st.sampled_from(list(RunResult)), max_size=60))
    def test_gate_always_offers_a_trial_again(self, results):
        """Guards against a sequence of results after which no trial is admitted."""
        gate, now = EndpointGate(), 0.0
        for result in results:
            now += 0.1
            if gate.admits(idempotent=True, now=now):
                finish(gate, result, now)
        assert gate.admits(idempotent=True, now=now + MAX_TRIAL_INTERVAL_S + 0.01)
