"""Admission of work to the slots of an endpoint by its agent."""

from collections import deque


class SlotQueue:
    """Slots of one endpoint with a short first-in first-out queue.

    Parameters
    ----------
    slots : int
        Requests that the endpoint runs at once.
    queue_limit : int
        Requests that may wait.
    """

    def __init__(self, slots, queue_limit):
        self.slots = slots
        self.queue_limit = queue_limit
        self.running = 0
        self._queue = deque()

    @property
    def queued(self):
        """Return the number of requests that wait."""
        return len(self._queue)

    def offer(self, item):
        """Return "run", "wait" or "refuse" for a new request."""
        if self.running < self.slots:
            self.running += 1
            return "run"
        if len(self._queue) < self.queue_limit:
            self._queue.append(item)
            return "wait"
        return "refuse"

    def withdraw(self, item):
        """Remove a waiting request; return False if it does not wait."""
        try:
            self._queue.remove(item)
        except ValueError:
            return False
        return True

    def finish(self):
        """Free a slot; return the request that takes it, or None."""
        if self._queue:
            return self._queue.popleft()
        self.running -= 1
        return None
