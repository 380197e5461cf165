"""Choice of the VMs that a daemon keeps links to, limited for each service.

With a link to every VM, pings, gate updates and copied entries would grow with the
square of the fleet. A dozen endpoints of a service are enough to find a free one if
most of them are near, a few are far, and all endpoints have about equally many links.
"""

import functools
import hashlib

from dandelionarch.core.world import EndpointState

# VMs per service: most are in the own data centre; a few in others take the overflow.
# The minimum makes a daemon link to every VM of a small service.
NEAR_PER_SERVICE = 16
FAR_PER_SERVICE = 4
MIN_PER_SERVICE = 12
# VMs that can't be reached are replaced. The limit keeps a daemon that is cut off from
# dialling the whole fleet.
MAX_CANDIDATES_FACTOR = 2
# VMs whose endpoints are not known yet are treated as VMs of this service.
NO_SERVICE = ""
SERVING_STATES = (EndpointState.READY, EndpointState.STARTING)


class Neighbours:
    """Chooses the VMs to which one daemon keeps links.

    Parameters
    ----------
    vm : Vm
        The VM of this daemon.
    directory : Directory
    """

    def __init__(self, vm, directory):
        self._vm = vm
        self._directory = directory
        self._stale = True
        self._chosen = frozenset()
        self._unreachable = frozenset()
        directory.subscribe_changes(self._on_change)

    def choose(self, unreachable=frozenset()):
        """Return the ids of the VMs to keep links to.

        Parameters
        ----------
        unreachable : frozenset of VmId
            VMs that recently did not accept a link. They stay chosen, and others are
            chosen in addition.
        """
        if self._stale or unreachable != self._unreachable:
            self._unreachable = unreachable
            self._chosen = frozenset(self._choose())
            self._stale = False
        return self._chosen

    def is_chosen(self, vm_id):
        """Return True if a VM was chosen by the last call of `choose`."""
        return vm_id in self._chosen

    def _on_change(self, item):
        self._stale = True

    def _choose(self):
        for vms in self._by_service().values():
            near = [vm for vm in vms if vm.data_centre == self._vm.data_centre]
            far = [vm for vm in vms if vm.data_centre != self._vm.data_centre]
            reachable = yield from self._first_reachable(near, NEAR_PER_SERVICE)
            yield from self._first_reachable(
                far, max(FAR_PER_SERVICE, MIN_PER_SERVICE - reachable)
            )

    def _by_service(self):
        """Return the living VMs grouped by the services that take work there."""
        groups = {}
        for vm in self._directory.live_vms():
            if vm.vm_id == self._vm.vm_id:
                continue
            for service in self._services_at(vm.vm_id):
                groups.setdefault(service, []).append(vm)
        return groups

    def _services_at(self, vm_id):
        endpoints = self._directory.endpoints_of_vm(vm_id)
        if not endpoints:
            return {NO_SERVICE}
        return {e.service for e in endpoints if e.state in SERVING_STATES}

    def _first_reachable(self, vms, count):
        """Yield the ids of the first VMs by rank, of which `count` can be reached.

        Returns how many can be reached; they may be fewer than `count`.
        """
        reachable = 0
        ranked = sorted(vms, key=lambda vm: _pair_score(self._vm.vm_id, vm.vm_id))
        for vm in ranked[: MAX_CANDIDATES_FACTOR * count]:
            yield vm.vm_id
            reachable += vm.vm_id not in self._unreachable
            if reachable == count:
                break
        return reachable


@functools.lru_cache(maxsize=1 << 12)
def _pair_score(vm_id, other_id):
    """Return the score of a pair, which is the same from both sides.

    So two VMs tend to choose each other and share one link.
    """
    first, second = sorted((vm_id, other_id))
    key = f"{first}\0{second}".encode()
    return hashlib.blake2b(key, digest_size=8).digest()
