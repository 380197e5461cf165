"""One endpoint of a VM as its agent sees it: its slots, queue, load and limit."""

import asyncio
import logging
import time

from dandelionarch.core.admission import CostQueue, QueueRules
from dandelionarch.core.mechanisms import Mechanism
from dandelionarch.core.messages import request as msgs
from dandelionarch.core.selection import warmup_ramp
from dandelionarch.logs import event

log = logging.getLogger(__name__)


class LocalEndpoint:
    """An endpoint of this VM with the queue for its slots.

    Parameters
    ----------
    endpoint : Endpoint
    off : set of Mechanism, optional
        Mechanisms that are switched off.

    Attributes
    ----------
    on_evicted : callable
        `on_evicted(run)` is called with each attempt that can't start in time any more.
    """

    def __init__(self, endpoint, off=frozenset()):
        self.endpoint = endpoint
        self.queue = CostQueue(endpoint.slots, rules=QueueRules.without(off))
        self.on_evicted = lambda run: None
        self._start_timer = None
        self._warms_up = Mechanism.WARM_UP not in off

    def load(self):
        """Return the `LoadReport` that is attached to each reply."""
        pacer = self.queue.pacer
        return msgs.LoadReport(
            self.endpoint.endpoint_id,
            self.queue.running,
            self.queue.queued,
            self.endpoint.slots,
            self.endpoint.health.value,
            min(self._warmup(), self._paced_share()),
            pacer.rate_per_s if pacer.is_known else 0.0,
        )

    def _warmup(self):
        if not self._warms_up:
            return 1.0
        return warmup_ramp(time.time() - self.endpoint.incarnation / 1000)

    def _paced_share(self):
        """Return the share of the slots that the limit on requests keeps busy."""
        median_s = self.queue.costs.median()
        if median_s is None or not self.queue.pacer.is_limited:
            return 1.0
        return min(1.0, self.queue.pacer.rate_per_s * median_s / self.endpoint.slots)

    def offer(self, run, head):
        """Offer an attempt to the queue; return the verdict of `CostQueue.offer`."""
        now = asyncio.get_running_loop().time()
        if head.rate_per_s:
            self.queue.pacer.assume(head.rate_per_s, now)
        deadline = now + head.budget_ms / 1000
        verdict = self.queue.offer(
            run, now, head.route, deadline, head.priority, head.may_wait
        )
        self._report_evicted()
        self._schedule_start()
        return verdict

    def finish(self, run):
        """Remove an attempt that has ended; the next one takes its slot."""
        if not run.started.is_set():
            self.queue.withdraw(run)
            return
        now = asyncio.get_running_loop().time()
        next_run = self.queue.finish(run, now, run.answer_sent)
        if next_run is not None:
            next_run.started.set()
        self._report_evicted()
        self._schedule_start()

    def apply_rate(self, rate_per_s, sent_at):
        """Apply the limit in an answer; return True if a limit begins or ends.

        Parameters
        ----------
        rate_per_s : float or None
            Requests per second; None if the answer names no limit.
        sent_at : float
            Loop time, in seconds, at which the answer's request was sent.
        """
        pacer, now = self.queue.pacer, asyncio.get_running_loop().time()
        before = pacer.rate_per_s
        is_changed = pacer.on_answer(rate_per_s, sent_at, now)
        if is_changed:
            event(
                log,
                "rate_limit_changed",
                endpoint=self.endpoint.endpoint_id,
                rate_per_s=pacer.rate_per_s,
            )
        if pacer.rate_per_s != before:
            self._start_waiting()
        return is_changed

    def _schedule_start(self):
        """Start the next waiting attempt when the limit on their rate allows it."""
        loop = asyncio.get_running_loop()
        start_at = self.queue.paced_start_at(loop.time())
        if start_at is None or self._start_timer is not None:
            return
        self._start_timer = loop.call_at(start_at, self._start_waiting)

    def _start_waiting(self):
        """Start the waiting attempts that may start now, and schedule the next."""
        if self._start_timer is not None:
            self._start_timer.cancel()
            self._start_timer = None
        now = asyncio.get_running_loop().time()
        while (run := self.queue.start_next(now)) is not None:
            run.started.set()
        self._report_evicted()
        self._schedule_start()

    def _report_evicted(self):
        for run in self.queue.take_evicted():
            self.on_evicted(run)
