"""Load on the store of a registry that many daemons use.

All daemons of a fleet start at once, or several restart one after the other, and each
has to learn of the others. If every daemon read every change, the number of reads would
grow with the square of the fleet.
"""

import asyncio
import contextlib
import random

from dandelionarch.core.directory import Directory
from dandelionarch.core.world import EndpointState, VmState
from dandelionarch.daemon import registry as registry_module
from dandelionarch.daemon.registry import RegistryService
from dandelionarch.wire.codec import Codec
from tests.support.memory_log import MemoryLog
from tests.test_registry import make_endpoint, make_vm

FLEET_SIZE = 40


class MemoryNetwork:
    """In-memory links of one daemon to the others of its fleet."""

    def __init__(self, fleet, vm_id):
        self.vm_id = vm_id
        self.codec = Codec()
        self._fleet = fleet
        self._handlers = {}
        self._opened_callbacks = []
        self._links = set()

    def subscribe(self, msg_type, handler):
        """Register a handler for a message type."""
        self._handlers[msg_type] = handler

    def subscribe_link_opened(self, callback):
        """Register a callback for links that open."""
        self._opened_callbacks.append(callback)

    def broadcast(self, msg):
        """Send a message to all linked daemons."""
        for vm_id in sorted(self._links):
            self.deliver(vm_id, msg)

    def deliver(self, vm_id, msg):
        """Deliver a message to a daemon's handler."""
        peer = self._fleet[vm_id].network
        handler = peer._handlers[type(msg)]
        asyncio.get_running_loop().call_soon(handler, Link(peer, self.vm_id), msg)

    def dial(self, vm_id):
        """Open a link in both directions, as `LinkKeeper` does."""
        if vm_id == self.vm_id or vm_id in self._links or vm_id not in self._fleet:
            return
        self._open(vm_id)
        self._fleet[vm_id].network._open(self.vm_id)

    def _open(self, vm_id):
        self._links.add(vm_id)
        for handler in self._opened_callbacks:
            handler(Link(self, vm_id))


class Link:
    """A link from a daemon to a peer."""

    def __init__(self, network, vm_id):
        self.vm_id = vm_id
        self._network = network

    def send(self, msg):
        """Send a message to the peer."""
        self._network.deliver(self.vm_id, msg)


class Member:
    """The registry service of one daemon."""

    def __init__(self, fleet, topic, vm_id, incarnation=1):
        self.directory = Directory()
        vm = make_vm(vm_id, incarnation)
        self.directory.put_vm(vm)
        self.network = MemoryNetwork(fleet, vm_id)
        self.service = RegistryService(
            topic, self.directory, vm, self.network, random.Random(incarnation)
        )
        self._vm_id = vm_id

    async def run(self):
        """Run the service's tasks and dial every known VM."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.service.run())
            group.create_task(self.service.follower.run())
            group.create_task(self._dial())

    async def _dial(self):
        while True:
            for vm in self.directory.live_vms():
                self.network.dial(vm.vm_id)
            await asyncio.sleep(0.005)

    def report(self, **fields):
        """Apply a report of this daemon's endpoint and announce it."""
        endpoint = make_endpoint(self._vm_id, f"i-{self._vm_id}", **fields)
        self.directory.put_endpoint(endpoint)
        self.service.announce()

    def knows(self, member):
        """Return True if a member's endpoint is known here."""
        return f"i-{member._vm_id}" in self.directory.endpoints


async def wait_until(check, timeout_s=3.0):
    """Wait until `check()` is true; raise `TimeoutError` after `timeout_s`."""
    async with asyncio.timeout(timeout_s):
        while not check():
            await asyncio.sleep(0.01)


def run(check):
    """Run `check(topic, members)` with `FLEET_SIZE` members that share one topic."""

    async def main():
        topic, fleet = MemoryLog(), {}
        for number in range(FLEET_SIZE):
            vm_id = f"vm-{number:02}"
            fleet[vm_id] = Member(fleet, topic, vm_id)
        tasks = [asyncio.create_task(member.run()) for member in fleet.values()]
        try:
            await check(topic, list(fleet.values()))
        finally:
            for task in tasks:
                task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.gather(*tasks)

    asyncio.run(main())


