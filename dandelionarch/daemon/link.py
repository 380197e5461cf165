"""Links between daemons: the network task owns all connections to peers."""

import asyncio
import contextlib
import inspect
import itertools
import logging
import os
from abc import ABC, abstractmethod

from dandelionarch.core.messages.request import Ping, Pong
from dandelionarch.errors import (
    AskTimeoutError,
    FrameTooLargeError,
    FrameTruncatedError,
    LinkDownError,
    MessageDecodeError,
    WireError,
)
from dandelionarch.ids import VmId
from dandelionarch.logs import event
from dandelionarch.wire.codec import Codec
from dandelionarch.wire.framing import (
    HELLO,
    LENGTH,
    MAX_FRAME_BYTES,
    NONCE_SIZE,
    Frame,
    FrameKind,
    FrameReader,
    FrameWriter,
    pack_hello,
    session_key,
    unpack_hello,
)

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 1.0
HANDSHAKE_TIMEOUT_S = 2.0
IDENTIFY_CHANNEL = 255
MAX_ID_BYTES = 64
WRITE_HIGH_WATER_BYTES = 4 << 20


class Link(ABC):
    """A way to send messages to the daemon of one VM and to get replies."""

    @abstractmethod
    def send(self, msg):
        """Send a one-way message, or raise `LinkDownError`."""

    @abstractmethod
    async def ask(self, msg, timeout_s):
        """Send a message and return the reply."""

    def close(self):
        """End the link."""


class LocalLink(Link):
    """The link of a daemon to itself; `send` delivers in the next loop turn."""

    def __init__(self, network):
        self.vm_id = network.vm_id
        self._network = network

    def send(self, msg):
        asyncio.get_running_loop().call_soon(self._network.deliver, self, msg)

    async def ask(self, msg, timeout_s):
        return await self._network.answer(self, msg)


class TcpLink(Link):
    """An established connection to another daemon.

    `dialled` is True on the side that opened the connection.
    """

    def __init__(self, network, reader, writer, dialled):
        self.vm_id = VmId("")
        self.dialled = dialled
        self.last_received = 0.0
        self._network = network
        self._reader = reader
        self._writer = writer
        self._asks = {}
        self._correlations = itertools.count(1)
        self._pack = None
        self._unpack = None
        self.closed = False

    async def handshake(self):
        """Exchange nonces and identities.

        Raises
        ------
        WireError
            If the peer has another key or version.
        """
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            nonce = os.urandom(NONCE_SIZE)
            self._writer.write(pack_hello(nonce))
            peer_nonce = unpack_hello(await self._read_exactly(HELLO.size))
            key = self._network.shared_key
            self._pack = FrameWriter(session_key(key, nonce, peer_nonce))
            self._unpack = FrameReader(session_key(key, peer_nonce, nonce))
            self._write(
                Frame(IDENTIFY_CHANNEL, 0, 0, self._network.vm_id.encode("ascii"))
            )
            frame = await self._read_frame()
            if frame.channel != IDENTIFY_CHANNEL or len(frame.payload) > MAX_ID_BYTES:
                raise MessageDecodeError("first frame does not identify the peer")
            self.vm_id = VmId(frame.payload.decode("ascii", "replace"))

    def unsent(self):
        """Return the bytes that wait in the sending buffer."""
        return 0 if self.closed else self._writer.transport.get_write_buffer_size()

    async def run(self):
        """Read frames until the connection ends; then fail pending asks."""
        try:
            while True:
                self._handle(await self._read_frame())
        except FrameTruncatedError:
            pass
        except (WireError, OSError) as exc:
            event(
                log,
                "link_failed",
                logging.WARNING,
                vm=self.vm_id,
                error=type(exc).__name__,
                detail=str(exc),
            )
        finally:
            self.close()

    def send(self, msg):
        channel, payload = self._network.codec.encode(msg)
        self._write(Frame(channel, FrameKind.ONE_WAY, 0, payload))

    async def ask(self, msg, timeout_s):
        correlation = next(self._correlations)
        fut = asyncio.get_running_loop().create_future()
        self._asks[correlation] = fut
        try:
            channel, payload = self._network.codec.encode(msg)
            self._write(Frame(channel, FrameKind.ASK, correlation, payload))
            async with asyncio.timeout(timeout_s):
                return await fut
        except TimeoutError as exc:
            raise AskTimeoutError(f"{self.vm_id}: no reply in {timeout_s} s") from exc
        finally:
            self._asks.pop(correlation, None)

    def close(self):
        if self.closed:
            return
        self.closed = True
        self._writer.close()
        for fut in self._asks.values():
            if not fut.done():
                fut.set_exception(LinkDownError(f"{self.vm_id}: link lost"))
        self._network.link_closed(self)

    def _handle(self, frame):
        self.last_received = self._network.now()
        msg = self._network.codec.decode(frame.channel, frame.payload)
        if frame.kind is FrameKind.REPLY:
            fut = self._asks.get(frame.correlation)
            if fut is not None and not fut.done():
                fut.set_result(msg)
        elif frame.kind is FrameKind.ASK:
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
        if self.closed or self._writer.is_closing():
            raise LinkDownError(f"{self.vm_id}: link is closed")
        if self._writer.transport.get_write_buffer_size() > WRITE_HIGH_WATER_BYTES:
            raise LinkDownError(f"{self.vm_id}: peer does not read")
        self._writer.write(self._pack.pack(frame))

    async def _read_frame(self):
        size = LENGTH.unpack(await self._read_exactly(LENGTH.size))[0]
        if size > MAX_FRAME_BYTES:
            raise FrameTooLargeError(f"frame of {size} bytes")
        return self._unpack.unpack(await self._read_exactly(size))

    async def _read_exactly(self, size):
        try:
            return await self._reader.readexactly(size)
        except asyncio.IncompleteReadError as exc:
            raise FrameTruncatedError("connection ended inside a frame") from exc


