"""Retry budget of an ingress, and the spread of `Retry-After` times."""

import random
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from dandelionarch.core.ingress import Dispatch, RequestLifecycle, Work
from dandelionarch.core.outcome import Outcome, Reason
from dandelionarch.core.retries import (
    MIN_EXTRA,
    RETRY_SHARE,
    RetryAfterSchedule,
    RetryBudget,
)
from dandelionarch.core.selection import SelectionDecision

KINDS = st.sampled_from(["first", "retry", "reserve", "release"])
EVENTS = st.lists(st.tuples(st.floats(0, 2.0), KINDS, st.booleans()), max_size=300)


class TestRetryBudget:
    """Extra attempts stay below a share of the first attempts."""

    @settings(derandomize=True, deadline=None)
    @given(EVENTS)
    def test_budget_is_never_exceeded(self, events):
        """Guards against a retry storm after refusals due to load, proven or not."""
        budget, now, first, extra, reserved = RetryBudget(), 0.0, [], [], []
        for gap, kind, proven_not_run in events:
            now += gap * gap * 0.2
            release = None
            if kind == "first":
                budget.on_first_attempt(now)
                first.append(now)
            elif kind == "reserve":
                release = budget.reserve(now)
                reserved += [(now, release)] if release else []
            elif kind == "release" and reserved:
                at, unused = reserved.pop()
                unused()
                extra.remove(at)
            if release or (
                kind == "retry"
                and budget.take_retry(now, Reason.QUEUE_FULL, proven_not_run)
            ):
                extra.append(now)
                # The window consists of buckets of 1 s, so it may be 1 s off.
                firsts = sum(t > now - 11 for t in first)
                recent = sum(t > now - 9 for t in extra)
                assert recent <= max(MIN_EXTRA, RETRY_SHARE * firsts)

    def test_released_reservation_is_subtracted_once(self):
        """Guards against a budget that grows with each released reservation."""
        budget = RetryBudget()
        for _ in range(5):
            budget.reserve(0.0)()
        retries = [budget.take_retry(20.0, Reason.SHED, True) for _ in range(10)]
        assert sum(retries) == MIN_EXTRA

    def test_redirects_after_a_drain_are_free_except_at_overload(self):
        """Guards against refused redirects after a drain, and free ones at overload."""
        budget = RetryBudget()
        for _ in range(100):
            budget.on_first_attempt(0.0)
        allowed = [budget.take_retry(0.0, Reason.DRAINING, True) for _ in range(50)]
        assert all(allowed)
        for _ in range(50):
            budget.take_retry(0.0, Reason.QUEUE_FULL, True)
        assert not budget.take_retry(0.0, Reason.DRAINING, True)

    def test_order_is_not_sent_twice_without_proof(self):
        """Guards against a second attempt of an order that may have run.

        An order is a request that is not idempotent and must run at most once.
        """
        endpoint = type("E", (), {"endpoint_id": "w"})()
        chosen = type("C", (), {"endpoint": endpoint})()
        work = Work("r", "c", "s", "route", "kind", False, 0)

        def lifecycle():
            return RequestLifecycle(
                work, lambda *_: SelectionDecision(chosen), 9.0, random.Random(1)
            )

        for end, kind in (("on_not_run", Dispatch), ("on_failed", None)):
            order = lifecycle()
            order.start(0.0)
            following = getattr(order, end)(Reason.LINK_LOST, 0.1)
            if kind is None:
                assert following.outcome is Outcome.UNKNOWN
            else:
                assert isinstance(following, kind)


class TestRetryAfterSchedule:
    """Callers refused at a demand peak do not return all at once."""

    def test_returns_are_spread_below_the_rate_of_answers(self):
        """Guards against a second peak after 2,000 refusals within one second."""
        schedule, rng = RetryAfterSchedule(), random.Random(1)
        for i in range(1000):
            schedule.on_answer(i / 100)
        returns = Counter()
        for i in range(2000):
            now = 10 + i / 2000
            returns[int(now + schedule.retry_after_s(now, rng, 0.2))] += 1
        assert max(returns.values()) <= 60
        assert min(returns) >= 11
