"""Protocol between callers and an ingress: header fields and refusals."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from sanic.response import json

from dandelionarch.core.outcome import Outcome, Reason

STATUS_OF_OUTCOME = {
    Outcome.NOT_RUN: 503,
    Outcome.UNKNOWN: 502,
}
STATUS_OF_REFUSAL = {
    (Outcome.UNKNOWN, Reason.DEADLINE): 504,
    (Outcome.NOT_RUN, Reason.KEY_REUSED): 422,
    (Outcome.UNKNOWN, Reason.ORDER_IN_PROGRESS): 409,
    (Outcome.NOT_RUN, Reason.OVER_LIMIT): 429,
    (Outcome.UNKNOWN, Reason.OVER_LIMIT): 429,
    (Outcome.UNKNOWN, Reason.SHED): 503,
}


@dataclass(frozen=True, slots=True)
class Customer:
    """Who sends a request, and the priority of the plan that applies."""

    name: str
    priority: int


class CallerProtocol(ABC):
    """Base class for the header fields and responses that callers use."""

    def add_routes(self, app):
        """Add routes that the daemon itself serves to callers."""

    @abstractmethod
    def request_id(self, request):
        """Return the id that identifies a request in the logs."""

    @abstractmethod
    def customer(self, request):
        """Return the `Customer`, or raise `UnknownCustomerError`."""

    def host(self, request):
        """Return the host of a request in lower case, without the port."""
        return request.headers.get("host", "").rpartition("@")[2].split(":")[0].lower()

    @abstractmethod
    def budget_ms(self, request):
        """Return the caller's time budget in ms, or None if it states none.

        Raises
        ------
        BadRequestError
            If the field is malformed.
        """

    def order_key(self, request):
        """Return the idempotency key of an order, which runs at most once, or None."""
        return None

    @abstractmethod
    def forwarded_fields(self, request):
        """Return the `Header` fields that are forwarded to the endpoint."""

    def answer_fields(self, request_id):
        """Return (name, value) pairs that the daemon adds to an answer."""
        return ()

    @abstractmethod
    def problem(self, status, title, request_id, outcome, retry_after_s=None):
        """Return the response that ends a request without an answer."""

    def refusal(self, request_id, refuse):
        """Return the response for a `Refuse` and its status."""
        status = STATUS_OF_OUTCOME[refuse.outcome]
        status = STATUS_OF_REFUSAL.get((refuse.outcome, refuse.reason), status)
        title = refuse.reason.value
        return self.problem(
            status, title, request_id, refuse.outcome, refuse.retry_after_s
        ), status


def problem_json(status, title, request_id, outcome, headers):
    """Return a response of type application/problem+json."""
    body = {
        "title": title,
        "status": status,
        "outcome": outcome.value,
        "request_id": request_id,
    }
    return json(
        body, status=status, headers=headers, content_type="application/problem+json"
    )
