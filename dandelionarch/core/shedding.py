"""Load shedding by plan, lowest first, based on the load that agents report."""

import math

# Work per slot at which shedding of the lowest plan starts, and at which every plan but
# the highest is shed. One waiting request per slot keeps the slots busy: a start at 1.0
# left 11% more of the capacity idle at a demand of 1.5 times the capacity.
START_LOAD = 2.0
MAX_SHED_LOAD = 3.5
REPORT_WEIGHT = 0.1
# A load that was not reported again for this long is ignored.
REPORT_LIFETIME_S = 2.0


class LoadShedder:
    """Shed requests of a service while all slots of its endpoints are taken.

    The shed share grows with the load, from the lowest plan to the second highest: a
    plan is shed only once all requests of the lower ones are. The highest plan is never
    shed and left to the agents' queues.
    """

    def __init__(self):
        self._loads = {}

    def observe(self, service, load, now):
        """Add an endpoint's reported work per slot."""
        mean, reported_at = self._loads.get(service, (0.0, -math.inf))
        if now - reported_at > REPORT_LIFETIME_S:
            mean = load
        self._loads[service] = (mean + REPORT_WEIGHT * (load - mean), now)

    def load(self, service, now):
        """Return the mean reported work per slot."""
        mean, reported_at = self._loads.get(service, (0.0, -math.inf))
        return mean if now - reported_at <= REPORT_LIFETIME_S else 0.0

    def should_shed(self, service, priority, priorities, now, rng):
        """Return True if a request is to be shed.

        Parameters
        ----------
        priority : int
            Priority of the customer's plan; 0 is the highest.
        priorities : sequence of int
            The priorities of all plans, ascending and unique.
        """
        excess = (self.load(service, now) - START_LOAD) / (MAX_SHED_LOAD - START_LOAD)
        if excess <= 0 or priority == priorities[0]:
            return False
        below = len(priorities) - 1 - priorities.index(priority)
        share = excess * (len(priorities) - 1) - below
        return rng.random() < share
