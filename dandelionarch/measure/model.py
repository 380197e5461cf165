"""Simulation of the decision core of many daemons with simulated workers.

Every daemon of the model has one ingress, one agent and one worker. The results of a
run depend only on its `Options`, whose seed determines all random numbers.
"""

import itertools
import random

from dandelionarch.core import selection
from dandelionarch.core.ingress import Deliver, Dispatch, RequestLifecycle, Work
from dandelionarch.core.outcome import Outcome, Reason
from dandelionarch.core.timer import TimerService
from dandelionarch.core.world import Endpoint, Health, Vm
from dandelionarch.measure.model_agent import (
    BETWEEN_DATA_CENTRES_S,
    Agent,
    Network,
)
from dandelionarch.measure.options import Attempt, Result
from dandelionarch.measure.workers import Worker

CALLER_DELAY_S = 0.008
SILENCE_TIMEOUT_S = 1.5
REDIAL_PERIOD_S = 1.0


class Ingress:
    """Drives requests through the decision core of one daemon."""

    def __init__(self, model, vm, options, rng):
        self.model = model
        self.vm_id = vm.vm_id
        self.data_centre = vm.data_centre
        self.rng = rng
        self.policy = options.make_policy()
        self.filter = options.make_filter()
        self.retries = options.make_retries()
        self.returns = options.make_returns()
        self.hedging = options.make_hedging()
        self.in_flight = {}
        self.loads = {}
        self.lost_links = set()
        self.attempts = set()

    def start_request(self, kind):
        """Start a request of a caller."""
        model, now = self.model, self.model.timers.now()
        work = Work(
            f"r{next(model.request_ids)}",
            model.options.make_customer(self.rng),
            "service",
            kind.name,
            kind.name,
            kind.idempotent,
            kind.priority,
        )
        deadline = now + kind.budget_s
        lifecycle = RequestLifecycle(
            work,
            self._choose,
            deadline,
            self.rng,
            lambda reason, proven_not_run: self.retries.take_retry(
                model.timers.now(), reason, proven_not_run
            ),
            retry_after=lambda min_s: self.returns.retry_after_s(
                model.timers.now(), self.rng, min_s
            ),
            reserve=lambda: self.retries.reserve(model.timers.now()),
        )
        reason = model.options.admit(self, work, now)
        if reason is not None:
            self._record_result(kind, work, now, lifecycle, Outcome.NOT_RUN, reason, "")
            retry_after_s = self.returns.retry_after_s(now, self.rng, 0.0)
            model.options.on_refused(self, kind, retry_after_s)
            return
        self.retries.on_first_attempt(now)
        self._execute(lifecycle.start(now), lifecycle, kind, now)

    def on_reply(self, attempt, reason, refused, load):
        """Store the reported load and end the attempt."""
        now = self.model.timers.now()
        load_of_others = (
            load.running + load.queued - self.in_flight.get(load.endpoint_id, 0)
        )
        self.loads[load.endpoint_id] = (now, load, max(0, load_of_others))
        self._end_attempt(attempt, reason, refused)

    def _choose(self, work, tried, only=None):
        now = self.model.timers.now()
        candidates = []
        for agent in self.model.agents:
            endpoint_id = agent.endpoint.endpoint_id
            if not self.filter.allows(endpoint_id, now):
                continue
            vm = self.model.vms[agent.vm_id]
            cand = selection.Candidate(agent.endpoint, vm)
            cand.near = vm.data_centre == self.data_centre
            cand.link_up = agent.vm_id not in self.lost_links
            cand.in_flight = self.in_flight.get(endpoint_id, 0)
            if endpoint_id in self.loads:
                self._add_report(cand, now, *self.loads[endpoint_id])
            candidates.append(cand)
        options = self.model.options
        return options.select(candidates, self.policy, self.rng, tried)

    def _add_report(self, cand, now, reported_s, load, load_of_others):
        cand.age_s = now - reported_s
        cand.warmup = load.warmup
        cand.health = Health(load.health)
        cand.health_age_s = cand.age_s
        cand.reported = load_of_others

    def _execute(self, command, lifecycle, kind, start_s):
        if isinstance(command, Dispatch):
            self._dispatch(command, lifecycle, kind, start_s)
            return
        endpoint_id = getattr(lifecycle, "endpoint_id", "")
        if isinstance(command, Deliver):
            outcome, reason = Outcome.ANSWER, None
            self.returns.on_answer(self.model.timers.now())
        else:
            outcome, reason = command.outcome, command.reason
            self.model.options.on_refused(self, kind, command.retry_after_s)
        self._record_result(
            kind, lifecycle.work, start_s, lifecycle, outcome, reason, endpoint_id
        )

    def _dispatch(self, command, lifecycle, kind, start_s):
        model = self.model
        agent = model.agents_by_endpoint[command.endpoint.endpoint_id]
        lifecycle.endpoint_id = command.endpoint.endpoint_id

        pair = []

        def on_end(reason, refused):
            now = model.timers.now()
            if self._is_decided_by_other(pair, lifecycle, reason, refused):
                return
            if reason is None:
                next_command = lifecycle.on_answer()
            elif refused:
                min_s = agent.queue.retry_after_s(now)
                next_command = lifecycle.on_not_run(reason, now, min_s)
            elif reason is Reason.DEADLINE:
                next_command = lifecycle.on_deadline()
            else:
                next_command = lifecycle.on_failed(reason, now)
            self._execute(next_command, lifecycle, kind, start_s)

        lifecycle.on_sent()
        attempt = Attempt(lifecycle.work, kind, lifecycle.deadline, self, agent, on_end)
        attempt.may_wait = command.may_wait
        pair.append(attempt)
        self._send(attempt)
        delay_s = self.hedging.delay_s("service", kind.name)
        if delay_s is not None:
            model.timers.subscribe(delay_s, lambda: self._hedge(pair, lifecycle))

    def _hedge(self, pair, lifecycle):
        """Send a second attempt if the first one has no answer yet."""
        first = pair[0]
        if len(pair) > 1 or id(first) not in self.attempts:
            return
        command = lifecycle.hedge(self.model.timers.now())
        if command is not None:
            agent = self.model.agents_by_endpoint[command.endpoint.endpoint_id]
            second = Attempt(
                lifecycle.work,
                first.kind,
                lifecycle.deadline,
                self,
                agent,
                first.on_end,
            )
            pair.append(second)
            self._send(second)

    def _is_decided_by_other(self, pair, lifecycle, reason, refused):
        """Return True if another attempt still runs; cancel it after an answer."""
        now = self.model.timers.now()
        others = [a for a in pair if id(a) in self.attempts]
        if reason is None:
            self.hedging.observe("service", pair[0].kind.name, now - pair[0].sent_s)
            for other in others:
                self.attempts.discard(id(other))
                self.in_flight[other.agent.endpoint.endpoint_id] -= 1
                self.model.network.send(
                    self.vm_id, other.agent.vm_id, other.agent.on_cancel, other
                )
            return False
        if others and not refused:
            lifecycle.on_attempt_discarded()
        return bool(others)

    def _send(self, attempt):
        model, agent = self.model, attempt.agent
        attempt.sent_s = model.timers.now()
        self.attempts.add(id(attempt))
        endpoint_id = agent.endpoint.endpoint_id
        self.in_flight[endpoint_id] = self.in_flight.get(endpoint_id, 0) + 1
        if agent.vm_id != self.vm_id:
            agent.remote_dispatch_times_s.append(model.timers.now())
        model.network.send(self.vm_id, agent.vm_id, agent.on_request, attempt)
        self._set_timeouts(attempt, model.timers.now())

    def _set_timeouts(self, attempt, now):
        """End the attempt at its deadline, or when its link is found to be lost."""
        timers, agent = self.model.timers, attempt.agent

        def on_silence():
            if id(attempt) in self.attempts and not self.model.network.is_connected(
                self.vm_id, agent.vm_id
            ):
                self._mark_link_lost(agent.vm_id)
                self._end_attempt(attempt, Reason.LINK_LOST, refused=False)

        def on_deadline():
            if id(attempt) in self.attempts:
                self.model.network.send(
                    self.vm_id, agent.vm_id, agent.on_cancel, attempt
                )
                self._end_attempt(attempt, Reason.DEADLINE, refused=False)

        timers.subscribe(SILENCE_TIMEOUT_S, on_silence)
        timers.subscribe(attempt.deadline - now + BETWEEN_DATA_CENTRES_S, on_deadline)

    def _mark_link_lost(self, vm_id):
        if vm_id in self.lost_links:
            return
        self.lost_links.add(vm_id)
        self.model.timers.subscribe(REDIAL_PERIOD_S, lambda: self._redial(vm_id))

    def _redial(self, vm_id):
        if self.model.network.is_connected(self.vm_id, vm_id):
            self.lost_links.discard(vm_id)
        else:
            self.model.timers.subscribe(REDIAL_PERIOD_S, lambda: self._redial(vm_id))

    def _end_attempt(self, attempt, reason, refused):
        if id(attempt) not in self.attempts:
            return
        self.attempts.discard(id(attempt))
        endpoint_id = attempt.agent.endpoint.endpoint_id
        self.in_flight[endpoint_id] -= 1
        self.filter.on_attempt_end(endpoint_id, reason, self.model.timers.now())
        attempt.on_end(reason, refused)

    def _record_result(
        self, kind, work, start_s, lifecycle, outcome, reason, endpoint_id
    ):
        latency_s = self.model.timers.now() - start_s + 2 * CALLER_DELAY_S
        self.model.results.append(
            Result(
                kind.name,
                work.customer,
                start_s,
                latency_s,
                outcome,
                reason,
                lifecycle.attempts,
                endpoint_id,
            )
        )


