"""Simulated workers: service times, faults and wrong load reports."""

import math
from dataclasses import dataclass

STRAGGLER_SHARE = 0.01
STRAGGLER_FACTOR = 30.0
COLD_FACTOR = 3.0


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of work with its log-normal service time.

    Parameters
    ----------
    name : str
    median_s : float
        Median service time in seconds on a healthy, warm worker.
    sigma : float
        Standard deviation of the logarithm of the service time.
    share : float
        Weight of this kind among the requests.
    idempotent : bool
    budget_s : float
        Time budget of a request, in seconds.
    priority : int
        Requests with priority 0 are refused last.
    """

    name: str
    median_s: float
    sigma: float = 0.4
    share: float = 1.0
    idempotent: bool = True
    budget_s: float = 2.0
    priority: int = 0


@dataclass(frozen=True, slots=True)
class Fault:
    """A gray failure of one worker while it still responds to probes.

    Parameters
    ----------
    start_s, end_s : float
        Times between which the fault is active.
    slow : float
        Factor on the service time.
    error_share : float
        Share of requests that fail at the end of their service time.
    hang : bool
        Whether requests get no response.
    kind : str, optional
        The only kind of work that is affected; all by default.
    flap_period_s : float, optional
        The fault is active in the first half of each period only.
    """

    start_s: float = 0.0
    end_s: float = math.inf
    slow: float = 1.0
    error_share: float = 0.0
    hang: bool = False
    kind: str | None = None
    flap_period_s: float | None = None

    def applies(self, kind, now):
        """Return True if the fault affects a kind of work at a time."""
        if not self.start_s <= now < self.end_s:
            return False
        if self.kind is not None and self.kind != kind.name:
            return False
        if self.flap_period_s is None:
            return True
        return (now - self.start_s) % self.flap_period_s < self.flap_period_s / 2


class Worker:
    """A worker with random service times.

    Parameters
    ----------
    endpoint_id : str
    slots : int
    rng : random.Random
    straggler_share : float
        Share of requests that take `STRAGGLER_FACTOR` times longer.
    started_s, cold_s : float
        Start of the worker and duration of its cold start, during which the factor on
        its service time falls linearly from `COLD_FACTOR` to 1.
    misreport : float
        Factor on the reported load; with 0 the worker seems idle.
    """

    def __init__(
        self,
        endpoint_id,
        slots,
        rng,
        straggler_share=STRAGGLER_SHARE,
        started_s=0.0,
        cold_s=0.0,
        misreport=1.0,
    ):
        self.endpoint_id = endpoint_id
        self.slots = slots
        self.straggler_share = straggler_share
        self.started_s = started_s
        self.cold_s = cold_s
        self.misreport = misreport
        self.faults = []
        self._rng = rng

    def run(self, kind, now):
        """Return (service time in seconds, True on success) of one request."""
        rng = self._rng
        service_s = kind.median_s * math.exp(rng.gauss(0.0, kind.sigma))
        if rng.random() < self.straggler_share:
            service_s *= STRAGGLER_FACTOR
        service_s *= self._cold_factor(now)
        ok = True
        for fault in self.faults:
            if fault.applies(kind, now):
                service_s *= math.inf if fault.hang else fault.slow
                ok = ok and rng.random() >= fault.error_share
        return service_s, ok

    def warmup(self, now):
        """Return the progress of the cold start, from 0 to 1."""
        if self.cold_s <= 0:
            return 1.0
        return min(1.0, max(0.0, (now - self.started_s) / self.cold_s))

    def _cold_factor(self, now):
        return COLD_FACTOR - (COLD_FACTOR - 1.0) * self.warmup(now)
