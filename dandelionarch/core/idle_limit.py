"""How long a connection to an endpoint may rest before it isn't used again."""

# An endpoint may forget a resting connection without a word, so that the next request
# on it is reset. What a reset shows holds for this long.
HOLD_S = 10.0
MIN_IDLE_S = 0.05


class IdleLimit:
    """Half of the shortest rest after which a connection has broken lately.

    Parameters
    ----------
    most_s : float
        The limit while nothing has broken, in seconds.
    """

    def __init__(self, max_s):
        self._max_s = max_s
        self._limit_s = max_s
        self._until = 0.0

    def allows(self, idle_s, now):
        """Return True if a connection that has rested so long may be used."""
        if now >= self._until:
            self._limit_s = self._max_s
        return idle_s <= self._limit_s

    def on_break(self, idle_s, now):
        """Take note that the first request after a rest broke the connection."""
        self._limit_s = min(self._limit_s, max(MIN_IDLE_S, idle_s / 2))
        self._until = now + HOLD_S
