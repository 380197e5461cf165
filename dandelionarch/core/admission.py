"""Admission queues in front of the slots of an endpoint, kept by its agent."""

import itertools
import math
from abc import ABC, abstractmethod
from bisect import insort
from collections import deque
from dataclasses import dataclass, field

from dandelionarch.core.costs import CostModel
from dandelionarch.core.mechanisms import Mechanism
from dandelionarch.core.pacing import Pacer

# One second of waiting offsets one second of cost, so a long request precedes a short
# one that arrived later by more than the difference of their costs.
AGEING_COST_PER_S = 1.0
MIN_RETRY_AFTER_S = 0.05
# Service times vary: with the mean alone, 1 in 20 requests admitted at the limit was
# cut off at its deadline, which is an unknown outcome instead of a refusal.
WAIT_MARGIN = 1.1
# A redirect within a data centre takes about 1 ms; waiting longer than this, plus a
# tenth of the request's own cost, is worse.
REDIRECT_WAIT_S = 0.020
REDIRECT_COST_SHARE = 0.1


class AdmissionQueue(ABC):
    """Slots of one endpoint and the requests that wait for them.

    Parameters
    ----------
    slots : int
        Requests that the endpoint runs at once.
    """

    def __init__(self, slots):
        self.slots = slots
        self.running = 0

    @property
    @abstractmethod
    def queued(self):
        """Return the number of requests that wait."""

    @abstractmethod
    def offer(
        self,
        item,
        now=0.0,
        key="",
        deadline=math.inf,
        priority=0,
        may_wait=True,
    ):
        """Return "run", "wait", "busy" or "refuse" for a new request.

        Parameters
        ----------
        item : object
            The request; hashable.
        now : float
            Time in seconds.
        key : hashable
            Kind of work, which determines the expected cost.
        deadline : float
            Time in seconds by which the request must have ended.
        priority : int
            Priority of the customer's plan; 0 is refused last.
        may_wait : bool
            False if the ingress will try another endpoint when it gets "busy", the
            refusal of a request that could wait here.
        """

    @abstractmethod
    def withdraw(self, item):
        """Remove a waiting request; return False if it is not waiting."""

    @abstractmethod
    def finish(self, item=None, now=0.0, answered=True):
        """Free the slot of a request; return the request that takes it, or None."""

    def take_evicted(self):
        """Return the requests evicted from the queue since the last call."""
        return ()

    def retry_after_s(self, now):
        """Return the seconds until a refused request is likely to find a slot."""
        return MIN_RETRY_AFTER_S


class SlotQueue(AdmissionQueue):
    """Short first-in first-out queue; a baseline for measurements.

    Parameters
    ----------
    slots : int
        Requests that the endpoint runs at once.
    queue_limit : int
        Requests that may wait.
    """

    def __init__(self, slots, queue_limit):
        super().__init__(slots)
        self.queue_limit = queue_limit
        self._queue = deque()

    @property
    def queued(self):
        return len(self._queue)

    def offer(
        self,
        item,
        now=0.0,
        key="",
        deadline=math.inf,
        priority=0,
        may_wait=True,
    ):
        if self.running < self.slots:
            self.running += 1
            return "run"
        if len(self._queue) < self.queue_limit:
            self._queue.append(item)
            return "wait"
        return "refuse"

    def withdraw(self, item):
        try:
            self._queue.remove(item)
        except ValueError:
            return False
        return True

    def finish(self, item=None, now=0.0, answered=True):
        if self._queue:
            return self._queue.popleft()
        self.running -= 1
        return None


@dataclass(slots=True, eq=False)
class Job:
    """A request and its sort key in the queue; all times are in seconds."""

    item: object
    key: object
    cost_s: float
    p95_s: float
    long: bool
    deadline: float
    priority: int
    arrived: float
    sequence: int
    started: float = math.nan
    sort_key: tuple = field(init=False)

    def __post_init__(self):
        # Ageing lowers the cost of all waiting requests at the same rate, so the order
        # of two requests never changes and the list stays sorted.
        aged = self.cost_s + AGEING_COST_PER_S * self.arrived
        self.sort_key = (aged, self.deadline, self.sequence)

    def __lt__(self, other):
        return self.sort_key < other.sort_key


