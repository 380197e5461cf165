"""Non-idempotent requests with an idempotency key run at most once.

A claim in the log decides who may run an order under a caller's own key: the first
claim in log order wins, and only the daemon that made it dispatches, once. No lease
and no clock of a VM takes part, so a paused process can do no harm.
"""

import base64
import hashlib
import json
from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from dandelionarch.core.streams import Fold

PARTITIONS = 16
DIGEST_SIZE = 16
DEFAULT_WINDOW_S = 3600.0
MAX_STORED_ANSWER_BYTES = 2048


class OrderState(Enum):
    """What is known of an order."""

    CLAIMED = "claimed"
    RAN = "ran"
    RELEASED = "released"


class ClaimVerdict(Enum):
    """What a claim's owner may do."""

    GRANTED = "granted"
    TAKEN = "taken"
    RAN = "ran"
    CONFLICT = "conflict"
    EXPIRED = "expired"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """An endpoint's answer kept for repeats; `body` is None if it was too long."""

    status: int
    headers: tuple
    body: bytes | None


@dataclass(frozen=True, slots=True)
class Claim:
    """A daemon's wish to run the order of a key.

    `key` and `body` are hex digests; `claim_id` is unique to one attempt at one
    ingress, so a repeated append of the same claim counts once.
    """

    key: str
    body: str
    claim_id: str
    vm_id: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class Ran:
    """The order of a claim has run, with its answer."""

    key: str
    claim_id: str
    answer: StoredAnswer


@dataclass(frozen=True, slots=True)
class Released:
    """The order of a claim was not run and will not be under this claim."""

    key: str
    claim_id: str


@dataclass(slots=True)
class Entry:
    """The standing of one key; `certain` is False after a gap in the history."""

    claim: Claim
    time_s: float
    state: OrderState = OrderState.CLAIMED
    answer: StoredAnswer | None = None
    certain: bool = True


def key_digest(customer, key):
    """Return the digest of a customer's key, so that customers never collide."""
    return _digest(customer.encode(), key.encode())


def body_digest(method, target, body):
    """Return the digest of what an order asks for."""
    return _digest(method.encode(), target.encode(), body)


def _digest(*parts):
    mac = hashlib.blake2b(digest_size=DIGEST_SIZE)
    for part in parts:
        # The length keeps ("a", "bc") apart from ("ab", "c").
        mac.update(len(part).to_bytes(8, "big"))
        mac.update(part)
    return mac.hexdigest()


def partition_of(key):
    """Return the number of the stream that holds a key digest."""
    return int(key[:8], 16) % PARTITIONS


def stream_name(partition):
    """Return the log stream of a partition."""
    return f"orders-{partition}"


def encode_items(items):
    """Return the content of a log record that carries the items."""
    return json.dumps([_encode(item) for item in items]).encode()


def decode_items(data):
    """Yield the items of a record's content."""
    for kind, *values in json.loads(data):
        yield _DECODERS[kind](*values)


def _encode(item):
    if isinstance(item, Claim):
        return ["c", item.key, item.body, item.claim_id, item.vm_id, item.incarnation]
    if isinstance(item, Released):
        return ["x", item.key, item.claim_id]
    body = item.answer.body
    text = None if body is None else base64.b64encode(body).decode()
    return ["r", item.key, item.claim_id, item.answer.status, item.answer.headers, text]


def _decode_ran(key, claim_id, status, headers, text):
    body = None if text is None else base64.b64decode(text)
    pairs = tuple((name, value) for name, value in headers)
    return Ran(key, claim_id, StoredAnswer(status, pairs, body))


_DECODERS = {"c": Claim, "x": Released, "r": _decode_ran}


