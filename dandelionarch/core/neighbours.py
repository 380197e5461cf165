"""Which VMs a daemon keeps links to: a bounded part of the fleet for each service.

A link to every VM costs pings, news of gates and copies of entries that grow with the
square of the fleet. A choice among a dozen endpoints finds a free one as well, if most
of them are near, a few are far, and each endpoint is chosen by about as many VMs.
"""

import functools
import hashlib

from dandelionarch.core.world import EndpointState

# Endpoints of one service: most are in the own data centre, a few in others take what
# that one has no room for, and a small service is linked as a whole.
NEAR_PER_SERVICE = 16
FAR_PER_SERVICE = 4
LEAST_PER_SERVICE = 12
# VMs that can't be reached are replaced, but not without end: a daemon that is cut off
# would dial the whole fleet.
MOST_REPLACED = 2
# VMs whose endpoints are not known yet are linked like those of one service.
NO_SERVICE = ""
TAKES_WORK = (EndpointState.READY, EndpointState.STARTING)


class Neighbours:
    """The VMs that one daemon keeps links to.

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
        directory.on_change(self._on_change)

    def chosen(self, unreachable=frozenset()):
        """Return the ids of the VMs to keep links to.

        Parameters
        ----------
        unreachable : frozenset of VmId
            VMs that did not accept a link lately. They stay chosen, and others are
            chosen beside them.
        """
        if self._stale or unreachable != self._unreachable:
            self._unreachable = unreachable
            self._chosen = frozenset(self._choose())
            self._stale = False
        return self._chosen

    def holds(self, vm_id):
        """Return True if a VM was among those last chosen."""
        return vm_id in self._chosen

    def _on_change(self, thing):
        self._stale = True

    def _choose(self):
        for vms in self._by_service().values():
            near = [vm for vm in vms if vm.data_centre == self._vm.data_centre]
            far = [vm for vm in vms if vm.data_centre != self._vm.data_centre]
            found = yield from self._first(near, NEAR_PER_SERVICE)
            yield from self._first(far, max(FAR_PER_SERVICE, LEAST_PER_SERVICE - found))

    def _by_service(self):
        """Return the living VMs by the services whose endpoints take work there."""
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
        return {e.service for e in endpoints if e.state in TAKES_WORK}

    def _first(self, vms, count):
        """Yield the ids of the first VMs in rank; return how many can be reached."""
        found = 0
        ranked = sorted(vms, key=lambda vm: _pair_score(self._vm.vm_id, vm.vm_id))
        for vm in ranked[: MOST_REPLACED * count]:
            yield vm.vm_id
            found += vm.vm_id not in self._unreachable
            if found == count:
                break
        return found


@functools.lru_cache(maxsize=1 << 12)
def _pair_score(one, other):
    """Return the rank of a pair; both sides compute the same one.

    So both of them tend to choose each other, and one link serves both.
    """
    first, second = sorted((one, other))
    key = f"{first}\0{second}".encode()
    return hashlib.blake2b(key, digest_size=8).digest()
