"""HTTP side of the ingress: reads callers' requests, sends answers and refusals."""

import asyncio
import logging
import math
import random
import uuid

from sanic.compat import Header
from sanic.exceptions import PayloadTooLarge, SanicException
from sanic.response import HTTPResponse

from dandelionarch.core.ingress import (
    MIN_RETRY_AFTER_S,
    RETRY_AFTER_SPREAD_S,
    Refuse,
    Work,
)
from dandelionarch.core.outcome import Outcome, Reason
from dandelionarch.core.routes import ServiceSplit
from dandelionarch.daemon.attempt import REPLAY_LIMIT_BYTES
from dandelionarch.daemon.caller_body import discard_body, read_request
from dandelionarch.daemon.caller_connections import IngressApp
from dandelionarch.daemon.headers import from_wire, invalid_field
from dandelionarch.daemon.runtime import ERROR_FORMAT
from dandelionarch.daemon.stopping import PlannedStop
from dandelionarch.errors import (
    BadRequestError,
    BodyTimeoutError,
    BodyTooLargeError,
    BrokenAnswerError,
    CallerBodyError,
    UnknownCustomerError,
    UnknownRouteError,
)
from dandelionarch.logs import event
from dandelionarch.metrics import NullMetrics

log = logging.getLogger(__name__)

SAFE_METHODS = ("GET", "HEAD", "OPTIONS")
METHODS = ["GET", "POST", "PUT", "DELETE", "PATCH", "HEAD", "OPTIONS"]
HEADER_TIMEOUT_S = 10
STOP_POLL_PERIOD_S = 0.02


