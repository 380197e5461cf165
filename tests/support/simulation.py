"""Actions on a virtual clock, for loads that need no network."""

import heapq
import itertools


class Simulation:
    """Calls actions in the order of their times; `now` is in seconds."""

    def __init__(self):
        self.now = 0.0
        self._events = []
        self._order = itertools.count()

    def at(self, time, action, *args):
        """Call an action at a time in seconds."""
        heapq.heappush(self._events, (time, next(self._order), action, args))

    def steps(self, until):
        """Call the actions due before a time in seconds; yield after each."""
        while self._events[0][0] < until:
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)
            yield
        self.now = until

    def run(self, until):
        """Call the actions due before a time in seconds; return this object."""
        for _ in self.steps(until):
            pass
        return self
