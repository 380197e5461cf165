"""Load on the store of a configuration that hundreds of daemons need at once.

Pattern: the operator changes the configuration several times within seconds, in a fleet
of 60 daemons in three data centres; some of those that read the store are lost.
"""

import asyncio
import random

from dandelionarch.core.keyed_log import KeyedRecord
from dandelionarch.core.placement import FOLLOWERS_PER_DATA_CENTRE, is_follower
from dandelionarch.daemon.follower import Follower
from dandelionarch.daemon.state_copy import StateCopier
from tests.support.memory_log import MemoryLog

CENTRES = 3
PER_CENTRE = 20
CHANGES = 5
# The bound within which a change has to be in force.
APPLY_S = 2.0


class Link:
    """A link to another daemon of the test."""

    def __init__(self, sender, peer):
        self.vm_id = peer.vm_id
        self._sender, self._peer = sender, peer

    def send(self, msg):
        """Deliver a message in the next turn of the loop."""
        handler = self._peer.handlers[type(msg)]
        back = Link(self._peer, self._sender)
        asyncio.get_running_loop().create_task(handler(back, msg))

    async def ask(self, msg, timeout_s):
        """Return the peer's reply."""
        await asyncio.sleep(0.002)
        return self._peer.handlers[type(msg)](Link(self._peer, self._sender), msg)


class Daemon:
    """The parts of a daemon that keep its configuration."""

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
        self.copies = StateCopier(
            self, [self.follower], self, self.rng, self._is_near, self.can_skip_reads
        )
        self.task = None

    def subscribe(self, msg_type, handler):
        """Take note of a handler."""
        self.handlers[msg_type] = handler

    def all_links(self):
        """Return links to all living daemons."""
        return [Link(self, d) for d in self.fleet.values() if d is not self]

    def can_skip_reads(self):
        """Return True while enough others read."""
        near = (d.vm_id for d in self.fleet.values() if d is not self)
        return not is_follower(self.vm_id, filter(self._is_near, near))

    def entries(self):
        """Return no registry."""
        return ()

    def apply_peer_state(self, answer, vm_id):
        """Take a peer's configuration."""
        self._take(answer.config)

    def _is_near(self, vm_id):
        return vm_id.startswith(f"{self.centre}-")

    def _on_records(self, records):
        self._take(records[-1].value)

    def _take(self, value):
        if value and int(value) > self.revision:
            self.revision, self.config_value = int(value), value
            self.copies.send_notices()


async def start(topic):
    """Return a fleet whose daemons have all read the first configuration."""
    fleet = {}
    await topic.append(KeyedRecord("config", b"1"))
    for centre in range(CENTRES):
        for number in range(PER_CENTRE):
            daemon = Daemon(fleet, topic, f"dc{centre}", number)
            fleet[daemon.vm_id] = daemon
    for daemon in fleet.values():
        daemon.task = asyncio.create_task(daemon.follower.run())
    await in_force(fleet, 1)
    return fleet


async def in_force(fleet, revision):
    """Wait until all daemons have a revision."""
    async with asyncio.timeout(APPLY_S):
        while any(daemon.revision < revision for daemon in fleet.values()):
            await asyncio.sleep(0.01)


async def stop(fleet):
    """End the tasks of all daemons."""
    for daemon in fleet.values():
        daemon.task.cancel()
    tasks = (daemon.task for daemon in fleet.values())
    await asyncio.gather(*tasks, return_exceptions=True)


class TestFollowers:
    """A few daemons read each change; all have it in force in time."""

    def test_changes_are_read_by_a_few(self):
        """Guards against a read by every daemon at every change.

        A storm of 25 changes would be 5,800 reads of 233 daemons.
        """

        async def main():
            topic = MemoryLog()
            fleet = await start(topic)
            reads = topic.reads
            for revision in range(2, 2 + CHANGES):
                await topic.append(KeyedRecord("config", str(revision).encode()))
                await in_force(fleet, revision)
            await stop(fleet)
            followers = CENTRES * FOLLOWERS_PER_DATA_CENTRE
            assert topic.reads - reads <= followers * (CHANGES + 1)

        asyncio.run(main())

    def test_loss_of_all_that_read_is_made_up_for(self):
        """Guards against a fleet that keeps an old configuration."""

        async def main():
            topic = MemoryLog()
            fleet = await start(topic)
            readers = [d for d in fleet.values() if not d.can_skip_reads()]
            assert len(readers) == CENTRES * FOLLOWERS_PER_DATA_CENTRE
            for daemon in readers:
                daemon.task.cancel()
                del fleet[daemon.vm_id]
            await topic.append(KeyedRecord("config", b"2"))
            await in_force(fleet, 2)
            await stop(fleet)

        asyncio.run(main())
