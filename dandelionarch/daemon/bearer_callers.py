"""The product's own protocol for callers, which authenticate with a bearer key."""

import hashlib
import math
import uuid

from sanic.response import json

from dandelionarch.core.issued_keys import MAX_KEYS_PER_CALL
from dandelionarch.core.outcome import Outcome, Reason
from dandelionarch.daemon.callers import CallerProtocol, Customer, problem_json
from dandelionarch.daemon.headers import end_to_end
from dandelionarch.errors import BadRequestError, UnknownCustomerError


class DandelionCallers(CallerProtocol):
    """Caller protocol with bearer keys and `Dandelion-` header fields.

    Parameters
    ----------
    state : ActiveConfig
        Provides the accepted lists.
    orders : OrderDispatcher
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
        budget = request.headers.get("dandelion-time-budget")
        return None if budget is None else parse_ms(budget, "Dandelion-Time-Budget")

    def order_key(self, request):
        return request.headers.get("idempotency-key")

    def forwarded_fields(self, request):
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
        """Issue idempotency keys whose orders are claimed at this daemon."""
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
        return json({"keys": self._orders.issue_keys(int(count), customer.name)})


def parse_ms(text, field):
    """Return a positive number of milliseconds, or raise `BadRequestError`."""
    if not (text.isascii() and text.isdecimal() and len(text) <= 10 and int(text)):
        raise BadRequestError(f"invalid header {field!r}")
    return int(text)