@dataclass(frozen=True, slots=True)
class QueueRules:
    """Rules of `CostQueue`; each can be switched off for a measurement."""

    shortest_first: bool = True
    short_slot: bool = True
    ageing: bool = True
    refuse_late: bool = True
    priorities: bool = True

    @classmethod
    def without(cls, off):
        """Return the rules without the `Mechanism`s of a set."""
        return cls(
            shortest_first=Mechanism.SHORTEST_FIRST not in off,
            short_slot=Mechanism.SHORT_SLOT not in off,
            refuse_late=Mechanism.LATE_REFUSALS not in off,
            priorities=Mechanism.PRIORITIES not in off,
        )


class CostQueue(AdmissionQueue):
    """Queue ordered by cost and age that refuses requests that can't end in time.

    A waiting request is evicted only for one of a plan with a higher priority, so no
    request is admitted and later refused in favour of one of the same plan.

    Parameters
    ----------
    slots : int
        Requests that the endpoint runs at once.
    costs : CostModel
        Costs of the service's kinds of work; learns from each run.
    queue_limit : int
        Requests that may wait.
    rules : QueueRules

    Attributes
    ----------
    pacer : Pacer
        Spaces the starts of requests while the endpoint limits their rate.
    """

    def __init__(self, slots, costs=None, queue_limit=256, rules=None):
        super().__init__(slots)
        self.costs = costs or CostModel()
        self.pacer = Pacer()
        self.queue_limit = queue_limit
        self.rules = rules or QueueRules()
        self._waiting = []
        self._by_item = {}
        self._running = {}
        self._long_running = 0
        self._evicted = []
        self._sequence = 0
        # One of several slots is reserved for short work.
        self._max_long_running = max(1, slots - 1)

    @property
    def queued(self):
        return len(self._waiting)

    def offer(
        self,
        item,
        now=0.0,
        key="",
        deadline=math.inf,
        priority=0,
        may_wait=True,
    ):
        job = self._make_job(item, now, key, deadline, priority)
        if self._can_start(job, now):
            # Uses a free slot unless the request would most likely end too late: one
            # slow first run must not exclude its kind of work permanently.
            if self.rules.refuse_late and now + self.costs.kind_median(key) > deadline:
                return "refuse"
            self._start(job, now)
            return "run"
        self._drop_late(now)
        return self._admit(job, now, may_wait)

    def withdraw(self, item):
        job = self._by_item.pop(item, None)
        if job is None:
            return False
        self._waiting.remove(job)
        return True

    def finish(self, item=None, now=0.0, answered=True):
        job = self._running.pop(item)
        self.running -= 1
        self._long_running -= job.long
        if answered:
            # The duration of an unanswered run is the caller's wait and not a cost.
            self.costs.observe(job.key, now - job.started)
        return self.start_next(now)

    def start_next(self, now):
        """Start and return a waiting request; return None if none may start yet."""
        self._drop_late(now)
        for job in self._waiting:
            if self._can_start(job, now):
                self.withdraw(job.item)
                self._start(job, now)
                return job.item
        return None

    def paced_start_at(self, now):
        """Return the time in seconds at which the pace allows the next start.

        It is None if no request waits, or if those that do wait for a slot, as the end
        of a running request starts them.
        """
        due_at = self.pacer.due_at()
        if not self._waiting or self.running >= self.slots or due_at <= now:
            return None
        return due_at

    def take_evicted(self):
        evicted, self._evicted = self._evicted, []
        return evicted

    def retry_after_s(self, now):
        """Return the expected time in seconds to finish running and waiting work."""
        work_s = sum(job.cost_s for job in self._waiting)
        work_s += sum(self._remaining_s(job, now) for job in self._running.values())
        paced_at = next(itertools.islice(self.pacer.due_times(), self.queued, None))
        return max(MIN_RETRY_AFTER_S, work_s / self.slots, paced_at - now)

    def _make_job(self, item, now, key, deadline, priority):
        self._sequence += 1
        by_cost = self.rules.shortest_first
        cost_s = self.costs.cost(key)
        long = self.rules.short_slot and self.costs.is_long(key)
        p95_s = self.costs.p95(key)
        job = Job(
            item, key, cost_s, p95_s, long, deadline, priority, now, self._sequence
        )
        if not by_cost:
            job.sort_key = (now, self._sequence)
        elif not self.rules.ageing:
            job.sort_key = (cost_s, deadline, self._sequence)
        return job

    def _can_start(self, job, now):
        if self.running >= self.slots or self.pacer.due_at() > now:
            return False
        return not job.long or self._long_running < self._max_long_running

    def _start(self, job, now):
        job.started = now
        self._running[job.item] = job
        self.running += 1
        self._long_running += job.long
        self.pacer.on_request(now)

    def _drop_late(self, now):
        if not self.rules.refuse_late:
            return
        for job in [j for j in self._waiting if now + j.p95_s > j.deadline]:
            self.withdraw(job.item)
            self._evicted.append(job.item)

    def _admit(self, new, now, may_wait):
        """Queue a request, evicting others if necessary; return the verdict."""
        waiting = list(self._waiting)
        late_before = self._find_late(waiting, now)
        insort(waiting, new)
        victims = []
        while (blocked := self._count_blocked(waiting, late_before, now)) is not None:
            victim = self._pick_victim(waiting[:blocked], new)
            if victim is new:
                return "refuse"
            waiting.remove(victim)
            victims.append(victim)
        if not may_wait:
            wait_s = self._predict_starts(waiting, now)[new] - now
            if victims or wait_s > REDIRECT_WAIT_S + REDIRECT_COST_SHARE * new.cost_s:
                return "busy"
        for job in victims:
            self.withdraw(job.item)
            self._evicted.append(job.item)
        insort(self._waiting, new)
        self._by_item[new.item] = new
        return "wait"

    def _count_blocked(self, waiting, late_before, now):
        """Return how many waiting requests compete for too little room, or None.

        `late_before` holds the requests that were late before the new one was added.
        """
        if len(waiting) > self.queue_limit:
            return len(waiting)
        late = self._find_late(waiting, now) - late_before
        if not late:
            return None
        return min(waiting.index(job) for job in late) + 1

    def _pick_victim(self, jobs, new):
        """Return the request to evict: of the lowest plan, the new one first."""
        if not self.rules.priorities:
            return new
        return max(jobs, key=lambda j: (j.priority, j is new, j.sequence))

    def _find_late(self, waiting, now):
        """Return the waiting requests that would end after their deadlines."""
        if not self.rules.refuse_late:
            return set()
        return set(waiting) - self._predict_starts(waiting, now).keys()

    def _remaining_s(self, job, now):
        return self.costs.residual_s(job.key, now - job.started)

    def _predict_starts(self, waiting, now):
        """Return the start time by request for those that will end in time."""
        ends = [
            (now + self._remaining_s(job, now), job.long)
            for job in self._running.values()
        ]
        free = [now] * (self.slots - self.running) + [end for end, _ in ends]
        long_ends = [end for end, long in ends if long]
        starts = {}
        due_times = self.pacer.due_times()
        due_at = next(due_times)
        for job in waiting:
            start = max(min(free), due_at)
            later_long_ends = sorted(t for t in long_ends if t > start)
            if job.long and len(later_long_ends) >= self._max_long_running:
                start = later_long_ends[-self._max_long_running]
            end = start + job.cost_s
            latest = now + WAIT_MARGIN * (start - now) + job.p95_s
            if self.rules.refuse_late and latest > job.deadline:
                continue
            starts[job] = start
            due_at = next(due_times)
            free[free.index(max(t for t in free if t <= start))] = end
            if job.long:
                long_ends.append(end)
        return starts
