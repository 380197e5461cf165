"""Who reads the log, and along which tree its entries are relayed."""

import functools
import hashlib

FOLLOWERS_PER_DATA_CENTRE = 3
FAN_OUT = 4


@functools.lru_cache(maxsize=1 << 14)
def score(vm_id):
    """Return a VM's rendezvous score; the lowest comes first."""
    return hashlib.sha256(f"streams|{vm_id}".encode()).digest()


def is_follower(vm_id, linked):
    """Return True if a VM is to read the log for its data centre.

    Parameters
    ----------
    vm_id : VmId
    linked : iterable of VmId
        The VMs of its data centre that it has a link to. Whoever sees fewer than
        enough VMs before itself reads, so that no loss leaves a data centre without.
    """
    before = sum(score(other) < score(vm_id) for other in linked)
    return before < FOLLOWERS_PER_DATA_CENTRE


class Placement:
    """Place of one VM among the living members.

    The members of a data centre form a heap with three roots, the followers of the
    log; everyone else has exactly one parent.

    Attributes
    ----------
    follower : bool
        True if this VM reads the log.
    parent : VmId or None
    children : tuple of VmId
    checkpoint_rank : int or None
        Place among the followers of all data centres.
    """

    def __init__(self, vm_id, data_centre):
        self.vm_id = vm_id
        self.data_centre = data_centre
        self.update({vm_id: data_centre})

    def update(self, members):
        """Compute the place among `members`, a dict of VM id to data centre."""
        by_centre = {self.data_centre: [self.vm_id]}
        for vm_id, centre in members.items():
            if vm_id != self.vm_id:
                by_centre.setdefault(centre, []).append(vm_id)
        for vms in by_centre.values():
            vms.sort(key=score)
        ranked = by_centre[self.data_centre]
        position = ranked.index(self.vm_id)
        self.follower = position < FOLLOWERS_PER_DATA_CENTRE
        parent_index = (position - FOLLOWERS_PER_DATA_CENTRE) // FAN_OUT
        self.parent = None if self.follower else ranked[parent_index]
        first = FOLLOWERS_PER_DATA_CENTRE + position * FAN_OUT
        self.children = tuple(ranked[first : first + FAN_OUT])
        self.checkpoint_rank = None
        if self.follower:
            followers = sorted(
                (
                    vm_id
                    for vms in by_centre.values()
                    for vm_id in vms[:FOLLOWERS_PER_DATA_CENTRE]
                ),
                key=score,
            )
            self.checkpoint_rank = followers.index(self.vm_id)
