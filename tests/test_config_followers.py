"""Load on the store when the configuration changes for all daemons at once.

The operator changes the configuration several times within seconds, in a fleet of 60
daemons in three data centres; the daemons that read the store may be lost.
"""

import asyncio
import random

from dandelionarch.core.keyed_log import KeyedRecord
from dandelionarch.core.placement import FOLLOWERS_PER_DATA_CENTRE, is_follower
from dandelionarch.daemon.follower import Follower
from dandelionarch.daemon.state_copy import StateCopier
from tests.support.memory_log import MemoryLog

DATA_CENTRES = 3
DAEMONS_PER_DATA_CENTRE = 20
CHANGES = 5
# Every daemon has to apply a change within this time.
APPLY_LIMIT_S = 2.0


class Link:
    """A link from one daemon of the test to another."""

    def __init__(self, sender, peer):
        self.vm_id = peer.vm_id
        self._sender, self._peer = sender, peer

    def send(self, msg):
        """Deliver a message in the next iteration of the event loop."""
        handler = self._peer.handlers[type(msg)]
        reply_link = Link(self._peer, self._sender)
        asyncio.get_running_loop().create_task(handler(reply_link, msg))

    async def ask(self, msg, timeout_s):
        """Return the peer's reply."""
        await asyncio.sleep(0.002)
        return self._peer.handlers[type(msg)](Link(self._peer, self._sender), msg)


class Daemon:
    """The parts of a daemon that update its configuration."""

    def __init__(self, fleet, topic, centre, number):
        self.vm_id = f"{centre}-{number}"
        self.centre = centre
        self.fleet = fleet
        self.handlers = {}
        self.revision = 0
        self.config_value = b""
        self.rng = random.Random(number)
        self.follower = Follower(
            topic, self._on_records, rng=self.rng, can_skip_reads=self.can_skip_reads
        )
        self.copier = StateCopier(
            self, [self.follower], self, self.rng, self._is_near, self.can_skip_reads
        )
        self.task = None

    def subscribe(self, msg_type, handler):
        """Register a handler for a message type."""
        self.handlers[msg_type] = handler

    def all_links(self):
        """Return links to all living daemons."""
        return [Link(self, d) for d in self.fleet.values() if d is not self]

    def can_skip_reads(self):
        """Return True while enough other daemons read the topic."""
        near = (d.vm_id for d in self.fleet.values() if d is not self)
        return not is_follower(self.vm_id, filter(self._is_near, near))

    def entries(self):
        """Return no registry entries."""
        return ()

    def apply_peer_state(self, answer, vm_id):
        """Apply a peer's configuration."""
        self._apply(answer.config)

    def _is_near(self, vm_id):
        return vm_id.startswith(f"{self.centre}-")

    def _on_records(self, records):
        self._apply(records[-1].value)

    def _apply(self, value):
        if value and int(value) > self.revision:
            self.revision, self.config_value = int(value), value
            self.copier.send_notices()


async def start(topic):
    """Return a fleet whose daemons have all applied the first configuration."""
    fleet = {}
    await topic.append(KeyedRecord("config", b"1"))
    for centre in range(DATA_CENTRES):
        for number in range(DAEMONS_PER_DATA_CENTRE):
            daemon = Daemon(fleet, topic, f"dc{centre}", number)
            fleet[daemon.vm_id] = daemon
    for daemon in fleet.values():
        daemon.task = asyncio.create_task(daemon.follower.run())
    await wait_for_revision(fleet, 1)
    return fleet


async def wait_for_revision(fleet, revision):
    """Wait until all daemons have applied a revision."""
    async with asyncio.timeout(APPLY_LIMIT_S):
        while any(daemon.revision < revision for daemon in fleet.values()):
            await asyncio.sleep(0.01)


async def stop(fleet):
    """End the tasks of all daemons."""
    for daemon in fleet.values():
        daemon.task.cancel()
    tasks = (daemon.task for daemon in fleet.values())
    await asyncio.gather(*tasks, return_exceptions=True)


class TestFollowers:
    """A few daemons read each change; all apply it in time."""

    def test_few_daemons_read_each_change(self):
        """Guards against a read by every daemon for every change.

        With 233 daemons, 25 changes in a row would cause 5,800 reads.
        """

        async def main():
            topic = MemoryLog()
            fleet = await start(topic)
            reads = topic.reads
            for revision in range(2, 2 + CHANGES):
                await topic.append(KeyedRecord("config", str(revision).encode()))
                await wait_for_revision(fleet, revision)
            await stop(fleet)
            followers = DATA_CENTRES * FOLLOWERS_PER_DATA_CENTRE
            assert topic.reads - reads <= followers * (CHANGES + 1)

        asyncio.run(main())

    def test_change_is_applied_after_the_loss_of_all_readers(self):
        """Guards against keeping an old configuration after all readers are lost."""

        async def main():
            topic = MemoryLog()
            fleet = await start(topic)
            readers = [d for d in fleet.values() if not d.can_skip_reads()]
            assert len(readers) == DATA_CENTRES * FOLLOWERS_PER_DATA_CENTRE
            for daemon in readers:
                daemon.task.cancel()
                del fleet[daemon.vm_id]
            await topic.append(KeyedRecord("config", b"2"))
            await wait_for_revision(fleet, 2)
            await stop(fleet)

        asyncio.run(main())