async def report_all_and_wait(topic, members):
    """Let every endpoint report in turn, and wait until all members know them all."""
    for member in members:
        member.report()
        await asyncio.sleep(0)
    await wait_until(lambda: all(a.knows(b) for a in members for b in members))


class TestStoreReads:
    """Calls to the store grow linearly with the fleet."""

    def test_fleet_that_starts_at_once_reads_a_few_times_each(self):
        """Guards against a read by every daemon for each entry that is written.

        On kintaat-fi-grown, 99 daemons made 8,680 calls to the store in a run of 42 s,
        most of them such reads.
        """

        async def check(topic, members):
            await report_all_and_wait(topic, members)
            await asyncio.sleep(0.3)
            assert topic.appends <= FLEET_SIZE
            assert topic.reads <= 4 * FLEET_SIZE

        run(check)

    def test_change_reaches_all_without_a_read(self):
        """Guards against sending work to a draining endpoint until the next read."""

        async def check(topic, members):
            await report_all_and_wait(topic, members)
            reads = topic.reads
            members[3].report(incarnation=11)
            members[3].directory.set_endpoint_state(
                "i-vm-03", 11, EndpointState.DRAINING
            )
            members[3].service.announce()
            await wait_until(
                lambda: all(
                    m.directory.endpoints["i-vm-03"].state is EndpointState.DRAINING
                    for m in members
                )
            )
            assert topic.reads - reads <= FLEET_SIZE

        run(check)

    def test_change_reaches_all_while_the_store_is_down(self):
        """Guards against a registry that stops updating in an outage of the store."""

        async def check(topic, members):
            await report_all_and_wait(topic, members)
            topic.down = True
            members[5].service._registry.mark_leaving()
            members[5].service.announce()
            await wait_until(
                lambda: all(
                    m.directory.vms["vm-05"].state is VmState.LEAVING for m in members
                )
            )

        run(check)


class TestMissedEntries:
    """An entry that no peer sent is found by the next read."""

    def test_entry_of_a_vm_without_links_is_read(self, monkeypatch):
        """Guards against a daemon that stays unknown because no link to it opens."""
        monkeypatch.setattr(registry_module, "READ_PAUSE_S", 0.2)

        async def check(topic, members):
            await report_all_and_wait(topic, members)
            unlinked = Member({}, topic, "vm-zz")
            unlinked.report()
            task = asyncio.create_task(unlinked.service.run())
            await wait_until(lambda: all(m.knows(unlinked) for m in members))
            task.cancel()

        run(check)


class TestRestoredStore:
    """The store comes back from a copy that lacks the newest entries."""

    LOST = 10

    def test_lost_entries_are_written_again(self, monkeypatch):
        """Guards against endpoints that no daemon which starts later can find.

        On kintaat-fi, four VMs joined before a return and six after it. The six never
        learned of the four, as nobody wrote the entries of these again. The entries
        that the copy has are not written again.
        """
        monkeypatch.setattr(registry_module, "READ_PAUSE_S", 0.2)

        async def check(topic, members):
            await report_all_and_wait(topic, members)
            appends = topic.appends
            for _ in range(2):
                topic.restore(self.LOST)
                await wait_until(lambda: len(topic.keys()) == len(members))
            assert topic.appends - appends == 2 * self.LOST
            joiner = Member({}, topic, "vm-zz")
            task = asyncio.create_task(joiner.service.follower.run())
            await wait_until(lambda: all(joiner.knows(m) for m in members))
            task.cancel()

        run(check)

    def test_entries_written_during_the_return_are_read(self, monkeypatch):
        """Guards against two VMs that never meet, as each wrote before the other read.

        A VM joins after the return and reads before the lost entries are written again.
        """
        monkeypatch.setattr(registry_module, "READ_PAUSE_S", 0.2)

        async def check(topic, members):
            await report_all_and_wait(topic, members)
            topic.restore(self.LOST)
            joiner = Member({}, topic, "vm-zz")
            joiner.report()
            task = asyncio.create_task(joiner.service.run())
            await wait_until(lambda: all(m.knows(joiner) for m in members))
            task.cancel()

        run(check)
