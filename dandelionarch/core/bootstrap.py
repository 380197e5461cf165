"""Start of a daemon from its peers' state while the log does not answer."""

from dandelionarch.core.messages.streams import OffsetsQuery

MIN_PEERS = 3
QUERY_PERIOD_S = 1.0


class PeerBootstrap:
    """Collects the offsets of ready peers and returns those that must be reached.

    For each stream that is the highest offset among three ready peers, or among all
    seeds while fewer than three peers are known. Without a reply or the log, there is
    no state to serve from.

    Parameters
    ----------
    vm_id : VmId
    seeds : list of (host, port)
        Peer addresses from the settings, without this VM's own.
    rng : random.Random
    """

    def __init__(self, vm_id, seeds, rng):
        self._vm_id = vm_id
        self._seeds = frozenset(seeds)
        self._rng = rng
        self._replies = {}
        self._last_query = None

    def queries(self, vms, now):
        """Return (vm_id, message) pairs to send, at most once per period."""
        if self._last_query is not None and now < self._last_query + QUERY_PERIOD_S:
            return []
        self._last_query = now
        others = [vm for vm in vms if vm not in self._replies and vm != self._vm_id]
        chosen = self._rng.sample(others, min(MIN_PEERS, len(others)))
        return [(vm_id, OffsetsQuery(self._vm_id)) for vm_id in chosen]

    def on_reply(self, vm_id, heartbeat):
        """Store a peer's offsets if it is ready."""
        if heartbeat.ready:
            self._replies[vm_id] = {s.stream: s.offset for s in heartbeat.offsets}

    def targets(self, addresses):
        """Return the offset to reach in each stream, or None if replies are missing.

        Parameters
        ----------
        addresses : dict
            Peer address (host, port) of every known living VM.
        """
        if not self._replies:
            return None
        if len(self._replies) < MIN_PEERS:
            peer_count = len(addresses.keys() - {self._vm_id})
            replied = {addresses.get(vm_id) for vm_id in self._replies}
            if peer_count >= MIN_PEERS or not self._seeds <= replied:
                return None
        newest = {}
        for offsets in self._replies.values():
            for stream, offset in offsets.items():
                newest[stream] = max(offset, newest.get(stream, 0))
        return newest
