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

PARTITIONS = 32
DIGEST_SIZE = 16
DEFAULT_WINDOW_S = 3600.0
MAX_STORED_ANSWER_BYTES = 2048
# Bound on the header fields that are stored with an answer, names and values.
MAX_STORED_HEADER_BYTES = 2048
WINDOW_SLICES = 8
# Well below the 256 KiB that the log accepts, as sizes are estimated.
MAX_BATCH_BYTES = 128 << 10
ITEM_BASE_BYTES = 200


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
class OrderResult:
    """The order of a claim has run, with its answer."""

    key: str
    claim_id: str
    answer: StoredAnswer


@dataclass(frozen=True, slots=True)
class ClaimRelease:
    """The order of a claim was not run and will not be under this claim."""

    key: str
    claim_id: str


@dataclass(slots=True)
class OrderEntry:
    """The standing of one key; `certain` is False after a gap in the history.

    The answer stays in the log: `answer_offset` is the offset of its record. With
    the answers in memory, a key took three times as many bytes.
    """

    body: bytes
    claim_id: bytes
    state: OrderState = OrderState.CLAIMED
    answer_offset: int = -1
    certain: bool = True


class ExpiringTable:
    """Values by key that are forgotten by whole slices of the window.

    The slices follow from the times that are passed in, so all readers of a stream
    forget the same keys at the same record.
    """

    def __init__(self, window_s):
        self._slice_s = window_s / WINDOW_SLICES
        self._slices = {}

    def __len__(self):
        return sum(len(table) for table in self._slices.values())

    def get(self, key):
        """Return the value of a key or None."""
        for table in self._slices.values():
            if key in table:
                return table[key]
        return None

    def put(self, key, value, time_s):
        """Set the value of a key as of a time."""
        for table in self._slices.values():
            table.pop(key, None)
        self._slices.setdefault(int(time_s // self._slice_s), {})[key] = value

    def expire(self, now_s):
        """Forget the slices that ended more than a window ago."""
        oldest = int(now_s // self._slice_s) - WINDOW_SLICES
        for number in [n for n in self._slices if n < oldest]:
            del self._slices[number]


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


def _size(item):
    """Return about how many bytes an item takes in a record."""
    if not isinstance(item, OrderResult):
        return ITEM_BASE_BYTES
    fields = sum(len(name) + len(value) for name, value in item.answer.headers)
    return ITEM_BASE_BYTES + 2 * fields + 2 * len(item.answer.body or b"")


def _encode(item):
    if isinstance(item, Claim):
        return ["c", item.key, item.body, item.claim_id, item.vm_id, item.incarnation]
    if isinstance(item, ClaimRelease):
        return ["x", item.key, item.claim_id]
    body = item.answer.body
    text = None if body is None else base64.b64encode(body).decode()
    return ["r", item.key, item.claim_id, item.answer.status, item.answer.headers, text]


def _decode_ran(key, claim_id, status, headers, text):
    body = None if text is None else base64.b64decode(text)
    pairs = tuple((name, value) for name, value in headers)
    return OrderResult(key, claim_id, StoredAnswer(status, pairs, body))


_DECODERS = {"c": Claim, "x": ClaimRelease, "r": _decode_ran}


class OrderFold:
    """The standing of all keys of one partition, within the window.

    It is always folded from the log itself, so it has no snapshot.

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
        self._entries = ExpiringTable(window_s)
        self._released_claims = ExpiringTable(window_s)
        self._gap_end_s = None

    def __len__(self):
        return len(self._entries)

    def on_history_lost(self, time_s):
        """Note that records before `time_s` were truncated unread."""
        self._gap_end_s = time_s

    def apply(self, record):
        """Fold a record and return its items; one that can't be read has none."""
        self._entries.expire(record.time_s)
        self._released_claims.expire(record.time_s)
        try:
            items = list(decode_items(record.data))
        except (ValueError, KeyError, TypeError):
            return []
        for item in items:
            if isinstance(item, Claim):
                self._apply_claim(item, record.time_s)
            else:
                self._apply_outcome(item, record)
        return items

    def verdict(self, claim):
        """Return the verdict on a claim, or None while the log does not decide it."""
        entry = self._entries.get(bytes.fromhex(claim.key))
        if entry is None:
            return None
        if not entry.certain:
            return ClaimVerdict.UNAVAILABLE
        if entry.claim_id == bytes.fromhex(claim.claim_id):
            granted = entry.state is OrderState.CLAIMED
            return ClaimVerdict.GRANTED if granted else None
        if entry.state is OrderState.RELEASED:
            return None
        if entry.body != bytes.fromhex(claim.body):
            return ClaimVerdict.CONFLICT
        ran = entry.state is OrderState.RAN
        return ClaimVerdict.RAN if ran else ClaimVerdict.TAKEN

    def holder(self, key):
        """Return (claim id, offset of the answer's record) of a key, or None."""
        entry = self._entries.get(bytes.fromhex(key))
        return None if entry is None else (entry.claim_id.hex(), entry.answer_offset)

    def _apply_claim(self, claim, time_s):
        key, claim_id = bytes.fromhex(claim.key), bytes.fromhex(claim.claim_id)
        if self._released_claims.get(claim_id):
            return
        entry = self._entries.get(key)
        if entry is not None and entry.state is not OrderState.RELEASED:
            return
        # A claim that was truncated unread may have come before this one.
        certain = self._gap_end_s is None or (time_s - self._gap_end_s >= self.window_s)
        entry = OrderEntry(bytes.fromhex(claim.body), claim_id, certain=certain)
        self._entries.put(key, entry, time_s)

    def _apply_outcome(self, item, record):
        claim_id = bytes.fromhex(item.claim_id)
        entry = self._entries.get(bytes.fromhex(item.key))
        claimed = (
            entry is not None
            and entry.claim_id == claim_id
            and entry.state is OrderState.CLAIMED
        )
        if isinstance(item, ClaimRelease):
            # The release may overtake its own claim, whose append was in doubt.
            self._released_claims.put(claim_id, True, record.time_s)
            if claimed:
                entry.state = OrderState.RELEASED
        elif claimed:
            entry.state = OrderState.RAN
            entry.answer_offset = record.offset


class AppendQueue:
    """Items of one partition that wait for their append.

    An item stays until the log shows it, because the reply of an append can be lost
    after the append took effect; appending an item again does no harm.

    Parameters
    ----------
    period_s : float
        Least time between two appends to one stream. With 32 streams, 0.1 s keeps
        the fleet at 320 appends per second.
    """

    def __init__(self, period_s=0.1, max_items=500):
        self.period_s = period_s
        self.max_items = max_items
        self._waiting = OrderedDict()
        self._next_append = 0.0

    def __len__(self):
        return len(self._waiting)

    def add(self, item):
        """Queue an item."""
        self._waiting[type(item), item.claim_id] = item

    def confirm(self, item):
        """Drop an item that the log has shown; return True if it was waiting."""
        return self._waiting.pop((type(item), item.claim_id), None) is not None

    def drop_claim(self, claim_id):
        """Drop a claim whose owner no longer waits."""
        self._waiting.pop((Claim, claim_id), None)

    def pending_answer(self, claim_id):
        """Return the answer of an order whose outcome waits for its append."""
        item = self._waiting.get((OrderResult, claim_id))
        return None if item is None else item.answer

    def next_batch(self, now):
        """Return the items to append now; empty if none or too early."""
        if not self._waiting or now < self._next_append:
            return []
        self._next_append = now + self.period_s
        items, size = [], 0
        for item in self._waiting.values():
            size += _size(item)
            if items and (size > MAX_BATCH_BYTES or len(items) == self.max_items):
                break
            items.append(item)
        return items

    def delay_append(self, now, delay_s):
        """Hold the next append back after a failed one."""
        self._next_append = now + delay_s
