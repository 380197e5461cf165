"""Faults that a test daemon can inject into its own links.

They are set by `POST /faults` on the admin port, a route that exists only with the
setting `[faults] enabled = true`.
"""

import logging

from dandelionarch.logs import event

log = logging.getLogger(__name__)


class InjectedFaults:
    """The injected faults: VMs to which all messages are dropped."""

    def __init__(self):
        self._cut_vm_ids = frozenset()

    def drops(self, vm_id):
        """Return True if messages to the VM are dropped."""
        return vm_id in self._cut_vm_ids

    def drops_datagram(self, directory, address):
        """Return True if datagrams to the gossip address are dropped."""
        return any(
            (vm.host, vm.gossip_port) == tuple(address)
            for vm in map(directory.vms.get, self._cut_vm_ids)
            if vm is not None
        )

    def apply(self, faults, links):
        """Replace the faults by those of a `FaultRequest`; mute the links it names."""
        self._cut_vm_ids = faults.cut
        for link in links:
            if link.vm_id in faults.mute:
                link.muted = True
        event(
            log,
            "faults_set",
            logging.WARNING,
            cut=",".join(sorted(faults.cut)) or "-",
            mute=",".join(sorted(faults.mute)) or "-",
        )
