"""Messages by which an ingress borrows retry budget from another ingress."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LoanQuery:
    """Ask for the budget of one more attempt at a service's endpoints.

    `hedge` is True for a hedged attempt, False for a retry after a failure.
    """

    service: str
    hedge: bool = False


@dataclass(frozen=True, slots=True)
class LoanAnswer:
    """Reply to `LoanQuery`; a granted attempt must start at once."""

    granted: bool


MESSAGES = (LoanQuery, LoanAnswer)
