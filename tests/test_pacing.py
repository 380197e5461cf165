"""Pace of the requests to an endpoint that limits their rate."""

import math
from bisect import bisect_left

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dandelionarch.core.admission import CostQueue
from dandelionarch.core.pacing import BURST, MIN_RATE_PER_S, Pacer
from tests.test_admission import known_costs

# An endpoint gets at most one and a half times its limit, and 5 requests, in any 4 s.
WINDOW_S = 4.0
SLACK_FACTOR = 1.5
SLACK = 5
SLOTS = 8
WORK_S = 0.3


def named(rate_per_s, at=0.0):
    """Return a pacer to which an endpoint has named a limit."""
    pacer = Pacer()
    pacer.on_answer(rate_per_s, at, at)
    return pacer


def most_in_a_window(times):
    """Return the greatest number of sorted times within `WINDOW_S`."""
    return max(
        bisect_left(times, start + WINDOW_S) - number
        for number, start in enumerate(times)
    )


class TestLimit:
    """The limit holds from the answer that names it to one that does not."""

    def test_end_of_the_limit(self):
        """Guards against an older answer that ends a limit, and one that never ends."""
        pacer = named(2.0, at=1.0)
        assert not pacer.on_answer(None, sent_at=0.9, now=1.1)
        assert pacer.rate_per_s == 2.0
        assert pacer.on_answer(None, sent_at=1.1, now=1.3)
        assert pacer.rate_per_s == math.inf
        assert pacer.due_at() == -math.inf

    def test_assumed_limit_gives_way_to_answers(self):
        """Guards against a peer's older knowledge of a limit that has ended."""
        pacer = Pacer()
        pacer.assume(2.0, 0.3)
        assert pacer.rate_per_s == 2.0
        pacer.on_answer(None, sent_at=0.1, now=0.2)
        pacer.assume(2.0, 0.3)
        assert not pacer.is_limited

    def test_limit_of_zero(self):
        """Guards against an endpoint that is never asked again."""
        assert named(0.0).rate_per_s == MIN_RATE_PER_S

    @given(st.floats(0.1, 50.0), st.lists(st.floats(0.0, 0.5), max_size=200))
    def test_requests_in_any_window(self, rate_per_s, gaps):
        """Guards against more requests than the endpoint takes."""
        pacer, now, times = named(rate_per_s), 0.0, []
        for gap in gaps:
            now += gap
            if pacer.due_at() <= now:
                pacer.on_request(now)
                times.append(now)
        limit = WINDOW_S * pacer.rate_per_s + BURST
        assert not times or most_in_a_window(times) <= limit + 1e-6


class TestMovingLimit:
    """The limit changes from one answer to the next."""

    @given(
        st.lists(
            st.tuples(st.floats(0.0, 0.5), st.one_of(st.none(), st.floats(0.0, 20.0))),
            max_size=100,
        )
    )
    def test_requests_follow_the_limit_of_the_moment(self, steps):
        """Guards against bursts that changes of the limit allow.

        A step is a pause and the limit that an answer names after it, if one does.
        """
        pacer, now, allowed, times = named(1.0), 0.0, 0.0, []
        for pause_s, rate_per_s in steps:
            now += pause_s
            allowed += pause_s * pacer.rate_per_s
            if rate_per_s is not None:
                pacer.on_answer(rate_per_s, now, now)
            while pacer.due_at() <= now:
                pacer.on_request(now)
                times.append(allowed)
        for number, start in enumerate(times):
            for count, end in enumerate(times[number:], 1):
                assert count <= end - start + BURST + 1e-6

    def test_limit_that_rises_takes_effect_at_once(self):
        """Guards against idle seconds after an endpoint has taken no requests."""
        pacer = named(0.0)
        for _ in range(BURST):
            pacer.on_request(0.0)
        assert pacer.due_at() == pytest.approx(1 / MIN_RATE_PER_S)
        pacer.on_answer(10.0, 0.5, 0.5)
        assert pacer.due_at() < 0.7


class TestQueue:
    """Slots are taken as the pace allows."""

    def play(self, rate_per_s, offered_per_s, seconds):
        """Offer requests at a rate; return (start times, refusals, queue)."""
        queue, now, starts, refused = CostQueue(SLOTS), 0.0, [], 0
        queue.pacer.on_answer(rate_per_s, 0.0, 0.0)
        ends = []
        for item in range(int(seconds * offered_per_s)):
            now = item / offered_per_s
            for end in [e for e in ends if e[0] <= now]:
                ends.remove(end)
                following = queue.finish(end[1], end[0])
                if following is not None:
                    starts.append(end[0])
                    ends.append((end[0] + WORK_S, following))
            while (following := queue.start_next(now)) is not None:
                starts.append(now)
                ends.append((now + WORK_S, following))
            verdict = queue.offer(item, now, "k", now + 1.5)
            if verdict == "run":
                starts.append(now)
                ends.append((now + WORK_S, item))
            refused += verdict == "refuse"
            refused += len(queue.take_evicted())
        return starts, refused, queue

    @pytest.mark.parametrize("rate_per_s", [1.0, 2.8, 10.0])
    def test_limited_endpoint_under_overload(self, rate_per_s):
        """Guards against filling the slots of an endpoint that has named a limit.

        The endpoint still gets the rate that it takes.
        """
        starts, refused, _ = self.play(rate_per_s, offered_per_s=40.0, seconds=20.0)
        assert most_in_a_window(starts) <= WINDOW_S * SLACK_FACTOR * rate_per_s + SLACK
        assert len(starts) >= 0.95 * 20.0 * rate_per_s
        assert refused >= 800 - len(starts) - 10 * rate_per_s

    def test_requests_that_would_wait_too_long_are_refused_at_once(self):
        """Guards against holding a request for a start after its deadline."""
        queue = CostQueue(SLOTS)
        queue.pacer.on_answer(1.0, 0.0, 0.0)
        verdicts = [queue.offer(item, 0.0, "k", 2.5) for item in range(5)]
        assert verdicts == ["run", "run", "wait", "wait", "refuse"]
        assert queue.retry_after_s(0.0) == pytest.approx(3.0)
        assert queue.paced_start_at(0.0) == pytest.approx(1.0)

    def test_request_that_waits_for_a_slot_is_not_paced(self):
        """Guards against a timer that fires again and again until a slot is free.

        One of the two slots is kept free for short work.
        """
        queue = CostQueue(2, known_costs())
        queue.pacer.on_answer(100.0, 0.0, 0.0)
        verdicts = [queue.offer(item, 0.1, "long", 9.0) for item in range(2)]
        assert verdicts == ["run", "wait"]
        assert queue.paced_start_at(0.2) is None
        assert queue.finish(0, 0.6) == 1

    def test_waiting_requests_start_when_the_limit_ends(self):
        """Guards against requests that wait for a pace that holds no longer."""
        queue = CostQueue(SLOTS)
        queue.pacer.on_answer(0.5, 0.0, 0.0)
        verdicts = [queue.offer(item, 0.0, "k", 9.0) for item in range(4)]
        assert verdicts == ["run", "run", "wait", "wait"]
        queue.pacer.on_answer(None, 0.1, 0.2)
        assert [queue.start_next(0.2) for _ in range(3)] == [2, 3, None]
