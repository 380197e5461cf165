"""Pooled HTTP connections to the endpoints of this VM."""

import functools
from dataclasses import dataclass

import aiohttp
import yarl

from dandelionarch.core.idle_limit import IdleLimit
from dandelionarch.daemon.endpoint_protocol import EndpointProtocol, EndpointRequest
from dandelionarch.daemon.headers import from_wire
from dandelionarch.daemon.sockets import open_socket
from dandelionarch.errors import (
    BrokenAnswerError,
    WorkerConnectionLostError,
    WorkerUnreachableError,
)

CONNECT_TIMEOUT_S = 1.0
IDLE_CONNECTION_S = 5.0
# The kernel closes a connection whose data is not acknowledged for this long.
USER_TIMEOUT_MS = 1500
BODILESS_STATUSES = frozenset({204, 304})
# aiohttp would otherwise add these to a request that lacks them.
SKIPPED_AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


@dataclass(slots=True)
class Call:
    """Progress of one request to an endpoint.

    Attributes
    ----------
    reused : bool
        True if its connection has served another request before.
    answered : bool
        True once the head of the answer has arrived.
    """

    reused: bool = False
    answered: bool = False


class EndpointConnector(aiohttp.TCPConnector):
    """Connector that reuses no connection with unread bytes or long idle time.

    Unread bytes are a late answer to an earlier request, which the library would take
    as the answer to the next one.
    """

    def __init__(self, id_field, **kwargs):
        super().__init__(**kwargs)
        self._factory = functools.partial(
            EndpointProtocol, id_field, IdleLimit(IDLE_CONNECTION_S), loop=self._loop
        )

    async def connect(self, req, traces, timeout):
        """Return a connection that is new or safe to reuse."""
        while True:
            conn = await super().connect(req, traces, timeout)
            protocol = conn.protocol
            if not protocol.should_close and protocol.is_reusable():
                return conn
            conn.close()


class EndpointAnswer:
    """An endpoint's answer whose head has arrived.

    `is_framed` is True if the answer's end is known without the connection's close.
    """

    def __init__(self, resp, is_bodiless):
        self.status = resp.status
        self.headers = resp.headers
        self._resp = resp
        self._protocol = resp.connection.protocol if resp.connection else None
        is_chunked = (
            resp.headers.get("Transfer-Encoding", "").lower().endswith("chunked")
        )
        self.is_framed = is_bodiless or is_chunked or "Content-Length" in resp.headers

    async def read(self, size):
        """Return the next bytes of the body, and whether they are the last.

        Raises
        ------
        BrokenAnswerError
            If only the connection's end marks the end of the body and the connection
            was reset.
        """
        data = await self._resp.content.read(size)
        last = self._resp.content.at_eof()
        if last and not self.is_framed and self._has_been_reset():
            raise BrokenAnswerError("connection was reset before the answer's end")
        return data, last

    def _has_been_reset(self):
        # Compared with None, as a protocol without queued messages is falsy.
        return self._protocol is not None and self._protocol.was_reset

    def end(self, reusable):
        """Return the connection to the pool if it is reusable, otherwise close it."""
        if reusable:
            self._resp.release()
        else:
            self._resp.close()


def open_session(dialect, **options):
    """Return a client session that calls endpoints over `EndpointProtocol`s.

    `dialect` is their `EndpointDialect`; `options` go to `aiohttp.ClientSession`.
    """
    connector = EndpointConnector(
        dialect.request_id_field,
        limit=0,
        keepalive_timeout=IDLE_CONNECTION_S,
        socket_factory=functools.partial(open_socket, user_timeout_ms=USER_TIMEOUT_MS),
    )
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        request_class=EndpointRequest,
        skip_auto_headers=SKIPPED_AUTO_HEADERS,
        **options,
    )


class EndpointPool:
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
        trace.on_connection_reuseconn.append(_on_connection_reused)
        self._session = open_session(
            self._dialect,
            trace_configs=[trace],
            middlewares=[prevent_resend],
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        )

    async def stop(self):
        """Close the pool."""
        await self._session.close()

    async def open(self, call, endpoint, head, data, budget_ms):
        """Send a request and return the `EndpointAnswer` whose head has arrived.

        Parameters
        ----------
        call : Call
            Updated as the request proceeds.
        endpoint : Endpoint
        head : RequestHead
        data : bytes or async iterator of bytes
        budget_ms : int
            Remaining time for the request.

        Raises
        ------
        WorkerUnreachableError
            If nothing was sent.
        WorkerConnectionLostError, BrokenAnswerError, aiohttp.ClientError
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
        answer = EndpointAnswer(resp, _is_bodiless(resp, head))
        try:
            self._dialect.check_response(resp.status, resp.headers, head)
            if resp.status < 200:
                raise BrokenAnswerError(f"unexpected status {resp.status}")
            if not answer.is_framed and not self._dialect.close_ends_body:
                raise BrokenAnswerError("no length: truncation can't be detected")
        except BrokenAnswerError:
            answer.end(reusable=False)
            raise
        return answer

    def conditions(self, answer):
        """Return the `EndpointConditions` in an answer; None if unreadable."""
        return self._dialect.conditions(answer.headers)

    def is_refusal(self, answer):
        """Return True if the answer states that the request was not run."""
        return self._dialect.is_refusal(answer.status, answer.headers)


def _is_bodiless(resp, head):
    return head.method == "HEAD" or resp.status in BODILESS_STATUSES


async def _on_connection_reused(session, context, params):
    context.trace_request_ctx.reused = True


async def prevent_resend(req, handler):
    """Middleware that replaces the errors on which the session resends a request.

    The session resends a PUT or DELETE whose reused connection broke, but a route may
    declare these methods as not idempotent.
    """
    try:
        return await handler(req)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
        raise WorkerUnreachableError(str(exc)) from exc
    except (aiohttp.ServerDisconnectedError, aiohttp.ClientOSError) as exc:
        raise WorkerConnectionLostError(str(exc)) from exc
