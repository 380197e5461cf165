"""Admission queues of the agent for the slots of an endpoint."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from dandelionarch.core.admission import CostQueue, QueueRules, SlotQueue
from dandelionarch.core.costs import CostModel

COSTS_S = {"short": 0.01, "long": 0.5}
EXACT = settings(derandomize=True, deadline=None, max_examples=150)

OFFERS = st.lists(
    st.tuples(
        st.floats(0, 0.05),
        st.sampled_from(["short", "short", "long"]),
        st.floats(0.005, 3.0),
        st.integers(0, 3),
        st.floats(0.5, 4.0),
    ),
    max_size=80,
)


def known_costs():
    """Return a cost model in which most work is short."""
    costs = CostModel()
    for key in ("short",) * 20 + ("long",) + ("short",) * 20:
        costs.observe(key, COSTS_S[key])
    return costs


class Replay:
    """Offers requests to a queue and records the verdicts on each of them."""

    def __init__(self, queue, offers):
        self.queue = queue
        self.verdicts = {}
        self.admitted = {}
        self.ends = []
        self.max_running = 0
        now = 0.0
        for item, (gap, key, budget, priority, factor) in enumerate(offers):
            now += gap
            self._finish_until(now)
            verdict = queue.offer(item, now, key, now + budget, priority)
            self._record(item, verdict, priority)
            if verdict == "run":
                self._start(item, now, key, factor)
            self.admitted[item] = (key, factor)
            self._take_evicted()
            assert queue.running <= queue.slots
        self._finish_until(float("inf"))

    def _start(self, item, now, key, factor):
        self.ends.append((now + COSTS_S[key] * factor, item))
        self.max_running = max(self.max_running, len(self.ends))

    def _finish_until(self, limit):
        while self.ends and min(self.ends)[0] <= limit:
            end, item = min(self.ends)
            self.ends.remove((end, item))
            following = self.queue.finish(item, end)
            if following is not None:
                self._record(following, "run", None)
                self._start(following, end, *self.admitted[following])
            self._take_evicted()

    def _take_evicted(self):
        for item in self.queue.take_evicted():
            self._record(item, "refuse", None)

    def _record(self, item, verdict, _):
        self.verdicts.setdefault(item, []).append(verdict)


class TestCostQueue:
    """Shortest cost first with ageing; refuses requests that can't end in time."""

    @EXACT
    @given(OFFERS, st.integers(1, 4), st.integers(0, 6))
    def test_each_request_has_one_verdict_and_slots_hold(self, offers, slots, limit):
        """Guards against requests that run twice, get lost or exceed the slots."""
        replay = Replay(CostQueue(slots, known_costs(), limit), offers)
        assert replay.max_running <= slots
        assert replay.queue.running == replay.queue.queued == 0
        for verdicts in replay.verdicts.values():
            assert [v for v in verdicts if v != "wait"] in (["run"], ["refuse"])
            assert len(verdicts) == len(set(verdicts))

    @EXACT
    @given(OFFERS, st.integers(1, 4))
    def test_waiting_request_is_evicted_only_for_a_higher_plan(self, offers, slots):
        """Guards against evicting a waiting request for another of the same plan.

        Costs are exact and all plans are the same, so no prediction can be wrong.
        """
        exact = [(g, k, b, 0, 1.0) for g, k, b, _, _ in offers]
        costs = known_costs()
        costs.observe = lambda key, seconds: None
        costs.cost = COSTS_S.get
        costs.residual_s = lambda key, elapsed_s: COSTS_S[key] - elapsed_s
        replay = Replay(CostQueue(slots, costs), exact)
        assert ["wait", "refuse"] not in replay.verdicts.values()

    def test_prediction_gives_each_slot_for_long_work_to_one_request(self):
        """Guards against admitting long work for a slot that is already promised."""
        queue = CostQueue(3, known_costs())
        queue.costs.residual_s = lambda key, elapsed_s: COSTS_S[key] - elapsed_s
        verdicts = [queue.offer(n, 0.0, "long", 2.0) for n in range(4)]
        assert verdicts == ["run", "run", "wait", "wait"]
        assert queue.offer("short", 0.03, "short", 1.0) == "run"
        assert queue.offer("late", 0.03, "long", 1.3) == "refuse"

    def test_long_work_waits_for_long_work(self):
        """Guards against admitting long work for the slot reserved for short work."""
        queue = CostQueue(3, known_costs())
        verdicts = [queue.offer(i, 0.0, "long", 9.0) for i in range(3)]
        assert verdicts == ["run", "run", "wait"]
        assert queue.offer(3, 0.01, "long", 0.55) == "refuse"

    def test_refuses_at_once_what_cannot_end_in_time(self):
        """Guards against queueing requests that would miss their deadlines."""
        queue = CostQueue(1, known_costs())
        assert queue.offer("a", 0.0, "long", 5.0) == "run"
        assert queue.offer("b", 0.0, "short", 0.1) == "refuse"
        assert queue.offer("c", 0.0, "short", 1.0) == "wait"
        assert queue.retry_after_s(0.0) >= 0.4

    def test_one_slot_stays_closed_to_long_work(self):
        """Guards against slots that are all taken by long work."""
        queue = CostQueue(2, known_costs())
        verdicts = [queue.offer(i, 0.0, "long", 9.0) for i in range(2)]
        assert verdicts == ["run", "wait"]
        assert queue.offer("s", 0.0, "short", 0.02) == "run"
        assert queue.finish("s", 0.01) is None
        assert queue.finish(0, 0.5) == 1

    def test_short_work_overtakes_until_long_work_has_aged(self):
        """Guards against first-in first-out order and starvation of long work."""
        queue = CostQueue(1, known_costs(), rules=QueueRules(refuse_late=False))
        queue.offer("running", 0.0, "short")
        queue.offer("long", 0.0, "long")
        queue.offer("early", 0.3, "short")
        queue.offer("late", 0.8, "short")
        order = [queue.finish("running", 0.9)]
        order += [queue.finish(order[-1], 0.9), queue.finish("long", 1.4)]
        assert order == ["early", "long", "late"]

    def test_long_work_is_not_starved_by_short_overload(self):
        """Guards against starvation of long work while short work fills the slots."""
        rng = random.Random(1)
        offers = []
        for _ in range(3000):
            key = "long" if rng.random() < 0.01 else "short"
            budget = 3.0 if key == "long" else 0.3
            offers.append((rng.expovariate(300), key, budget, 0, 1.0))
        replay = Replay(CostQueue(2, known_costs()), offers)
        long = [i for i, offer in enumerate(offers) if offer[1] == "long"]
        ran = [i for i in long if "run" in replay.verdicts[i]]
        assert len(ran) >= len(long) * 0.5

    def test_request_of_a_higher_plan_evicts_one_of_a_lower(self):
        """Guards against ignoring the priorities of plans when the queue is full."""
        queue = CostQueue(1, known_costs(), queue_limit=1)
        queue.offer("running", 0.0, "short", 9.0, 5)
        assert queue.offer("low", 0.0, "short", 9.0, 5) == "wait"
        assert queue.offer("same", 0.0, "short", 9.0, 5) == "refuse"
        assert queue.offer("high", 0.0, "short", 9.0, 0) == "wait"
        assert queue.take_evicted() == ["low"]


class TestSlotQueue:
    """The first-in first-out baseline."""

    @EXACT
    @given(OFFERS, st.integers(1, 4), st.integers(0, 6))
    def test_each_request_has_one_verdict_and_slots_hold(self, offers, slots, limit):
        """Guards against a baseline that runs more requests than it has slots."""
        replay = Replay(SlotQueue(slots, limit), offers)
        assert replay.max_running <= slots
        assert all(len(set(v)) == len(v) for v in replay.verdicts.values())


class TestCostModel:
    """Costs estimated from service times."""

    def test_straggler_does_not_make_its_kind_long(self):
        """Guards against excluding short work after one slow run."""
        costs = known_costs()
        costs.observe("short", 3.0)
        assert not costs.is_long("short")
        assert costs.is_long("long")
