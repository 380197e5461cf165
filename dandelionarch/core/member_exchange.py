"""Pairwise exchange of differences between two daemons' member tables.

Probes spread updates, but an update can miss a daemon that was cut off or paused; the
exchange finds the remaining differences. Every message is answered from the current
table alone, so a lost datagram leaves no state to clean up.
"""

from abc import ABC, abstractmethod

from dandelionarch.core import members as member_table
from dandelionarch.core.messages.members import (
    BucketKeys,
    MemberQuery,
    Members,
    TreeDigest,
    TreeNode,
)

# Leaves room for the header, the authentication code and estimation errors in a
# datagram of 1,200 bytes.
PAYLOAD_BUDGET_BYTES = 1000
NODE_BYTES = 16
MAX_QUERY_IDS = 40


class Exchange(ABC):
    """A method to find the differences between two tables.

    Parameters
    ----------
    table : MemberTable
    """

    def __init__(self, table):
        self.table = table

    @abstractmethod
    def start(self):
        """Return the messages that start an exchange with another daemon."""

    def on_digest(self, msg):
        """Return the replies to node hashes of the sender's tree."""
        children, leaves = [], []
        for node in msg.nodes:
            own_digest = self.table.tree.digest(node.level, node.index)
            if own_digest is None or own_digest == node.digest:
                continue
            if node.level == member_table.LEAF_LEVEL:
                leaves.append(node.index)
            else:
                children += self._children(node)
        replies = []
        for part in member_table.chunks(children, lambda n: NODE_BYTES, 800):
            replies.append(TreeDigest(part))
        return replies + self.key_messages(leaves)

    def key_messages(self, buckets):
        """Return `BucketKeys` messages that list the members in some leaves."""
        replies, part_buckets, keys, room = [], [], [], PAYLOAD_BUDGET_BYTES
        for bucket in buckets:
            verdicts = [
                member_table.verdict_of(r) for r in self.table.bucket_records(bucket)
            ]
            size = 6 + sum(map(member_table.verdict_size, verdicts))
            if part_buckets and size > room:
                replies.append(BucketKeys(tuple(part_buckets), tuple(keys)))
                part_buckets, keys, room = [], [], PAYLOAD_BUDGET_BYTES
            part_buckets.append(bucket)
            keys += verdicts
            room -= size
        if part_buckets:
            replies.append(BucketKeys(tuple(part_buckets), tuple(keys)))
        return replies

    def on_keys(self, msg):
        """Return records that the sender lacks, and queries for those lacking here."""
        sender_keys = {key.vm_id: key for key in msg.keys}
        send, wanted = [], []
        for bucket in msg.buckets:
            if bucket >= member_table.TREE_LEAVES:
                continue
            for record in self.table.bucket_records(bucket):
                key = sender_keys.get(record.vm_id)
                if key is None or _is_older(key, record):
                    send.append(record)
        for key in msg.keys:
            own = self.table.records.get(key.vm_id)
            if own is None or _is_older(own, key):
                wanted.append(key.vm_id)
        verdicts = [
            member_table.verdict_of(own)
            for key in msg.keys
            if (own := self.table.records.get(key.vm_id)) is not None
            and own.state == member_table.DEAD
            and not _is_older(own, key)
        ]
        return [
            *members_messages(send),
            *verdict_messages(verdicts),
            *query_messages(wanted),
        ]

    def _children(self, node):
        level = node.level + 1
        first = node.index * member_table.TREE_FANOUT
        for index in range(first, first + member_table.TREE_FANOUT):
            yield TreeNode(level, index, self.table.tree.digest(level, index))


class TreeExchange(Exchange):
    """Compares hash trees from the root down, which is cheap if little differs."""

    def start(self):
        return [TreeDigest((TreeNode(0, 0, self.table.tree.digest(0, 0)),))]


class PlainExchange(Exchange):
    """Baseline: sends the keys of all members each time."""

    def start(self):
        return self.key_messages(range(member_table.TREE_LEAVES))


def _is_older(record, other):
    return (record.incarnation, record.edition) < (other.incarnation, other.edition)


def members_messages(records):
    """Return `Members` messages that hold all the records."""
    parts = member_table.chunks(records, member_table.record_size, PAYLOAD_BUDGET_BYTES)
    return [Members(part, ()) for part in parts]


def verdict_messages(verdicts):
    """Return `Members` messages that hold all the verdicts."""
    parts = member_table.chunks(
        verdicts, member_table.verdict_size, PAYLOAD_BUDGET_BYTES
    )
    return [Members((), part) for part in parts]


def query_messages(vm_ids):
    """Return `MemberQuery` messages for all the ids."""
    return [
        MemberQuery(tuple(vm_ids[i : i + MAX_QUERY_IDS]))
        for i in range(0, len(vm_ids), MAX_QUERY_IDS)
    ]
