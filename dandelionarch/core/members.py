"""Table of members: precedence of records, and a hash tree over the living members."""

import hashlib
import math

from dandelionarch.core.messages.members import MemberVerdict
from dandelionarch.core.world import Vm, VmState
from dandelionarch.ids import DataCentreId, Incarnation, RegionId, VmId

ALIVE = VmState.ALIVE.value
SUSPECT = VmState.SUSPECT.value
LEAVING = VmState.LEAVING.value
DEAD = VmState.DEAD.value
STATE_RANK = {ALIVE: 0, SUSPECT: 1, LEAVING: 2, DEAD: 3}

TREE_FANOUT = 16
TREE_LEAVES = 256
LEAF_LEVEL = 2

# Each update is sent this many times log10(members). With one probe and one reply a
# second, it reaches each of 890 members several times.
RETRANSMIT_FACTOR = 4


def precedence(item):
    """Return the precedence of a record or verdict; the higher one wins."""
    return (item.incarnation, item.edition, STATE_RANK[item.state])


def verdict_of(record):
    """Return the `MemberVerdict` with a record's state."""
    return MemberVerdict(record.vm_id, record.incarnation, record.edition, record.state)


def vm_of(record):
    """Return the `Vm` that a record describes."""
    return Vm(
        VmId(record.vm_id),
        DataCentreId(record.data_centre),
        RegionId(record.region),
        record.host,
        record.ingress_port,
        record.peer_port,
        record.gossip_port,
        record.admin_port,
        Incarnation(record.incarnation),
        VmState(record.state),
    )


def address_of(record):
    """Return the gossip address of a record."""
    return (record.host, record.gossip_port)


def bucket_of(vm_id):
    """Return the index of the tree leaf that holds a member."""
    return hashlib.blake2b(vm_id.encode(), digest_size=1).digest()[0]


def digest_of(record):
    """Return the hash by which the exchange compares a member's records.

    It excludes the state, because suspicions change more often than exchanges run.
    """
    text = f"{record.vm_id}|{record.incarnation}|{record.edition}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest())


class RandomSet:
    """Set that supports a random choice in constant time."""

    def __init__(self):
        self._items = []
        self._positions = {}

    def __len__(self):
        return len(self._items)

    def __iter__(self):
        return iter(self._items)

    def add(self, item):
        """Add an item unless it is present."""
        if item not in self._positions:
            self._positions[item] = len(self._items)
            self._items.append(item)

    def discard(self, item):
        """Remove an item if it is present."""
        position = self._positions.pop(item, None)
        if position is None:
            return
        last = self._items.pop()
        if last != item:
            self._items[position] = last
            self._positions[last] = position

    def choose(self, rng):
        """Return a random item, or None if there is none."""
        return rng.choice(self._items) if self._items else None

    def sample(self, rng, count):
        """Return up to `count` distinct random items."""
        return rng.sample(self._items, min(count, len(self._items)))


