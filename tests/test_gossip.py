"""The gossip task on loopback, and the detection of silent local endpoints."""

import asyncio
from unittest.mock import patch

from dandelionarch.core.announcements import (
    CHECK_PERIOD_S,
    SILENCE_TIMEOUT_S,
    Announcements,
)
from dandelionarch.core.directory import Directory
from dandelionarch.core.messages import members as msgs
from dandelionarch.core.messages.request import Leaving, Ping
from dandelionarch.core.world import Endpoint, EndpointState, Vm, VmState
from dandelionarch.daemon.faults import InjectedFaults
from dandelionarch.daemon.gossip import Gossip
from dandelionarch.wire.codec import Codec
from dandelionarch.wire.datagram import DatagramCodec
from tests.support.fleet import free_ports

KEY = b"0123456789abcdef"


class FakeNetwork:
    """Stores the handlers that the gossip task registers."""

    def __init__(self):
        self.handlers = {}
        self.faults = InjectedFaults()

    def subscribe(self, msg_type, handler):
        """Register a handler for a message type."""
        self.handlers[msg_type] = handler


class FakeLink:
    """An established link of a VM."""

    def __init__(self, vm_id):
        self.vm_id = vm_id


class Daemon:
    """A gossip task with its directory."""

    def __init__(self, vm_id, incarnation=5):
        self.port = free_ports(1)[0]
        self.vm = Vm(vm_id, "dc", "r", "127.0.0.1", 1, 2, self.port, 4, incarnation)
        self.directory = Directory()
        self.directory.put_vm(self.vm)
        self.network = FakeNetwork()
        self.gossip = Gossip(self.network, self.directory, self.vm, KEY, [])

    def endpoint(self, endpoint_id, state=EndpointState.READY):
        """Return an endpoint on this daemon's VM."""
        return Endpoint(
            endpoint_id, self.vm.vm_id, "orders", "127.0.0.1", 9, 3, 330, 1, state
        )


async def start_gossip(*daemons):
    """Start gossip tasks that know the first daemon's address; return them."""
    tasks = []
    for daemon in daemons:
        daemon.gossip.set_address_source(lambda: [("127.0.0.1", daemons[0].port)])
        await daemon.gossip.start("127.0.0.1", daemon.port)
        tasks.append(asyncio.create_task(daemon.gossip.run()))
    return tasks


async def wait_until(check):
    """Wait until `check()` is true; fail after 8 s."""
    for _ in range(400):
        if check():
            return
        await asyncio.sleep(0.02)
    raise AssertionError("condition not met within 8 s")