class Model:
    """One service on several daemons, with open-loop arrivals."""

    def __init__(self, options):
        self.options = options
        self.timers = TimerService()
        self.network = Network(self.timers)
        self.log = options.make_log(self.timers, options.workers)
        self.rng = random.Random(options.seed)
        self.request_ids = itertools.count(1)
        self.results = []
        self.vms, self.agents, self.ingresses = {}, [], []
        for number in range(options.workers):
            self._add_daemon(number)
        self.agents_by_endpoint = {a.endpoint.endpoint_id: a for a in self.agents}

    def _add_daemon(self, number):
        options, seed = self.options, self.options.seed
        data_centre = f"dc-{number % options.data_centres}"
        vm = Vm(f"vm-{number}", data_centre, "region", "", 0, 0, 0, 0, 1)
        endpoint = Endpoint(
            f"w-{number}", vm.vm_id, "service", "", 0, options.slots, 330, 1
        )
        self.vms[vm.vm_id] = vm
        worker = Worker(
            endpoint.endpoint_id,
            options.slots,
            random.Random(f"{seed}/worker/{number}"),
            **options.worker_options,
        )
        self.agents.append(Agent(self, vm, endpoint, worker, options))
        rng = random.Random(f"{seed}/ingress/{number}")
        self.ingresses.append(Ingress(self, vm, options, rng))

    def run(self, until_s):
        """Run until a virtual time in seconds; return the results."""
        self._schedule_arrival()
        self.timers.advance(until_s)
        return self.results

    def _schedule_arrival(self):
        """Schedule an arrival at the peak rate; `_on_arrival` drops the excess."""
        rate = self.options.rate
        self.timers.subscribe(self.rng.expovariate(rate.peak), self._on_arrival)

    def _on_arrival(self):
        rate, rng = self.options.rate, self.rng
        if rng.random() * rate.peak < rate(self.timers.now()):
            kinds = self.options.kinds
            kind = rng.choices(kinds, [k.share for k in kinds])[0]
            rng.choice(self.ingresses).start_request(kind)
        self._schedule_arrival()
