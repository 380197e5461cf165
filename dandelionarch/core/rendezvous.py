"""Rendezvous hashing: the same order of VMs for a key at every daemon."""

import hashlib


def rank(key, vm_ids):
    """Return the VMs in falling order of their score for a key.

    Parameters
    ----------
    key : str
        What is placed, such as a customer or a stream.
    vm_ids : iterable of VmId
        The living VMs; their order does not matter.
    """
    return sorted(vm_ids, key=lambda vm_id: _score(key, vm_id), reverse=True)


def _score(key, vm_id):
    digest = hashlib.blake2b(f"{key}\0{vm_id}".encode(), digest_size=8).digest()
    return digest, vm_id
