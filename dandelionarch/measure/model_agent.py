"""Network and agents of the model."""

from dandelionarch.core.messages.request import LoadReport
from dandelionarch.core.outcome import Reason

SAME_VM_S = 0.00005
BETWEEN_DATA_CENTRES_S = 0.0005


class Network:
    """Network with delays and one-way losses.

    `cuts` holds (sender, receiver) pairs of VM ids between which messages are lost;
    `extra_s` holds additional delays in seconds by such pairs.
    """

    def __init__(self, timers):
        self.cuts = set()
        self.extra_s = {}
        self._timers = timers

    def send(self, sender, receiver, callback, *args):
        """Call `callback(*args)` after the delay, unless the message is lost."""
        pair = (sender, receiver)
        if pair in self.cuts:
            return
        delay_s = SAME_VM_S if sender == receiver else BETWEEN_DATA_CENTRES_S
        delay_s += self.extra_s.get(pair, 0.0)
        self._timers.subscribe(delay_s, lambda: callback(*args))

    def is_connected(self, vm_id, peer_id):
        """Return True if messages are delivered in both directions."""
        return (vm_id, peer_id) not in self.cuts and (peer_id, vm_id) not in self.cuts


class Agent:
    """Agent of one worker, which manages its slots."""

    def __init__(self, model, vm, endpoint, worker, options):
        self.model = model
        self.vm_id = vm.vm_id
        self.endpoint = endpoint
        self.worker = worker
        self.queue = options.make_queue(worker)
        self.waiting = {}
        self.start_times_s = []
        self.remote_dispatch_times_s = []
        self.detector = options.make_detector(self)

    def load(self):
        """Return the `LoadReport` for a reply."""
        worker, queue = self.worker, self.queue
        return LoadReport(
            self.endpoint.endpoint_id,
            int(queue.running * worker.misreport),
            int(queue.queued * worker.misreport),
            worker.slots,
            self.detector.health.value,
            worker.warmup(self.model.timers.now()),
        )

    def on_request(self, attempt):
        """Refuse, queue or run an attempt."""
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
                max(0.0, attempt.deadline - now), lambda: self._on_deadline(attempt)
            )

    def on_cancel(self, attempt):
        """Stop an attempt that its ingress has abandoned."""
        now = self.model.timers.now()
        if attempt.ended:
            return
        if attempt.started_s is None:
            attempt.timer.cancel()
            self.queue.withdraw(attempt)
            self.waiting.pop(attempt, None)
            self.detector.on_finish(attempt, 0.0, Reason.CANCELLED, now)
            attempt.ended = True
        else:
            self._finish(attempt, Reason.CANCELLED)

    def refuse_queued(self, reason):
        """Refuse all queued attempts."""
        for attempt in list(self.waiting):
            attempt.timer.cancel()
            self.queue.withdraw(attempt)
            self._refuse(attempt, reason)

    def _on_deadline(self, attempt):
        self.queue.withdraw(attempt)
        self._refuse(attempt, Reason.TOO_LATE)

    def _refuse(self, attempt, reason):
        self.waiting.pop(attempt, None)
        self.detector.on_finish(attempt, 0.0, reason, self.model.timers.now())
        self._reply(attempt, reason, refused=True)

    def _start(self, attempt):
        now = self.model.timers.now()
        if attempt.timer is not None:
            attempt.timer.cancel()
        self.waiting.pop(attempt, None)
        attempt.started_s = now
        self.start_times_s.append(now)
        self.detector.on_start(attempt, now)
        service_s, ok = self.worker.run(attempt.kind, now)
        remaining_s = max(0.0, attempt.deadline - now)
        reason = None if ok else Reason.WORKER_FAILED
        if service_s > remaining_s:
            service_s, reason = remaining_s, Reason.DEADLINE
        attempt.timer = self.model.timers.subscribe(
            service_s, lambda: self._finish(attempt, reason)
        )

    def _finish(self, attempt, reason):
        now = self.model.timers.now()
        attempt.timer.cancel()
        self.detector.on_finish(attempt, now - attempt.started_s, reason, now)
        if reason is not Reason.CANCELLED:
            self._reply(attempt, reason, refused=False)
        attempt.ended = True
        next_attempt = self.queue.finish(attempt, now, reason is None)
        if next_attempt is not None:
            self._start(next_attempt)
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
