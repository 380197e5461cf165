"""The agent's handling of attempts that end before their call to the endpoint."""

import asyncio

from dandelionarch.core.directory import Directory
from dandelionarch.core.endpoint_reports import EndpointReport
from dandelionarch.core.messages import request as msgs
from dandelionarch.core.quarantine import CRASHES_TO_QUARANTINE, QUARANTINE_S
from dandelionarch.core.world import Endpoint, EndpointState
from dandelionarch.daemon.agent import CONFIRM_TIMEOUT_S, Agent
from dandelionarch.daemon.endpoint_watch import GateWatch
from dandelionarch.daemon.health import HealthWatch
from dandelionarch.daemon.local_endpoints import LocalEndpoints


class FakeNetwork:
    """Subscriptions without sockets; also the link of every message."""

    vm_id = "vm"

    def __init__(self):
        self.handlers, self.sent, self.open = {}, [], 0
        self.subscribe_link_lost = lambda callback: None
        self.subscribe_link_opened = lambda callback: None
        self.all_links = list

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
        """Drop messages to the peers."""


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
    """A cancelled attempt releases its slot."""

    def test_cancel_before_the_first_step_frees_the_slot(self):
        """Guards against slots that are never released.

        A task that is cancelled before its first step runs no `finally`.
        """
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


class FakeRegistry:
    """A registry that drops announcements."""

    def announce(self):
        """Drop the announcement of changed endpoints."""


class TestLeavingEndpoint:
    """Queued requests are refused once their endpoint leaves.

    Pattern: at a crest requests wait seconds for a slot, longer than a leaving endpoint
    may still be given work.
    """

    def test_waiting_requests_are_refused_at_once(self):
        """Guards against starting queued work long after its endpoint has left.

        On sntal-cl scale-2 (seed 11) queued orders ran 2.1 s after the acknowledgement
        of the endpoint's leave; 2.0 s are allowed.
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
            FakeRegistry(),
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


class TestQuarantine:
    """A request that waits is refused if it turns out to crash endpoints."""

    def test_verdict_on_a_request_that_waits(self):
        """Guards against one more crash by each repeat that was waiting already."""
        asyncio.run(self._convict())

    async def _convict(self):
        network, directory = FakeNetwork(), Directory()
        directory.put_endpoint(Endpoint("w", "vm", "s", "127.0.0.1", 9, 1, 9, 1))
        agent = Agent(network, directory, "vm", HealthWatch(network, directory, "vm"))
        await agent.start()
        network.receive(head(1, 0))
        network.receive(head(2, 0, fingerprint=b"deadly"))
        crashes = tuple(b"%d" % n for n in range(CRASHES_TO_QUARANTINE))
        suspicion = msgs.Suspicion(b"deadly", "s", crashes, (), 0)
        network.receive(msgs.Suspicions((suspicion,)))
        network.receive(msgs.Cancel(1))
        await asyncio.sleep(0.05)
        refused = [msg for msg in network.sent if isinstance(msg, msgs.Refusal)]
        assert [(m.attempt_id, m.reason) for m in refused] == [(2, "quarantined")]
        assert refused[0].retry_after_ms > 1000 * QUARANTINE_S / 2
        await agent.stop()


class TestConfirmedStart:
    """An order runs only after its ingress has confirmed the start.

    Pattern: VMs lose power or are cut off, and for more than a second orders are sent
    over links that have not been closed yet.
    """

    def test_unconfirmed_order_is_refused(self):
        """Guards against running orders that their ingress has given up."""
        refusals, running = asyncio.run(self._run_order(start=False))
        assert [msg.reason for msg in refusals] == ["link_down"]
        assert running == 0

    def test_confirmed_order_runs(self):
        """Guards against a confirmed order that never runs."""
        refusals, running = asyncio.run(self._run_order(start=True))
        assert [msg.reason for msg in refusals] == ["worker_unreachable"]
        assert running == 0

    @staticmethod
    async def _run_order(start):
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
