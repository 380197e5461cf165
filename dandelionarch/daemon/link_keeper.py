"""Task that keeps a link open to every VM that this daemon has chosen."""

import asyncio
from dataclasses import dataclass

from dandelionarch.errors import LinkError

PERIOD_S = 0.1
RETRY_MIN_S = 0.25
RETRY_MAX_S = 2.0
# The first connection to a VM that starts at the same time may come too early.
UNREACHABLE_FAILURES = 2


@dataclass(slots=True)
class Retry:
    """When a VM's incarnation is dialled next, in seconds, and how often it failed."""

    incarnation: int
    due: float
    pause_s: float = RETRY_MIN_S
    failures: int = 0


class LinkKeeper:
    """Opens links before requests need them, so that a missing one shows a fault.

    Parameters
    ----------
    network : PeerNetwork
    directory : Directory
    neighbours : Neighbours
    """

    def __init__(self, network, directory, neighbours):
        self._network = network
        self._directory = directory
        self._neighbours = neighbours
        self._retries = {}

    async def run(self):
        """Dial what is not connected until cancelled."""
        while True:
            self.dial_due()
            await asyncio.sleep(PERIOD_S)

    def dial_due(self):
        """Begin to dial the chosen VMs that are not connected and are due."""
        now = self._network.now()
        chosen = self._neighbours.choose(self._unreachable())
        vms = [self._directory.vms[vm_id] for vm_id in chosen]
        self._forget(vms)
        for vm in vms:
            if not self._network.is_up(vm.vm_id) and self._is_due(vm, now):
                self._network.spawn(self._dial(vm.vm_id))

    def _unreachable(self):
        return frozenset(
            vm_id
            for vm_id, retry in self._retries.items()
            if retry.failures >= UNREACHABLE_FAILURES
        )

    def _forget(self, vms):
        """Drop what is known of VMs that are not chosen any more or have restarted."""
        incarnations = {vm.vm_id: vm.incarnation for vm in vms}
        self._retries = {
            vm_id: retry
            for vm_id, retry in self._retries.items()
            if incarnations.get(vm_id) == retry.incarnation
        }

    def _is_due(self, vm, now):
        """Return True once per attempt; the pauses between attempts double."""
        retry = self._retries.setdefault(vm.vm_id, Retry(vm.incarnation, due=now))
        if now < retry.due:
            return False
        retry.due = now + retry.pause_s
        retry.pause_s = min(RETRY_MAX_S, 2 * retry.pause_s)
        return True

    async def _dial(self, vm_id):
        try:
            await self._network.link(vm_id)
        except LinkError:
            # Logged by the network; the next attempt is due after the pause.
            retry = self._retries.get(vm_id)
            if retry is not None:
                retry.failures += 1
            return
        self._retries.pop(vm_id, None)
