"""Endpoints that have lately refused work of this ingress."""

FIRST_HOLD_S = 0.1
MAX_HOLD_S = 2.0


class RefusalBackoff:
    """Says which endpoints to leave out for a moment after a refusal.

    An endpoint that refuses at once always looks idle, so the choice by load would
    send it most of the work. The hold doubles with each refusal in a row and ends
    with the first request that the endpoint takes.
    """

    def __init__(self):
        self._held = {}

    def on_refused(self, endpoint_id, now):
        """Take note of a refusal at `now` seconds."""
        hold_s, until = self._held.get(endpoint_id, (FIRST_HOLD_S / 2, 0.0))
        if now >= until:
            hold_s = min(MAX_HOLD_S, 2 * hold_s)
        self._held[endpoint_id] = (hold_s, now + hold_s)

    def on_accepted(self, endpoint_id):
        """Take note that the endpoint has taken a request."""
        self._held.pop(endpoint_id, None)

    def is_held(self, endpoint_id, now):
        """Return True while the endpoint is to be left out."""
        held = self._held.get(endpoint_id)
        return held is not None and now < held[1]
