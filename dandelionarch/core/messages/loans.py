"""Messages by which an ingress borrows a further attempt from another one."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LoanQuery:
    """Ask for one further attempt at a service's endpoints."""

    service: str


@dataclass(frozen=True, slots=True)
class LoanAnswer:
    """Reply to `LoanQuery`; what is granted is to be used at once."""

    granted: bool


MESSAGES = (LoanQuery, LoanAnswer)
