"""Connections to the endpoints beside this daemon."""

import socket
from dataclasses import dataclass

import aiohttp
import yarl

from dandelionarch.daemon.headers import from_wire
from dandelionarch.errors import (
    BrokenAnswerError,
    WorkerLostError,
    WorkerUnreachableError,
)

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


class WorkerConnector(aiohttp.TCPConnector):
    """Connector that never reuses a connection with unread bytes.

    Such bytes are a late answer to an earlier request; the library would take them
    as the answer to the next one.
    """

    async def connect(self, req, traces, timeout):
        """Return a connection that nothing was received on out of turn."""
        while True:
            conn = await super().connect(req, traces, timeout)
            if not conn.protocol.should_close:
                return conn
            conn.close()


class WorkerPool:
    """Opens requests to endpoints over pooled connections."""

    def __init__(self):
        self._session = None

    async def start(self):
        """Open the pool."""
        trace = aiohttp.TraceConfig()
        trace.on_connection_reuseconn.append(_note_reuse)
        connector = WorkerConnector(
            limit=0,
            keepalive_timeout=IDLE_CONNECTION_S,
            socket_factory=_open_socket,
        )
        self._session = aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            trace_configs=[trace],
            middlewares=[send_once],
            skip_auto_headers=OWN_HEADERS,
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        )

    async def stop(self):
        """Close the pool."""
        await self._session.close()

    async def open(self, call, endpoint, head, data, budget_ms):
        """Send a request and return the answer whose head has arrived.

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
        headers = [(h.name, from_wire(h.value)) for h in head.headers]
        headers.append(("Dandelion-Request-Id", head.request_id))
        headers.append(("Dandelion-Time-Budget", str(budget_ms)))
        url = f"http://{endpoint.host}:{endpoint.port}{head.target}"
        resp = await self._session.request(
            head.method,
            yarl.URL(url, encoded=True),
            headers=headers,
            data=data or None,
            allow_redirects=False,
            trace_request_ctx=call,
        )
        call.answered = True
        try:
            _check_answer(resp, head)
        except BrokenAnswerError:
            resp.close()
            raise
        return resp


def refused(resp):
    """Return True if the endpoint states that it did not run the request."""
    return resp.status == 503 and resp.headers.get("Dandelion-Not-Run") == "1"


def _check_answer(resp, head):
    """Raise `BrokenAnswerError` if the answer's end could not be told."""
    echoed = resp.headers.get("Dandelion-Request-Id", head.request_id)
    if echoed != head.request_id:
        raise BrokenAnswerError(f"answer belongs to request {echoed!r}")
    if resp.status < 200:
        raise BrokenAnswerError(f"unexpected status {resp.status}")
    bodiless = head.method == "HEAD" or resp.status in BODILESS_STATUS
    chunked = resp.headers.get("Transfer-Encoding", "").lower().endswith("chunked")
    if not (bodiless or chunked or "Content-Length" in resp.headers):
        raise BrokenAnswerError("answer has no length: a truncated one looks whole")


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
        raise WorkerLostError(str(exc)) from exc


def _open_socket(addr_info):
    family, kind, proto, _, _ = addr_info
    sock = socket.socket(family, kind, proto)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    return sock
