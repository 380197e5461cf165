"""Back-off from VMs after faults of links, separate from the health of endpoints."""

FIRST_BACKOFF_S = 1.0
MAX_BACKOFF_S = 8.0


class LinkBackoff:
    """Exclude VMs for some time (back-off) after a fault of the link to them.

    The back-off doubles with each consecutive fault and ends with the first message
    that arrives. After it the next request opens a new connection.
    """

    def __init__(self):
        self._excluded = {}

    def on_failure(self, vm_id, now):
        """Record a refused, lost or silent connection at `now` seconds."""
        count = self.count(vm_id) + 1
        backoff_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2.0 ** min(count - 1, 10))
        self._excluded[vm_id] = (count, now + backoff_s)

    def on_message(self, vm_id):
        """End the back-off, as a message from the VM has arrived."""
        self._excluded.pop(vm_id, None)

    def count(self, vm_id):
        """Return the number of consecutive faults."""
        return self._excluded.get(vm_id, (0, 0.0))[0]

    def is_up(self, vm_id, now):
        """Return False while the VM is excluded."""
        return now >= self._excluded.get(vm_id, (0, 0.0))[1]
