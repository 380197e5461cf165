"""Registry task: publishes this daemon's entry and applies those of the others.

Daemons send their entry to every peer when it changes, and over each link that opens.
A daemon that starts finds the others in the store. Of any two daemons, the one that
wrote its entry later finds the other one in the read after its write and dials it,
which introduces it to the other side too.
"""

import asyncio
import contextlib
import logging
import random

from dandelionarch.core.keyed_log import KeyedRecord
from dandelionarch.core.messages.registry import VmEntry
from dandelionarch.core.registry import Registry
from dandelionarch.daemon.follower import Follower, retry_delay_s
from dandelionarch.errors import LinkError, MessageDecodeError, PlatformError
from dandelionarch.logs import event
from dandelionarch.wire.codec import Channel

log = logging.getLogger(__name__)

# If every daemon read each change at once, reads would grow with the square of the
# fleet. Peers send their entries over links, so the pause only delays entries of VMs
# without a link to this daemon, which sends requests to a few of those at most.
READ_PAUSE_S = 30.0
# Rate at which a fleet reads all entries again after the store has been restored. An
# entry takes about 0.5 KB as base64, so that 900 daemons read 45 MB/s.
REREADS_PER_S = 100
# Endpoints report about every 1.5 s.
FIRST_ENTRY_DELAY_S = 2.0


class RegistryService:
    """Keeps the directory consistent with the registry topic.

    Parameters
    ----------
    topic : KeyedLog
    directory : Directory
    vm : Vm
        The VM of this daemon.
    network : PeerNetwork
    rng : random.Random, optional
    on_restored : callable, optional
        Called when the store has come back from an older copy.

    Attributes
    ----------
    quarantined : callable
        Returns the `QuarantineRecord` tuple for this VM's entry.
    on_quarantined : callable
        `on_quarantined(vm_id, records)` is called with the records in an entry of the
        store or of a peer; this VM's own are those of an earlier process.
    """

    def __init__(
        self, topic, directory, vm, network, rng=None, on_restored=lambda: None
    ):
        self._topic = topic
        self._directory = directory
        self._network = network
        self._codec = network.codec
        self._rng = rng or random.Random()
        self._registry = Registry(directory, vm)
        self._entry = None
        self._entry_changed = asyncio.Event()
        self._entry_written = asyncio.Event()
        self._reads_after_write = True
        self.quarantined = tuple
        self.on_quarantined = lambda vm_id, records: None
        self.follower = Follower(
            topic,
            self._on_batch,
            READ_PAUSE_S,
            self._rng,
            reread_delay_s=self._reread_delay_s,
            on_restored=on_restored,
        )
        network.subscribe(VmEntry, lambda link, entry: self.apply_peer_entry(entry))
        network.subscribe_link_opened(self._send_entry)

    def announce(self):
        """Publish a new edition of the entry after a change of its content."""
        self._entry = self._new_entry()
        self._network.broadcast(self._entry)
        self._entry_written.clear()
        self._entry_changed.set()

    def _reread_delay_s(self):
        return self._rng.uniform(0, len(self._directory.live_vms()) / REREADS_PER_S)

    def _send_entry(self, link):
        """Send this VM's entry to a peer, which may not know it yet."""
        with contextlib.suppress(LinkError):
            link.send(self._current_entry())

    def _current_entry(self):
        if self._entry is None:
            self._entry = self._new_entry()
        return self._entry

    def _new_entry(self):
        return self._registry.new_entry(self.quarantined())

    def entries(self):
        """Return the known entries of all VMs."""
        return self._registry.entries()

    def apply_peer_entry(self, entry):
        """Apply an entry from a peer; this VM's own is accepted from the store only."""
        if entry.vm_id == self._registry.vm.vm_id:
            return
        try:
            self._registry.apply(entry)
        except ValueError as exc:
            _log_unreadable(entry.vm_id, exc)
        else:
            self._pass_on_quarantined(entry)

    def _pass_on_quarantined(self, entry):
        if entry.quarantined:
            self.on_quarantined(entry.vm_id, entry.quarantined)

    async def leave(self, timeout_s):
        """Write an entry in state leaving; give up after `timeout_s`."""
        self._registry.mark_leaving()
        self.announce()
        try:
            async with asyncio.timeout(timeout_s):
                await self._entry_written.wait()
        except TimeoutError:
            event(log, "leave_not_written", logging.WARNING, timeout_s=timeout_s)

    async def run(self):
        """Write the entry after each change until cancelled.

        The first write waits up to `FIRST_ENTRY_DELAY_S` for an endpoint's report.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FIRST_ENTRY_DELAY_S):
                await self._entry_changed.wait()
        self._entry_changed.set()
        while True:
            await self._entry_changed.wait()
            self._entry_changed.clear()
            try:
                await self._write()
                if self._reads_after_write:
                    self.follower.read_soon()
                    self._reads_after_write = False
            except PlatformError as exc:
                event(
                    log,
                    "entry_not_written",
                    logging.WARNING,
                    error=type(exc).__name__,
                    detail=exc,
                )
                self._entry_changed.set()
                await asyncio.sleep(retry_delay_s(self._rng))

    async def _write(self):
        entry = self._current_entry()
        _, value = self._codec.encode(entry)
        position = await self._topic.append(KeyedRecord(entry.vm_id, value))
        self._registry.on_written(entry, position)
        event(
            log,
            "entry_written",
            era=position.era,
            offset=position.offset,
            edition=entry.edition,
            state=entry.state,
            endpoints=",".join(f"{e.endpoint_id}:{e.state}" for e in entry.endpoints),
        )
        if not self._entry_changed.is_set():
            self._entry_written.set()

    def _on_batch(self, batch):
        own_entry = None
        for record in batch.records:
            if not record.value:
                continue
            try:
                entry = self._decode(record)
                must_rewrite = self._registry.apply(entry)
            except (MessageDecodeError, ValueError) as exc:
                _log_unreadable(record.key, exc)
                continue
            self._pass_on_quarantined(entry)
            if entry.vm_id == self._registry.vm.vm_id:
                own_entry = entry
            if must_rewrite:
                event(log, "entry_superseded", edition=entry.edition)
                self.announce()
        if batch.is_whole and self._registry.has_lost(own_entry, batch.end):
            self._on_entry_lost(batch.end)

    def _on_entry_lost(self, end):
        """Write the entry again, then read those that were written meanwhile."""
        event(log, "entry_lost", logging.WARNING, era=end.era, end=end.offset)
        self._reads_after_write = True
        self._entry_written.clear()
        self._entry_changed.set()

    def _decode(self, record):
        entry = self._codec.decode(Channel.REGISTRY, record.value)
        if not isinstance(entry, VmEntry) or entry.vm_id != record.key:
            raise MessageDecodeError("record is not the entry of its key")
        return entry


def _log_unreadable(key, exc):
    event(log, "entry_unreadable", logging.WARNING, key=key, detail=exc)
