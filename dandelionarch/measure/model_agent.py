"""Links and agents of the model."""

from dandelionarch.core.messages.request import LoadReport
from dandelionarch.core.outcome import Reason

SAME_VM_S = 0.00005
BETWEEN_DATA_CENTRES_S = 0.0005


class Network:
    """Links with delays and one-way cuts.

    `cuts` holds (sender, receiver) pairs of VM ids whose messages are lost;
    `extra_s` holds added delays in seconds by the same pairs.
    """

    def __init__(self, timers):
        self.cuts = set()
        self.extra_s = {}
        self._timers = timers

    def send(self, sender, receiver, callback, *args):
        """Call `callback(*args)` at the receiver after the delay, unless cut."""
        pair = (sender, receiver)
        if pair in self.cuts:
            return
        delay_s = SAME_VM_S if sender == receiver else BETWEEN_DATA_CENTRES_S
        delay_s += self.extra_s.get(pair, 0.0)
        self._timers.subscribe(delay_s, lambda: callback(*args))

    def works(self, one, two):
        """Return True if messages pass in both directions."""
        return (one, two) not in self.cuts and (two, one) not in self.cuts


class Agent:
    """Owns the slots of one worker."""

    def __init__(self, model, vm, endpoint, worker, options):
        self.model = model
        self.vm_id = vm.vm_id
        self.endpoint = endpoint
        self.worker = worker
        self.queue = options.make_queue(worker)
        self.waiting = {}
        self.starts = []
        self.remote_dispatches = []
        self.detector = options.make_detector(self)

    def load(self):
        """Return the `LoadReport` attached to each reply."""
        worker, queue = self.worker, self.queue
        return LoadReport(
            self.endpoint.endpoint_id,
            int(queue.running * worker.misreport),
            int(queue.queued * worker.misreport),
            worker.slots,
            self.detector.health.value,
            worker.warmup(self.model.timers.now()),
        )

    def on_head(self, attempt):
        """Refuse an attempt, let it wait or run it."""
        now = self.model.timers.now()
        attempt.arrived_s = now
        reason = self.detector.refusal(attempt, now)
        if reason is not None:
            self._reply(attempt, reason, refused=True)
            return
        work = attempt.work
        verdict = self.queue.offer(
            attempt,
            now,
            work.route,
            attempt.deadline,
            work.priority,
            attempt.may_wait,
        )
        self._refuse_evicted()
        if verdict == "busy":
            self._refuse(attempt, Reason.BUSY)
        elif verdict == "refuse":
            self._refuse(attempt, Reason.QUEUE_FULL)
        elif verdict == "run":
            self._start(attempt)
        else:
            self.waiting[attempt] = True
            attempt.timer = self.model.timers.subscribe(
                max(0.0, attempt.deadline - now), lambda: self._too_late(attempt)
            )

    def on_cancel(self, attempt):
        """Stop an attempt that its ingress has given up."""
        now = self.model.timers.now()
        if attempt.ended:
            return
        if attempt.started_s is None:
            attempt.timer.cancel()
            self.queue.withdraw(attempt)
            self.waiting.pop(attempt, None)
            self.detector.finished(attempt, 0.0, Reason.CANCELLED, now)
            attempt.ended = True
        else:
            self._finish(attempt, Reason.CANCELLED)

    def refuse_queued(self, reason):
        """Refuse all attempts that wait."""
        for attempt in list(self.waiting):
            attempt.timer.cancel()
            self.queue.withdraw(attempt)
            self._refuse(attempt, reason)

    def _too_late(self, attempt):
        self.queue.withdraw(attempt)
        self._refuse(attempt, Reason.TOO_LATE)

    def _refuse(self, attempt, reason):
        self.waiting.pop(attempt, None)
        self.detector.finished(attempt, 0.0, reason, self.model.timers.now())
        self._reply(attempt, reason, refused=True)

    def _start(self, attempt):
        now = self.model.timers.now()
        if attempt.timer is not None:
            attempt.timer.cancel()
        self.waiting.pop(attempt, None)
        attempt.started_s = now
        self.starts.append(now)
        self.detector.started(attempt, now)
        service_s, ok = self.worker.run(attempt.kind, now)
        left_s = max(0.0, attempt.deadline - now)
        reason = None if ok else Reason.WORKER_FAILED
        if service_s > left_s:
            service_s, reason = left_s, Reason.DEADLINE
        attempt.timer = self.model.timers.subscribe(
            service_s, lambda: self._finish(attempt, reason)
        )

    def _finish(self, attempt, reason):
        now = self.model.timers.now()
        attempt.timer.cancel()
        self.detector.finished(attempt, now - attempt.started_s, reason, now)
        if reason is not Reason.CANCELLED:
            self._reply(attempt, reason, refused=False)
        attempt.ended = True
        following = self.queue.finish(attempt, now, reason is None)
        if following is not None:
            self._start(following)
        self._refuse_evicted()

    def _refuse_evicted(self):
        for attempt in self.queue.take_evicted():
            attempt.timer.cancel()
            self._reply(attempt, Reason.QUEUE_FULL, refused=True)

    def _reply(self, attempt, reason, refused):
        attempt.ended = True
        ingress = attempt.ingress
        self.model.network.send(
            self.vm_id,
            ingress.vm_id,
            ingress.on_reply,
            attempt,
            reason,
            refused,
            self.load(),
        )
