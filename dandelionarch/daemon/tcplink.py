"""TCP link: handshake, framing, requests with replies, and liveness checks."""

import asyncio
import itertools
import logging
import os
from abc import ABC, abstractmethod

from dandelionarch.core.messages.request import Ping, Pong
from dandelionarch.errors import (
    FrameTooLargeError,
    FrameTruncatedError,
    HandshakeTimeoutError,
    LinkDownError,
    MessageDecodeError,
    ReplyTimeoutError,
    WireError,
)
from dandelionarch.ids import VmId
from dandelionarch.logs import event
from dandelionarch.wire.framing import (
    HELLO,
    LENGTH,
    MAX_FRAME_BYTES,
    NONCE_BYTES,
    Frame,
    FrameKind,
    FrameReader,
    FrameWriter,
    pack_hello,
    session_key,
    unpack_hello,
)

log = logging.getLogger(__name__)

HANDSHAKE_TIMEOUT_S = 2.0
IDENTIFY_CHANNEL = 255
MAX_ID_BYTES = 64
# Bounds the memory that an unauthenticated peer can occupy.
MAX_IDENTIFY_FRAME_BYTES = 256
WRITE_PAUSE_BYTES = 1 << 20
# Senders of bodies wait at WRITE_PAUSE_BYTES, so only a peer that does not read reaches
# this limit.
WRITE_LIMIT_BYTES = 8 << 20
PING_IDLE_S = 0.5
# The dialling side pings an unused link. The accepting side waits longer and pings only
# if it receives nothing.
ACCEPTED_PING_FACTOR = 1.5
SILENCE_TIMEOUT_S = 1.5


class Link(ABC):
    """Sends messages to the daemon of one VM and receives replies.

    Attributes
    ----------
    vm_id : VmId
    closed : bool
    outstanding : int
        Number of requests that wait for the peer.
    """

    vm_id = VmId("")
    closed = False
    outstanding = 0

    @abstractmethod
    def send(self, msg):
        """Send a one-way message, or raise `LinkDownError`."""

    @abstractmethod
    async def ask(self, msg, timeout_s):
        """Send a message and return the reply."""

    def begin_request(self):
        """Increment the count of requests that wait for the peer."""
        self.outstanding += 1

    def end_request(self):
        """Decrement the count of requests that wait for the peer."""
        self.outstanding -= 1

    async def writable(self):
        """Wait until the send buffer has room."""

    def close(self):
        """Close the link."""


