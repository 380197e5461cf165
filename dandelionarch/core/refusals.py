"""Back-off from endpoints that have recently refused requests of this ingress."""

FIRST_HOLD_S = 0.1
MAX_HOLD_S = 2.0


class RefusalBackoff:
    """Exclude endpoints for a short time (hold) after a refusal.

    An endpoint that refuses at once always looks idle, so a selection by load would
    send it most requests. The hold doubles with each consecutive refusal and ends with
    the first request that the endpoint accepts.
    """

    def __init__(self):
        self._held = {}

    def on_refused(self, endpoint_id, now):
        """Start or extend the hold after a refusal at `now` seconds."""
        hold_s, until = self._held.get(endpoint_id, (FIRST_HOLD_S / 2, 0.0))
        # Refusals of requests sent together count once.
        if now >= until:
            hold_s = min(MAX_HOLD_S, 2 * hold_s)
        self._held[endpoint_id] = (hold_s, now + hold_s)

    def on_accepted(self, endpoint_id):
        """End the hold, as the endpoint has accepted a request."""
        self._held.pop(endpoint_id, None)

    def is_held(self, endpoint_id, now):
        """Return True while the endpoint is excluded."""
        held = self._held.get(endpoint_id)
        return held is not None and now < held[1]
