"""How callers state their requests, and in which form they are told the outcome."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from sanic.response import json

from dandelionarch.core.outcome import Outcome, Reason

STATUS = {
    Outcome.NOT_RUN: 503,
    Outcome.UNKNOWN: 502,
}
REASON_STATUS = {
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
    """Header fields by which callers and an ingress understand each other."""

    def add_routes(self, app):
        """Add what callers may ask the daemon itself."""

    @abstractmethod
    def request_id(self, request):
        """Return the id by which logs name a request."""

    @abstractmethod
    def customer(self, request):
        """Return the `Customer`, or raise `UnknownCustomerError`."""

    def host(self, request):
        """Return the host that a request names, in lower case and without port."""
        return request.headers.get("host", "").rpartition("@")[2].split(":")[0].lower()

    @abstractmethod
    def budget_ms(self, request):
        """Return the time in ms that the caller waits, or None if it doesn't say.

        Raises
        ------
        BadRequestError
            If the field is malformed.
        """

    def order_key(self, request):
        """Return the key under which an order may run once, or None."""
        return None

    @abstractmethod
    def passed_fields(self, request):
        """Return the `Header` fields that go on to the endpoint."""

    def answer_fields(self, request_id):
        """Return (name, value) pairs that the daemon adds to an answer."""
        return ()

    @abstractmethod
    def problem(self, status, title, request_id, outcome, retry_after_s=None):
        """Return the response that ends a request without an answer."""

    def refusal(self, request_id, refuse):
        """Return the response for a `Refuse` and its status."""
        status = STATUS[refuse.outcome]
        status = REASON_STATUS.get((refuse.outcome, refuse.reason), status)
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
