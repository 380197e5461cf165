"""Faults that a test daemon can inject into its own links.

They are set by `POST /faults` on the admin port, which exists only where the settings
say `[faults] enabled = true`.
"""

import logging

from dandelionarch.logs import event

log = logging.getLogger(__name__)


class LinkFaults:
    """Which messages to other VMs are dropped."""

    def __init__(self):
        self._cut = frozenset()

    def drops(self, vm_id):
        """Return True if nothing sent to the VM arrives."""
        return vm_id in self._cut

    def drops_datagram(self, directory, address):
        """Return True if a datagram to the address goes to a VM that is cut off."""
        return any(
            (vm.host, vm.gossip_port) == tuple(address)
            for vm in map(directory.vms.get, self._cut)
            if vm is not None
        )

    def apply(self, order, links):
        """Put an order in force; mute those of the links that it names."""
        self._cut = order.cut
        for link in links:
            if link.vm_id in order.mute:
                link.muted = True
        event(
            log,
            "faults_set",
            logging.WARNING,
            cut=",".join(sorted(order.cut)) or "-",
            mute=",".join(sorted(order.mute)) or "-",
        )
