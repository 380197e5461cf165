"""How callers state their requests, and in which form they are told the outcome."""

import hashlib
import math
import uuid
from abc import ABC, abstractmethod
from dataclasses import dataclass

from sanic.response import json

from dandelionarch.core.issued_keys import MAX_KEYS_PER_CALL
from dandelionarch.core.outcome import Outcome, Reason
from dandelionarch.daemon.headers import end_to_end
from dandelionarch.errors import BadRequestError, UnknownCustomerError

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


class DandelionCallers(CallerProtocol):
    """The product's own protocol for callers.

    Parameters
    ----------
    state : ActiveConfig
        The accepted lists.
    orders : OrderGate
        Issues keys.
    """

    def __init__(self, state, orders):
        self._state = state
        self._orders = orders

    def add_routes(self, app):
        app.add_route(
            self._issue_keys, "/dandelion/keys", methods=["POST"], name="keys"
        )

    def request_id(self, request):
        return uuid.uuid4().hex

    def customer(self, request):
        scheme, _, key = request.headers.get("authorization", "").partition(" ")
        name = None
        if scheme.lower() == "bearer" and key:
            digest = hashlib.sha256(key.strip().encode(errors="replace")).hexdigest()
            name = self._state.keys.find(digest)
        if name is None:
            raise UnknownCustomerError("unknown customer")
        plan = self._state.lists.customers[name].plan
        return Customer(name, self._state.lists.plans[plan].priority)

    def budget_ms(self, request):
        given = request.headers.get("dandelion-time-budget")
        return None if given is None else parse_ms(given, "Dandelion-Time-Budget")

    def order_key(self, request):
        return request.headers.get("idempotency-key")

    def passed_fields(self, request):
        return end_to_end(request.headers.items(), drop={"content-length"})

    def answer_fields(self, request_id):
        return (
            ("Dandelion-Outcome", Outcome.ANSWER.value),
            ("Dandelion-Request-Id", request_id),
        )

    def problem(self, status, title, request_id, outcome, retry_after_s=None):
        headers = {
            "Dandelion-Outcome": outcome.value,
            "Dandelion-Request-Id": request_id,
        }
        if retry_after_s is not None:
            headers["Retry-After"] = str(math.ceil(retry_after_s))
        return problem_json(status, title, request_id, outcome, headers)

    async def _issue_keys(self, request):
        """Hand out idempotency keys that bind orders to this daemon."""
        request_id = self.request_id(request)
        outcome = Outcome.NOT_RUN
        if not self._state.ready:
            return self.problem(503, Reason.NOT_READY.value, request_id, outcome, 2)
        try:
            customer = self.customer(request)
        except UnknownCustomerError as exc:
            return self.problem(401, str(exc), request_id, outcome)
        count = request.args.get("count", "1")
        if not count.isdecimal() or not 1 <= int(count) <= MAX_KEYS_PER_CALL:
            title = f"count is not a number from 1 to {MAX_KEYS_PER_CALL}"
            return self.problem(400, title, request_id, outcome)
        return json({"keys": self._orders.issue(int(count), customer.name)})


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


def parse_ms(text, field):
    """Return a positive number of milliseconds, or raise `BadRequestError`."""
    if not (text.isascii() and text.isdecimal() and len(text) <= 10 and int(text)):
        raise BadRequestError(f"invalid header {field!r}")
    return int(text)
