"""One attempt of a request, on the ingress's side."""

import asyncio
import contextlib
import logging
from dataclasses import dataclass

from sanic.exceptions import SanicException

from dandelionarch.core.messages import request as msgs
from dandelionarch.daemon.agent_run import CHUNK_BYTES, WINDOW_BYTES
from dandelionarch.errors import (
    BodyTakenError,
    BodyTooLargeError,
    BrokenAnswerError,
    LinkError,
)

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


class BodyTaken:
    """Put into an attempt's mailbox when another attempt reads the caller's body on."""


class BodyRemainder:
    """The part of a caller's body that is not kept; a single attempt can read it.

    Several attempts may wait for it while their endpoints read the part that is kept.

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
    was_taken : bool
        True once an attempt reads it, so that the request can't be sent again.
    """

    def __init__(self, read, size, limit):
        self.was_taken = False
        self._read = read
        self._size = size
        self._limit = limit
        self._mailboxes = []

    def add_attempt(self, mailbox):
        """Have `BodyTaken` put into a mailbox if another attempt takes the body."""
        self._mailboxes.append(mailbox)

    def take(self, mailbox):
        """Return the asynchronous generator of the bytes up to the caller's end.

        Raises
        ------
        BodyTakenError
            If an attempt has taken the body before.
        """
        if self.was_taken:
            raise BodyTakenError("another attempt reads the body")
        self.was_taken = True
        for other in self._mailboxes:
            if other is not mailbox:
                other.put_nowait(BodyTaken())
        return self._parts()

    async def _parts(self):
        while (data := await self._read()) is not None:
            self._size += len(data)
            if self._size > self._limit:
                raise BodyTooLargeError(f"body exceeds {self._limit} bytes")
            yield data


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A caller's request.

    `body` is the whole body if `remainder` is None, otherwise its start. `fingerprint`
    is the digest of the content, with the first `REPLAY_LIMIT_BYTES` of its body.
    """

    method: str
    target: str
    headers: tuple
    body: bytes
    remainder: BodyRemainder | None = None
    fingerprint: bytes = b""

    def replayable(self):
        """Return True if the request can be sent again."""
        return self.remainder is None or not self.remainder.was_taken


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
        except BodyTakenError:
            # The attempt was told when the other one took the body.
            return
        except (BodyTooLargeError, SanicException) as exc:
            self.mailbox.put_nowait(CallerFault(exc))

    async def _send_remainder(self, remainder):
        # Reading the remainder makes a retry impossible, so it begins only after the
        # endpoint has read a part of what was sent.
        await self._wait_for_window(1)
        async for data in remainder.take(self.mailbox):
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
        credit = (self.attempt_id, size, msgs.CreditedBody.ANSWER.value)
        with contextlib.suppress(LinkError):
            self.link.send(msgs.Credit(*credit))


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