class MemberTree:
    """Hash tree over the living members, with 256 leaves and two inner levels.

    A node holds the XOR of its members' hashes.
    """

    def __init__(self):
        self._levels = [[0], [0] * TREE_FANOUT, [0] * TREE_LEAVES]

    def toggle(self, vm_id, digest):
        """Add a member's hash, or remove it if it was added before."""
        leaf = bucket_of(vm_id)
        self._levels[2][leaf] ^= digest
        self._levels[1][leaf // TREE_FANOUT] ^= digest
        self._levels[0][0] ^= digest

    def digest(self, level, index):
        """Return the hash of a node, or None if there is no such node."""
        if level > LEAF_LEVEL or index >= len(self._levels[level]):
            return None
        return self._levels[level][index]


class MemberTable:
    """Members by VM id.

    Parameters
    ----------
    own_id : str
        This daemon's VM, which is in the table but in neither set.

    Attributes
    ----------
    records : dict of str to MemberRecord
    living, dead : RandomSet of str
        Ids of the other members that are not dead, and of those that are.
    """

    def __init__(self, own_id):
        self._own_id = own_id
        self.records = {}
        self.living = RandomSet()
        self.dead = RandomSet()
        self.tree = MemberTree()
        self._buckets = [set() for _ in range(TREE_LEAVES)]
        self._by_address = {}

    def put(self, record):
        """Store a record in place of the member's earlier one."""
        self.remove(record.vm_id)
        self.records[record.vm_id] = record
        if record.state == DEAD:
            self.dead.add(record.vm_id)
            return
        if record.vm_id != self._own_id:
            self.living.add(record.vm_id)
        self._by_address[address_of(record)] = record.vm_id
        self._buckets[bucket_of(record.vm_id)].add(record.vm_id)
        self.tree.toggle(record.vm_id, digest_of(record))

    def remove(self, vm_id):
        """Remove a member if it is known."""
        known = self.records.pop(vm_id, None)
        if known is None:
            return
        self.dead.discard(vm_id)
        if known.state != DEAD:
            self.living.discard(vm_id)
            self._buckets[bucket_of(vm_id)].discard(vm_id)
            self.tree.toggle(vm_id, digest_of(known))
            if self._by_address.get(address_of(known)) == vm_id:
                del self._by_address[address_of(known)]

    def at_address(self, address):
        """Return the living member at a gossip address, or None."""
        return self.records.get(self._by_address.get(address))

    def is_known_dead(self, record):
        """Return True if `record` shows a member as living that is known to be dead."""
        known = self.records.get(record.vm_id)
        return (
            known is not None
            and known.state == DEAD
            and record.state != DEAD
            and precedence(known) > precedence(record)
        )

    def bucket_records(self, bucket):
        """Return the records of the living members in a leaf of the tree."""
        return [self.records[vm_id] for vm_id in sorted(self._buckets[bucket])]


class UpdateQueue:
    """Updates to be sent with probes and replies, the least often sent first."""

    def __init__(self):
        self._transmits_left = {}

    def __len__(self):
        return len(self._transmits_left)

    def add(self, vm_id, member_count):
        """Queue the current record of one of `member_count` members."""
        self._transmits_left.pop(vm_id, None)
        self._transmits_left[vm_id] = RETRANSMIT_FACTOR * math.ceil(
            math.log10(member_count + 2)
        )

    def take(self, records, budget, first=()):
        """Return (records, verdicts) that fit `budget` bytes.

        Parameters
        ----------
        records : dict of str to MemberRecord
        budget : int
            Estimated bytes that may be used.
        first : iterable of str
            Members whose verdicts come first and do not count as sent.
        """
        full_records, verdicts = [], []
        for vm_id in first:
            if vm_id in records:
                verdicts.append(verdict_of(records[vm_id]))
                budget -= verdict_size(verdicts[-1])
        order = sorted(self._transmits_left, key=self._transmits_left.get, reverse=True)
        for vm_id in order:
            record = records.get(vm_id)
            if record is None:
                del self._transmits_left[vm_id]
                continue
            as_verdict = record.state in (SUSPECT, DEAD)
            item = verdict_of(record) if as_verdict else record
            budget -= verdict_size(item) if as_verdict else record_size(item)
            if budget < 0:
                break
            (verdicts if as_verdict else full_records).append(item)
            self._count_down(vm_id)
        return tuple(full_records), tuple(verdicts)

    def _count_down(self, vm_id):
        self._transmits_left[vm_id] -= 1
        if self._transmits_left[vm_id] <= 0:
            del self._transmits_left[vm_id]


def text_size(text):
    """Return an upper estimate of a text's bytes in a packed message."""
    return len(text) + len(text) // 8 + 6


def verdict_size(verdict):
    """Return an upper estimate of a verdict's bytes in a packed message."""
    return 24 + text_size(verdict.vm_id) + text_size(verdict.state)


def record_size(record):
    """Return an upper estimate of a record's bytes in a packed message."""
    texts = (record.vm_id, record.data_centre, record.region, record.host, record.state)
    services = sum(text_size(s.service) + 14 for s in record.services)
    return 52 + sum(map(text_size, texts)) + services


def chunks(items, size_of, budget):
    """Yield tuples of items whose estimated sizes fit `budget` bytes each."""
    part, room = [], budget
    for item in items:
        size = size_of(item)
        if part and size > room:
            yield tuple(part)
            part, room = [], budget
        part.append(item)
        room -= size
    if part:
        yield tuple(part)
