"""Connections to the endpoints beside this daemon."""

import functools
import logging
from dataclasses import dataclass

import aiohttp
import yarl
from aiohttp.client_proto import ResponseHandler

from dandelionarch.core.idle_limit import IdleLimit
from dandelionarch.daemon.headers import from_wire
from dandelionarch.daemon.sockets import open_socket
from dandelionarch.errors import (
    BrokenAnswerError,
    WorkerConnectionLostError,
    WorkerUnreachableError,
)
from dandelionarch.logs import event

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 1.0
IDLE_CONNECTION_S = 5.0
# The kernel ends a connection whose data is not acknowledged for this long.
USER_TIMEOUT_MS = 1500
BODILESS_STATUS = frozenset({204, 304})
# aiohttp would add these to a request that lacks them.
OWN_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


@dataclass(slots=True)
class Call:
    """What is known of one request to an endpoint.

    `reused` says that its connection served another request before; `answered` that
    the head of the answer has arrived.
    """

    reused: bool = False
    answered: bool = False


class EndpointProtocol(ResponseHandler):
    """Connection to an endpoint that drops responses to earlier requests.

    Attributes
    ----------
    was_reset : bool
        True once the connection has ended otherwise than by an orderly close.
    """

    def __init__(self, id_field, rest_limit, loop):
        super().__init__(loop)
        self.was_reset = False
        self._id_field = id_field
        self._rest_limit = rest_limit
        self._expected_id = None
        self._requests = 0
        self._used_at = loop.time()
        self._rested_s = None
        self._peer_closed = False

    def may_be_used(self):
        """Return True unless the connection has rested for too long.

        A new one always may: a process that stood still for longer than the limit would
        open one after the other.
        """
        if not self._requests:
            return True
        now = self._loop.time()
        return self._rest_limit.allows(now - self._used_at, now)

    def expect(self, fields):
        """Take note of the request whose response comes next."""
        self._expected_id = fields.get(self._id_field)
        now = self._loop.time()
        if self._requests:
            self._rested_s = now - self._used_at
        self._requests += 1
        self._used_at = now

    def data_received(self, data):
        """Take bytes of a response."""
        self._rested_s = None
        self._used_at = self._loop.time()
        super().data_received(data)

    def feed_data(self, data, size=0):
        """Take a response whose head has arrived."""
        message, _ = data
        echoed = message.headers.get(self._id_field, self._expected_id)
        if self._expected_id is not None and echoed != self._expected_id:
            # An endpoint may send a second response to a request that has ended.
            event(
                log,
                "stale_answer_dropped",
                logging.WARNING,
                request=self._expected_id,
                answers=echoed,
            )
            self.force_close()
            return
        super().feed_data(data, size)

    def eof_received(self):
        """Take note that the endpoint has closed its side."""
        self._peer_closed = True
        super().eof_received()

    def connection_lost(self, exc):
        self.was_reset = exc is not None
        # This side closes connections too, for one when a request's time is over.
        if self._rested_s is not None and (self.was_reset or self._peer_closed):
            self._rest_limit.on_break(self._rested_s, self._loop.time())
            self._rested_s = None
        super().connection_lost(exc)


class EndpointRequest(aiohttp.ClientRequest):
    """Request that tells its connection which response to expect."""

    async def send(self, conn):
        """Send the request."""
        conn.protocol.expect(self.headers)
        return await super().send(conn)


class WorkerConnector(aiohttp.TCPConnector):
    """Connector that reuses no connection with unread bytes or after a long rest.

    Such bytes are a late answer to an earlier request; the library would take them
    as the answer to the next one.
    """

    def __init__(self, id_field, **kwargs):
        super().__init__(**kwargs)
        self._factory = functools.partial(
            EndpointProtocol, id_field, IdleLimit(IDLE_CONNECTION_S), loop=self._loop
        )

    async def connect(self, req, traces, timeout):
        """Return a connection that is as good as a new one."""
        while True:
            conn = await super().connect(req, traces, timeout)
            protocol = conn.protocol
            if not protocol.should_close and protocol.may_be_used():
                return conn
            conn.close()