class OrderFold(Fold):
    """The standing of all keys of one partition, within the window.

    Parameters
    ----------
    partition : int
    window_s : float
        Seconds, by the log's record times, for which a key is remembered. The log
        has to retain records for longer than that.
    """

    def __init__(self, partition, window_s=DEFAULT_WINDOW_S):
        self.stream = stream_name(partition)
        self.window_s = window_s
        self._entries = OrderedDict()
        self._abandoned = OrderedDict()
        self._gap_end_s = None

    def __len__(self):
        return len(self._entries)

    def history_lost(self, time_s):
        """Note that records before `time_s` were truncated unread."""
        self._gap_end_s = time_s

    def apply(self, record):
        """Fold a record; return the claim ids and keys that it settled."""
        self._expire(record.time_s)
        return [self._apply_item(i, record.time_s) for i in decode_items(record.data)]

    def verdict(self, claim):
        """Return (verdict, answer) of a claim that stands in the log, or None."""
        entry = self._entries.get(claim.key)
        if entry is None:
            return None
        if not entry.certain:
            return ClaimVerdict.UNAVAILABLE, None
        if entry.claim.claim_id == claim.claim_id:
            if entry.state is OrderState.CLAIMED:
                return ClaimVerdict.GRANTED, None
            return None
        if entry.claim.body != claim.body and entry.state is not OrderState.RELEASED:
            return ClaimVerdict.CONFLICT, None
        if entry.state is OrderState.RAN:
            return ClaimVerdict.RAN, entry.answer
        if entry.state is OrderState.CLAIMED:
            return ClaimVerdict.TAKEN, None
        return None

    def holder(self, key):
        """Return the claim that holds a key, or None."""
        entry = self._entries.get(key)
        return None if entry is None else entry.claim

    def snapshot(self):
        """Return the state as bytes."""
        raise NotImplementedError("a partition is always read from the log itself")

    def restore(self, data):
        """Replace the state by a snapshot's."""
        raise NotImplementedError("a partition is always read from the log itself")

    def _apply_item(self, item, time_s):
        if isinstance(item, Claim):
            self._apply_claim(item, time_s)
        else:
            self._apply_end(item, time_s)
        return item

    def _apply_claim(self, claim, time_s):
        if claim.claim_id in self._abandoned:
            return
        entry = self._entries.get(claim.key)
        if entry is not None and entry.state is not OrderState.RELEASED:
            return
        if entry is not None:
            del self._entries[claim.key]
        # A claim that was truncated unread may have come before this one.
        certain = self._gap_end_s is None or (time_s - self._gap_end_s >= self.window_s)
        self._entries[claim.key] = Entry(claim, time_s, certain=certain)

    def _apply_end(self, item, time_s):
        entry = self._entries.get(item.key)
        mine = entry is not None and entry.claim.claim_id == item.claim_id
        if isinstance(item, Released):
            # The release may overtake its own claim, whose append was in doubt.
            self._abandoned[item.claim_id] = time_s
            if mine and entry.state is OrderState.CLAIMED:
                entry.state = OrderState.RELEASED
        elif mine and entry.state is OrderState.CLAIMED:
            entry.state = OrderState.RAN
            entry.answer = item.answer

    def _expire(self, now_s):
        while self._entries:
            entry = next(iter(self._entries.values()))
            if now_s - entry.time_s < self.window_s:
                break
            self._entries.popitem(last=False)
        while self._abandoned:
            if now_s - next(iter(self._abandoned.values())) < self.window_s:
                break
            self._abandoned.popitem(last=False)


class ClaimBatch:
    """Items of one partition that wait for their append.

    An item stays until the log shows it, because the reply of an append can be lost
    after the append took effect; appending an item again does no harm.

    Parameters
    ----------
    period_s : float
        Least time between two appends to one stream. With 16 streams, 0.05 s keeps
        the fleet at 320 appends per second.
    """

    def __init__(self, period_s=0.05, max_items=500):
        self.period_s = period_s
        self.max_items = max_items
        self._waiting = OrderedDict()
        self._next_append = 0.0

    def __len__(self):
        return len(self._waiting)

    def add(self, item):
        """Queue an item."""
        self._waiting[type(item), item.claim_id] = item

    def seen(self, item):
        """Drop an item that the log has shown."""
        self._waiting.pop((type(item), item.claim_id), None)

    def drop_claim(self, claim_id):
        """Drop a claim whose owner no longer waits."""
        self._waiting.pop((Claim, claim_id), None)

    def answer_of(self, claim_id):
        """Return the answer of an order whose outcome waits for its append."""
        item = self._waiting.get((Ran, claim_id))
        return None if item is None else item.answer

    def due(self, now):
        """Return the items to append now; empty if none or too early."""
        if not self._waiting or now < self._next_append:
            return []
        self._next_append = now + self.period_s
        return list(self._waiting.values())[: self.max_items]

    def retry_after(self, now, delay_s):
        """Hold the next append back after a failed one."""
        self._next_append = now + delay_s
