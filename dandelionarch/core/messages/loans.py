"""Messages by which an ingress borrows a further attempt from another one."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LoanQuery:
    """Ask for one further attempt at a service's endpoints.

    `hedge` says that it is for a straggler, not for a request that has failed.
    """

    service: str
    hedge: bool = False


@dataclass(frozen=True, slots=True)
class LoanAnswer:
    """Reply to `LoanQuery`; what is granted is to be used at once."""

    granted: bool


MESSAGES = (LoanQuery, LoanAnswer)
