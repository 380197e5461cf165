"""Trials of endpoints whose gates are closed: whom an agent asks for one.

A share of all requests would try each closed gate more rarely the larger a fleet is and
the fewer requests are idempotent. So the agent asks some ingresses that have sent it
idempotent work lately, and one of them sends its next such request. If none comes, it
asks twice as many the next time: the larger a fleet is, the longer a few ingresses are
without a request for the service. A while after its last failure a gate takes any work,
and the invitation says so.
"""

from dataclasses import dataclass

from dandelionarch.ids import EndpointId

# Several are invited; all but the first are refused at the gate, before any run.
INVITED_INGRESSES = 3
INVITE_PERIOD_S = 0.25
# Every linked ingress by then.
MAX_DOUBLINGS = 5
INVITE_VALID_S = 1.0
MAX_RECENT_INGRESSES = 16


class TrialInviter:
    """Decides when an agent invites trials of one endpoint, and whom.

    Ingresses are any hashable objects; times are in seconds.
    """

    def __init__(self, rng):
        self._rng = rng
        self._recent_ingresses = {}
        self._next_at = 0.0
        self._doublings = 0
        self._invited = False

    def on_idempotent_request(self, ingress):
        """Take note that an ingress has idempotent work for the endpoint."""
        self._recent_ingresses.pop(ingress, None)
        self._recent_ingresses[ingress] = True
        while len(self._recent_ingresses) > MAX_RECENT_INGRESSES:
            del self._recent_ingresses[next(iter(self._recent_ingresses))]

    def forget(self, ingress):
        """Forget an ingress whose link has ended."""
        self._recent_ingresses.pop(ingress, None)

    def on_trial_ended(self):
        """Take note that the next trial may be asked for at once, of fewer."""
        self._next_at = 0.0
        self._invited = False
        self._doublings = max(0, self._doublings - 1)

    def choose_ingresses(self, gate, now, peers):
        """Return the ingresses to invite now, most often none.

        `peers()` returns all ingresses; an endpoint whose gate closed with its first
        requests knows none that has work for it.
        """
        if now < self._next_at or not gate.is_trial_due(now):
            return []
        self._next_at = now + INVITE_PERIOD_S
        if self._invited:
            self._doublings = min(MAX_DOUBLINGS, self._doublings + 1)
        self._invited = True
        count = INVITED_INGRESSES * 2**self._doublings
        invited = _sample(self._rng, list(self._recent_ingresses), count)
        others = [peer for peer in peers() if peer not in invited]
        return invited + _sample(self._rng, others, count - len(invited))


def _sample(rng, items, count):
    return rng.sample(items, min(count, len(items)))


@dataclass(frozen=True, slots=True)
class _Invite:
    """An invitation that holds until a time in seconds."""

    until_s: float
    any_work: bool


class TrialInvites:
    """The invitations that one ingress holds."""

    def __init__(self):
        self._invites = {}

    def add(self, endpoint_id: EndpointId, now, any_work=False):
        """Take note of an invitation, which `any_work` may follow."""
        # Endpoints that have gone are never asked about again.
        self._invites = {e: i for e, i in self._invites.items() if now <= i.until_s}
        self._invites[endpoint_id] = _Invite(now + INVITE_VALID_S, any_work)

    def is_invited(self, endpoint_id, now, idempotent=True):
        """Return True if a request is asked for as a trial of an endpoint."""
        invite = self._invites.get(endpoint_id)
        if invite is None or now > invite.until_s:
            return False
        return idempotent or invite.any_work

    def remove(self, endpoint_id):
        """Take note that a request goes to an endpoint."""
        self._invites.pop(endpoint_id, None)
