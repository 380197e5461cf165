"""Back-off from endpoints that have recently refused requests of this ingress."""

FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0


class RefusalBackoff:
    """Exclude endpoints for a short time (back-off) after a refusal.

    An endpoint that refuses at once always looks idle, so a selection by load would
    send it most requests. The back-off doubles with each consecutive refusal and ends
    with the first request that the endpoint accepts.
    """

    def __init__(self):
        self._excluded = {}

    def on_refused(self, endpoint_id, now):
        """Start or extend the back-off after a refusal at `now` seconds."""
        backoff_s, until = self._excluded.get(endpoint_id, (FIRST_BACKOFF_S / 2, 0.0))
        # Refusals of requests sent together count once.
        if now >= until:
            backoff_s = min(MAX_BACKOFF_S, 2 * backoff_s)
        self._excluded[endpoint_id] = (backoff_s, now + backoff_s)

    def on_accepted(self, endpoint_id):
        """End the back-off, as the endpoint has accepted a request."""
        self._excluded.pop(endpoint_id, None)

    def is_excluded(self, endpoint_id, now):
        """Return True while the endpoint is excluded."""
        entry = self._excluded.get(endpoint_id)
        return entry is not None and now < entry[1]
