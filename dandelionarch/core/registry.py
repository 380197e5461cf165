"""Fold of the registry: which VMs and endpoints there are, by their own entries."""

import dataclasses

from dandelionarch.core.messages.registry import RegisteredEndpoint, VmEntry
from dandelionarch.core.world import Endpoint, EndpointState, Vm, VmState
from dandelionarch.ids import (
    DataCentreId,
    EndpointId,
    Incarnation,
    RegionId,
    ServiceName,
    VmId,
)


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
        self._known = {}
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
        version = (entry.incarnation, entry.edition)
        if version > self._known.get(entry.vm_id, (0, 0)):
            self._known[entry.vm_id] = version
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
        version = (entry.incarnation, entry.edition)
        late = version < self._own_read
        self._own_read = max(version, self._own_read)
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
        endpoints = [_endpoint(vm.vm_id, told) for told in entry.endpoints]
        kept = {endpoint.endpoint_id for endpoint in endpoints}
        for known in self._directory.endpoints_of_vm(vm.vm_id):
            if known.endpoint_id not in kept:
                self._directory.drop_endpoint(known.endpoint_id)
        for endpoint in endpoints:
            self._directory.put_endpoint(endpoint)


def _registered(endpoint):
    return RegisteredEndpoint(
        endpoint.endpoint_id,
        endpoint.service,
        endpoint.host,
        endpoint.port,
        endpoint.slots,
        endpoint.connections,
        endpoint.incarnation,
        endpoint.state.value,
    )


def _endpoint(vm_id, told):
    return Endpoint(
        EndpointId(told.endpoint_id),
        vm_id,
        ServiceName(told.service),
        told.host,
        told.port,
        told.slots,
        told.connections,
        Incarnation(told.incarnation),
        EndpointState(told.state),
    )