class IngressHttp:
    """The HTTP application that callers reach.

    Parameters
    ----------
    ingress : Ingress
        Runs the requests.
    callers : CallerProtocol
        Reads callers' header fields and builds the refusals.
    state : object
        Its `routes` and `revision` are those of the active configuration; `ready` is
        True once there is one.
    bounds : LimitsSection
        Size limits.
    limits : Limits, optional
        Admits requests within the customers' limits and sheds load.
    orders : OrderDispatcher, optional
        Runs an order with an idempotency key at most once.
    metrics : Metrics, optional

    Attributes
    ----------
    planned_stop : PlannedStop
        Tells which requests a planned stop leaves no time for.
    """

    def __init__(
        self,
        ingress,
        callers,
        state,
        bounds,
        limits=None,
        orders=None,
        metrics=None,
    ):
        self._ingress = ingress
        self._callers = callers
        self._state = state
        self._bounds = bounds
        self._customer_limits = limits
        self._orders = orders
        self.metrics = metrics or NullMetrics()
        self._rng = random.Random()
        self._split = ServiceSplit(self._rng)
        self.in_flight = 0
        self.stopping = False
        self.planned_stop = PlannedStop(ingress)
        self.app = IngressApp(
            f"ingress-{uuid.uuid4().hex[:8]}", configure_logging=False
        )
        self.app.ctx.max_connections = bounds.max_connections
        self.app.config.REQUEST_MAX_SIZE = bounds.max_request_body_bytes
        # Sanic can specialise the protocol class for one application only.
        self.app.config.TOUCHUP = False
        self.app.config.REQUEST_TIMEOUT = HEADER_TIMEOUT_S
        self.app.config.RESPONSE_TIMEOUT = 3600
        callers.add_routes(self.app)
        options = {"methods": METHODS, "error_format": ERROR_FORMAT}
        self.app.add_route(self._handle, "/", name="root", **options)
        self.app.add_route(
            self._handle, "/<path:path>", name="any", unquote=False, **options
        )
        self.app.exception(Exception)(self._on_error)

    def use_bounds(self, bounds):
        """Apply the `CallerBounds` of the configuration to callers."""
        cfg = self.app.config
        cfg.REQUEST_MAX_SIZE = bounds.max_body_bytes
        cfg.REQUEST_MAX_HEADER_SIZE = bounds.max_header_bytes
        cfg.REQUEST_TIMEOUT = bounds.header_timeout_s
        cfg.KEEP_ALIVE_TIMEOUT = bounds.idle_timeout_s

    def refuse_new_work(self):
        """Refuse all further requests and close connections after their replies."""
        self.stopping = True
        self.app.config.KEEP_ALIVE = False

    async def close_idle(self, server, has_time):
        """Close callers' connections once their last responses have been sent.

        Responses are waited for while `has_time()` is true.
        """
        while server.connections and has_time():
            for conn in list(server.connections):
                conn.close_if_idle()
            await asyncio.sleep(STOP_POLL_PERIOD_S)

    async def _on_error(self, request, exc):
        request_id = self._request_id(request)
        if not isinstance(exc, SanicException):
            log.exception("internal_error", exc_info=exc, extra={"request": request_id})
            return self._callers.problem(
                502, "internal error", request_id, Outcome.UNKNOWN
            )
        status = getattr(exc, "status_code", 500)
        return self._bad_request(request_id, status, exc)

    def _request_id(self, request):
        # Sanic passes no request if it fails before it has read the request's head.
        if request is None:
            return uuid.uuid4().hex
        return self._callers.request_id(request)

    def _bad_request(self, request_id, status, exc, outcome=Outcome.NOT_RUN):
        """Log and count a request that can't be accepted; return its response."""
        event(
            log,
            "bad_request",
            logging.WARNING,
            request=request_id,
            status=status,
            revision=self._state.revision,
            error=type(exc).__name__,
            detail=str(exc),
        )
        self.metrics.incr(f"refused.{status}")
        return self._callers.problem(status, str(exc), request_id, outcome)

    async def _handle(self, request, path=""):
        if self.in_flight >= self._bounds.max_in_flight:
            return self._refuse_early(request, Reason.IN_FLIGHT_LIMIT)
        if self.stopping:
            return self._refuse_early(request, Reason.STOPPING)
        if not self._state.ready:
            return self._refuse_early(request, Reason.NOT_READY)
        self.in_flight += 1
        self.metrics.gauge("in_flight", self.in_flight)
        try:
            return await self._admit_and_run(request)
        finally:
            self.in_flight -= 1
            self.metrics.gauge("in_flight", self.in_flight)

    # Keeps Sanic from reading the body; set on the function, as a bound method takes no
    # attributes.
    _handle.is_stream = True

    def _refuse_early(self, request, reason):
        request_id = self._request_id(request)
        event(log, "refused", logging.WARNING, request=request_id, reason=reason.value)
        self.metrics.incr(f"refused.{reason.value}")
        retry_after_s = MIN_RETRY_AFTER_S + self._rng.uniform(0, RETRY_AFTER_SPREAD_S)
        outcome = self._unchecked_outcome(request, request.method in SAFE_METHODS)
        return self._callers.problem(
            503, reason.value, request_id, outcome, retry_after_s
        )

    async def _admit_and_run(self, request):
        request_id = self._request_id(request)
        started = asyncio.get_running_loop().time()
        try:
            customer = self._callers.customer(request)
            route = self._route_of(request)
            patience_s, budget_s = self._times_s(request, route)
        except UnknownCustomerError as exc:
            return self._bad_request(request_id, 401, exc)
        except UnknownRouteError as exc:
            return self._bad_request(request_id, 404, exc)
        except BadRequestError as exc:
            return self._bad_request(request_id, 400, exc)
        work = self._make_work(request_id, customer, route)
        if self.planned_stop.may_abort(work, budget_s, started + patience_s):
            outcome = self._unchecked_outcome(request, route.idempotent)
            retry_s = self._ingress.retry_after_s()
            return self._refusal(
                work, Refuse(outcome, Reason.STOPPING, retry_s), started
            )
        # What still waits for a slot at the end of a stop is then refused as not run.
        budget_s = min(budget_s, self.planned_stop.time_left_s())
        if self._customer_limits is None:
            return await self._run_request(request, work, started, budget_s)
        key, reason, retry_s = await self._customer_limits.admit(work)
        if reason is not None:
            retry_s = self._ingress.retry_after_s(retry_s)
            outcome = self._unchecked_outcome(request, route.idempotent)
            return self._refusal(work, Refuse(outcome, reason, retry_s), started)
        try:
            return await self._run_request(request, work, started, budget_s)
        finally:
            self._customer_limits.finish(key)

    def _route_of(self, request):
        """Return the route of a request, after a check of its header fields.

        Raises
        ------
        UnknownRouteError
            If no route matches.
        BadRequestError
            If a header field may not be passed on.
        """
        host = self._callers.host(request)
        route = self._state.routes.find(request.method, request.path, host)
        if route is None:
            raise UnknownRouteError("unknown route")
        name = invalid_field(request.headers.items())
        if name is not None:
            raise BadRequestError(f"invalid header {name!r}")
        return route

    def _times_s(self, request, route):
        """Return for how long the caller waits, and the time budget, in seconds."""
        given_ms = self._callers.budget_ms(request)
        if given_ms is None:
            return math.inf, route.budget_ms / 1000
        return given_ms / 1000, min(given_ms, route.budget_ms) / 1000

    def _make_work(self, request_id, customer, route):
        priority = customer.priority if route.priority is None else route.priority
        return Work(
            request_id,
            customer.name,
            self._split.choose(route),
            route.name,
            route.kind,
            route.idempotent,
            priority,
            route.max_attempts,
            route.objective_ms / 1000,
            self._state.revision,
        )

    async def _run_request(self, request, work, started, budget_s):
        deadline = started + budget_s
        unchecked = self._unchecked_outcome(request, work.idempotent)
        try:
            async with asyncio.timeout_at(deadline):
                limit = self._bounds.max_request_body_bytes
                req = await read_request(request, self._callers, limit)
        except TimeoutError as exc:
            return await self._refuse_body(request, work, exc, unchecked)
        except (SanicException, BodyTooLargeError) as exc:
            return await self._refuse_body(request, work, exc, unchecked)
        try:
            result = await self._dispatch(request, work, req, deadline)
        except CallerBodyError as exc:
            return await self._refuse_body(request, work, exc.cause, exc.outcome)
        if isinstance(result, Refuse):
            return self._refusal(work, result, started)
        return await self._deliver(request, work, result, started)

    async def _dispatch(self, request, work, req, deadline):
        key = self._callers.order_key(request)
        if key is None or work.idempotent or self._orders is None:
            return await self._ingress.run(work, req, deadline)
        if req.remainder is not None:
            # Reuse of a key is detected by the digest of the whole body.
            limit = f"body of an order with a key exceeds {REPLAY_LIMIT_BYTES} bytes"
            raise CallerBodyError(Outcome.UNKNOWN, BodyTooLargeError(limit))
        return await self._orders.run(work, req, key, deadline)

    async def _refuse_body(self, request, work, exc, outcome):
        """Refuse a request whose body can't be read to its end."""
        status = 400
        if isinstance(exc, BodyTooLargeError | PayloadTooLarge):
            status = 413
        elif isinstance(exc, TimeoutError):
            status, exc = 408, BodyTimeoutError("body not received in time")
        refusal = self._bad_request(work.request_id, status, exc, outcome)
        await (await request.respond(refusal)).send(end_stream=True)
        await discard_body(request)

    def _refusal(self, work, refuse, started):
        resp, status = self._callers.refusal(work.request_id, refuse)
        self._log_outcome(work, refuse.outcome, status, started, refuse.reason.value)
        return resp

    async def _deliver(self, request, work, answer, started):
        fields = [(h.name, from_wire(h.value)) for h in answer.headers]
        headers = Header([*fields, *self._callers.answer_fields(work.request_id)])
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
            self._ingress.close_stream(answer)

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
                if size > self._bounds.max_response_body_bytes:
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
        self._ingress.decisions.add_event(work.request_id, "outcome", fields)

    def _unchecked_outcome(self, request, idempotent):
        """Return the outcome of a request refused before its key is looked up.

        An earlier request with the same key may have run, and a caller that is told
        `not-run` might place the order again under a new key.
        """
        keyed = self._callers.order_key(request) is not None and not idempotent
        return Outcome.UNKNOWN if keyed else Outcome.NOT_RUN