class TestGossip:
    """Datagrams on loopback update the directory."""

    def test_endpoints_and_their_drain_reach_the_other_directory(self):
        """Guards against endpoint changes that other daemons do not learn of."""

        async def run():
            daemon_1, daemon_2 = Daemon("vm-1"), Daemon("vm-2")
            tasks = await start_gossip(daemon_1, daemon_2)
            daemon_2.directory.put_endpoint(daemon_2.endpoint("e-1"))
            await wait_until(lambda: "e-1" in daemon_1.directory.endpoints)
            daemon_2.directory.put_endpoint(
                daemon_2.endpoint("e-1", EndpointState.DRAINING)
            )
            await wait_until(
                lambda: (
                    daemon_1.directory.endpoints["e-1"].state is EndpointState.DRAINING
                )
            )
            daemon_2.directory.put_endpoint(
                daemon_2.endpoint("e-1", EndpointState.GONE)
            )
            await wait_until(lambda: "e-1" not in daemon_1.directory.endpoints)
            daemon_2.gossip.leave()
            await wait_until(
                lambda: daemon_1.directory.vms["vm-2"].state is VmState.LEAVING
            )
            for task in tasks:
                task.cancel()
            daemon_2.gossip.stop()
            await wait_until(
                lambda: daemon_1.directory.vms["vm-2"].state is VmState.DEAD
            )
            daemon_1.gossip.stop()

        asyncio.run(run())

    def test_leaving_on_a_link_takes_effect_at_once(self):
        """Guards against choosing a leaving VM after its datagram was lost."""

        async def run():
            daemon_1, daemon_2 = Daemon("vm-1"), Daemon("vm-2")
            record = daemon_2.gossip.membership.me
            daemon_1.gossip._execute(
                daemon_1.gossip.membership.on_message(
                    ("x", 1), msgs.Members((record,), ()), 0
                )
            )
            leaving = daemon_1.network.handlers[Leaving]
            leaving(FakeLink("vm-3"), Leaving("vm-2"))
            assert daemon_1.directory.vms["vm-2"].state is VmState.ALIVE
            leaving(FakeLink("vm-2"), Leaving("vm-2"))
            assert daemon_1.directory.vms["vm-2"].state is VmState.LEAVING

        asyncio.run(run())

    def test_bad_datagrams_are_counted_and_logged_at_a_bounded_rate(self):
        """Guards against invalid datagrams that flood the log or stop the task."""
        valid_codec = DatagramCodec(Codec(), KEY)
        other_codec = DatagramCodec(Codec(), b"another key 1234")
        unknown_state = msgs.EndpointStateRecord("e-1", 1, "odd")
        datagrams = [
            b"",
            b"x" * 60,
            other_codec.pack(msgs.MemberQuery(("vm-1",))),
            valid_codec.pack(Ping(1)),
            valid_codec.pack(msgs.EndpointStates("vm-1", 5, (unknown_state,))),
        ]

        async def run():
            daemon = Daemon("vm-1")
            for _ in range(20):
                for data in datagrams:
                    daemon.gossip.datagram_received(data, ("127.0.0.1", 1))
            return daemon.gossip.bad_datagrams

        with patch("dandelionarch.daemon.gossip.event") as logged:
            counter = asyncio.run(run())
        assert counter.total() == 100
        assert [call.args[1] for call in logged.mock_calls] == ["bad_datagram"]

    def test_own_endpoints_survive_a_raised_incarnation(self):
        """Guards against dropping own endpoints after a restart with a slow clock."""

        async def run():
            daemon = Daemon("vm-1")
            daemon.directory.put_endpoint(daemon.endpoint("e-1"))
            raised = []
            daemon.gossip.subscribe_incarnation(raised.append)
            former = daemon.gossip.membership.me
            newer = msgs.MemberRecord(
                *(getattr(former, name) for name in former.__slots__[:8]),
                90,
                *(getattr(former, name) for name in former.__slots__[9:]),
            )
            daemon.gossip._execute(
                daemon.gossip.membership.on_message(
                    ("x", 1), msgs.Members((newer,), ()), 0
                )
            )
            assert raised == [daemon.directory.vms["vm-1"].incarnation]
            assert raised[0] > 90
            assert "e-1" in daemon.directory.endpoints

        asyncio.run(run())


class TestAnnouncements:
    """Endpoints that stop announcing themselves are treated as gone."""

    def test_silent_endpoint_is_gone(self):
        """Guards against sending work to an endpoint that has vanished."""
        announcements, endpoint = Announcements(), Daemon("vm-1").endpoint("e-1")
        announcements.on_announcement(endpoint, 0.0)
        silent = []
        for step in range(20):
            silent += announcements.remove_silent(step * CHECK_PERIOD_S)
        assert [(e.endpoint_id, e.state) for e in silent] == [
            ("e-1", EndpointState.GONE)
        ]

    def test_pause_of_the_daemon_does_not_count_as_silence(self):
        """Guards against dropping all endpoints when a paused daemon resumes."""
        announcements, endpoint = Announcements(), Daemon("vm-1").endpoint("e-1")
        announcements.on_announcement(endpoint, 0.0)
        assert announcements.remove_silent(0.5) == []
        assert announcements.remove_silent(0.5 + 10 * SILENCE_TIMEOUT_S) == []
