"""Choice of the VMs that read the log, and the tree along which they relay entries."""

import functools
import hashlib

FOLLOWERS_PER_DATA_CENTRE = 3
FAN_OUT = 4


@functools.lru_cache(maxsize=1 << 14)
def score(vm_id):
    """Return a VM's rendezvous score; the lowest comes first."""
    return hashlib.sha256(f"streams|{vm_id}".encode()).digest()


def is_follower(vm_id, linked):
    """Return True if a VM should read the log for its data centre.

    Parameters
    ----------
    vm_id : VmId
    linked : iterable of VmId
        The VMs of its data centre to which it has a link. A VM that sees too few VMs
        of higher rank reads the log itself, so that no failure leaves a data centre
        without a reader.
    """
    ahead = sum(score(other) < score(vm_id) for other in linked)
    return ahead < FOLLOWERS_PER_DATA_CENTRE


class Placement:
    """Position of one VM in the relay tree of the living members.

    The members of a data centre form a tree, laid out as a heap, with three roots: the
    followers, which read the log. Every other member has exactly one parent.

    Attributes
    ----------
    follower : bool
        True if this VM reads the log.
    parent : VmId or None
    children : tuple of VmId
    checkpoint_rank : int or None
        Rank among the followers of all data centres; None for other VMs.
    """

    def __init__(self, vm_id, data_centre):
        self.vm_id = vm_id
        self.data_centre = data_centre
        self.update({vm_id: data_centre})

    def update(self, members):
        """Set the living members: a dict of VM id to data centre."""
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
