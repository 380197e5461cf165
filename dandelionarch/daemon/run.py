"""One attempt of a request as the agent sees it."""

import asyncio
import contextlib

from dandelionarch.core.messages import request as msgs
from dandelionarch.core.outcome import Reason
from dandelionarch.daemon.workers import Call
from dandelionarch.errors import LinkError

CHUNK_BYTES = 64 << 10
WINDOW_BYTES = 256 << 10


class Run:
    """One attempt at the agent: its body as it arrives, and its sending window."""

    def __init__(self, link, head):
        self.link = link
        self.head = head
        self.body = asyncio.Queue()
        self.body_sent = head.last
        self.unread = len(head.data)
        self.window = WINDOW_BYTES
        self.window_open = asyncio.Event()
        self.started = asyncio.Event()
        self.confirmed = asyncio.Event()
        self.answered = False
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
        """Take a part of the body; return False if it exceeds the window."""
        self.unread += len(data)
        self.body.put_nowait((data, last))
        return self.unread <= WINDOW_BYTES

    async def body_chunks(self):
        """Yield the request's body."""
        last = False
        while not last:
            data, last = await self.body.get()
            if data:
                yield data
                self.unread -= len(data)
                self.send(msgs.Credit(self.head.attempt_id, len(data)))
        self.body_sent = True

    async def send_part(self, msg):
        """Send a part of the answer once the ingress has room for it.

        Raises
        ------
        LinkError
            If the link is lost; nothing more may be sent for this attempt.
        """
        size = len(msg.data)
        while self.window < size:
            self.window_open.clear()
            await self.window_open.wait()
        self.window -= size
        await self.link.writable()
        self.link.send(msg)
