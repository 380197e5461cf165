"""Fold of the registry: which VMs and endpoints there are, by their own entries."""

import dataclasses

from dandelionarch.core.endpoint_records import decode_endpoint, endpoint_record
from dandelionarch.core.messages.registry import VmEntry
from dandelionarch.core.world import Health, Vm, VmState
from dandelionarch.ids import DataCentreId, Incarnation, RegionId, VmId


class Registry:
    """This daemon's own entry, and the entries of the others in the directory.

    Each VM has one entry, which only its daemon writes. A late or repeated write may
    bring an old entry back; then its owner writes the present one again.

    Parameters
    ----------
    directory : Directory
    vm : Vm
        The VM of this daemon.
    """

    def __init__(self, directory, vm):
        self.vm = vm
        self._directory = directory
        self._edition = 0
        self._entries = {}
        self._own_read = (0, 0)

    def entry(self):
        """Return this daemon's entry as it is now, as a new edition."""
        self._edition += 1
        endpoints = self._directory.endpoints_of_vm(self.vm.vm_id)
        entry = VmEntry(
            self.vm.vm_id,
            self.vm.data_centre,
            self.vm.region,
            self.vm.host,
            self.vm.peer_port,
            self.vm.incarnation,
            self._edition,
            self.vm.state.value,
            tuple(map(_registered, endpoints)),
        )
        self._entries[self.vm.vm_id] = entry
        return entry

    def leave(self):
        """Mark this VM as leaving; the next entry says so."""
        self.vm = dataclasses.replace(self.vm, state=VmState.LEAVING)
        self._directory.put_vm(self.vm)

    def apply(self, entry):
        """Take in an entry; return True if this daemon must write its own again."""
        if entry.vm_id == self.vm.vm_id:
            return self._own_seen(entry)
        known = self._entries.get(entry.vm_id)
        if known is None or _version(entry) > _version(known):
            self._entries[entry.vm_id] = entry
            self._put(entry)
        return False

    def entries(self):
        """Return the entries of all VMs as far as they are known here."""
        return tuple(self._entries.values())

    def _own_seen(self, entry):
        if entry.incarnation > self.vm.incarnation:
            # A former process on this VM had a clock that was ahead.
            incarnation = Incarnation(entry.incarnation + 1)
            self.vm = dataclasses.replace(self.vm, incarnation=incarnation)
            self._directory.put_vm(self.vm)
            return True
        late = _version(entry) < self._own_read
        self._own_read = max(_version(entry), self._own_read)
        return late

    def _put(self, entry):
        vm = Vm(
            VmId(entry.vm_id),
            DataCentreId(entry.data_centre),
            RegionId(entry.region),
            entry.host,
            0,
            entry.peer_port,
            0,
            0,
            Incarnation(entry.incarnation),
            VmState(entry.state),
        )
        self._directory.put_vm(vm)
        endpoints = [decode_endpoint(record) for record in entry.endpoints]
        kept = {endpoint.endpoint_id for endpoint in endpoints}
        for known in self._directory.endpoints_of_vm(vm.vm_id):
            if known.endpoint_id not in kept:
                self._directory.drop_endpoint(known.endpoint_id)
        for endpoint in endpoints:
            self._directory.put_endpoint(endpoint)


def _version(entry):
    return entry.incarnation, entry.edition


def _registered(endpoint):
    # Links tell of health at once; in an entry it would be that of the last write.
    return endpoint_record(dataclasses.replace(endpoint, health=Health.HEALTHY))
