"""The request to stop a daemon, and how long its work in flight is waited for."""

import asyncio
import logging
import math

from dandelionarch.logs import event

log = logging.getLogger(__name__)


class StopRequest(asyncio.Event):
    """Set when the daemon is told to stop; the last time counts.

    Planned changes may overlap, so that a daemon that is stopping is told once more.
    The process is then killed later, and its work in flight has more time.
    """

    def __init__(self):
        super().__init__()
        self._last_s = -math.inf

    def set(self):
        """Take note that the daemon is told to stop."""
        if self.is_set():
            event(log, "stop_repeated")
        self._last_s = asyncio.get_running_loop().time()
        super().set()

    def leaves_time(self, timeout_s):
        """Return True until `timeout_s` seconds have passed since the last time."""
        return asyncio.get_running_loop().time() < self._last_s + timeout_s
