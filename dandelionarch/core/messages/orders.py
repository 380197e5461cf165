"""Messages between an ingress and the home daemon of an order's key."""

from dataclasses import dataclass

from dandelionarch.core.messages.request import Header


@dataclass(frozen=True, slots=True)
class ClaimQuery:
    """Ask the home daemon for the right to run an order.

    `sequence` is the number of a key that the fleet has issued, or 0 for a key of the
    caller's own. The home daemon may take up to `wait_ms` to reach a verdict.
    """

    key: str
    body: str
    claim_id: str
    vm_id: str
    incarnation: int
    sequence: int
    wait_ms: int


@dataclass(frozen=True, slots=True)
class ClaimReply:
    """Reply to `ClaimQuery`; the answer's fields are set if the verdict is `ran`."""

    verdict: str
    status: int
    headers: tuple[Header, ...]
    body: bytes
    has_body: bool


@dataclass(frozen=True, slots=True)
class OrderOutcome:
    """Outcome of a granted or abandoned claim."""

    key: str
    claim_id: str
    sequence: int
    ran: bool
    status: int
    headers: tuple[Header, ...]
    body: bytes
    has_body: bool


MESSAGES = (ClaimQuery, ClaimReply, OrderOutcome)