class WorkerAnswer:
    """An endpoint's answer whose head has arrived."""

    def __init__(self, resp, bodiless):
        self.status = resp.status
        self.headers = resp.headers
        self._resp = resp
        self._protocol = resp.connection.protocol if resp.connection else None
        chunked = resp.headers.get("Transfer-Encoding", "").lower().endswith("chunked")
        self.framed = bodiless or chunked or "Content-Length" in resp.headers

    async def read(self, size):
        """Return (data, True if that is the end) of the body.

        Raises
        ------
        BrokenAnswerError
            If the body ends with the connection and that was reset.
        """
        data = await self._resp.content.read(size)
        last = self._resp.content.at_eof()
        if last and not self.framed and self._was_reset():
            raise BrokenAnswerError("connection was reset before the answer's end")
        return data, last

    def _was_reset(self):
        # A protocol without queued messages is falsy.
        return self._protocol is not None and self._protocol.was_reset

    def end(self, reusable):
        """Give the connection back, or close it."""
        if reusable:
            self._resp.release()
        else:
            self._resp.close()


class WorkerPool:
    """Opens requests to endpoints over pooled connections.

    Parameters
    ----------
    dialect : EndpointDialect
    """

    def __init__(self, dialect):
        self._dialect = dialect
        self._session = None

    async def start(self):
        """Open the pool."""
        trace = aiohttp.TraceConfig()
        trace.on_connection_reuseconn.append(_note_reuse)
        connector = WorkerConnector(
            self._dialect.request_id_field,
            limit=0,
            keepalive_timeout=IDLE_CONNECTION_S,
            socket_factory=functools.partial(
                open_socket, user_timeout_ms=USER_TIMEOUT_MS
            ),
        )
        self._session = aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            trace_configs=[trace],
            middlewares=[send_once],
            request_class=EndpointRequest,
            skip_auto_headers=OWN_HEADERS,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        )

    async def stop(self):
        """Close the pool."""
        await self._session.close()

    async def open(self, call, endpoint, head, data, budget_ms):
        """Send a request and return the `WorkerAnswer` whose head has arrived.

        Parameters
        ----------
        call : Call
            Filled in on the way.
        endpoint : Endpoint
        head : RequestHead
        data : bytes or async iterator of bytes
        budget_ms : int
            Time that is left for the request.

        Raises
        ------
        WorkerUnreachableError
            If no byte was sent.
        WorkerLostError, BrokenAnswerError, aiohttp.ClientError
            If the endpoint may have seen the request.
        """
        fields = (
            *head.headers,
            *self._dialect.request_fields(endpoint, head, budget_ms),
        )
        url = f"http://{endpoint.host}:{endpoint.port}{head.target}"
        resp = await self._session.request(
            head.method,
            yarl.URL(url, encoded=True),
            headers=[(field.name, from_wire(field.value)) for field in fields],
            data=data or None,
            allow_redirects=False,
            trace_request_ctx=call,
        )
        call.answered = True
        answer = WorkerAnswer(resp, _bodiless(resp, head))
        try:
            self._dialect.check(resp.status, resp.headers, head)
            if resp.status < 200:
                raise BrokenAnswerError(f"unexpected status {resp.status}")
            if not answer.framed and not self._dialect.close_ends_body:
                raise BrokenAnswerError("no length: a truncated answer looks whole")
        except BrokenAnswerError:
            answer.end(reusable=False)
            raise
        return answer

    def refused(self, answer):
        """Return True if the endpoint states that it did not run the request."""
        return self._dialect.refused(answer.status, answer.headers)


def _bodiless(resp, head):
    return head.method == "HEAD" or resp.status in BODILESS_STATUS


async def _note_reuse(session, context, params):
    context.trace_request_ctx.reused = True


async def send_once(req, handler):
    """Replace the errors on which the session would send a request again.

    The session resends a PUT or DELETE whose reused connection broke; a route may
    declare these methods as not idempotent.
    """
    try:
        return await handler(req)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
        raise WorkerUnreachableError(str(exc)) from exc
    except (aiohttp.ServerDisconnectedError, aiohttp.ClientOSError) as exc:
        raise WorkerConnectionLostError(str(exc)) from exc
