"""Trials of a closed gate that hang.

An endpoint answers no request for some seconds soon after its start, when few service
times are known. A run ends only at its deadline, after several seconds.
"""

import itertools
import random
from dataclasses import dataclass

import pytest

from dandelionarch.core.admission import CostQueue
from dandelionarch.core.costs import CostModel
from dandelionarch.core.directory import Directory
from dandelionarch.core.gate import EndpointGate, RunResult
from dandelionarch.core.outcome import Reason
from dandelionarch.core.world import Endpoint
from dandelionarch.daemon.endpoint_watch import CHECK_PERIOD_S, GateWatch

BUDGET_S = 5.0
HANG_S = 10.0
ENDPOINT = Endpoint("i-0", "vm-0", "orders", "h", 80, 7, 330, 1)


@dataclass(frozen=True)
class Head:
    """Head of an idempotent request."""

    request_id: str = "r"
    route: str = "status"
    budget_ms: int = int(1000 * BUDGET_S)


class Run:
    """A run at the endpoint."""

    head = Head()


class HungEndpoint:
    """An endpoint that answers no request, and its gate, on a virtual clock."""

    def __init__(self):
        self.now = 0.0
        self.trials = []
        directory = Directory()
        directory.put_endpoint(ENDPOINT)
        self.watch = GateWatch(directory, lambda: self.now)
        self._running = []
        for _ in range(2):
            self._begin()
            self._end(Reason.WORKER_FAILED)

    def _begin(self):
        run = Run()
        self.watch.on_run_admitted(ENDPOINT, run)
        self.watch.on_run_started(ENDPOINT, run, "kind")
        self._running.append((self.now, run))

    def _end(self, reason):
        _, run = self._running.pop(0)
        self.watch.on_run_ended(ENDPOINT, run, reason, "kind")

    def play(self):
        """Offer idempotent requests until the endpoint answers again."""
        while self.now < HANG_S:
            self.now += CHECK_PERIOD_S
            while self._running and self.now - self._running[0][0] >= BUDGET_S:
                self._end(Reason.DEADLINE)
            self.watch.check_stalls()
            if self.watch.admits(ENDPOINT, idempotent=True):
                self.trials.append(self.now)
                self._begin()


class TestTrialsThatHang:
    """A hanging trial counts as failed long before its deadline."""

    def test_next_trial_does_not_wait_for_a_deadline(self):
        """Guards against a gate that one hanging trial keeps closed for seconds.

        In a load run one trial blocked the next for 5 s, and the endpoint got no other
        requests for 22 s.
        """
        endpoint = HungEndpoint()
        endpoint.play()
        gaps_s = [b - a for a, b in itertools.pairwise(endpoint.trials)]
        assert gaps_s
        assert max(gaps_s) < BUDGET_S

    def test_late_answer_counts_as_one_successful_trial(self):
        """Guards against a gate that one late answer opens."""
        gate, first, trial = EndpointGate(), object(), object()
        gate.on_run_admitted(first, 0.0)
        gate.on_run_ended(first, RunResult.BROKEN, 0.1)
        gate.on_run_admitted(trial, 1.0)
        gate.on_runs_hung([trial], 2.5)
        gate.on_run_ended(trial, RunResult.SERVED, 3.0)
        assert not gate.admits(idempotent=False, now=3.0)
        assert gate.admits(idempotent=True, now=3.0)

    def test_answer_to_an_earlier_run_does_not_open_the_gate(self):
        """Guards against opening a gate on a run from before the last failure.

        Orders, requests that are not idempotent, would reach the failing endpoint.
        """
        gate, hung, trial = EndpointGate(), object(), object()
        gate.on_run_admitted(hung, 0.0)
        gate.on_runs_hung([hung], 2.0)
        gate.on_run_admitted(trial, 3.0)
        gate.on_run_ended(trial, RunResult.BROKEN, 3.1)
        gate.on_run_ended(hung, RunResult.SERVED, 3.2)
        assert not gate.admits(idempotent=False, now=3.2)

    def test_failure_is_counted_once(self):
        """Guards against hung runs that close the gate again at their deadlines."""
        gate, hung = EndpointGate(), [object(), object()]
        for run in hung:
            gate.on_run_admitted(run, 0.0)
        gate.on_runs_hung(hung, 2.0)
        for now in (3.0, 3.5):
            trial = object()
            gate.on_run_admitted(trial, now)
            gate.on_run_ended(trial, RunResult.SERVED, now + 0.2)
        for run in hung:
            gate.on_run_ended(run, RunResult.APPLICATION_ERROR, BUDGET_S)
        assert gate.admits(idempotent=False, now=BUDGET_S)


