"""HTTP side of the ingress: callers' requests in, answers and refusals out."""

import asyncio
import hashlib
import logging
import math
import uuid
from dataclasses import dataclass

from sanic import Sanic
from sanic.exceptions import SanicException
from sanic.response import HTTPResponse, json

from dandelionarch.core.ingress import Refuse, Work
from dandelionarch.core.issued_keys import MAX_KEYS_PER_CALL
from dandelionarch.core.messages.request import Header
from dandelionarch.core.outcome import Outcome, Reason
from dandelionarch.daemon.agent import HOP_HEADERS
from dandelionarch.logs import event

log = logging.getLogger(__name__)

STATUS = {
    Outcome.NOT_RUN: 503,
    Outcome.UNKNOWN: 502,
}
REASON_STATUS = {
    Reason.DEADLINE: 504,
    Reason.OVER_LIMIT: 429,
    Reason.KEY_REUSED: 422,
    Reason.ORDER_IN_PROGRESS: 409,
}
METHODS = ["GET", "POST", "PUT", "DELETE", "PATCH", "HEAD", "OPTIONS"]


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A caller's request, its body whole."""

    method: str
    target: str
    headers: tuple
    body: bytes


def problem(status, title, request_id, outcome=Outcome.NOT_RUN, retry_after_s=None):
    """Return a refusal as application/problem+json."""
    headers = {
        "Dandelion-Outcome": outcome.value,
        "Dandelion-Request-Id": request_id,
    }
    if retry_after_s is not None:
        headers["Retry-After"] = str(math.ceil(retry_after_s))
    body = {
        "title": title,
        "status": status,
        "outcome": outcome.value,
        "request_id": request_id,
    }
    return json(
        body, status=status, headers=headers, content_type="application/problem+json"
    )


