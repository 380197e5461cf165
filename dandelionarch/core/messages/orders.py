"""Messages between an ingress and the home of an order."""

from dataclasses import dataclass

from dandelionarch.core.messages.request import Header


@dataclass(frozen=True, slots=True)
class ClaimQuery:
    """Ask the home for the right to run an order.

    `sequence` is that of an issued key, or 0 for a caller's own key. The home may
    wait up to `wait_ms` for a verdict.
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
    """The home's verdict; the answer's fields count where it is `ran`."""

    verdict: str
    status: int
    headers: tuple[Header, ...]
    body: bytes
    has_body: bool


@dataclass(frozen=True, slots=True)
class OrderOutcome:
    """How a granted or abandoned claim ended."""

    key: str
    claim_id: str
    sequence: int
    ran: bool
    status: int
    headers: tuple[Header, ...]
    body: bytes
    has_body: bool


MESSAGES = (ClaimQuery, ClaimReply, OrderOutcome)