class TestSlowTrials:
    """A trial fails only after a time that hardly any run of its kind takes.

    The service times vary by half of the median, or are only a few milliseconds.
    """

    @staticmethod
    def watch(now, median_s):
        """Return a watch with a closed gate and known service times."""
        directory = Directory()
        directory.put_endpoint(ENDPOINT)
        watch = GateWatch(directory, lambda: now[0])
        rng, costs = random.Random(1), CostModel()
        for _ in range(60):
            costs.observe("status", median_s * rng.lognormvariate(0.0, 0.5))
        watch.survival = lambda endpoint_id, route, age_s: costs.survival(route, age_s)
        for _ in range(2):
            run = Run()
            watch.on_run_admitted(ENDPOINT, run)
            watch.on_run_ended(ENDPOINT, run, Reason.WORKER_FAILED, "kind")
        return watch

    def has_failed(self, median_s, age_s):
        """Return True if a trial of this age has failed and the next may start."""
        now = [0.0]
        watch = self.watch(now, median_s)
        now[0] = 5.0
        run = Run()
        watch.on_run_admitted(ENDPOINT, run)
        watch.on_run_started(ENDPOINT, run, "kind")
        now[0] += age_s
        watch.check_stalls()
        return not watch._gate(ENDPOINT).trials

    @pytest.mark.parametrize("median_s, age_s", [(0.19, 0.4), (0.002, 0.01)])
    def test_slow_trial_continues(self, median_s, age_s):
        """Guards against a gate that stays closed because service times vary.

        In a load run trials with a median of 0.2 s counted as hung after 0.4 s, and one
        after 3 ms. The endpoint got no other requests for 18 s.
        """
        assert not self.has_failed(median_s, age_s)

    def test_hung_trial_has_failed(self):
        """Guards against a hung trial that blocks the next one."""
        assert self.has_failed(0.19, 0.8)

    def test_trial_cancelled_for_a_faster_attempt_has_failed(self):
        """Guards against endless trials of a hanging endpoint.

        A second attempt answers each of them, so none reaches its deadline.
        """
        now = [0.0]
        watch = self.watch(now, 0.19)
        run = Run()
        now[0] = 5.0
        watch.on_run_admitted(ENDPOINT, run)
        watch.on_run_started(ENDPOINT, run, "kind")
        now[0] += 0.5
        watch.on_run_ended(ENDPOINT, run, Reason.CANCELLED, "kind")
        assert not watch.admits(ENDPOINT, idempotent=True)


class TestCostsOfHungRuns:
    """The duration of an unanswered run is not a cost of its kind of work."""

    def test_free_slots_are_used_after_a_hang(self):
        """Guards against an endpoint with free slots that refuses trials as too late.

        In a load run the median service time was that of the hung runs, and trials were
        refused as `queue_full` for seconds.
        """
        queue = CostQueue(7)
        for n in range(8):
            assert queue.offer(n, 0.0, "status", BUDGET_S) != "refuse"
        for n in range(7):
            queue.finish(n, BUDGET_S, answered=False)
        assert queue.offer("trial", 6.0, "status", 6.0 + BUDGET_S / 2) == "run"


