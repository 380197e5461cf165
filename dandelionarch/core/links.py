"""Faults of an ingress's own links, kept apart from the health of endpoints."""

FIRST_HOLD_S = 1.0
MAX_HOLD_S = 8.0


class LinkFaults:
    """Says which VMs an ingress leaves out because its link to them fails.

    The hold doubles with each fault in a row, and the first message that arrives
    ends it. After the hold the next request dials again.
    """

    def __init__(self):
        self._held = {}

    def on_failure(self, vm_id, now):
        """Take note of a refused, lost or silent connection at `now` seconds."""
        count = self.count(vm_id) + 1
        hold_s = min(MAX_HOLD_S, FIRST_HOLD_S * 2.0 ** min(count - 1, 10))
        self._held[vm_id] = (count, now + hold_s)

    def on_message(self, vm_id):
        """Take note of a message from the VM."""
        self._held.pop(vm_id, None)

    def count(self, vm_id):
        """Return the number of faults in a row."""
        return self._held.get(vm_id, (0, 0.0))[0]

    def is_up(self, vm_id, now):
        """Return False while the VM is to be left out."""
        return now >= self._held.get(vm_id, (0, 0.0))[1]
