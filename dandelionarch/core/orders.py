"""Non-idempotent requests with an idempotency key run at most once.

A claim in the log decides which daemon may run an order under a caller's own key: the
first claim in log order wins, and only the daemon that made it dispatches the order,
once. The decision depends on no lease and no VM's clock, so a daemon that was paused
cannot run an order a second time.
"""

import base64
import hashlib
import json
from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

PARTITIONS = 32
DIGEST_BYTES = 16
DEFAULT_WINDOW_S = 3600.0
MAX_STORED_ANSWER_BYTES = 2048
# Names and values of all header fields that are stored with an answer.
MAX_STORED_HEADER_BYTES = 2048
WINDOW_SLICES = 8
# Well below the 256 KiB that the log accepts, because item sizes are estimates.
MAX_BATCH_BYTES = 128 << 10
# Era of a log that has never come back from an older copy of its records.
FIRST_ERA = 1
# Estimated size of an item without a stored answer.
ITEM_BASE_BYTES = 200


class OrderState(Enum):
    """State of the order under a key, according to the log."""

    CLAIMED = "claimed"
    RAN = "ran"
    RELEASED = "released"


class ClaimVerdict(Enum):
    """Decision on a claim."""

    GRANTED = "granted"
    TAKEN = "taken"
    RAN = "ran"
    CONFLICT = "conflict"
    EXPIRED = "expired"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """An endpoint's answer, kept for repeated requests.

    `body` is None if it was too long to store.
    """

    status: int
    headers: tuple
    body: bytes | None


@dataclass(frozen=True, slots=True)
class Claim:
    """A daemon's request to run the order under a key.

    `key` and `body` are hex digests. `claim_id` is unique to one attempt at one
    ingress, so a claim that is appended twice counts once.
    """

    key: str
    body: str
    claim_id: str
    vm_id: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class OrderResult:
    """Answer of an order that ran under a claim."""

    key: str
    claim_id: str
    answer: StoredAnswer


@dataclass(frozen=True, slots=True)
class ClaimRelease:
    """States that the order was not run and never will be under this claim."""

    key: str
    claim_id: str


@dataclass(frozen=True, slots=True)
class EraMark:
    """States that the log has come back from a copy, in this era, before this record.

    Claims that were granted before may be missing, so claims that follow within the
    window can't be granted.
    """

    era: int


@dataclass(slots=True)
class OrderEntry:
    """State of the order under one key.

    `certain` is False if an earlier claim may have been lost. The answer
    stays in the log, in the record at `answer_offset`: keeping answers in memory
    tripled the memory that each key takes.
    """

    body: bytes
    claim_id: bytes
    state: OrderState = OrderState.CLAIMED
    answer_offset: int = -1
    certain: bool = True


class ExpiringTable:
    """Mapping whose entries expire after a window, one slice of time at a time.

    Slices depend only on the times that are passed in, so all readers of a stream
    drop the same keys at the same record.
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

    def values(self):
        """Yield all values."""
        for table in self._slices.values():
            yield from table.values()

    def put(self, key, value, time_s):
        """Set the value of a key and the time from which its age counts."""
        for table in self._slices.values():
            table.pop(key, None)
        self._slices.setdefault(int(time_s // self._slice_s), {})[key] = value

    def expire(self, now_s):
        """Drop the slices that ended more than a window ago."""
        oldest = int(now_s // self._slice_s) - WINDOW_SLICES
        for number in [n for n in self._slices if n < oldest]:
            del self._slices[number]


def key_digest(customer, key):
    """Return the digest of a key, which differs between customers."""
    return _digest(customer.encode(), key.encode())


def body_digest(method, target, body):
    """Return the digest of an order's method, target and body."""
    return _digest(method.encode(), target.encode(), body)


def _digest(*parts):
    mac = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        # Without the length, ("a", "bc") and ("ab", "c") would have one digest.
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
    """Return the content of a log record that holds the items."""
    return json.dumps([_encode(item) for item in items]).encode()


def decode_items(data):
    """Yield the items of a record's content."""
    for kind, *values in json.loads(data):
        yield _DECODERS[kind](*values)


def _item_size(item):
    """Return the estimated size of an item in a record, in bytes."""
    if not isinstance(item, OrderResult):
        return ITEM_BASE_BYTES
    fields = sum(len(name) + len(value) for name, value in item.answer.headers)
    return ITEM_BASE_BYTES + 2 * fields + 2 * len(item.answer.body or b"")


def _item_key(item):
    """Return the key under which an item replaces an earlier one in a queue."""
    return type(item), item.era if isinstance(item, EraMark) else item.claim_id


def _encode(item):
    if isinstance(item, EraMark):
        return ["e", item.era]
    if isinstance(item, Claim):
        return ["c", item.key, item.body, item.claim_id, item.vm_id, item.incarnation]
    if isinstance(item, ClaimRelease):
        return ["x", item.key, item.claim_id]
    body = item.answer.body
    text = None if body is None else base64.b64encode(body).decode()
    return ["r", item.key, item.claim_id, item.answer.status, item.answer.headers, text]


