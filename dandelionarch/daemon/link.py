"""Links between daemons: the network task owns all connections to peers.

With `idle_ping_s` set, one link carries requests in both directions. Otherwise each
daemon sends its requests only over links that it has dialled, because without pings
only a request reveals a dead link.
"""

import asyncio
import contextlib
import inspect
import logging

from dandelionarch.daemon.faults import InjectedFaults
from dandelionarch.daemon.tcplink import Link, TcpLink
from dandelionarch.errors import LinkDownError, LinkError, WireError
from dandelionarch.logs import event
from dandelionarch.wire.codec import Codec

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 1.0
MAX_HALF_OPEN_LINKS = 64
MAX_ACCEPTED_LINKS = 4096
CHECK_PERIOD_S = 0.25


class LocalLink(Link):
    """Loopback link; `send` delivers in the next iteration of the event loop."""

    def __init__(self, network):
        self.vm_id = network.vm_id
        self._network = network

    def send(self, msg):
        asyncio.get_running_loop().call_soon(self._network.deliver, self, msg)

    async def ask(self, msg, timeout_s):
        return await self._network.answer(self, msg)


class PeerNetwork:
    """Owns the peer port, accepted links and one outgoing link per VM.

    Parameters
    ----------
    vm_id : VmId
        This daemon's VM.
    shared_key : bytes
        Key that authenticates the daemons of the fleet.
    address_of : callable
        `address_of(vm_id)` returns (host, port) or None.
    idle_ping_s : float, optional
        Seconds after which an unused link is pinged; never by default.
    codec : Codec, optional
        Codec of the channels that this daemon uses; of all channels by default.
    """

    def __init__(self, vm_id, shared_key, address_of, idle_ping_s=None, codec=None):
        self.idle_ping_s = idle_ping_s
        self.vm_id = vm_id
        self.shared_key = shared_key
        self.codec = codec or Codec()
        self.faults = InjectedFaults()
        self.address_of = address_of
        self._dialled_by_vm = {}
        self._accepted_by_vm = {}
        self._dial_tasks = {}
        self._accepted = set()
        self._half_open = set()
        self._handlers = {}
        self._link_lost_callbacks = []
        self._link_opened_callbacks = []
        self._tasks = set()
        self._local_link = LocalLink(self)
        self._server = None

    def now(self):
        """Return the loop's monotonic time in seconds."""
        return asyncio.get_running_loop().time()

    def subscribe(self, msg_type, handler):
        """Call `handler(link, msg)` for each message of a type.

        If the sender waits for a reply, the handler's return value (awaited if it is
        awaitable) is the reply.
        """
        self._handlers[msg_type] = handler

    def subscribe_link_lost(self, callback):
        """Call `callback(link)` when a link has closed."""
        self._link_lost_callbacks.append(callback)

    def subscribe_link_opened(self, callback):
        """Call `callback(link)` when a link has opened, dialled or accepted."""
        self._link_opened_callbacks.append(callback)

    async def start(self, host, port):
        """Listen on the peer port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: TcpLink(self, dialled=False), host, port
        )
        self.spawn(self._check_links())

    async def stop(self):
        """Close the port, all links and all tasks."""
        if self._server is not None:
            self._server.close()
        for link in [*self.all_links(), *self._half_open]:
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
        """Return True if a link to the VM is established, or if it is this VM."""
        return vm_id == self.vm_id or self._open_link(vm_id) is not None

    def _open_link(self, vm_id):
        """Return the latest open link to a VM, or None.

        Accepted links are considered only if unused links are pinged.
        """
        dialled = self._dialled_by_vm.get(vm_id)
        if self.idle_ping_s is None:
            return dialled
        accepted = self._accepted_by_vm.get(vm_id)
        if dialled is None or accepted is None:
            return dialled or accepted
        return dialled if dialled.opened_at >= accepted.opened_at else accepted

    def unsent_bytes(self):
        """Return the number of bytes in the send buffers of all links."""
        return sum(link.unsent_bytes() for link in self.all_links())

    def all_links(self):
        """Return every established link, dialled or accepted."""
        return [*self._dialled_by_vm.values(), *self._accepted]

    def broadcast(self, msg):
        """Send a message to this daemon and once to every VM with an open link."""
        links = {
            link.vm_id: link
            for link in [*self._accepted, *self._dialled_by_vm.values()]
        }
        for link in [self._local_link, *links.values()]:
            with contextlib.suppress(LinkError):
                link.send(msg)

    async def connect(self, vm_id):
        """Return the link to a VM; dial it if there is none.

        Raises
        ------
        LinkDownError
            If the VM is unknown or does not accept the connection.
        """
        if vm_id == self.vm_id:
            return self._local_link
        link = self._open_link(vm_id)
        if link is not None:
            return link
        fut = self._dial_tasks.get(vm_id)
        if fut is None:
            address = self.address_of(vm_id)
            if self.faults.drops(vm_id):
                await asyncio.sleep(CONNECT_TIMEOUT_S)
                raise LinkDownError(f"{vm_id}: connection timed out")
            if address is None:
                raise LinkDownError(f"{vm_id}: address unknown")
            fut = self.spawn(self.dial(*address, expected=vm_id))
            self._dial_tasks[vm_id] = fut
            fut.add_done_callback(lambda _: self._dial_tasks.pop(vm_id, None))
        return await asyncio.shield(fut)

    async def dial(self, host, port, expected=None):
        """Open and return a link to an address.

        If a dialled link to that VM is open already, return that one instead, so that
        requests in flight on it continue.

        Raises
        ------
        LinkDownError
            If the connection or its handshake fails, or if another VM than `expected`
            answers.
        """
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, link = await loop.create_connection(
                    lambda: TcpLink(self, dialled=True), host, port
                )
            await link.ready
        except (WireError, OSError, TimeoutError, ValueError) as exc:
            detail = f"{type(exc).__name__}: {exc}"
            raise LinkDownError(f"{host}:{port}: {detail}") from exc
        if expected is not None and link.vm_id != expected:
            link.close()
            raise LinkDownError(f"{expected}: address is now used by {link.vm_id}")
        known = self._dialled_by_vm.get(link.vm_id)
        if known is not None and not known.closed:
            link.close()
            return known
        self._dialled_by_vm[link.vm_id] = link
        return link

    async def send(self, vm_id, msg):
        """Send a one-way message to a VM."""
        (await self.connect(vm_id)).send(msg)

    async def ask(self, vm_id, msg, timeout_s=2.0):
        """Send a message to a VM and return its reply."""
        return await (await self.connect(vm_id)).ask(msg, timeout_s)

    def deliver(self, link, msg):
        """Pass a one-way message to its subscriber."""
        handler = self._handlers.get(type(msg))
        if handler is None:
            event(log, "message_ignored", logging.WARNING, type=type(msg).__name__)
            return
        try:
            result = handler(link, msg)
        except Exception:
            log.exception("message_failed", extra={"type": type(msg).__name__})
            return
        if inspect.isawaitable(result):
            self.spawn(result)

    async def answer(self, link, msg):
        """Return the subscriber's reply to a message, None if there is none."""
        handler = self._handlers.get(type(msg))
        if handler is None:
            event(log, "message_ignored", logging.WARNING, type=type(msg).__name__)
            return None
        try:
            result = handler(link, msg)
            return await result if inspect.isawaitable(result) else result
        except Exception:
            log.exception("message_failed", extra={"type": type(msg).__name__})
            return None

    def remove_link(self, link):
        """Remove a link that has closed; call the callbacks for lost links."""
        if self._dialled_by_vm.get(link.vm_id) is link:
            del self._dialled_by_vm[link.vm_id]
        if self._accepted_by_vm.get(link.vm_id) is link:
            del self._accepted_by_vm[link.vm_id]
        self._accepted.discard(link)
        self._half_open.discard(link)
        for callback in self._link_lost_callbacks:
            callback(link)

    def admit(self, link):
        """Return True if a connection may start its handshake.

        An accepted connection is counted as half-open; it is refused if there are too
        many.
        """
        if link.dialled:
            return True
        if len(self._half_open) >= MAX_HALF_OPEN_LINKS:
            reason = "half-open links"
        elif len(self._accepted) >= MAX_ACCEPTED_LINKS:
            reason = "links"
        else:
            self._half_open.add(link)
            return True
        event(log, "link_refused", logging.WARNING, error="TooMany", detail=reason)
        return False

    def add_link(self, link):
        """Add a link whose handshake is done; call the callbacks for opened links."""
        link.opened_at = self.now()
        if not link.dialled:
            self._half_open.discard(link)
            self._accepted.add(link)
            self._accepted_by_vm[link.vm_id] = link
        for callback in self._link_opened_callbacks:
            callback(link)

    async def _check_links(self):
        """Check the liveness of all links periodically."""
        previous = self.now()
        while True:
            await asyncio.sleep(CHECK_PERIOD_S)
            now = self.now()
            paused = self.was_paused(previous, now)
            previous = now
            for link in self.all_links():
                if paused:
                    link.last_received = now
                    continue
                # The transport may be closing before `connection_lost` is called.
                with contextlib.suppress(LinkError):
                    link.check_liveness(now)

    @staticmethod
    def was_paused(previous, now):
        """Return True if this process was paused between two checks.

        Bytes received meanwhile are unread then; they must be processed before a peer
        is considered silent.
        """
        return now - previous > 3 * CHECK_PERIOD_S
