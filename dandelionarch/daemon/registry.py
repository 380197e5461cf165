"""Registry task: tells this daemon's entry and takes in those of the others.

Daemons tell each other: an entry goes to every peer when it changes, and over each link
that opens. The store is where a daemon that starts finds the others. For any two
daemons, the one that wrote its entry later finds the other in the read after its write,
dials it, and is known there too.
"""

import asyncio
import contextlib
import logging
import random

from dandelionarch.core.keyed_log import KeyedRecord
from dandelionarch.core.messages.registry import VmEntry
from dandelionarch.core.registry import Registry
from dandelionarch.daemon.follower import Follower, retry_pause_s
from dandelionarch.errors import LinkError, MessageDecodeError, PlatformError
from dandelionarch.logs import event
from dandelionarch.wire.codec import Channel

log = logging.getLogger(__name__)

# Each change that is read at once wakes all daemons, so that reads would grow with the
# square of the fleet. A daemon waits so long only for what no peer could tell it: VMs
# that it has no link to, of which it uses a few at most.
READ_PAUSE_S = 30.0
# Endpoints report every 1.5 s or so.
FIRST_ENTRY_S = 2.0


class RegistryService:
    """Keeps the directory in step with the registry topic.

    Parameters
    ----------
    topic : KeyedLog
    directory : Directory
    vm : Vm
        The VM of this daemon.
    network : PeerNetwork
    rng : random.Random, optional
    """

    def __init__(self, topic, directory, vm, network, rng=None):
        self._topic = topic
        self._network = network
        self._codec = network.codec
        self._rng = rng or random.Random()
        self._registry = Registry(directory, vm)
        self._entry = None
        self._changed = asyncio.Event()
        self._written = asyncio.Event()
        self.follower = Follower(topic, self._on_records, READ_PAUSE_S, self._rng)
        network.subscribe(VmEntry, lambda link, entry: self.take(entry))
        network.on_opened(self._introduce)

    def announce(self):
        """Tell the entry anew, as this VM or its endpoints have changed."""
        self._entry = self._registry.new_entry()
        self._network.broadcast(self._entry)
        self._written.clear()
        self._changed.set()

    def _introduce(self, link):
        """Tell a peer of this VM; it may not know it yet."""
        with contextlib.suppress(LinkError):
            link.send(self._own_entry())

    def _own_entry(self):
        if self._entry is None:
            self._entry = self._registry.new_entry()
        return self._entry

    def entries(self):
        """Return the entries of all VMs as far as they are known here."""
        return self._registry.entries()

    def take(self, entry):
        """Take in an entry that a peer has; only the store tells of the own one."""
        if entry.vm_id != self._registry.vm.vm_id:
            self._registry.apply(entry)

    async def leave(self, timeout_s):
        """Write that this VM leaves; give up after `timeout_s`."""
        self._registry.mark_leaving()
        self.announce()
        try:
            async with asyncio.timeout(timeout_s):
                await self._written.wait()
        except TimeoutError:
            event(log, "leave_not_written", logging.WARNING, timeout_s=timeout_s)

    async def run(self):
        """Write the entry after each change until cancelled.

        The first one waits a little for the first report of an endpoint.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FIRST_ENTRY_S):
                await self._changed.wait()
        self._changed.set()
        read_again = True
        while True:
            await self._changed.wait()
            self._changed.clear()
            try:
                await self._write()
                if read_again:
                    self.follower.read_soon()
                    read_again = False
            except PlatformError as exc:
                event(
                    log,
                    "entry_not_written",
                    logging.WARNING,
                    error=type(exc).__name__,
                    detail=exc,
                )
                self._changed.set()
                await asyncio.sleep(retry_pause_s(self._rng))

    async def _write(self):
        entry = self._own_entry()
        _, value = self._codec.encode(entry)
        await self._topic.append(KeyedRecord(entry.vm_id, value))
        event(
            log,
            "entry_written",
            edition=entry.edition,
            state=entry.state,
            endpoints=",".join(f"{e.endpoint_id}:{e.state}" for e in entry.endpoints),
        )
        if not self._changed.is_set():
            self._written.set()

    def _on_records(self, records):
        for record in records:
            if not record.value:
                continue
            try:
                entry = self._codec.decode(Channel.REGISTRY, record.value)
                again = self._registry.apply(entry)
            except (MessageDecodeError, ValueError) as exc:
                event(
                    log,
                    "entry_unreadable",
                    logging.WARNING,
                    key=record.key,
                    detail=exc,
                )
                continue
            if again:
                event(log, "entry_superseded", edition=entry.edition)
                self.announce()
