"""Limit on the idle time after which a connection to an endpoint is reused."""

# An endpoint may drop an idle connection silently, so that the next request on it is
# reset. A limit derived from a reset is valid for this time.
LIMIT_LIFETIME_S = 10.0
MIN_IDLE_S = 0.05


class IdleLimit:
    """Half of the shortest idle time after which a connection recently broke.

    Parameters
    ----------
    max_s : float
        Limit in seconds while no connection has broken.
    """

    def __init__(self, max_s):
        self._max_s = max_s
        self._limit_s = max_s
        self._until = 0.0

    def allows(self, idle_s, now):
        """Return True if a connection that was idle for `idle_s` may be reused."""
        if now >= self._until:
            self._limit_s = self._max_s
        return idle_s <= self._limit_s

    def on_break(self, idle_s, now):
        """Lower the limit, as the first request after an idle time was reset."""
        self._limit_s = min(self._limit_s, max(MIN_IDLE_S, idle_s / 2))
        self._until = now + LIMIT_LIFETIME_S