class PeerNetwork:
    """Owns the peer port and one outgoing link per VM.

    Parameters
    ----------
    vm_id : VmId
        This daemon's VM.
    shared_key : bytes
        Key of the fleet.
    address_of : callable
        `address_of(vm_id)` returns (host, port) or None.
    """

    def __init__(self, vm_id, shared_key, address_of):
        self.vm_id = vm_id
        self.shared_key = shared_key
        self.codec = Codec()
        self._address_of = address_of
        self._links = {}
        self._dialling = {}
        self._accepted = set()
        self._handlers = {}
        self._lost_handlers = []
        self._tasks = set()
        self._local = LocalLink(self)
        self._server = None

    def now(self):
        """Return the loop's monotonic time in seconds."""
        return asyncio.get_running_loop().time()

    def subscribe(self, msg_type, handler):
        """Call `handler(link, msg)` for each message of a type.

        For a message that was asked, the handler's return value, awaited if need
        be, is the reply.
        """
        self._handlers[msg_type] = handler

    def on_lost(self, handler):
        """Call `handler(link)` when any link ends."""
        self._lost_handlers.append(handler)

    async def start(self, host, port):
        """Listen on the peer port."""
        self._server = await asyncio.start_server(self._accept, host, port)

    async def stop(self):
        """Close the port, all links and all tasks."""
        if self._server is not None:
            self._server.close()
        for link in [*self._links.values(), *self._accepted]:
            link.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def spawn(self, coro):
        """Run a coroutine as a task that the network owns."""
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def is_up(self, vm_id):
        """Return True if a link to the VM is established (or is this VM)."""
        return vm_id == self.vm_id or vm_id in self._links

    def unsent(self):
        """Return the bytes that wait in the sending buffers of all links."""
        return sum(link.unsent() for link in self.all_links())

    def all_links(self):
        """Return every established link, dialled or accepted."""
        return [*self._links.values(), *self._accepted]

    async def link(self, vm_id):
        """Return the link to a VM, dialling it if need be.

        Raises
        ------
        LinkDownError
            If the VM is unknown or does not accept the connection.
        """
        if vm_id == self.vm_id:
            return self._local
        link = self._links.get(vm_id)
        if link is not None:
            return link
        fut = self._dialling.get(vm_id)
        if fut is None:
            address = self._address_of(vm_id)
            if address is None:
                raise LinkDownError(f"{vm_id}: address unknown")
            fut = self.spawn(self._dial_vm(vm_id, address))
            self._dialling[vm_id] = fut
            fut.add_done_callback(lambda _: self._dialling.pop(vm_id, None))
        return await asyncio.shield(fut)

    async def dial(self, host, port):
        """Open and return a link to an address."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(host, port)
        except (OSError, TimeoutError) as exc:
            raise LinkDownError(f"{host}:{port}: {exc or 'timeout'}") from exc
        link = TcpLink(self, reader, writer, dialled=True)
        try:
            await link.handshake()
        except (WireError, OSError, TimeoutError) as exc:
            writer.close()
            raise LinkDownError(f"{host}:{port}: {type(exc).__name__}: {exc}") from exc
        known = self._links.get(link.vm_id)
        if known is not None:
            known.close()
        self._links[link.vm_id] = link
        self.spawn(link.run())
        return link

    async def send(self, vm_id, msg):
        """Send a one-way message to a VM."""
        (await self.link(vm_id)).send(msg)

    async def ask(self, vm_id, msg, timeout_s=2.0):
        """Send a message to a VM and return its reply."""
        return await (await self.link(vm_id)).ask(msg, timeout_s)

    def deliver(self, link, msg):
        """Pass a one-way message to its subscriber."""
        handler = self._handlers.get(type(msg))
        if handler is None:
            event(log, "message_ignored", logging.WARNING, type=type(msg).__name__)
            return
        result = handler(link, msg)
        if inspect.isawaitable(result):
            self.spawn(result)

    async def answer(self, link, msg):
        """Return the subscriber's reply to a message that was asked."""
        handler = self._handlers.get(type(msg))
        if handler is None:
            event(log, "message_ignored", logging.WARNING, type=type(msg).__name__)
            return None
        result = handler(link, msg)
        return await result if inspect.isawaitable(result) else result

    def link_closed(self, link):
        """Forget a link that ended and tell the subscribers."""
        if self._links.get(link.vm_id) is link:
            del self._links[link.vm_id]
        self._accepted.discard(link)
        for handler in self._lost_handlers:
            handler(link)

    async def _dial_vm(self, vm_id, address):
        link = await self.dial(*address)
        if link.vm_id != vm_id:
            link.close()
            raise LinkDownError(f"{vm_id}: address is now used by {link.vm_id}")
        return link

    async def _accept(self, reader, writer):
        link = TcpLink(self, reader, writer, dialled=False)
        try:
            await link.handshake()
        except (WireError, OSError, TimeoutError) as exc:
            event(
                log,
                "link_refused",
                logging.WARNING,
                error=type(exc).__name__,
                detail=str(exc),
            )
            with contextlib.suppress(OSError):
                writer.close()
            return
        self._accepted.add(link)
        await link.run()
