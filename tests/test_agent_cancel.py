"""Attempts that end before they have begun."""

import asyncio

from dandelionarch.core.directory import Directory
from dandelionarch.core.messages import request as msgs
from dandelionarch.core.world import Endpoint
from dandelionarch.daemon.agent import Agent
from dandelionarch.daemon.health import HealthWatch


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

    def begin(self):
        self.open += 1

    def end(self):
        self.open -= 1

    def send(self, msg):
        self.sent.append(msg)


def head(attempt_id, priority, may_wait=True):
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
        assert agent._endpoint("w").queue.running == 0
