"""Daemons that update their configuration, with links of a given speed between them."""

import asyncio
import math
import random
import re

from dandelionarch.core.keyed_log import KeyedLog, KeyedRecord
from dandelionarch.core.placement import is_follower
from dandelionarch.core.routing_config import (
    ActiveRouting,
    CallerBounds,
    ConfigFormat,
    RoutingConfig,
)
from dandelionarch.daemon.config_keeper import ConfigKeeper
from dandelionarch.daemon.state_copy import StateCopier
from dandelionarch.errors import ReplyTimeoutError

LATENCY_S = 0.002


class RevisionFormat(ConfigFormat):
    """Format that reads nothing but the revision of a record."""

    key = "config"

    def decode(self, value):
        revision = int(re.match(rb'{"version": (\d+)', value)[1])
        return RoutingConfig(revision, (), {}, CallerBounds(0, 0, 0.0, 0.0))


def config_record(revision):
    """Return a small record of a revision."""
    return KeyedRecord(RevisionFormat.key, b'{"version": %d}' % revision)


class Port:
    """One direction of a VM's link; transfers follow one another."""

    def __init__(self, bytes_per_s):
        self.bytes_per_s = bytes_per_s
        self.free_at = 0.0


async def transfer(size, *ports):
    """Wait until `size` bytes have passed all ports."""
    loop = asyncio.get_running_loop()
    arrived = loop.time()
    for port in ports:
        port.free_at = max(port.free_at, loop.time()) + size / port.bytes_per_s
        arrived = max(arrived, port.free_at)
    await asyncio.sleep(arrived - loop.time() + LATENCY_S)


class LinkedTopic(KeyedLog):
    """A topic that is read over the link of one VM."""

    def __init__(self, topic, port):
        self._topic = topic
        self._port = port

    async def newest(self):
        return await self._receive(await self._topic.newest())

    async def read(self, offset, wait_s):
        return await self._receive(await self._topic.read(offset, wait_s))

    async def append(self, record):
        return await self._topic.append(record)

    async def _receive(self, batch):
        await transfer(sum(len(r.value) for r in batch.records), self._port)
        return batch


class Link:
    """A link from one daemon to another."""

    def __init__(self, sender, peer):
        self.vm_id = peer.vm_id
        self._sender, self._peer = sender, peer

    def send(self, msg):
        """Deliver a message after the latency."""
        asyncio.get_running_loop().create_task(self._deliver(msg))

    async def _deliver(self, msg):
        await asyncio.sleep(LATENCY_S)
        await self._peer.handlers[type(msg)](Link(self._peer, self._sender), msg)

    async def ask(self, msg, timeout_s):
        """Return the peer's reply; one that is late still takes up the links."""
        await asyncio.sleep(LATENCY_S)
        reply = self._peer.handlers[type(msg)](Link(self._peer, self._sender), msg)
        size = len(reply.config) + len(reply.delta.data)
        passing = transfer(size, self._peer.uplink, self._sender.downlink)
        passed = asyncio.ensure_future(passing)
        try:
            await asyncio.wait_for(asyncio.shield(passed), timeout_s)
        except TimeoutError as exc:
            raise ReplyTimeoutError("no reply") from exc
        return reply


class Daemon:
    """The parts of a daemon that update its configuration.

    Parameters
    ----------
    fleet : dict of str to Daemon
        The daemons that have links to each other.
    topic : KeyedLog
    centre : str
        Data centre.
    number : int
        Number within the data centre.
    bytes_per_s : float, optional
        Speed of the VM's link in each direction.
    """

    def __init__(self, fleet, topic, centre, number, bytes_per_s=math.inf):
        self.vm_id = f"{centre}-{number}"
        self.centre = centre
        self.fleet = fleet
        self.handlers = {}
        self.link_handlers = []
        self.uplink, self.downlink = Port(bytes_per_s), Port(bytes_per_s)
        self.routing = ActiveRouting()
        rng = random.Random(number)
        self.keeper = ConfigKeeper(
            LinkedTopic(topic, self.downlink),
            RevisionFormat(),
            self.routing,
            lambda config: self.copier.send_notices(),
            rng,
            self.can_skip_reads,
            lambda: self.copier.on_store_restored(),
        )
        self.copier = StateCopier(
            self,
            [self.keeper.follower],
            self,
            rng,
            self.is_near,
            self.can_skip_reads,
        )
        self.task = None

    def start(self):
        """Follow the topic."""
        self.task = asyncio.create_task(self.keeper.follower.run())

    def join(self):
        """Open links to the fleet's daemons, which learn of them at the same time."""
        others = list(self.fleet.values())
        self.fleet[self.vm_id] = self
        for other in others:
            for opener, peer in ((self, other), (other, self)):
                for handler in opener.link_handlers:
                    handler(Link(opener, peer))

    @property
    def revision(self):
        """Return the active revision."""
        return self.routing.revision

    @property
    def store_era(self):
        """Return the newest era that this daemon has read."""
        return self.keeper.follower.era

    def check_store(self):
        """Read the topic soon."""
        self.keeper.follower.read_soon()

    @property
    def config_history(self):
        """Return the records of the active configurations."""
        return self.keeper.history

    def subscribe(self, msg_type, handler):
        """Register a handler for a message type."""
        self.handlers[msg_type] = handler

    def subscribe_link_opened(self, handler):
        """Have `handler(link)` called for each link that opens."""
        self.link_handlers.append(handler)

    def all_links(self):
        """Return links to all other daemons of the fleet."""
        return [Link(self, d) for d in self.fleet.values() if d is not self]

    def can_skip_reads(self):
        """Return True while enough other daemons read the topic."""
        return not is_follower(self.vm_id, filter(self.is_near, self.fleet))

    def is_near(self, vm_id):
        """Return True for other VMs of the data centre."""
        return vm_id != self.vm_id and vm_id.startswith(f"{self.centre}-")

    def entries(self):
        """Return no registry entries."""
        return ()

    def apply_peer_state(self, answer, vm_id):
        """Apply a peer's configuration."""
        if answer.delta.data:
            self.keeper.apply_delta(answer.delta, vm_id)


async def stop(fleet):
    """End the tasks of all daemons."""
    for daemon in fleet.values():
        daemon.task.cancel()
    tasks = (daemon.task for daemon in fleet.values())
    await asyncio.gather(*tasks, return_exceptions=True)
