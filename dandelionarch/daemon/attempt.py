"""One attempt of a request, on the ingress's side."""

import asyncio
import contextlib
import logging
from dataclasses import dataclass

from sanic.exceptions import SanicException

from dandelionarch.core.messages import request as msgs
from dandelionarch.daemon.agent_run import CHUNK_BYTES, WINDOW_BYTES
from dandelionarch.errors import BodyTooLargeError, BrokenAnswerError, LinkError

log = logging.getLogger(__name__)

# Up to this size a body is kept so that the request can be sent again. It equals the
# agent's window: more is read from the caller only after the endpoint has read some.
REPLAY_LIMIT_BYTES = WINDOW_BYTES


class LinkLost:
    """Put into an attempt's mailbox when its link is lost."""


@dataclass(frozen=True, slots=True)
class CallerFault:
    """Put into an attempt's mailbox when the caller's body can't be read further."""

    error: Exception


class BodyRemainder:
    """The part of a caller's body that is not kept; it can be read only once.

    Parameters
    ----------
    read : callable
        Coroutine function that returns the next bytes, or None at the end.
    size : int
        Bytes of the body that were read before.
    limit : int
        Largest allowed size of the whole body in bytes.

    Attributes
    ----------
    was_read : bool
        True once reading has begun, so that the request can't be sent again.
    """

    def __init__(self, read, size, limit):
        self.was_read = False
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
        self.was_read = True
        data = await self._read()
        self._size += len(data or b"")
        if self._size > self._limit:
            raise BodyTooLargeError(f"body exceeds {self._limit} bytes")
        return data


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A caller's request.

    `body` is the whole body if `remainder` is None, otherwise its start. `fingerprint`
    is the digest of the content, of a long body that of its start.
    """

    method: str
    target: str
    headers: tuple
    body: bytes
    remainder: BodyRemainder | None = None
    fingerprint: bytes = b""

    def replayable(self):
        """Return True if the request can be sent again."""
        return self.remainder is None or not self.remainder.was_read


class AttemptStream:
    """An attempt at the ingress: its link, its mailbox and its send window."""

    def __init__(self, attempt_id, endpoint_id, link):
        self.attempt_id = attempt_id
        self.endpoint_id = endpoint_id
        self.link = link
        self.started_s = asyncio.get_running_loop().time()
        self.mailbox = asyncio.Queue()
        self.window_bytes = WINDOW_BYTES
        self.window_open = asyncio.Event()
        self.send_task = None
        # With `on_confirmed` the agent runs the attempt only after a `Start` message.
        self.on_confirmed = None
        self.may_run = True

    def require_confirmation(self, on_confirmed):
        """Have the agent ask before it runs the attempt.

        `on_confirmed()` is called when the ingress confirms.
        """
        self.on_confirmed = on_confirmed
        self.may_run = False

    def send_start(self):
        """Tell the agent that it may run the attempt."""
        self.may_run = True
        self.on_confirmed()
        with contextlib.suppress(LinkError):
            self.link.send(msgs.Start(self.attempt_id))

    async def next_reply(self):
        """Return the next message that may end the attempt; skip `Straggling`."""
        while isinstance(msg := await self.mailbox.get(), msgs.Straggling):
            pass
        return msg

    async def send_body(self, req):
        """Send the request's body in chunks within the window."""
        try:
            for start in range(0, len(req.body), CHUNK_BYTES):
                end = start + CHUNK_BYTES
                last = req.remainder is None and end >= len(req.body)
                await self._send_part(req.body[start:end], last)
            if req.remainder is not None:
                await self._send_remainder(req.remainder)
        except LinkError:
            self.mailbox.put_nowait(LinkLost())
        except (BodyTooLargeError, SanicException) as exc:
            self.mailbox.put_nowait(CallerFault(exc))

    async def _send_remainder(self, remainder):
        # Reading the remainder makes a retry impossible, so it begins only after the
        # endpoint has read a part of what was sent.
        await self._wait_for_window(1)
        while (data := await remainder.next()) is not None:
            for start in range(0, len(data), CHUNK_BYTES):
                await self._send_part(data[start : start + CHUNK_BYTES], False)
            await self._wait_for_window(1)
        await self._send_part(b"", True)

    async def _wait_for_window(self, size):
        while self.window_bytes < size:
            self.window_open.clear()
            await self.window_open.wait()

    async def _send_part(self, data, last):
        await self._wait_for_window(len(data))
        self.window_bytes -= len(data)
        await self.link.writable()
        self.link.send(msgs.RequestChunk(self.attempt_id, data, last))

    def send_credit(self, size):
        """Allow the agent to send `size` more bytes of the answer."""
        with contextlib.suppress(LinkError):
            self.link.send(msgs.Credit(self.attempt_id, size))


class Answer:
    """An endpoint's answer whose start has arrived.

    `body` is the whole body if `whole` is True, otherwise its start.
    """

    def __init__(self, head, stream, body, last):
        self.status = head.status
        self.headers = head.headers
        self.body = body
        self.whole = last
        self.stream = stream

    async def chunks(self):
        """Yield the rest of the body.

        Raises
        ------
        BrokenAnswerError
            If the answer breaks off, so that it is not taken as whole.
        """
        last = self.whole
        while not last:
            msg = await self.stream.mailbox.get()
            if isinstance(msg, CallerFault):
                continue
            if not isinstance(msg, msgs.ResponseChunk):
                raise BrokenAnswerError(f"answer broke off: {type(msg).__name__}")
            last = msg.last
            yield msg.data
            # The agent may send only as much as the caller has taken.
            self.stream.send_credit(len(msg.data))


def is_inline(req):
    """Return True if a request's body is sent in the same message as its head."""
    return req.remainder is None and len(req.body) <= CHUNK_BYTES
