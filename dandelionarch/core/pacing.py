"""Pace of the requests to an endpoint that limits their rate."""

import itertools
import math

# Requests that may follow one another at once. The endpoint gets this many more than
# its rate in any span of time.
BURST = 2
# An endpoint that takes no requests is asked this often whether that still holds.
MIN_RATE_PER_S = 0.25


class Pacer:
    """Spaces the requests to an endpoint as long as it names a limit on their rate.

    The endpoint names the limit in each answer for as long as it holds. An answer
    without it ends the limit only if its request was sent after the latest answer that
    named it; otherwise the answer may be older.

    Attributes
    ----------
    rate_per_s : float
        The limit in requests per second; infinite if there is none.
    is_known : bool
        True once the endpoint has answered or a peer's knowledge was used.
    """

    def __init__(self):
        self.rate_per_s = math.inf
        self._named_at = -math.inf
        self._due_at = -math.inf
        self.is_known = False
        self._has_answered = False

    def on_answer(self, rate_per_s, sent_at, now):
        """Handle the limit in an answer; return True if a limit begins or ends.

        Parameters
        ----------
        rate_per_s : float or None
            None if the answer names none.
        sent_at : float
            Time in seconds at which the answer's request was sent.
        now : float
            Time in seconds.
        """
        self.is_known = self._has_answered = True
        was_limited = self.is_limited
        if rate_per_s is not None:
            self._set_rate(max(MIN_RATE_PER_S, rate_per_s), now)
            self._named_at = now
        elif sent_at > self._named_at:
            self._set_rate(math.inf, now)
        return self.is_limited != was_limited

    def assume(self, rate_per_s, now):
        """Use a limit that a peer knows of, until the endpoint has answered here."""
        if not self._has_answered:
            self.is_known = True
            self._set_rate(max(MIN_RATE_PER_S, rate_per_s), now)

    def _set_rate(self, rate_per_s, now):
        """Change the limit; the requests that went ahead of it stay as many."""
        if self.is_limited and rate_per_s < math.inf:
            ahead = max(0.0, self._due_at - now) * self.rate_per_s
            self._due_at = now + ahead / rate_per_s
        self.rate_per_s = rate_per_s

    @property
    def is_limited(self):
        """Return True while a limit holds."""
        return self.rate_per_s < math.inf

    def due_at(self):
        """Return the earliest time in seconds of the next request."""
        return next(self.due_times())

    def due_times(self):
        """Yield the earliest times in seconds of the next requests, one by one."""
        if not self.is_limited:
            yield from itertools.repeat(-math.inf)
        period_s = 1 / self.rate_per_s
        first = self._due_at - (BURST - 1) * period_s
        for number in itertools.count():
            yield first + number * period_s

    def on_request(self, now):
        """Record that a request goes to the endpoint."""
        if self.is_limited:
            self._due_at = max(now, self._due_at) + 1 / self.rate_per_s
