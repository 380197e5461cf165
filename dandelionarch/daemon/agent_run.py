"""A run: one attempt of a request, on the agent's side."""

import asyncio
import contextlib
import math

from dandelionarch.core.messages import request as msgs
from dandelionarch.core.outcome import Reason
from dandelionarch.daemon.endpoint_connections import Call
from dandelionarch.errors import LinkError

CHUNK_BYTES = 64 << 10
WINDOW_BYTES = 256 << 10


class Run:
    """One attempt at the agent, with flow control for both bodies.

    Attributes
    ----------
    body_sent : bool
        True once the whole request body has gone to the endpoint.
    unread_bytes : int
        Bytes of the request body that have arrived and not gone to the endpoint.
    window_bytes : int
        Size of the answer that the ingress has room for.
    started : asyncio.Event
        Set when the attempt has got a slot.
    confirmed : asyncio.Event
        Set when the ingress has confirmed that the attempt may start.
    sent_at : float
        Loop time, in seconds, at which the call of the endpoint began; inf before.
    deadline : float
        Loop time, in seconds, by which the endpoint must have answered; -inf before
        its call begins.
    answer_sent : bool
        True once the whole answer has been sent to the ingress.
    reason : Reason or None
        Why the attempt failed, None if it did not; `CANCELLED` until its call ends.
    """

    def __init__(self, link, head):
        self.link = link
        self.head = head
        self.body = asyncio.Queue()
        self.body_sent = head.last
        self.unread_bytes = len(head.data)
        self.window_bytes = WINDOW_BYTES
        self.window_open = asyncio.Event()
        self.started = asyncio.Event()
        self.confirmed = asyncio.Event()
        self.sent_at = math.inf
        self.deadline = -math.inf
        self.answer_sent = False
        self.reason = Reason.CANCELLED
        self.call = Call()
        self.task = None
        if head.data or head.last:
            self.body.put_nowait((head.data, head.last))

    def send(self, msg):
        """Send a message back to the ingress; a lost link is ignored."""
        with contextlib.suppress(LinkError):
            self.link.send(msg)

    def receive(self, data, last):
        """Queue a part of the body; return False if it exceeds the window."""
        self.unread_bytes += len(data)
        self.body.put_nowait((data, last))
        return self.unread_bytes <= WINDOW_BYTES

    async def body_chunks(self):
        """Yield the request's body and send the ingress credit for each part."""
        last = False
        while not last:
            data, last = await self.body.get()
            if data:
                yield data
                self.unread_bytes -= len(data)
                credit = (self.head.attempt_id, len(data))
                self.send(msgs.Credit(*credit, msgs.CreditedBody.REQUEST.value))
        self.body_sent = True

    async def send_part(self, msg):
        """Send a part of the answer as soon as the ingress has room for it.

        Raises
        ------
        LinkError
            If the link is lost; nothing more may be sent for this attempt.
        """
        size = len(msg.data)
        while self.window_bytes < size:
            self.window_open.clear()
            await self.window_open.wait()
        self.window_bytes -= size
        await self.link.writable()
        self.link.send(msg)
