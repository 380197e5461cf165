"""Task that keeps a link open to each of this daemon's neighbours."""

import asyncio
from dataclasses import dataclass

from dandelionarch.errors import LinkError

CHECK_PERIOD_S = 0.1
MIN_RETRY_DELAY_S = 0.25
MAX_RETRY_DELAY_S = 2.0
# The first attempt may fail because a VM that starts at the same time does not listen
# yet.
UNREACHABLE_FAILURES = 2


@dataclass(slots=True)
class Retry:
    """Dial schedule of one incarnation of a VM.

    Attributes
    ----------
    due_at : float
        Loop time of the next attempt, in seconds.
    delay_s : float
        Seconds between the next attempt and the one after it.
    failures : int
        Failed attempts so far.
    """

    incarnation: int
    due_at: float
    delay_s: float = MIN_RETRY_DELAY_S
    failures: int = 0


class LinkKeeper:
    """Opens links before requests need them, so that a missing link indicates a fault.

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
        """Dial neighbours without a link until cancelled."""
        while True:
            self.dial_missing_links()
            await asyncio.sleep(CHECK_PERIOD_S)

    def dial_missing_links(self):
        """Dial the neighbours without a link whose next attempt is due."""
        now = self._network.now()
        chosen = self._neighbours.choose(self._unreachable())
        vms = [self._directory.vms[vm_id] for vm_id in chosen]
        self._drop_stale_retries(vms)
        for vm in vms:
            if not self._network.is_up(vm.vm_id) and self._begin_attempt(vm, now):
                self._network.spawn(self._dial(vm.vm_id))

    def _unreachable(self):
        return frozenset(
            vm_id
            for vm_id, retry in self._retries.items()
            if retry.failures >= UNREACHABLE_FAILURES
        )

    def _drop_stale_retries(self, vms):
        """Drop the retry state of restarted VMs and of VMs that are not neighbours."""
        incarnations = {vm.vm_id: vm.incarnation for vm in vms}
        self._retries = {
            vm_id: retry
            for vm_id, retry in self._retries.items()
            if incarnations.get(vm_id) == retry.incarnation
        }

    def _begin_attempt(self, vm, now):
        """If an attempt to dial a VM is due, schedule the next one and return True.

        The delay between attempts doubles up to `MAX_RETRY_DELAY_S`.
        """
        retry = self._retries.setdefault(vm.vm_id, Retry(vm.incarnation, due_at=now))
        if now < retry.due_at:
            return False
        retry.due_at = now + retry.delay_s
        retry.delay_s = min(MAX_RETRY_DELAY_S, 2 * retry.delay_s)
        return True

    async def _dial(self, vm_id):
        try:
            await self._network.connect(vm_id)
        except LinkError:
            # `TcpLink` logs failed handshakes; the next attempt follows after a delay.
            retry = self._retries.get(vm_id)
            if retry is not None:
                retry.failures += 1
            return
        self._retries.pop(vm_id, None)
