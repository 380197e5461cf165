"""One attempt of a request as the ingress sees it."""

import asyncio
import contextlib
import logging
from dataclasses import dataclass

from sanic.exceptions import SanicException

from dandelionarch.core.messages import request as msgs
from dandelionarch.daemon.run import CHUNK_BYTES, WINDOW_BYTES
from dandelionarch.errors import BodyTooLargeError, BrokenAnswerError, LinkError

log = logging.getLogger(__name__)

# A body up to this size is kept, so that the request can be sent again. It equals
# the agent's window: more is taken from the caller only after the endpoint has read.
REPLAY_LIMIT_BYTES = WINDOW_BYTES


class LinkLost:
    """Put into an attempt's mailbox when its link ended."""


@dataclass(frozen=True, slots=True)
class CallerFault:
    """Put into an attempt's mailbox when the caller's body can't be read on."""

    error: Exception


class BodyRest:
    """The part of a caller's body that is not kept; it can be taken once.

    Parameters
    ----------
    read : callable
        Coroutine function that returns the next bytes, or None at the end.
    size : int
        Bytes that were read before.
    limit : int
        Greatest size of the whole body in bytes.
    """

    def __init__(self, read, size, limit):
        self.taken = False
        self._read = read
        self._size = size
        self._limit = limit

    async def next(self):
        """Return the next bytes, or None at the end.

        Raises
        ------
        BodyTooLargeError
            If the body exceeds the limit.
        """
        self.taken = True
        data = await self._read()
        self._size += len(data or b"")
        if self._size > self._limit:
            raise BodyTooLargeError(f"body exceeds {self._limit} bytes")
        return data


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A caller's request.

    `body` is the whole body if `rest` is None, its start otherwise.
    """

    method: str
    target: str
    headers: tuple
    body: bytes
    rest: BodyRest | None = None

    def replayable(self):
        """Return True if the request can be sent again."""
        return self.rest is None or not self.rest.taken


class AttemptStream:
    """An attempt as the ingress sees it: its link and its mailbox."""

    def __init__(self, attempt_id, endpoint_id, link):
        self.attempt_id = attempt_id
        self.endpoint_id = endpoint_id
        self.link = link
        self.began_s = asyncio.get_running_loop().time()
        self.mailbox = asyncio.Queue()
        self.window = WINDOW_BYTES
        self.window_open = asyncio.Event()
        self.sender = None
        # With `on_start` the attempt runs only once the ingress has sent `Start`.
        self.on_start = None
        self.may_run = True

    def confirm_start(self, on_start):
        """Have the agent ask before it runs the attempt; then call `on_start()`."""
        self.on_start = on_start
        self.may_run = False

    def let_run(self):
        """Let the agent run the attempt."""
        self.may_run = True
        self.on_start()
        with contextlib.suppress(LinkError):
            self.link.send(msgs.Start(self.attempt_id))

    async def next_reply(self):
        """Return the next message that may end the attempt."""
        while isinstance(msg := await self.mailbox.get(), msgs.Straggling):
            pass
        return msg

    async def send_body(self, req):
        """Send the request's body in chunks within the window."""
        try:
            for start in range(0, len(req.body), CHUNK_BYTES):
                end = start + CHUNK_BYTES
                last = req.rest is None and end >= len(req.body)
                await self._send_part(req.body[start:end], last)
            if req.rest is not None:
                await self._send_rest(req.rest)
        except LinkError:
            self.mailbox.put_nowait(LinkLost())
        except (BodyTooLargeError, SanicException) as exc:
            self.mailbox.put_nowait(CallerFault(exc))

    async def _send_rest(self, rest):
        # Reading on makes a retry impossible, so the endpoint must take it first.
        await self._room(1)
        while (data := await rest.next()) is not None:
            for start in range(0, len(data), CHUNK_BYTES):
                await self._send_part(data[start : start + CHUNK_BYTES], False)
            await self._room(1)
        await self._send_part(b"", True)

    async def _room(self, size):
        while self.window < size:
            self.window_open.clear()
            await self.window_open.wait()

    async def _send_part(self, data, last):
        await self._room(len(data))
        self.window -= len(data)
        await self.link.writable()
        self.link.send(msgs.RequestChunk(self.attempt_id, data, last))

    def credit(self, size):
        """Allow the agent to send more of the answer."""
        with contextlib.suppress(LinkError):
            self.link.send(msgs.Credit(self.attempt_id, size))


class Answer:
    """An endpoint's answer whose start has arrived.

    `chunks` yields the rest of the body; it raises `BrokenAnswerError` if the answer
    breaks off, so that nobody takes it as whole.
    """

    def __init__(self, head, stream, body, last):
        self.status = head.status
        self.headers = head.headers
        self.body = body
        self.whole = last
        self.stream = stream

    async def chunks(self):
        """Yield the rest of the body."""
        last = self.whole
        while not last:
            msg = await self.stream.mailbox.get()
            if isinstance(msg, CallerFault):
                continue
            if not isinstance(msg, msgs.ResponseChunk):
                raise BrokenAnswerError(f"answer broke off: {type(msg).__name__}")
            last = msg.last
            yield msg.data
            # Only what the caller has taken is replaced.
            self.stream.credit(len(msg.data))


def goes_inline(req):
    """Return True if a request's body goes with its head."""
    return req.rest is None and len(req.body) <= CHUNK_BYTES
