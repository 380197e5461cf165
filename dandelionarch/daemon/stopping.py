"""Request to stop a daemon, and the time that it leaves for requests."""

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


class PlannedStop:
    """Judges which requests a planned stop would, or may, abort.

    Parameters
    ----------
    ingress : Ingress
        Knows the times that requests take.

    Attributes
    ----------
    time_left_s : callable
        Returns the seconds until a planned stop ends the requests in flight; inf
        without a stop.
    callers_have_left : bool
        True in the part of a stop in which callers have had time to move to other VMs.
    may_be_call : callable
        `may_be_call(expires_at)` returns False if a request can't be a call of this
        VM's endpoint, by the loop time in seconds until which its caller waits.
    """

    def __init__(self, ingress):
        self.time_left_s = lambda: math.inf
        self.callers_have_left = False
        self.may_be_call = lambda expires_at: True
        self._ingress = ingress

    def may_abort(self, work, budget_s, expires_at):
        """Return True if the time left is, or may be, too short for a request.

        Parameters
        ----------
        work : Work
        budget_s : float
            Time budget of the request in seconds.
        expires_at : float
            Loop time, in seconds, until which its caller waits.
        """
        needed_s = self._ingress.likely_time_s(work)
        if self.callers_have_left:
            # A straggler may take up its whole budget. A call of this VM's endpoint,
            # which is idempotent, is not refused for that, as its caller would fail.
            straggler_s = budget_s
            if work.idempotent and self.may_be_call(expires_at):
                straggler_s = min(budget_s, self._ingress.longest_time_s(work))
            needed_s = max(needed_s, straggler_s)
        return needed_s > self.time_left_s()