class IngressHttp:
    """The HTTP application that callers reach.

    Parameters
    ----------
    ingress : Ingress
        Runs the requests.
    orders : OrderGate
        Lets an order with an idempotency key pass at most once.
    customer_limits : Limits
        Admits requests within the customers' limits and sheds load.
    state : object
        Has `keys`, `routes` and `lists` of the accepted configuration, or None.
    limits : LimitsSection
        Size limits.
    """

    def __init__(self, ingress, orders, customer_limits, state, limits):
        self._ingress = ingress
        self._orders = orders
        self._customer_limits = customer_limits
        self._state = state
        self._limits = limits
        self.in_flight = 0
        self.stopping = False
        self.app = Sanic(f"ingress-{uuid.uuid4().hex[:8]}", configure_logging=False)
        self.app.config.REQUEST_MAX_SIZE = limits.max_request_body_bytes
        # The protocol class can be specialised for one application only.
        self.app.config.TOUCHUP = False
        self.app.config.REQUEST_TIMEOUT = 10
        self.app.config.RESPONSE_TIMEOUT = 3600
        self.app.add_route(
            self._issue_keys, "/dandelion/keys", methods=["POST"], name="keys"
        )
        self.app.add_route(self._handle, "/", methods=METHODS, name="root")
        self.app.add_route(
            self._handle, "/<path:path>", methods=METHODS, name="any", unquote=False
        )
        self.app.exception(SanicException)(self._on_error)

    async def _on_error(self, request, exc):
        status = getattr(exc, "status_code", 500)
        request_id = uuid.uuid4().hex
        event(
            log,
            "bad_request",
            logging.WARNING,
            request=request_id,
            status=status,
            error=type(exc).__name__,
        )
        return problem(status, str(exc), request_id)

    async def _handle(self, request, path=""):
        self.in_flight += 1
        try:
            return await self._serve(request)
        finally:
            self.in_flight -= 1

    async def _serve(self, request):
        request_id = uuid.uuid4().hex
        started = asyncio.get_running_loop().time()
        if self.stopping:
            return problem(503, Reason.STOPPING.value, request_id, retry_after_s=1)
        if self._state.lists is None:
            return problem(503, Reason.NOT_READY.value, request_id, retry_after_s=2)
        customer = self._authenticate(request)
        if customer is None:
            event(log, "unauthorized", logging.WARNING, request=request_id)
            return problem(401, "unknown customer", request_id)
        route = self._state.routes.find(request.method, request.path)
        if route is None:
            return problem(404, "unknown route", request_id)
        budget_s = self._budget(request, route)
        if budget_s is None:
            return problem(400, "Dandelion-Time-Budget is not a number", request_id)
        plan = self._state.lists.customers[customer].plan
        work = Work(
            request_id,
            customer,
            route.service,
            route.name,
            route.kind,
            route.idempotent,
            self._state.lists.plans[plan].priority,
        )
        key, reason, retry_s = await self._customer_limits.admit(work)
        if reason is not None:
            retry_s = self._ingress.retry_after_s(retry_s)
            refuse = Refuse(Outcome.NOT_RUN, reason, retry_s)
            return self._refusal(work, refuse, started)
        req = _caller_request(request)
        try:
            result = await self._run(request, work, req, started + budget_s)
            if isinstance(result, Refuse):
                return self._refusal(work, result, started)
            return await self._deliver(request, work, result, started)
        finally:
            self._customer_limits.done(key)

    async def _run(self, request, work, req, deadline):
        async def execute():
            return await self._ingress.run(work, req, deadline)

        key = request.headers.get("idempotency-key")
        if key is None or work.idempotent:
            return await execute()
        return await self._orders.run(work, req, key, deadline, execute)

    async def _issue_keys(self, request):
        """Hand out idempotency keys that bind orders to this daemon."""
        request_id = uuid.uuid4().hex
        if self._state.lists is None:
            return problem(503, Reason.NOT_READY.value, request_id, retry_after_s=2)
        customer = self._authenticate(request)
        if customer is None:
            return problem(401, "unknown customer", request_id)
        count = request.args.get("count", "1")
        if not count.isdecimal() or not 1 <= int(count) <= MAX_KEYS_PER_CALL:
            title = f"count is not a number from 1 to {MAX_KEYS_PER_CALL}"
            return problem(400, title, request_id)
        return json({"keys": self._orders.issue(int(count), customer)})

    def _authenticate(self, request):
        scheme, _, key = request.headers.get("authorization", "").partition(" ")
        if scheme.lower() != "bearer" or not key:
            return None
        digest = hashlib.sha256(key.strip().encode()).hexdigest()
        return self._state.keys.find(digest)

    def _budget(self, request, route):
        """Return the time budget in seconds, or None if the header is invalid."""
        given = request.headers.get("dandelion-time-budget")
        if given is None:
            return route.budget_ms / 1000
        if not given.isdecimal() or int(given) == 0:
            return None
        return min(int(given), route.budget_ms) / 1000

    def _refusal(self, work, refuse, started):
        status = STATUS[refuse.outcome]
        status = REASON_STATUS.get(refuse.reason, status)
        self._log_outcome(work, refuse.outcome, status, started, refuse.reason.value)
        return problem(
            status,
            refuse.reason.value,
            work.request_id,
            refuse.outcome,
            refuse.retry_after_s,
        )

    async def _deliver(self, request, work, answer, started):
        headers = {h.name: h.value for h in answer.headers}
        content_type = headers.pop("Content-Type", None)
        headers["Dandelion-Outcome"] = Outcome.ANSWER.value
        headers["Dandelion-Request-Id"] = work.request_id
        if answer.whole:
            self._log_outcome(work, Outcome.ANSWER, answer.status, started)
            return HTTPResponse(
                answer.body,
                status=answer.status,
                headers=headers,
                content_type=content_type,
            )
        try:
            return await self._stream(request, work, answer, headers, content_type)
        finally:
            self._ingress.finish(answer)

    async def _stream(self, request, work, answer, headers, content_type):
        resp = await request.respond(
            status=answer.status, headers=headers, content_type=content_type
        )
        try:
            await resp.send(answer.body)
            async for data in answer.chunks():
                await resp.send(data)
        except ConnectionError:
            event(log, "answer_aborted", logging.WARNING, request=work.request_id)
            request.transport.abort()
            return None
        await resp.eof()
        return None

    def _log_outcome(self, work, outcome, status, started, reason="-"):
        elapsed = asyncio.get_running_loop().time() - started
        fields = {
            "request": work.request_id,
            "customer": work.customer,
            "outcome": outcome.value,
            "status": status,
            "reason": reason,
            "ms": round(elapsed * 1000, 2),
        }
        event(log, "outcome", **fields)
        self._ingress.remember(work.request_id, "outcome", fields)


def _caller_request(request):
    headers = tuple(
        Header(name, value)
        for name, value in request.headers.items()
        if name.lower() not in HOP_HEADERS and not name.lower().startswith("dandelion-")
    )
    target = request.path
    if request.query_string:
        target = f"{target}?{request.query_string}"
    return CallerRequest(request.method, target, headers, request.body or b"")
