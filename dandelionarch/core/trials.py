"""Invitations by which an agent asks ingresses for trials of a closed gate.

A trial is a request that is admitted through a closed gate (see `core.gate`). Were
trials a fixed share of all requests, closed gates would be tested more rarely the
larger the fleet is and the fewer requests are idempotent. The agent therefore invites
some ingresses that have recently sent it idempotent requests, and one of them sends its
next such request. If none arrives, the agent invites twice as many the next time, as a
few ingresses of a large fleet may have no request for the service for a while. Some
time after its last failure a gate accepts any request, and the invitation says so.
"""

from dataclasses import dataclass

from dandelionarch.ids import EndpointId

# The gate admits the first invited request and refuses the others before they run.
INVITED_INGRESSES = 3
INVITE_PERIOD_S = 0.25
# By then every linked ingress is invited.
MAX_DOUBLINGS = 5
INVITE_LIFETIME_S = 1.0
MAX_RECENT_INGRESSES = 16


class TrialInviter:
    """Decide when an agent invites trials of one endpoint, and from which ingresses.

    Ingresses are any hashable objects; times are in seconds.
    """

    def __init__(self, rng):
        self._rng = rng
        self._recent_ingresses = {}
        self._next_invite_at = 0.0
        self._doublings = 0
        self._invited_before = False

    def on_idempotent_request(self, ingress):
        """Record that an ingress has sent an idempotent request for the endpoint."""
        self._recent_ingresses.pop(ingress, None)
        self._recent_ingresses[ingress] = True
        while len(self._recent_ingresses) > MAX_RECENT_INGRESSES:
            del self._recent_ingresses[next(iter(self._recent_ingresses))]

    def forget(self, ingress):
        """Forget an ingress whose link has ended."""
        self._recent_ingresses.pop(ingress, None)

    def on_trial_ended(self):
        """Allow the next invitation at once, with half as many ingresses."""
        self._next_invite_at = 0.0
        self._invited_before = False
        self._doublings = max(0, self._doublings - 1)

    def choose_ingresses(self, gate, now, list_ingresses):
        """Return the ingresses to invite now; usually none.

        `list_ingresses()` returns all ingresses. Some of them are invited if too few
        have recently sent requests, as when the gate closes on the first requests.
        """
        if now < self._next_invite_at or not gate.is_trial_due(now):
            return []
        self._next_invite_at = now + INVITE_PERIOD_S
        if self._invited_before:
            self._doublings = min(MAX_DOUBLINGS, self._doublings + 1)
        self._invited_before = True
        count = INVITED_INGRESSES * 2**self._doublings
        invited = _sample(self._rng, list(self._recent_ingresses), count)
        others = [ingress for ingress in list_ingresses() if ingress not in invited]
        return invited + _sample(self._rng, others, count - len(invited))


def _sample(rng, items, count):
    return rng.sample(items, min(count, len(items)))


@dataclass(frozen=True, slots=True)
class _Invite:
    """An invitation to send a trial, valid until a time in seconds."""

    until_s: float
    any_work: bool


class TrialInvites:
    """Invitations that one ingress has received."""

    def __init__(self):
        self._invites = {}

    def add(self, endpoint_id: EndpointId, now, any_work=False):
        """Add an invitation; with `any_work` the trial need not be idempotent."""
        # Invitations of endpoints that have left the fleet are never looked up again.
        self._invites = {e: i for e, i in self._invites.items() if now <= i.until_s}
        self._invites[endpoint_id] = _Invite(now + INVITE_LIFETIME_S, any_work)

    def is_invited(self, endpoint_id, now, idempotent=True):
        """Return True if the endpoint's agent invites such a request as a trial."""
        invite = self._invites.get(endpoint_id)
        if invite is None or now > invite.until_s:
            return False
        return idempotent or invite.any_work

    def remove(self, endpoint_id):
        """Discard the invitation of an endpoint, as a request is sent to it."""
        self._invites.pop(endpoint_id, None)
