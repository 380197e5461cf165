"""Timer service: components subscribe to it instead of reading a clock."""

import heapq
import itertools


class Subscription:
    """One pending or periodic callback."""

    __slots__ = ("callback", "cancelled", "period_s")

    def __init__(self, callback, period_s=None):
        self.callback = callback
        self.period_s = period_s
        self.cancelled = False

    def cancel(self):
        """Prevent all further calls."""
        self.cancelled = True


class TimerService:
    """Calls subscribers when the time passed to `advance` reaches their due time.

    The daemon advances it from its event loop with a monotonic clock; measurements
    and tests use a virtual clock.

    Parameters
    ----------
    now : float
        Start time in seconds on any monotonic scale.
    """

    def __init__(self, now=0.0):
        self._now = now
        self._heap = []
        self._order = itertools.count()

    def now(self):
        """Return the current time in seconds."""
        return self._now

    def subscribe(self, delay_s, callback):
        """Call `callback()` once after `delay_s` seconds."""
        sub = Subscription(callback)
        self._push(self._now + delay_s, sub)
        return sub

    def subscribe_every(self, period_s, callback, first_delay_s=None):
        """Call `callback()` every `period_s` seconds.

        The first call comes after `first_delay_s`, by default after one period.
        """
        sub = Subscription(callback, period_s)
        delay_s = period_s if first_delay_s is None else first_delay_s
        self._push(self._now + delay_s, sub)
        return sub

    def next_due_time(self):
        """Return the time of the next call in seconds, or None."""
        while self._heap and self._heap[0][2].cancelled:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def advance(self, to):
        """Advance the time to `to` and make all due calls in order."""
        while (due := self.next_due_time()) is not None and due <= to:
            _, _, sub = heapq.heappop(self._heap)
            self._now = max(self._now, due)
            if sub.period_s is not None:
                self._push(self._now + sub.period_s, sub)
            sub.callback()
        self._now = max(self._now, to)

    def _push(self, due, sub):
        heapq.heappush(self._heap, (due, next(self._order), sub))
