"""Hedging: second attempts of requests that take long."""

import asyncio
import dataclasses
import random

from dandelionarch.core.directory import Directory
from dandelionarch.core.hedging import MIN_SAMPLES, HedgeDelays
from dandelionarch.core.ingress import RequestLifecycle, Work
from dandelionarch.core.messages import request as msgs
from dandelionarch.core.outcome import Outcome
from dandelionarch.core.world import Endpoint, Vm
from dandelionarch.daemon.ingress import Ingress
from dandelionarch.errors import LinkDownError


def work(idempotent=True):
    """Return a request for the service `s`."""
    return Work("r", "c", "s", "route", "kind", idempotent, 0)


class FakeLink:
    """Link to an agent whose replies the network's `reply` function returns."""

    def __init__(self, network, vm_id):
        self.network, self.vm_id, self.sent = network, vm_id, []

    def begin_request(self):
        self.network.open += 1

    def end_request(self):
        self.network.open -= 1

    def send(self, msg):
        self.sent.append(msg)
        if isinstance(msg, msgs.RequestHead):
            reply = self.network.reply(self, msg)
            if reply is not None:
                asyncio.get_running_loop().call_soon(
                    self.network.handlers[type(reply)], self, reply
                )


class FakeNetwork:
    """Links to agents; `reply(link, head)` returns their reply to a head."""

    vm_id = "vm-0"

    def __init__(self, size=2):
        self.handlers, self.open, self.head_links = {}, 0, []
        self.links = {f"vm-{i}": FakeLink(self, f"vm-{i}") for i in range(size)}
        self.subscribe_link_lost = lambda callback: None
        self.subscribe = self.handlers.__setitem__
        self.is_up = lambda vm_id: True

    async def connect(self, vm_id):
        return self.links[vm_id]


class CallerRequest:
    """A request without a body."""

    method, target, headers, body, remainder = "GET", "/", (), b"", None
    fingerprint = b""

    @staticmethod
    def replayable():
        return True


