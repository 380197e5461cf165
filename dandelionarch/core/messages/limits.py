"""Messages between an ingress and the home daemon of a customer's rate limit."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TokenRequest:
    """Ask the home daemon for tokens and report what the ingress has used.

    `period` is the start of the crest (a scheduled peak) that the tokens are for, or
    0 outside a crest. `spent` counts the requests that the ingress has admitted from
    its own share since the last message, `returned` the granted tokens that it did not
    use. `hold` is the concurrency that it needs. If `wanted` is 0, no reply is needed.
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
    """Reply to `TokenRequest`.

    An ingress may admit the rate divided by `divisor` without asking. If fewer tokens
    than wanted were granted, `retry_ms` is the delay after which more are likely to
    be available.
    """

    customer: str
    service: str
    period: int
    tokens: int
    hold: int
    divisor: int
    retry_ms: int


MESSAGES = (TokenRequest, TokenGrant)
