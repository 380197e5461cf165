"""Attempts that end before they have begun."""

import asyncio

from dandelionarch.core.directory import Directory
from dandelionarch.core.endpoint_reports import EndpointReport
from dandelionarch.core.messages import request as msgs
from dandelionarch.core.world import Endpoint, EndpointState
from dandelionarch.daemon.agent import CONFIRM_TIMEOUT_S, Agent
from dandelionarch.daemon.health import HealthWatch
from dandelionarch.daemon.local_endpoints import LocalEndpoints
from dandelionarch.daemon.watch import GateWatch


class FakeNetwork:
    """Subscriptions without sockets; also the link of every message."""

    vm_id = "vm"

    def __init__(self):
        self.handlers, self.sent, self.open = {}, [], 0
        self.on_lost = lambda handler: None

    def now(self):
        return asyncio.get_running_loop().time()

    def subscribe(self, cls, handler):
        self.handlers[cls] = handler

    def receive(self, msg):
        self.handlers[type(msg)](self, msg)

    def begin_request(self):
        self.open += 1

    def end_request(self):
        self.open -= 1

    def send(self, msg):
        self.sent.append(msg)

    def broadcast(self, msg):
        """Drop what goes to the peers."""


def head(attempt_id, priority, may_wait=True, **fields):
    """Return a request for the endpoint `w`."""
    return msgs.RequestHead(
        attempt_id,
        f"r{attempt_id}",
        "w",
        "s",
        "route",
        "kind",
        True,
        priority,
        1000,
        "GET",
        "/",
        (),
        b"",
        True,
        may_wait,
        **fields,
    )


class TestAgentCancel:
    """A slot is free again however an attempt ends."""

    def test_cancel_in_the_turn_of_arrival_frees_the_slot(self):
        """Guards against slots that no task will ever release."""
        asyncio.run(self._cancel())

    async def _cancel(self):
        network, directory = FakeNetwork(), Directory()
        directory.put_endpoint(Endpoint("w", "vm", "s", "127.0.0.1", 9, 1, 9, 1))
        agent = Agent(network, directory, "vm", HealthWatch(network, directory, "vm"))
        for attempt_id in range(5):
            network.receive(head(attempt_id, 0))
        assert agent.in_flight == 5
        network.receive(head(9, 0, may_wait=False))
        assert network.sent[-1].reason == "busy"
        for attempt_id in range(5):
            network.receive(msgs.Cancel(attempt_id))
        for _ in range(3):
            await asyncio.sleep(0)
        assert agent.in_flight == network.open == 0
        assert agent._local_endpoint("w").queue.running == 0


class Registry:
    """A registry that tells nobody."""

    def announce(self):
        """Take note that the endpoints here have changed."""


class TestLeavingEndpoint:
    """What waits for an endpoint goes elsewhere once the endpoint leaves.

    Pattern: at a crest requests wait seconds for a slot, longer than an endpoint that
    leaves may still be given work.
    """

    def test_waiting_requests_are_refused_at_once(self):
        """Guards against work that reaches an endpoint long after it has left.

        On sntal-cl scale-2 (seed 11) orders that had waited were run 2.1 s after the
        endpoint's leaving was acknowledged, where 2.0 s are allowed.
        """
        asyncio.run(self._leave())

    async def _leave(self):
        network, directory = FakeNetwork(), Directory()
        agent = Agent(network, directory, "vm", GateWatch(directory, network.now))
        await agent.start()
        local = LocalEndpoints(
            directory,
            "vm",
            type("R", (), {"options": dict().get}),
            agent._watch,
            agent,
            Registry(),
        )
        local.on_report(self._report(1, EndpointState.READY))
        for attempt_id in range(3):
            network.receive(head(attempt_id, 0))
        local.on_report(self._report(2, EndpointState.DRAINING))
        refused = [msg for msg in network.sent if isinstance(msg, msgs.Refusal)]
        assert [msg.attempt_id for msg in refused] == [1, 2]
        assert {msg.reason for msg in refused} == {"draining"}
        await asyncio.sleep(0)
        assert agent._local_endpoint("w").queue.running == 1
        await agent.stop()

    @staticmethod
    def _report(sequence, state):
        return EndpointReport("w", "s", "127.0.0.1", 9, 1, 1, sequence, state)


class TestConfirmedStart:
    """An order runs only once its ingress has let it.

    Pattern: VMs lose power or are cut off, and for a second and more orders are sent
    over links that nothing has closed yet.
    """

    def test_order_waits_for_its_ingress(self):
        """Guards against orders that run although their ingress has given them up."""
        refusals, running = asyncio.run(self._play(start=False))
        assert [msg.reason for msg in refusals] == ["link_down"]
        assert running == 0

    def test_start_lets_it_run(self):
        """Guards against an order that its ingress waits for in vain."""
        refusals, running = asyncio.run(self._play(start=True))
        assert [msg.reason for msg in refusals] == ["worker_unreachable"]
        assert running == 0

    @staticmethod
    async def _play(start):
        network, directory = FakeNetwork(), Directory()
        directory.put_endpoint(Endpoint("w", "vm", "s", "127.0.0.1", 9, 1, 9, 1))
        watch = HealthWatch(network, directory, "vm")
        agent = Agent(network, directory, "vm", watch)
        await agent.start()
        network.receive(head(1, 0, confirms=True))
        await asyncio.sleep(0.01)
        assert network.sent == [msgs.SlotReady(1)]
        if start:
            network.receive(msgs.Start(1))
        await asyncio.sleep(CONFIRM_TIMEOUT_S + 0.1)
        await agent.stop()
        return network.sent[1:], agent._local_endpoint("w").queue.running