class TestShortBudgets:
    """A timeout is no evidence if the caller allowed less time than the work takes.

    Requests with a short timeout, or close to their deadlines, run at a healthy
    endpoint beside ordinary requests.
    """

    @staticmethod
    def play(budget_s, work_s=0.9):
        """Return True if orders are admitted after two timeouts of a new route."""
        now = 0.0
        directory = Directory()
        directory.put_endpoint(ENDPOINT)
        watch = GateWatch(directory, lambda: now)
        costs = CostModel()
        for _ in range(8):
            costs.observe("status", work_s)
        watch.survival = lambda endpoint_id, route, age_s: costs.survival(route, age_s)
        for _ in range(2):
            run = Run()
            run.head = Head(route="new", budget_ms=int(1000 * budget_s))
            watch.on_run_admitted(ENDPOINT, run)
            watch.on_run_started(ENDPOINT, run, "kind")
            now += budget_s
            watch.on_run_ended(ENDPOINT, run, Reason.DEADLINE, "kind")
        return watch.admits(ENDPOINT, idempotent=False)

    def test_short_budgets_do_not_close_the_gate(self):
        """Guards against closing the gate of a healthy endpoint at a demand peak.

        In a load run a request with 0.4 s left closed the gate of an endpoint whose
        work takes 1 s, and its capacity was lost for 20 s.
        """
        assert self.play(budget_s=0.4)

    def test_timeouts_of_long_budgets_close_the_gate(self):
        """Guards against sending orders to an endpoint that answers no request."""
        assert not self.play(budget_s=5.0)


class TestLastResort:
    """Idempotent requests that find no open gate are admitted by closed ones.

    At a demand peak most gates of a service are closed, some of them although their
    endpoints have recovered. Each would admit only one trial per second, while requests
    wait for an endpoint and are refused in the end.
    """

    SLOTS = 8

    @classmethod
    def closed_gate(cls):
        """Return a gate that closed at 0 s."""
        gate, run = EndpointGate(cls.SLOTS), object()
        gate.on_run_admitted(run, 0.0)
        gate.on_run_ended(run, RunResult.BROKEN, 0.0)
        return gate

    def test_idle_slots_are_offered(self):
        """Guards against refusals while slots are idle.

        In a load run 177 of 861 status requests were refused after seconds while four
        of eight endpoints got one trial every three seconds.
        """
        gate = self.closed_gate()
        for _ in range(self.SLOTS // 2):
            assert gate.admits(idempotent=True, now=0.1, last_resort=True)
            gate.on_run_admitted(object(), 0.1)
        assert not gate.admits(idempotent=True, now=0.1, last_resort=True)

    def test_orders_are_refused(self):
        """Guards against losing orders, which can't be repeated."""
        gate = self.closed_gate()
        assert not gate.admits(idempotent=False, now=0.1, last_resort=True)

    def test_success_opens_the_gate(self):
        """Guards against ignoring successes that show a healthy endpoint."""
        gate, runs = self.closed_gate(), [object(), object()]
        for run in runs:
            gate.on_run_admitted(run, 0.1)
        for run in runs:
            gate.on_run_ended(run, RunResult.SERVED, 0.5)
        assert gate.admits(idempotent=False, now=0.5)

    def test_gateway_timeout_does_not_open_the_gate(self):
        """Guards against a gate that a hung run opens at its deadline.

        A hanging endpoint answers 504 at the end of the time budget. In a load run with
        seed 11, 0.75 of the requests from 8 to 10 s were served, and 0.92 without the
        fault.
        """
        now = [0.0]
        directory = Directory()
        directory.put_endpoint(ENDPOINT)
        watch = GateWatch(directory, lambda: now[0])
        watch.survival = lambda endpoint_id, route, age_s: 0.01 if age_s > 1 else 1.0
        runs = [Run(), Run()]
        for run in runs:
            watch.on_run_admitted(ENDPOINT, run)
            watch.on_run_started(ENDPOINT, run, "kind")
        now[0] = BUDGET_S
        for run in runs:
            watch.on_run_answered(ENDPOINT, run, 504)
            watch.on_run_ended(ENDPOINT, run, None, "kind")
        watch.check_stalls()
        assert not watch.admits(ENDPOINT, idempotent=False)