class TcpLink(Link, asyncio.Protocol):
    """A connection to another daemon.

    Parameters
    ----------
    network : PeerNetwork
    dialled : bool
        True on the side that opened the connection.

    Attributes
    ----------
    ready : asyncio.Future
        Done when the handshake ends; its result is this link.
    opened_at, last_received : float
        Loop times, in seconds, of the end of the handshake and of the last bytes.
    muted : bool
        True while an injected fault drops all traffic of the link.
    """

    def __init__(self, network, dialled):
        self.vm_id = VmId("")
        self.dialled = dialled
        self.ready = asyncio.get_running_loop().create_future()
        self.opened_at = 0.0
        self.last_received = 0.0
        self.muted = False
        self._network = network
        self._transport = None
        self._buffer = bytearray()
        self._nonce = os.urandom(NONCE_BYTES)
        self._frame_writer = None
        self._frame_reader = None
        self._pending_replies = {}
        self._correlation_ids = itertools.count(1)
        self._writable = asyncio.Event()
        self._writable.set()
        self._handshake_timer = None
        self._ping_count = 0
        self._last_ping_at = 0.0
        self._is_probing = False

    def connection_made(self, transport):
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_PAUSE_BYTES)
        if not self._network.admit(self):
            transport.abort()
            return
        self.last_received = self._network.now()
        self._handshake_timer = asyncio.get_running_loop().call_later(
            HANDSHAKE_TIMEOUT_S, self._on_handshake_timeout
        )
        transport.write(pack_hello(self._nonce))

    def data_received(self, data):
        if self.muted:
            return
        self.last_received = self._network.now()
        self._is_probing = False
        self._buffer += data
        try:
            while not self.closed and self._consume_next():
                pass
        except WireError as exc:
            self._fail(exc)
        except LinkDownError:
            # The connection is closing, so a `Pong` can't be sent.
            self.close()

    def connection_lost(self, exc):
        if self._buffer and not self.closed:
            self._fail(FrameTruncatedError("connection ended inside a frame"))
        else:
            self.close()

    def pause_writing(self):
        self._writable.clear()

    def resume_writing(self):
        self._writable.set()

    def send(self, msg):
        channel, payload = self._network.codec.encode(msg)
        self._write(Frame(channel, FrameKind.ONE_WAY, 0, payload))

    async def ask(self, msg, timeout_s):
        correlation = next(self._correlation_ids)
        fut = asyncio.get_running_loop().create_future()
        self._pending_replies[correlation] = fut
        self.begin_request()
        try:
            channel, payload = self._network.codec.encode(msg)
            self._write(Frame(channel, FrameKind.QUERY, correlation, payload))
            async with asyncio.timeout(timeout_s):
                return await fut
        except TimeoutError as exc:
            raise ReplyTimeoutError(f"{self.vm_id}: no reply in {timeout_s} s") from exc
        finally:
            self.end_request()
            self._pending_replies.pop(correlation, None)

    def begin_request(self):
        if self.outstanding == 0:
            self._last_ping_at = 0.0
            self.last_received = self._network.now()
        self.outstanding += 1

    async def writable(self):
        await self._writable.wait()

    def unsent_bytes(self):
        """Return the number of bytes in the send buffer."""
        return 0 if self.closed else self._transport.get_write_buffer_size()

    def check_liveness(self, now):
        """Ping the peer if it is idle; close the link if it stays silent.

        Without outstanding requests, the link is pinged as an unused one.
        """
        if self.closed:
            return
        idle_s = now - self.last_received
        if not self.outstanding and not self._is_probing:
            self._ping_unused(now, idle_s)
            return
        if idle_s < PING_IDLE_S:
            return
        if idle_s >= SILENCE_TIMEOUT_S:
            event(
                log,
                "link_silent",
                logging.WARNING,
                vm=self.vm_id,
                outstanding=self.outstanding,
                idle_s=idle_s,
            )
            self._transport.abort()
            self.close()
        elif now - self._last_ping_at >= PING_IDLE_S:
            self._last_ping_at = now
            self._ping_count += 1
            self.send(Ping(self._ping_count))

    def _ping_unused(self, now, idle_s):
        """Ping the peer if the unused link has been idle for its ping period."""
        period_s = self._network.idle_ping_s
        if period_s is None:
            return
        if not self.dialled:
            period_s *= ACCEPTED_PING_FACTOR
        if idle_s < period_s:
            return
        self._is_probing = True
        self.last_received = now
        self._last_ping_at = now
        self._ping_count += 1
        self.send(Ping(self._ping_count))

    def close(self):
        if self.closed:
            return
        self.closed = True
        self._writable.set()
        if self._handshake_timer is not None:
            self._handshake_timer.cancel()
        if self._transport is not None:
            self._transport.close()
        link_lost = LinkDownError(f"{self.vm_id or 'peer'}: link lost")
        if not self.ready.done():
            self.ready.set_exception(link_lost)
            self.ready.exception()
        for fut in self._pending_replies.values():
            if not fut.done():
                fut.set_exception(link_lost)
        self._network.remove_link(self)

    def _on_handshake_timeout(self):
        if not self.ready.done():
            self._fail(
                HandshakeTimeoutError(f"not finished in {HANDSHAKE_TIMEOUT_S} s")
            )

    def _fail(self, exc):
        name = "link_failed" if self.ready.done() else "link_refused"
        event(
            log,
            name,
            logging.WARNING,
            vm=self.vm_id or "-",
            error=type(exc).__name__,
            detail=str(exc),
        )
        if not self.ready.done():
            self.ready.set_exception(exc)
            self.ready.exception()
        self.close()

    def _consume_next(self):
        """Consume one hello or frame; return False if none is complete."""
        if self._frame_reader is None:
            if len(self._buffer) < HELLO.size:
                return False
            self._open_session(bytes(self._buffer[: HELLO.size]))
            del self._buffer[: HELLO.size]
            return True
        if len(self._buffer) < LENGTH.size:
            return False
        size = LENGTH.unpack_from(self._buffer)[0]
        limit = MAX_FRAME_BYTES if self.ready.done() else MAX_IDENTIFY_FRAME_BYTES
        if size > limit:
            raise FrameTooLargeError(f"frame of {size} bytes, limit {limit}")
        end = LENGTH.size + size
        if len(self._buffer) < end:
            return False
        data = bytes(self._buffer[LENGTH.size : end])
        del self._buffer[:end]
        self._handle_frame(self._frame_reader.unpack(data))
        return True

    def _open_session(self, hello):
        peer_nonce = unpack_hello(hello)
        key = self._network.shared_key
        self._frame_writer = FrameWriter(session_key(key, self._nonce, peer_nonce))
        self._frame_reader = FrameReader(session_key(key, peer_nonce, self._nonce))
        identity = self._network.vm_id.encode("ascii")
        self._write(Frame(IDENTIFY_CHANNEL, FrameKind.ONE_WAY, 0, identity))

    def _accept_identity(self, frame):
        if frame.channel != IDENTIFY_CHANNEL or len(frame.payload) > MAX_ID_BYTES:
            raise MessageDecodeError("first frame does not identify the peer")
        self.vm_id = VmId(frame.payload.decode("ascii", "replace"))
        if self._network.faults.drops(self.vm_id):
            raise HandshakeTimeoutError(f"{self.vm_id} is cut off")
        self._handshake_timer.cancel()
        self.ready.set_result(self)
        self._network.add_link(self)

    def _handle_frame(self, frame):
        if not self.ready.done():
            self._accept_identity(frame)
            return
        msg = self._network.codec.decode(frame.channel, frame.payload)
        if frame.kind is FrameKind.REPLY:
            fut = self._pending_replies.get(frame.correlation)
            if fut is not None and not fut.done():
                fut.set_result(msg)
        elif frame.kind is FrameKind.QUERY:
            self._network.spawn(self._reply(frame.correlation, msg))
        elif isinstance(msg, Ping):
            self.send(Pong(msg.nonce))
        elif not isinstance(msg, Pong):
            self._network.deliver(self, msg)

    async def _reply(self, correlation, msg):
        answer = await self._network.answer(self, msg)
        if answer is not None and not self.closed:
            channel, payload = self._network.codec.encode(answer)
            self._write(Frame(channel, FrameKind.REPLY, correlation, payload))

    def _write(self, frame):
        if self.closed or self._transport.is_closing():
            raise LinkDownError(f"{self.vm_id}: link is closed")
        if self._transport.get_write_buffer_size() > WRITE_LIMIT_BYTES:
            # Dropping one message would corrupt the bodies that are sent in chunks.
            self._transport.abort()
            self.close()
            raise LinkDownError(f"{self.vm_id}: peer does not read")
        if self.muted or self._network.faults.drops(self.vm_id):
            return
        self._transport.write(self._frame_writer.pack(frame))