def _decode_result(key, claim_id, status, headers, text):
    body = None if text is None else base64.b64decode(text)
    pairs = tuple((name, value) for name, value in headers)
    return OrderResult(key, claim_id, StoredAnswer(status, pairs, body))


_DECODERS = {"c": Claim, "x": ClaimRelease, "r": _decode_result, "e": EraMark}


class OrderFold:
    """State of all keys of one partition, within the window.

    It has no snapshot, because it is always rebuilt from the log.

    Parameters
    ----------
    partition : int
    window_s : float
        Time for which a key is remembered, in seconds of the log's record times. The
        log must retain records for longer.
    """

    def __init__(self, partition, window_s=DEFAULT_WINDOW_S):
        self.stream = stream_name(partition)
        self.window_s = window_s
        self._entries = ExpiringTable(window_s)
        self._released_claims = ExpiringTable(window_s)
        self._gap_end_s = None
        self._marked_era = FIRST_ERA

    def __len__(self):
        return len(self._entries)

    def on_history_lost(self, time_s):
        """Handle the loss of records that are older than `time_s`."""
        self._gap_end_s = time_s

    def is_marked(self, era):
        """Return True if the records so far tell that the log is in this era."""
        return era <= self._marked_era

    def apply(self, record):
        """Fold a record and return its items, or none if it can't be decoded."""
        self._entries.expire(record.time_s)
        self._released_claims.expire(record.time_s)
        try:
            items = list(decode_items(record.data))
        except (ValueError, KeyError, TypeError):
            return []
        for item in items:
            if isinstance(item, Claim):
                self._apply_claim(item, record.time_s)
            elif isinstance(item, EraMark):
                self._apply_mark(item, record.time_s)
            else:
                self._apply_outcome(item, record)
        return items

    def verdict(self, claim):
        """Return the verdict on a claim, or None if the log has not decided it."""
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
        # An earlier claim on this key may have been truncated unread.
        certain = self._gap_end_s is None or (time_s - self._gap_end_s >= self.window_s)
        entry = OrderEntry(bytes.fromhex(claim.body), claim_id, certain=certain)
        self._entries.put(key, entry, time_s)

    def _apply_mark(self, mark, time_s):
        if mark.era <= self._marked_era:
            return
        self._marked_era = mark.era
        self.on_history_lost(time_s)
        for entry in self._entries.values():
            # The claim may have been appended after the return, under a key whose
            # first claim was lost.
            if entry.state is OrderState.CLAIMED:
                entry.certain = False

    def _apply_outcome(self, item, record):
        claim_id = bytes.fromhex(item.claim_id)
        entry = self._entries.get(bytes.fromhex(item.key))
        claimed = (
            entry is not None
            and entry.claim_id == claim_id
            and entry.state is OrderState.CLAIMED
        )
        if isinstance(item, ClaimRelease):
            # The release can precede its own claim if the claim's append was in doubt.
            self._released_claims.put(claim_id, True, record.time_s)
            if claimed:
                entry.state = OrderState.RELEASED
        elif claimed:
            entry.state = OrderState.RAN
            entry.answer_offset = record.offset


class AppendQueue:
    """Items of one partition that have yet to be appended to the log.

    An item stays queued until it is read back from the log, because the reply to an
    append can be lost after the append took effect. Appending an item twice has no
    further effect.

    Parameters
    ----------
    period_s : float
        Minimum time between two appends to one stream. With 32 streams, 0.1 s limits
        the fleet to 320 appends per second.
    max_items : int
        Maximum number of items per append.
    """

    def __init__(self, period_s=0.1, max_items=500):
        self.period_s = period_s
        self.max_items = max_items
        self._waiting = OrderedDict()
        self._next_append = 0.0

    def __len__(self):
        return len(self._waiting)

    def add(self, item):
        """Queue an item; replaces one of the same type and claim or era."""
        self._waiting[_item_key(item)] = item

    def confirm(self, item):
        """Remove an item that was read back; return True if it was queued."""
        return self._waiting.pop(_item_key(item), None) is not None

    def drop_claim(self, claim_id):
        """Remove a claim whose caller no longer waits for the verdict."""
        self._waiting.pop((Claim, claim_id), None)

    def pending_answer(self, claim_id):
        """Return the answer of a result that is still queued, or None."""
        item = self._waiting.get((OrderResult, claim_id))
        return None if item is None else item.answer

    def next_batch(self, now):
        """Return the items to append now, or none before the period has passed."""
        if not self._waiting or now < self._next_append:
            return []
        self._next_append = now + self.period_s
        items, size = [], 0
        for item in self._waiting.values():
            size += _item_size(item)
            if items and (size > MAX_BATCH_BYTES or len(items) == self.max_items):
                break
            items.append(item)
        return items

    def delay_append(self, now, delay_s):
        """Delay the next append, after a failed one."""
        self._next_append = now + delay_s
