"""Classification of an agent's replies to an attempt."""

from dandelionarch.core.messages import request as msgs
from dandelionarch.core.outcome import Reason
from dandelionarch.daemon.attempt import LinkLost

REPLIES = (
    msgs.ResponseHead,
    msgs.ResponseChunk,
    msgs.Refusal,
    msgs.Failure,
    msgs.Straggling,
)


def draws_on_budget(msg):
    """Return True if the attempt has reached an endpoint, or may have.

    A further attempt then reaches a second endpoint and counts in the retry budget.
    """
    if isinstance(msg, msgs.Refusal):
        return reason_of(msg) is Reason.WORKER_REFUSED
    return isinstance(msg, msgs.Failure | LinkLost)


def ends_run(msg):
    """Return True if the agent needs no `Cancel` after a message."""
    if isinstance(msg, msgs.ResponseHead):
        return msg.last
    return isinstance(msg, msgs.Refusal | msgs.Failure | LinkLost)


def is_quarantined(msg):
    """Return True if no agent would run the request."""
    return isinstance(msg, msgs.Refusal) and reason_of(msg) is Reason.QUARANTINED


def reason_of(msg):
    """Return the `Reason` of a message; `OTHER` if only a newer daemon knows it."""
    try:
        return Reason(msg.reason)
    except ValueError:
        return Reason.OTHER
