"""Shedding by plan, lowest first, from the load that agents report."""

import math

# Work per slot at which the lowest plan starts to be shed, and at which every plan
# but the highest is. One request that waits per slot keeps the slots busy; starting
# at 1.0 left 11% more of the capacity idle at a crest of 1.5 times the capacity.
START_LOAD = 2.0
MAX_SHED_LOAD = 3.5
REPORT_WEIGHT = 0.1
# A load that was not told again for this long counts no more.
REPORT_LIFETIME_S = 2.0


class LoadShedder:
    """Sheds requests of a service while its endpoints' slots are all taken.

    Plans are shed in the order of their priorities, each in part before the next;
    the highest is left to the agents' queues.
    """

    def __init__(self):
        self._loads = {}

    def observe(self, service, load, now):
        """Take note of an endpoint's reported work per slot."""
        mean, told = self._loads.get(service, (0.0, -math.inf))
        if now - told > REPORT_LIFETIME_S:
            mean = load
        self._loads[service] = (mean + REPORT_WEIGHT * (load - mean), now)

    def load(self, service, now):
        """Return the mean reported work per slot."""
        mean, told = self._loads.get(service, (0.0, -math.inf))
        return mean if now - told <= REPORT_LIFETIME_S else 0.0

    def should_shed(self, service, priority, priorities, now, rng):
        """Return True if a request is to be shed.

        Parameters
        ----------
        priority : int
            Priority of the customer's plan; 0 is the highest.
        priorities : sequence of int
            The priorities of all plans, rising and without repeats.
        """
        excess = (self.load(service, now) - START_LOAD) / (MAX_SHED_LOAD - START_LOAD)
        if excess <= 0 or priority == priorities[0]:
            return False
        below = len(priorities) - 1 - priorities.index(priority)
        share = excess * (len(priorities) - 1) - below
        return rng.random() < share
