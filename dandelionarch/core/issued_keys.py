"""Idempotency keys that a daemon issues, and the orders under them.

Only the incarnation that issued a key grants its order, from a table in memory. The
log is not involved, so these orders still run while the log is unavailable. After
that incarnation has ended, no daemon grants the key.
"""

import hashlib
import hmac
from collections import deque
from dataclasses import dataclass

from dandelionarch.core.orders import (
    DEFAULT_WINDOW_S,
    Claim,
    ClaimVerdict,
    OrderResult,
    OrderState,
    StoredAnswer,
)
from dandelionarch.ids import Incarnation, VmId

MAC_HEX_CHARS = 24
MAX_KEYS_PER_CALL = 1000
ISSUE_MARK_PERIOD_S = 30.0


@dataclass(frozen=True, slots=True)
class IssuedKey:
    """Decoded form of an issued key."""

    vm_id: VmId
    incarnation: Incarnation
    sequence: int


@dataclass(slots=True)
class IssuedEntry:
    """State of the order under one issued key."""

    claim: Claim
    state: OrderState = OrderState.CLAIMED
    answer: StoredAnswer | None = None


class KeyIssuer:
    """Encodes issued keys and authenticates them with the fleet's shared key."""

    def __init__(self, shared_key):
        self._key = hashlib.sha256(b"issued-keys" + shared_key).digest()

    def encode(self, key, customer):
        """Return the text of a key, which is valid for this customer only."""
        head = f"{key.vm_id}.{key.incarnation}.{key.sequence}"
        return f"{head}.{self._mac(head, customer)}"

    def parse(self, text, customer):
        """Return the `IssuedKey` in a text, or None if it is a caller's own key."""
        head, _, mac = text.rpartition(".")
        if not hmac.compare_digest(
            mac.encode("utf-8", "replace"), self._mac(head, customer).encode()
        ):
            return None
        vm_id, incarnation, sequence = head.rsplit(".", 2)
        return IssuedKey(VmId(vm_id), Incarnation(int(incarnation)), int(sequence))

    def _mac(self, head, customer):
        text = f"{head}\0{customer}".encode("utf-8", "replace")
        return hmac.digest(self._key, text, "sha256").hex()[:MAC_HEX_CHARS]


class IssuedOrders:
    """The orders under keys that this incarnation has issued.

    A key is valid for the window after its issue and is refused from then on, so its
    order cannot run again after its entry has been dropped.

    Parameters
    ----------
    window_s : float
        Validity of a key in seconds.
    """

    def __init__(self, window_s=DEFAULT_WINDOW_S):
        self.window_s = window_s
        self._next_sequence = 1
        self._expired_below = 1
        # (time, next sequence number) pairs; entries expire by them.
        self._issue_marks = deque()
        self._entries = {}

    def __len__(self):
        return len(self._entries)

    def issue(self, count, now):
        """Return the sequence numbers of `count` new keys."""
        self._expire(now)
        if (
            not self._issue_marks
            or now - self._issue_marks[-1][0] >= ISSUE_MARK_PERIOD_S
        ):
            self._issue_marks.append((now, self._next_sequence))
        first = self._next_sequence
        self._next_sequence += count
        return range(first, self._next_sequence)

    def claim(self, claim, sequence, now):
        """Grant the order of a key once; return (verdict, answer)."""
        self._expire(now)
        if not self._expired_below <= sequence < self._next_sequence:
            return ClaimVerdict.EXPIRED, None
        entry = self._entries.get(sequence)
        if entry is None or entry.state is OrderState.RELEASED:
            self._entries[sequence] = IssuedEntry(claim)
            return ClaimVerdict.GRANTED, None
        if entry.claim.body != claim.body:
            return ClaimVerdict.CONFLICT, None
        if entry.state is OrderState.RAN:
            return ClaimVerdict.RAN, entry.answer
        if entry.claim.claim_id == claim.claim_id:
            return ClaimVerdict.GRANTED, None
        return ClaimVerdict.TAKEN, None

    def record_outcome(self, item, sequence):
        """Store an `OrderResult` or `ClaimRelease` of a granted order."""
        entry = self._entries.get(sequence)
        if entry is None or entry.claim.claim_id != item.claim_id:
            return
        if entry.state is not OrderState.CLAIMED:
            return
        if isinstance(item, OrderResult):
            entry.state, entry.answer = OrderState.RAN, item.answer
        else:
            entry.state = OrderState.RELEASED

    def _expire(self, now):
        # Keys issued under the first mark were issued before the second one.
        expired_below = self._expired_below
        while (
            len(self._issue_marks) > 1
            and now - self._issue_marks[1][0] >= self.window_s
        ):
            self._issue_marks.popleft()
            expired_below = self._issue_marks[0][1]
        if expired_below != self._expired_below:
            self._expired_below = expired_below
            self._entries = {
                sequence: entry
                for sequence, entry in self._entries.items()
                if sequence >= expired_below
            }
