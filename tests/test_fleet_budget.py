"""Retry budget of a fleet, divided among its ingresses."""

from hypothesis import given
from hypothesis import strategies as st

from dandelionarch.core.outcome import Reason
from dandelionarch.core.retries import FleetBudget, FleetShareBudget

BUDGET = FleetBudget(ratio=0.2, slack=56.0, window_s=10.0)
DAEMONS = 24


class TestFleetBudget:
    """The extra attempts of all ingresses stay within the fleet's budget."""

    @given(
        st.lists(
            st.tuples(st.integers(0, DAEMONS - 1), st.integers(0, 299), st.booleans()),
            max_size=600,
        )
    )
    def test_sum_is_within_the_budget_in_every_window(self, events):
        """Guards against ingresses that together exceed the fleet's budget.

        Each event is (ingress, time in tenths of a second, is a first attempt).
        """
        shares = [FleetShareBudget(BUDGET, lambda: DAEMONS) for _ in range(DAEMONS)]
        firsts, extra = [], []
        for ingress, tenth, is_first in sorted(events, key=lambda e: e[1]):
            now = tenth / 10
            if is_first:
                shares[ingress].on_first_attempt(now)
                firsts.append(now)
            elif shares[ingress].take_retry(
                now, Reason.WORKER_LINK, proven_not_run=False
            ):
                extra.append(now)
        for start in range(30):
            end = start + BUDGET.window_s
            used = sum(start <= t < end for t in extra)
            # Requests of the previous window count as well.
            requests = sum(start - BUDGET.window_s <= t < end for t in firsts)
            assert used <= BUDGET.ratio * requests + BUDGET.slack

    def test_calls_by_repeated_runs_are_within_the_budget(self):
        """Guards against exceeding the budget by requests that repeated runs send.

        All endpoints shed half of their requests, so every ingress uses its whole
        allowance. The endpoints of one service call another one 1.4 times per run (in
        the load kintaat-fi, hand-size for browse). The ingress of such a call knows
        that the run is a repeated one.
        """
        shares = {
            name: [FleetShareBudget(BUDGET, lambda: DAEMONS) for _ in range(DAEMONS)]
            for name in ("caller", "called")
        }
        used = dict.fromkeys(shares, 0)
        requests = {"caller": 500, "called": 640}
        arrivals = sorted(
            (10 * n / count, name, n % DAEMONS)
            for name, count in requests.items()
            for n in range(count)
        )
        calls = 0
        for now, name, n in arrivals:
            share = shares[name][n]
            share.on_first_attempt(now)
            if not share.take_retry(now, Reason.WORKER_REFUSED, proven_not_run=True):
                continue
            used[name] += 1
            while name == "caller" and calls < 1.4 * used["caller"]:
                calls += 1
                shares["called"][calls % DAEMONS].on_call(now, 1.0)
        repeats = used["called"] + calls
        assert repeats <= BUDGET.ratio * requests["called"] + BUDGET.slack

    def test_redirect_by_an_agent_is_free(self):
        """Guards against refusing a request that has reached no endpoint."""
        share = FleetShareBudget(BUDGET, lambda: DAEMONS)
        for n in range(200):
            for reason in (Reason.QUEUE_FULL, Reason.EJECTED, Reason.BUSY):
                assert share.take_retry(n / 100, reason, proven_not_run=True)

    def test_refusal_by_an_endpoint_counts(self):
        """Guards against overload by retries of requests that endpoints refused."""
        share = FleetShareBudget(BUDGET, lambda: DAEMONS)
        allowed = [
            share.take_retry(1.0, Reason.WORKER_REFUSED, proven_not_run=True)
            for _ in range(50)
        ]
        assert 0 < sum(allowed) <= BUDGET.slack / DAEMONS