class TestHedging:
    """Only idempotent stragglers get a second attempt, within the budget."""

    def test_order_is_never_sent_twice(self):
        """Guards against hedging an order, and against hedging without a budget."""

        def started_request(idempotent, reserve):
            endpoint = type("E", (), {"endpoint_id": "w"})()
            chosen = type("C", (), {"endpoint": endpoint})()
            decision = type("D", (), {"chosen": chosen, "candidates": ["w"]})()
            request = RequestLifecycle(
                work(idempotent),
                lambda *_: decision,
                9.0,
                random.Random(1),
                reserve=reserve,
            )
            request.start(0.0)
            return request

        assert started_request(True, lambda: int).hedge(1.0) is not None
        assert started_request(False, lambda: int).hedge(1.0) is None
        assert started_request(True, lambda: None).hedge(1.0) is None

    def test_delay_follows_observed_times(self):
        """Guards against hedging before the usual service time is known."""
        delays = HedgeDelays()
        for _ in range(MIN_SAMPLES):
            assert delays.delay_s("s", "route") is None
            assert delays.delay_s("s", "route", 0.08) == 0.04
            delays.observe("s", "route", 0.01)
        assert delays.delay_s("s", "route") == 0.02

    def test_second_attempt_leaves_time_for_itself(self):
        """Guards against a second attempt that can only end after the objective.

        Pattern: work of 1.2 s with an objective of 3 s. If the objective is shorter
        than two attempts, the delay must exceed the usual time of one.
        """
        delays = HedgeDelays()
        for _ in range(MIN_SAMPLES):
            delays.observe("s", "route", 1.2)
        assert delays.delay_s("s", "route", 3.0) + 1.2 <= 3.0
        assert delays.delay_s("s", "route", 1.5) > 1.2

    def test_second_answer_cancels_the_first_attempt(self):
        """Guards against a straggler that keeps its slot or its caller waiting."""

        def reply(link, head):
            network.head_links.append(link)
            return None if len(network.head_links) == 1 else self._answer(head)

        network = FakeNetwork()
        network.reply = reply
        answer = asyncio.run(self._run(network))
        assert answer.body == b"done"
        first, second = network.head_links
        assert first is not second
        assert isinstance(first.sent[-1], msgs.Cancel)
        assert not any(isinstance(msg, msgs.Cancel) for msg in second.sent)
        assert network.open == 0

    def test_unsent_second_attempt_is_closed(self):
        """Guards against an unsent attempt that counts as load permanently."""

        def reply(link, head):
            network.head_links.append(link)
            if len(network.head_links) == 2:
                raise LinkDownError("lost")
            loop = asyncio.get_running_loop()
            answered = network.handlers[msgs.ResponseHead]
            loop.call_later(0.05, answered, link, self._answer(head))
            return None

        network = FakeNetwork()
        network.reply = reply
        answer = asyncio.run(self._run(network))
        assert answer.body == b"done"
        assert len(network.head_links) == 2
        assert network.open == 0

    def test_failure_beside_a_refusal_is_unknown(self):
        """Guards against `not-run` while the other attempt may have run."""

        def reply(link, head):
            network.head_links.append(link)
            load = msgs.LoadReport(head.endpoint_id, 1, 0, 1, "healthy", 1.0)
            if len(network.head_links) == 1:
                return None
            if len(network.head_links) == 2:
                failure = msgs.Failure(network.first, "worker_failed", load)
                first = network.head_links[0]
                asyncio.get_running_loop().call_soon(
                    network.handlers[msgs.Failure], first, failure
                )
            return msgs.Refusal(head.attempt_id, "queue_full", 0, load)

        network = FakeNetwork()
        network.first = 1
        network.reply = reply
        refuse = asyncio.run(self._run(network))
        assert refuse.outcome is Outcome.UNKNOWN
        assert network.open == 0

    def test_cancelled_attempt_counts_as_an_attempt(self):
        """Guards against a third attempt where a route allows two.

        The cancelled straggler has reached its endpoint, though no reply shows it.
        """

        def reply(link, head):
            network.head_links.append(link)
            return None if len(network.head_links) == 1 else self._answer(head, 500)

        network = FakeNetwork(3)
        network.reply = reply
        result = asyncio.run(self._run(network, max_attempts=2, budget_s=0.5))
        assert len(network.head_links) == 2
        assert getattr(result, "status", None) in (None, 500)
        assert network.open == 0

    def test_error_is_dropped_while_another_attempt_runs(self):
        """Guards against cancelling a good answer because of the other's error."""

        def reply(link, head):
            network.head_links.append(link)
            loop = asyncio.get_running_loop()
            answered = network.handlers[msgs.ResponseHead]
            if len(network.head_links) == 1:
                loop.call_later(0.1, answered, link, self._answer(head))
                return None
            return self._answer(head, 500)

        network = FakeNetwork()
        network.reply = reply
        answer = asyncio.run(self._run(network))
        assert (answer.status, answer.body) == (200, b"done")
        assert network.open == 0

    def test_hang_reported_by_the_agent_starts_a_second_attempt(self):
        """Guards against waiting for a hedge delay that is not known yet."""

        def reply(link, head):
            network.head_links.append(link)
            if len(network.head_links) == 1:
                return msgs.Straggling(head.attempt_id)
            return self._answer(head)

        network = FakeNetwork()
        network.reply = reply
        answer = asyncio.run(self._run(network, observed=0))
        assert answer.body == b"done"
        first, second = network.head_links
        assert first is not second
        assert isinstance(first.sent[-1], msgs.Cancel)
        assert network.open == 0

    @staticmethod
    def _answer(head, status=200):
        load = msgs.LoadReport(head.endpoint_id, 1, 0, 1, "healthy", 1.0)
        return msgs.ResponseHead(head.attempt_id, status, (), b"done", True, load)

    @staticmethod
    async def _run(network, max_attempts=3, budget_s=5.0, observed=MIN_SAMPLES):
        directory = Directory()
        for i in range(len(network.links)):
            directory.put_vm(Vm(f"vm-{i}", "dc", "r", "", 0, 0, 0, 0, 1))
            directory.put_endpoint(Endpoint(f"w-{i}", f"vm-{i}", "s", "", 9, 1, 9, 1))
        agent = type("A", (), {"repeats_share": 0.0, "on_credit": print})()
        ingress = Ingress(network, directory, agent, random.Random(1))
        for _ in range(observed):
            ingress._hedging.observe("s", "route", 0.001)
        deadline = asyncio.get_running_loop().time() + budget_s
        request = dataclasses.replace(work(), max_attempts=max_attempts)
        return await ingress.run(request, CallerRequest(), deadline)
