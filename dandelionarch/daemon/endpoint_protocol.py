"""One HTTP connection to an endpoint, and the bounds of what it may send."""

import logging

import aiohttp
from aiohttp.client_proto import ResponseHandler

from dandelionarch.errors import BrokenAnswerError
from dandelionarch.logs import event

log = logging.getLogger(__name__)

# Interim responses and late answers to earlier requests that may precede an answer; an
# endpoint that sends more is faulty, and reading on would only occupy the event loop.
MAX_HEADS_BEFORE_ANSWER = 16
MAX_BYTES_BEFORE_ANSWER = 128 << 10
# Bytes that are parsed at once before the answer, so that few heads are parsed in vain.
HEAD_PIECE_BYTES = 4 << 10


class EndpointProtocol(ResponseHandler):
    """Connection to an endpoint that drops responses to earlier requests.

    It is closed if too much precedes the answer, or if anything follows it.

    Attributes
    ----------
    was_reset : bool
        True if the connection has ended without an orderly close.
    """

    def __init__(self, id_field, idle_limit, loop):
        super().__init__(loop)
        self.was_reset = False
        self._id_field = id_field
        self._idle_limit = idle_limit
        self._expected_id = None
        self._awaits_answer = False
        self._heads_before_answer = 0
        self._bytes_before_answer = 0
        self._requests = 0
        self._used_at = loop.time()
        self._idle_s = None
        self._peer_closed = False

    def is_reusable(self):
        """Return True unless the connection has been idle for too long.

        A new connection may always be used. Otherwise a process that was suspended for
        longer than the limit would open one connection after the other.
        """
        if not self._requests:
            return True
        now = self._loop.time()
        return self._idle_limit.allows(now - self._used_at, now)

    def expect(self, fields):
        """Record the id of the request whose response is expected next."""
        self._expected_id = fields.get(self._id_field)
        self._awaits_answer = True
        self._heads_before_answer = self._bytes_before_answer = 0
        now = self._loop.time()
        if self._requests:
            self._idle_s = now - self._used_at
        self._requests += 1
        self._used_at = now

    def data_received(self, data):
        """Handle bytes of a response; no bytes continue parsing after a pause."""
        self._idle_s = None
        self._used_at = self._loop.time()
        while self._awaits_answer and data:
            piece, data = data[:HEAD_PIECE_BYTES], data[HEAD_PIECE_BYTES:]
            self._bytes_before_answer += len(piece)
            super().data_received(piece)
            if self.exception() is not None:
                return
            too_long = self._bytes_before_answer > MAX_BYTES_BEFORE_ANSWER
            if self._awaits_answer and too_long:
                self._break_off(f"no answer in {self._bytes_before_answer} bytes")
                return
            if not data:
                return
        super().data_received(data)

    def feed_data(self, data, size=0):
        """Handle a response whose head has arrived."""
        if self.exception() is not None:
            return
        message, _ = data
        if not self._awaits_answer:
            # It belongs to no request. The answer before it is complete.
            self._break_off("response follows the answer")
            return
        answered_id = message.headers.get(self._id_field, self._expected_id)
        is_stale = self._expected_id is not None and answered_id != self._expected_id
        if is_stale or _is_interim(message):
            self._heads_before_answer += 1
            if self._heads_before_answer > MAX_HEADS_BEFORE_ANSWER:
                self._break_off(f"{self._heads_before_answer} heads before the answer")
                return
        if is_stale:
            # An endpoint may send a second response to a request that has ended.
            event(
                log,
                "stale_answer_dropped",
                logging.WARNING,
                request=self._expected_id,
                answers=answered_id,
            )
            self.force_close()
            return
        self._awaits_answer = _is_interim(message)
        super().feed_data(data, size)

    def _break_off(self, detail):
        """Close the connection; the answer fails unless it is complete."""
        event(
            log,
            "connection_broken_off",
            logging.WARNING,
            request=self._expected_id,
            detail=detail,
        )
        self.set_exception(BrokenAnswerError(detail))
        self.transport.abort()

    def eof_received(self):
        """Record that the endpoint has closed its side."""
        self._peer_closed = True
        super().eof_received()

    def connection_lost(self, exc):
        self.was_reset = exc is not None
        # Connections that this side closes, such as after a timeout, don't count.
        if self._idle_s is not None and (self.was_reset or self._peer_closed):
            self._idle_limit.on_break(self._idle_s, self._loop.time())
            self._idle_s = None
        super().connection_lost(exc)


class EndpointRequest(aiohttp.ClientRequest):
    """Request that registers the expected response at its connection."""

    async def send(self, conn):
        """Send the request."""
        conn.protocol.expect(self.headers)
        return await super().send(conn)


def _is_interim(message):
    # Status 101 ends the HTTP exchange.
    return 100 <= message.code < 200 and message.code != 101
