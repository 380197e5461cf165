"""Request to stop a daemon, and the time left for its work in flight."""

import asyncio
import logging
import math

from dandelionarch.logs import event

log = logging.getLogger(__name__)


class StopRequest(asyncio.Event):
    """Event set by each request to stop; the latest request starts the time limit.

    Planned stops may overlap, so a stopping daemon may be asked again. Its process is
    then killed later, which leaves more time for work in flight.
    """

    def __init__(self):
        super().__init__()
        self._last_set_s = -math.inf

    def set(self):
        """Request a stop, and restart its time limit."""
        if self.is_set():
            event(log, "stop_repeated")
        self._last_set_s = asyncio.get_running_loop().time()
        super().set()

    def time_left_s(self, timeout_s):
        """Return the seconds until `timeout_s` seconds after the latest request."""
        return self._last_set_s + timeout_s - asyncio.get_running_loop().time()

    def has_time_left(self, timeout_s):
        """Return True until `timeout_s` seconds after the latest request."""
        return self.time_left_s(timeout_s) > 0
