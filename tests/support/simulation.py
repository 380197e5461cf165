"""Event simulation on a virtual clock, for load tests without a network."""

import heapq
import itertools


class Simulation:
    """Calls scheduled functions in the order of their times.

    Attributes
    ----------
    now : float
        Virtual time in seconds.
    """

    def __init__(self):
        self.now = 0.0
        self._events = []
        self._order = itertools.count()

    def call_at(self, time, action, *args):
        """Schedule `action(*args)` at a virtual time in seconds."""
        heapq.heappush(self._events, (time, next(self._order), action, args))

    def steps(self, until):
        """Call the actions due before the time `until`; yield after each."""
        while self._events[0][0] < until:
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)
            yield
        self.now = until

    def run(self, until):
        """Call the actions due before the time `until`; return this object."""
        for _ in self.steps(until):
            pass
        return self
