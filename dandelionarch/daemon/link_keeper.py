"""Task that keeps a link open to every living VM."""

import asyncio
from dataclasses import dataclass

from dandelionarch.errors import LinkError

PERIOD_S = 0.1
RETRY_MIN_S = 0.25
RETRY_MAX_S = 2.0


@dataclass(slots=True)
class Retry:
    """When a VM's incarnation is dialled next, in seconds."""

    incarnation: int
    due: float
    pause_s: float = RETRY_MIN_S


class LinkKeeper:
    """Opens links before requests need them, so that a missing one shows a fault.

    Parameters
    ----------
    network : PeerNetwork
    directory : Directory
    """

    def __init__(self, network, directory):
        self._network = network
        self._directory = directory
        self._retries = {}

    async def run(self):
        """Dial what is not connected until cancelled."""
        while True:
            now = self._network.now()
            living = {vm.vm_id: vm for vm in self._directory.living_vms()}
            self._forget(living)
            for vm in living.values():
                if not self._network.is_up(vm.vm_id) and self._is_due(vm, now):
                    self._network.spawn(self._dial(vm.vm_id))
            await asyncio.sleep(PERIOD_S)

    def _forget(self, living):
        self._retries = {
            vm_id: retry
            for vm_id, retry in self._retries.items()
            if vm_id in living and retry.incarnation == living[vm_id].incarnation
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
            return
        self._retries.pop(vm_id, None)
