"""Trials of endpoints whose gates are closed: whom an agent asks for one.

A share of all requests would try each closed gate more rarely the larger a fleet is and
the fewer requests are idempotent. So the agent asks some ingresses that have sent it
idempotent work lately, and one of them sends its next such request. If none comes, it
asks twice as many the next time: the larger a fleet is, the longer a few ingresses are
without a request for the service.
"""

import math

from dandelionarch.ids import EndpointId

# Several are invited; all but the first are refused at the gate, before any run.
INVITED = 3
INVITE_PERIOD_S = 0.25
# Every linked ingress by then.
MOST_DOUBLINGS = 5
INVITE_VALID_S = 1.0
ASKERS_KEPT = 16


class TrialInviter:
    """Decides when an agent invites trials of one endpoint, and whom.

    Ingresses are any hashable objects; times are in seconds.
    """

    def __init__(self, rng):
        self._rng = rng
        self._askers = {}
        self._next = 0.0
        self._doublings = 0
        self._invited = False

    def asked(self, ingress):
        """Take note that an ingress has idempotent work for the endpoint."""
        self._askers.pop(ingress, None)
        self._askers[ingress] = True
        while len(self._askers) > ASKERS_KEPT:
            del self._askers[next(iter(self._askers))]

    def lost(self, ingress):
        """Forget an ingress whose link has ended."""
        self._askers.pop(ingress, None)

    def trial_ended(self):
        """Take note that the next trial may be asked for at once, of fewer."""
        self._next = 0.0
        self._invited = False
        self._doublings = max(0, self._doublings - 1)

    def due(self, gate, now, peers):
        """Return the ingresses to invite now, most often none.

        `peers()` returns all ingresses; an endpoint whose gate closed with its first
        requests knows none that has work for it.
        """
        if now < self._next or not gate.wants_trial(now):
            return []
        self._next = now + INVITE_PERIOD_S
        if self._invited:
            self._doublings = min(MOST_DOUBLINGS, self._doublings + 1)
        self._invited = True
        count = INVITED * 2**self._doublings
        invited = _sample(self._rng, list(self._askers), count)
        others = [peer for peer in peers() if peer not in invited]
        return invited + _sample(self._rng, others, count - len(invited))


def _sample(rng, items, count):
    return rng.sample(items, min(count, len(items)))


class TrialInvites:
    """The invitations that one ingress holds."""

    def __init__(self):
        self._until = {}

    def invited(self, endpoint_id: EndpointId, now):
        """Take note of an invitation."""
        # Endpoints that have gone are never asked about again.
        self._until = {e: until for e, until in self._until.items() if now <= until}
        self._until[endpoint_id] = now + INVITE_VALID_S

    def holds(self, endpoint_id, now):
        """Return True if a trial of an endpoint is asked for."""
        return now <= self._until.get(endpoint_id, -math.inf)

    def used(self, endpoint_id):
        """Take note that a request goes to an endpoint."""
        self._until.pop(endpoint_id, None)
