"""Outcomes of a request for its caller, and reasons for refusals and failures."""

from enum import Enum


class Outcome(Enum):
    """Outcome of a request as its caller sees it.

    `NOT_RUN` guarantees that no endpoint ran the request; with `UNKNOWN` one may have.
    """

    ANSWER = "answer"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Reason(Enum):
    """Reason for which a request was refused or failed."""

    NO_ENDPOINT = "no_endpoint"
    LINK_DOWN = "link_down"
    LINK_LOST = "link_lost"
    BUSY = "busy"
    QUEUE_FULL = "queue_full"
    TOO_LATE = "too_late"
    DRAINING = "draining"
    EJECTED = "ejected"
    UNKNOWN_ENDPOINT = "unknown_endpoint"
    WORKER_REFUSED = "worker_refused"
    WORKER_UNREACHABLE = "worker_unreachable"
    WORKER_FAILED = "worker_failed"
    WORKER_LINK = "worker_link"
    WORKER_SILENT = "worker_silent"
    ENDPOINT_ERROR = "endpoint_error"
    TRUNCATED = "truncated"
    CALLER_BODY = "caller_body"
    IN_FLIGHT_LIMIT = "in_flight_limit"
    INTERNAL_ERROR = "internal_error"
    OTHER = "other"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    OVER_LIMIT = "over_limit"
    SHED = "shed"
    STOPPING = "stopping"
    NOT_READY = "not_ready"
    RETRY_BUDGET = "retry_budget"
    ORDER_IN_PROGRESS = "order_in_progress"
    ORDER_LOST = "order_lost"
    ORDER_ANSWER_TOO_LONG = "order_answer_too_long"
    QUARANTINED = "quarantined"
    KEY_REUSED = "key_reused"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
