"""What an agent replies to an attempt, as the ingress reads it."""

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
    """Return True if another attempt after this message reaches a second endpoint."""
    if isinstance(msg, msgs.Refusal):
        return reason_of(msg) is Reason.WORKER_REFUSED
    return isinstance(msg, msgs.Failure | LinkLost)


def reason_of(msg):
    """Return the reason in a message, also if a newer daemon has sent it."""
    try:
        return Reason(msg.reason)
    except ValueError:
        return Reason.OTHER
