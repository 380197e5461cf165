"""Messages between an ingress and the home daemon of a customer's limit."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TokenRequest:
    """An ingress asks the home for tokens and settles what it has used.

    `period` is 0, or the start of the crest that the tokens are for. `spent` counts
    requests admitted on the own share since the last message, `returned` granted
    tokens that were not used, `hold` the concurrency that the ingress needs. No
    reply is needed if `wanted` is 0.
    """

    customer: str
    service: str
    period: int
    wanted: int
    spent: int
    returned: int
    hold: int


@dataclass(frozen=True, slots=True)
class TokenGrant:
    """The home's grant.

    `divisor` is the part of the rate that an ingress may admit on its own;
    `retry_ms` tells when further tokens are likely, if fewer than wanted were given.
    """

    customer: str
    service: str
    period: int
    tokens: int
    hold: int
    divisor: int
    retry_ms: int


MESSAGES = (TokenRequest, TokenGrant)
