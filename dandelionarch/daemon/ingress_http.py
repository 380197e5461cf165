"""HTTP side of the ingress: callers' requests in, answers and refusals out."""

import asyncio
import contextlib
import hashlib
import logging
import random
import uuid

from sanic.compat import Header
from sanic.exceptions import PayloadTooLarge, SanicException
from sanic.response import HTTPResponse, json

from dandelionarch.core.ingress import (
    RETRY_AFTER_MIN_S,
    RETRY_AFTER_SPREAD_S,
    Refuse,
    Work,
)
from dandelionarch.core.issued_keys import MAX_KEYS_PER_CALL
from dandelionarch.core.outcome import Outcome, Reason
from dandelionarch.daemon.attempt import (
    REPLAY_LIMIT_BYTES,
    BodyRest,
    CallerRequest,
)
from dandelionarch.daemon.caller_protocol import IngressApp, problem
from dandelionarch.daemon.headers import end_to_end, from_wire, invalid_field
from dandelionarch.errors import (
    BodyTooLargeError,
    BrokenAnswerError,
    CallerBodyError,
)
from dandelionarch.logs import event
from dandelionarch.metrics import Metrics

log = logging.getLogger(__name__)

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
SAFE_METHODS = ("GET", "HEAD", "OPTIONS")
METHODS = ["GET", "POST", "PUT", "DELETE", "PATCH", "HEAD", "OPTIONS"]
HEADER_TIMEOUT_S = 10
LINGER_S = 1.0
LINGER_BYTES = 16 << 20
STOP_POLL_S = 0.02


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
    metrics : Metrics
    """

    def __init__(self, ingress, orders, customer_limits, state, limits, metrics=None):
        self._ingress = ingress
        self._orders = orders
        self._customer_limits = customer_limits
        self._state = state
        self._limits = limits
        self.metrics = metrics or Metrics()
        self._rng = random.Random()
        self.in_flight = 0
        self.stopping = False
        self.app = IngressApp(
            f"ingress-{uuid.uuid4().hex[:8]}", configure_logging=False
        )
        self.app.ctx.max_connections = limits.max_connections
        self.app.config.REQUEST_MAX_SIZE = limits.max_request_body_bytes
        # The protocol class can be specialised for one application only.
        self.app.config.TOUCHUP = False
        self.app.config.REQUEST_TIMEOUT = HEADER_TIMEOUT_S
        self.app.config.RESPONSE_TIMEOUT = 3600
        self.app.add_route(
            self._issue_keys, "/dandelion/keys", methods=["POST"], name="keys"
        )
        options = {"methods": METHODS}
        self.app.add_route(self._handle, "/", name="root", **options)
        self.app.add_route(
            self._handle, "/<path:path>", name="any", unquote=False, **options
        )
        self.app.exception(Exception)(self._on_error)

    def refuse_new_work(self):
        """Refuse all requests from now on and end connections after their reply."""
        self.stopping = True
        self.app.config.KEEP_ALIVE = False

    async def close_idle(self, server, deadline):
        """Close callers' connections once their last response has been sent."""
        loop = asyncio.get_running_loop()
        while server.connections and loop.time() < deadline:
            for conn in list(server.connections):
                conn.close_if_idle()
            await asyncio.sleep(STOP_POLL_S)

    async def _on_error(self, request, exc):
        request_id = uuid.uuid4().hex
        if not isinstance(exc, SanicException):
            log.exception("internal_error", exc_info=exc, extra={"request": request_id})
            return problem(502, "internal error", request_id, Outcome.UNKNOWN)
        status = getattr(exc, "status_code", 500)
        self._bad_request(request_id, status, type(exc).__name__)
        return problem(status, str(exc), request_id)

    def _bad_request(self, request_id, status, error):
        event(
            log,
            "bad_request",
            logging.WARNING,
            request=request_id,
            status=status,
            error=error,
        )
        self.metrics.incr(f"refused.{status}")

    async def _handle(self, request, path=""):
        if self.in_flight >= self._limits.max_in_flight:
            return self._turn_away(request, Reason.IN_FLIGHT_LIMIT)
        if self.stopping:
            return self._turn_away(request, Reason.STOPPING)
        if self._state.lists is None:
            return self._turn_away(request, Reason.NOT_READY)
        self.in_flight += 1
        self.metrics.gauge("in_flight", self.in_flight)
        try:
            return await self._serve(request)
        finally:
            self.in_flight -= 1
            self.metrics.gauge("in_flight", self.in_flight)

    # Keeps sanic from reading the body; a bound method takes no attributes.
    _handle.is_stream = True

    def _turn_away(self, request, reason):
        request_id = uuid.uuid4().hex
        event(log, "refused", logging.WARNING, request=request_id, reason=reason.value)
        self.metrics.incr(f"refused.{reason.value}")
        retry_after_s = RETRY_AFTER_MIN_S + self._rng.uniform(0, RETRY_AFTER_SPREAD_S)
        outcome = _unchecked_outcome(request, request.method in SAFE_METHODS)
        return problem(503, reason.value, request_id, outcome, retry_after_s)

    async def _serve(self, request):
        request_id = uuid.uuid4().hex
        started = asyncio.get_running_loop().time()
        customer = self._authenticate(request)
        if customer is None:
            self._bad_request(request_id, 401, "UnknownCustomer")
            return problem(401, "unknown customer", request_id)
        route = self._state.routes.find(request.method, request.path)
        if route is None:
            self._bad_request(request_id, 404, "UnknownRoute")
            return problem(404, "unknown route", request_id)
        fault = invalid_field(request.headers.items())
        budget_s = self._budget(request, route)
        if budget_s is None:
            fault = "Dandelion-Time-Budget"
        if fault is not None:
            self._bad_request(request_id, 400, "InvalidHeader")
            return problem(400, f"invalid header {fault!r}", request_id)
        work = self._work(request_id, customer, route)
        key, reason, retry_s = await self._customer_limits.admit(work)
        if reason is not None:
            retry_s = self._ingress.retry_after_s(retry_s)
            outcome = _unchecked_outcome(request, route.idempotent)
            return self._refusal(work, Refuse(outcome, reason, retry_s), started)
        try:
            return await self._run(request, work, started, budget_s)
        finally:
            self._customer_limits.done(key)

    def _work(self, request_id, customer, route):
        plan = self._state.lists.customers[customer].plan
        return Work(
            request_id,
            customer,
            route.service,
            route.name,
            route.kind,
            route.idempotent,
            self._state.lists.plans[plan].priority,
        )

    async def _run(self, request, work, started, budget_s):
        deadline = started + budget_s
        unchecked = _unchecked_outcome(request, work.idempotent)
        try:
            async with asyncio.timeout_at(deadline):
                req = await self._caller_request(request)
        except TimeoutError as exc:
            return await self._refuse_body(request, work, exc, unchecked)
        except (SanicException, BodyTooLargeError) as exc:
            return await self._refuse_body(request, work, exc, unchecked)
        try:
            result = await self._route(request, work, req, deadline)
        except CallerBodyError as exc:
            return await self._refuse_body(request, work, exc.cause, exc.outcome)
        if isinstance(result, Refuse):
            return self._refusal(work, result, started)
        return await self._deliver(request, work, result, started)

    async def _route(self, request, work, req, deadline):
        key = request.headers.get("idempotency-key")
        if key is None or work.idempotent:
            return await self._ingress.run(work, req, deadline)
        if req.rest is not None:
            # The digest of the whole body decides whether a key is reused.
            limit = f"body of an order with a key exceeds {REPLAY_LIMIT_BYTES} bytes"
            raise CallerBodyError(Outcome.UNKNOWN, BodyTooLargeError(limit))
        return await self._orders.run(work, req, key, deadline)

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

    async def _refuse_body(self, request, work, exc, outcome):
        """Refuse a request whose body can't be read to its end."""
        status, detail = 400, str(exc)
        if isinstance(exc, BodyTooLargeError | PayloadTooLarge):
            status = 413
        elif isinstance(exc, TimeoutError):
            status, detail = 408, "body not received in time"
        self._bad_request(work.request_id, status, type(exc).__name__)
        refusal = problem(status, detail, work.request_id, outcome)
        await (await request.respond(refusal)).send(end_stream=True)
        # Closing at once would reset the connection under the refusal.
        taken = 0
        with contextlib.suppress(TimeoutError, SanicException):
            async with asyncio.timeout(LINGER_S):
                while request.stream.request_body and taken < LINGER_BYTES:
                    taken += len(await request.stream.read() or b"")

    def _authenticate(self, request):
        scheme, _, key = request.headers.get("authorization", "").partition(" ")
        if scheme.lower() != "bearer" or not key:
            return None
        digest = hashlib.sha256(key.strip().encode(errors="replace")).hexdigest()
        return self._state.keys.find(digest)

    def _budget(self, request, route):
        """Return the time budget in seconds, or None if the header is invalid."""
        given = request.headers.get("dandelion-time-budget")
        if given is None:
            return route.budget_ms / 1000
        if not (given.isascii() and given.isdecimal() and len(given) <= 10):
            return None
        return min(int(given), route.budget_ms) / 1000 or None

    async def _caller_request(self, request):
        """Return the request with the start of its body.

        Raises
        ------
        BodyTooLargeError
            If the body exceeds the limit as far as that is known now.
        """
        limit = self._limits.max_request_body_bytes
        stream = request.stream
        if stream.request_bytes_left > limit:
            raise BodyTooLargeError(f"body exceeds {limit} bytes")
        parts, size = [], 0
        while stream.request_body and size < REPLAY_LIMIT_BYTES:
            data = await stream.read()
            parts.append(data or b"")
            size += len(parts[-1])
            if size > limit:
                raise BodyTooLargeError(f"body exceeds {limit} bytes")
        rest = BodyRest(stream.read, size, limit) if stream.request_body else None
        target = request.path
        if request.query_string:
            target = f"{target}?{request.query_string}"
        headers = end_to_end(request.headers.items(), drop={"content-length"})
        return CallerRequest(request.method, target, headers, b"".join(parts), rest)

    def _refusal(self, work, refuse, started):
        status = STATUS[refuse.outcome]
        status = REASON_STATUS.get((refuse.outcome, refuse.reason), status)
        self._log_outcome(work, refuse.outcome, status, started, refuse.reason.value)
        return problem(
            status,
            refuse.reason.value,
            work.request_id,
            refuse.outcome,
            refuse.retry_after_s,
        )

    async def _deliver(self, request, work, answer, started):
        fields = [(h.name, from_wire(h.value)) for h in answer.headers]
        fields.append(("Dandelion-Outcome", Outcome.ANSWER.value))
        fields.append(("Dandelion-Request-Id", work.request_id))
        headers = Header(fields)
        if answer.whole:
            if request.method != "HEAD":
                headers.pop("content-length", None)
            self._log_outcome(work, Outcome.ANSWER, answer.status, started)
            return HTTPResponse(
                answer.body,
                status=answer.status,
                headers=headers,
                content_type="application/octet-stream",
            )
        try:
            await self._stream(request, work, answer, headers, started)
        finally:
            self._ingress.finish(answer)

    async def _stream(self, request, work, answer, headers, started):
        resp = await request.respond(
            status=answer.status,
            headers=headers,
            content_type="application/octet-stream",
        )
        size = len(answer.body)
        try:
            await resp.send(answer.body)
            async for data in answer.chunks():
                size += len(data)
                if size > self._limits.max_response_body_bytes:
                    raise BrokenAnswerError("answer exceeds the size limit")
                await resp.send(data)
        except BrokenAnswerError as exc:
            event(
                log,
                "answer_aborted",
                logging.WARNING,
                request=work.request_id,
                detail=str(exc),
            )
            self.metrics.incr("answer_aborted")
            request.transport.abort()
            return
        self._log_outcome(work, Outcome.ANSWER, answer.status, started)
        await resp.eof()

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
        self.metrics.incr(f"outcome.{outcome.value}")
        self.metrics.timing("latency", elapsed * 1000)
        self._ingress.remember(work.request_id, "outcome", fields)


def _unchecked_outcome(request, idempotent):
    """Return the outcome of a request that is refused before its key is looked up.

    An earlier attempt with the same key may have run, and a caller that is told
    `not-run` might place the order again under a new key.
    """
    keyed = "idempotency-key" in request.headers and not idempotent
    return Outcome.UNKNOWN if keyed else Outcome.NOT_RUN
