"""Registry of the fleet's VMs and endpoints, built from each VM's own entry."""

import dataclasses

from dandelionarch.core.endpoint_records import decode_endpoint, encode_endpoint
from dandelionarch.core.messages.registry import VmEntry
from dandelionarch.core.world import Health, Vm, VmState
from dandelionarch.ids import DataCentreId, Incarnation, RegionId, VmId

# An incarnation is a time in microseconds. A larger number is a damaged entry, and the
# next incarnation after it would have no message form.
MAX_INCARNATION = 2**62


class Registry:
    """This daemon's own entry, and the entries of the others in the directory.

    Each VM has one entry, which only its daemon writes. If a late or repeated write
    restores an old entry, or the store comes back from a copy without the current one,
    its owner writes the current one again.

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
        self._own_version_read = (0, 0)
        self._own_version_written = (0, 0)
        self._own_position = None

    def new_entry(self, quarantined=()):
        """Return a new edition of this daemon's entry.

        Parameters
        ----------
        quarantined : tuple of QuarantineRecord, optional
        """
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
            tuple(map(_endpoint_entry, endpoints)),
            quarantined,
        )
        self._entries[self.vm.vm_id] = entry
        return entry

    def mark_leaving(self):
        """Mark this VM as leaving in the directory and in later entries."""
        self.vm = dataclasses.replace(self.vm, state=VmState.LEAVING)
        self._directory.put_vm(self.vm)

    def apply(self, entry):
        """Apply an entry; return True if this daemon must write its own again.

        Raises
        ------
        ValueError
            If the entry has a state or a number that no daemon writes.
        """
        if entry.incarnation > MAX_INCARNATION:
            raise ValueError(f"incarnation exceeds {MAX_INCARNATION}")
        if entry.vm_id == self.vm.vm_id:
            return self._on_own_entry(entry)
        known = self._entries.get(entry.vm_id)
        if known is None or _version(entry) > _version(known):
            self._put(entry)
            self._entries[entry.vm_id] = entry
        return False

    def on_written(self, entry, position):
        """Record that the store has acknowledged this daemon's entry at a position."""
        self._own_version_written = _version(entry)
        self._own_position = position

    def has_lost(self, entry, end):
        """Return True if the store has lost the entry that it had acknowledged.

        Parameters
        ----------
        entry : VmEntry or None
            This daemon's entry among the newest records of the store.
        end : Position
            Position after these records.
        """
        if self._own_position is None or end <= self._own_position:
            return False
        return entry is None or _version(entry) < self._own_version_written

    def entries(self):
        """Return the known entries of all VMs."""
        return tuple(self._entries.values())

    def _on_own_entry(self, entry):
        if entry.incarnation > self.vm.incarnation:
            # The clock of a former process on this VM was ahead.
            incarnation = Incarnation(entry.incarnation + 1)
            self.vm = dataclasses.replace(self.vm, incarnation=incarnation)
            self._directory.put_vm(self.vm)
            return True
        is_old = _version(entry) < self._own_version_read
        self._own_version_read = max(_version(entry), self._own_version_read)
        return is_old

    def _put(self, entry):
        endpoints = [decode_endpoint(record) for record in entry.endpoints]
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
        listed_ids = {endpoint.endpoint_id for endpoint in endpoints}
        for known in self._directory.endpoints_of_vm(vm.vm_id):
            if known.endpoint_id not in listed_ids:
                self._directory.drop_endpoint(known.endpoint_id)
        for endpoint in endpoints:
            self._directory.put_endpoint(endpoint)


def _version(entry):
    return entry.incarnation, entry.edition


def _endpoint_entry(endpoint):
    # Health is reported over links at once; in an entry it would soon be outdated.
    return encode_endpoint(dataclasses.replace(endpoint, health=Health.HEALTHY))
