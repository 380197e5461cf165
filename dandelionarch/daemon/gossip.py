"""Gossip task: owns the UDP port and drives the membership protocol."""

import asyncio
import contextlib
import dataclasses
import logging
import random
from collections import Counter

from dandelionarch.core import member_events as events
from dandelionarch.core import members
from dandelionarch.core.endpoint_records import encode_endpoint
from dandelionarch.core.membership import TICK_PERIOD_S, Membership
from dandelionarch.core.messages import members as msgs
from dandelionarch.core.messages.request import Leaving
from dandelionarch.core.rejoin import JOIN_PERIOD_S, SEED_PERIOD_S
from dandelionarch.core.world import Endpoint, EndpointState, VmState
from dandelionarch.errors import (
    FrameTooLargeError,
    LinkError,
    MessageDecodeError,
    WireError,
)
from dandelionarch.logs import event
from dandelionarch.metrics import NullMetrics
from dandelionarch.wire.codec import Codec
from dandelionarch.wire.datagram import DatagramCodec

log = logging.getLogger(__name__)

BAD_DATAGRAM_LOG_PERIOD_S = 10.0
DETAIL_POLL_PERIOD_S = 0.02
ASK_TIMEOUT_S = 1.0


def member_record(vm):
    """Return the initial member record of this daemon."""
    return msgs.MemberRecord(
        vm.vm_id,
        vm.data_centre,
        vm.region,
        vm.host,
        vm.ingress_port,
        vm.peer_port,
        vm.gossip_port,
        vm.admin_port,
        vm.incarnation,
        1,
        members.ALIVE,
        0,
        (),
    )


class Gossip(asyncio.DatagramProtocol):
    """Executes the membership's commands and updates the directory.

    Parameters
    ----------
    network : PeerNetwork
        Delivers `Leaving` from links.
    directory : Directory
    vm : Vm
        The VM of this daemon.
    shared_key : bytes
        Key that authenticates the daemons of the fleet.
    seeds : iterable of (str, int)
        Peer addresses; a seed is asked over a link for its gossip address.
    metrics : optional
        Counts datagrams and errors.
    """

    def __init__(self, network, directory, vm, shared_key, seeds, metrics=None):
        self._network = network
        self._directory = directory
        self._vm = vm
        self._vm_id = vm.vm_id
        self._seeds = [s for s in seeds if s != (vm.host, vm.peer_port)]
        self._metrics = metrics or NullMetrics()
        self._codec = DatagramCodec(Codec(), shared_key)
        self.membership = Membership(member_record(vm), random.Random())
        self.bad_datagrams = Counter()
        self._bad_datagram_logged_at = None
        self._unlogged_bad_datagrams = 0
        self._transport = None
        self._refresh_handle = None
        self._offset_callbacks = []
        self._incarnation_callbacks = []
        self._offset_source = dict
        self._address_source = list
        directory.subscribe_changes(self._on_directory_change)
        directory.subscribe_lookups(self._on_service_use)
        network.subscribe(Leaving, self._on_leaving)
        network.subscribe(msgs.Join, self._on_join)

    def subscribe_peer_offsets(self, callback):
        """Call `callback(vm_id, offsets)` when a peer reports its stream offsets."""
        self._offset_callbacks.append(callback)

    def subscribe_incarnation(self, callback):
        """Call `callback(incarnation)` when this daemon raises its incarnation."""
        self._incarnation_callbacks.append(callback)

    def set_offset_source(self, source):
        """Send the offsets that `source()` returns, a dict by stream, with probes."""
        self._offset_source = source

    def set_address_source(self, source):
        """Join through the addresses that `source()` returns if no member is known."""
        self._address_source = source

    async def start(self, host, port):
        """Open the UDP port."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))

    async def run(self):
        """Drive the membership until cancelled."""
        while True:
            self.membership.set_offsets(self._offset_source())
            if not len(self.membership.table.living):
                self.membership.rejoin.set_fallback(self._address_source())
            self._execute(self.membership.tick(self._now()))
            await asyncio.sleep(TICK_PERIOD_S)

    async def run_seeds(self):
        """Contact seeds that are not known members, until cancelled."""
        while True:
            for address in self._unknown_seeds():
                await self._ask_seed(*address)
            is_alone = not len(self.membership.table.living)
            await asyncio.sleep(JOIN_PERIOD_S if is_alone else SEED_PERIOD_S)

    def _unknown_seeds(self):
        known = {
            (vm.host, vm.peer_port)
            for vm in self._directory.vms.values()
            if vm.state is not VmState.DEAD
        }
        return [address for address in self._seeds if address not in known]

    async def _ask_seed(self, host, port):
        try:
            link = await self._network.dial(host, port)
            join = msgs.Join(self.membership.me)
            reply = await link.ask(join, ASK_TIMEOUT_S)
        except LinkError as exc:
            event(log, "seed_unreachable", logging.WARNING, detail=str(exc))
            return
        for record in reply.records:
            address = members.address_of(record)
            self._execute(self.membership.on_message(address, reply, self._now()))
            self._send(address, join)

    def _on_join(self, link, msg):
        return msgs.Members((self.membership.me,), ())

    def stop(self):
        """Notify all members that this daemon has stopped, and close the port."""
        if self._transport is not None:
            self._execute(self.membership.announce_end())
            self._transport.close()

    def leave(self):
        """Notify all members that this daemon accepts no new work."""
        self._execute(self.membership.announce_leaving())

    async def wait_for_detail(self, service, timeout_s):
        """Wait for the endpoint detail of a service; return False on timeout.

        The first request for a service needs this in fleets with more endpoints than
        are kept eagerly.
        """
        self._on_service_use(service)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while not self.membership.details.is_complete(service):
                    await asyncio.sleep(DETAIL_POLL_PERIOD_S)
                return True
        return False

    def connection_made(self, transport):
        """Store the transport of the UDP port."""
        self._transport = transport

    def datagram_received(self, data, addr):
        """Handle one datagram; count it if it is invalid."""
        try:
            msg = self._codec.unpack(data)
            if not isinstance(msg, msgs.MESSAGES):
                raise MessageDecodeError(f"{type(msg).__name__} is not for gossip")
            commands = self.membership.on_message(tuple(addr[:2]), msg, self._now())
        except (WireError, KeyError, ValueError) as exc:
            # A peer of a later version may send a state that is unknown here.
            self._on_bad_datagram(type(exc).__name__, addr)
            return
        self._execute(commands)

    def error_received(self, exc):
        """Count an error that the socket reports, such as an unreachable peer."""
        self._metrics.incr("gossip.socket_errors")

    def _on_bad_datagram(self, error, addr):
        self.bad_datagrams[error] += 1
        self._metrics.incr("gossip.bad_datagrams")
        self._unlogged_bad_datagrams += 1
        now = self._now()
        last = self._bad_datagram_logged_at
        if last is not None and now - last < BAD_DATAGRAM_LOG_PERIOD_S:
            return
        event(
            log,
            "bad_datagram",
            logging.WARNING,
            error=error,
            source=addr[0],
            count=self._unlogged_bad_datagrams,
        )
        self._bad_datagram_logged_at = now
        self._unlogged_bad_datagrams = 0

    def _now(self):
        return asyncio.get_running_loop().time()

    def _execute(self, commands):
        for command in commands:
            if isinstance(command, events.SendDatagram):
                self._send(command.address, command.message)
            else:
                getattr(self, f"_do_{type(command).__name__.lower()}")(command)

    def _send(self, address, message):
        if self._transport is None or self._transport.is_closing():
            return
        if self._network.faults.drops_datagram(self._directory, address):
            return
        try:
            data = self._codec.pack(message)
            self._transport.sendto(data, address)
        except FrameTooLargeError as exc:
            self._metrics.incr("gossip.too_large")
            event(log, "datagram_too_large", logging.ERROR, detail=str(exc))
        except OSError as exc:
            self.error_received(exc)
        else:
            self._metrics.incr("gossip.datagrams_sent")
            self._metrics.incr("gossip.bytes_sent", len(data))

    def _do_memberchanged(self, command):
        vm = command.vm
        if vm.vm_id == self._vm_id:
            # When an incarnation rises, the directory drops the endpoints of the
            # former process, but these still belong to this daemon.
            own = self._directory.endpoints_of_vm(vm.vm_id)
            self._directory.put_vm(vm)
            for endpoint in own:
                self._directory.put_endpoint(endpoint)
        elif self._directory.put_vm(vm):
            event(log, "vm_state", vm=vm.vm_id, state=vm.state.value)

    def _do_memberforgotten(self, command):
        self._directory.drop_vm(command.vm_id)

    def _do_endpointslearnt(self, command):
        present = {e.endpoint_id for e in command.endpoints}
        for known in self._directory.endpoints_of_vm(command.vm_id):
            if known.service == command.service and known.endpoint_id not in present:
                self._directory.set_endpoint_state(
                    known.endpoint_id, known.incarnation, EndpointState.GONE
                )
        for endpoint in command.endpoints:
            self._directory.put_endpoint(endpoint)

    def _do_endpointstatelearnt(self, command):
        self._directory.set_endpoint_state(
            command.endpoint_id, command.incarnation, command.state
        )

    def _do_peeroffsets(self, command):
        for callback in self._offset_callbacks:
            callback(command.vm_id, command.offsets)

    def _do_incarnationraised(self, command):
        event(log, "incarnation_raised", incarnation=command.incarnation)
        for callback in self._incarnation_callbacks:
            callback(command.incarnation)

    def _on_service_use(self, service):
        self._execute(self.membership.use_service(service, self._now()))

    def _on_directory_change(self, changed):
        own = isinstance(changed, Endpoint) and changed.vm_id == self._vm_id
        if own and self._refresh_handle is None:
            loop = asyncio.get_running_loop()
            self._refresh_handle = loop.call_soon(self._refresh_endpoints)

    def _refresh_endpoints(self):
        self._refresh_handle = None
        own = self._directory.endpoints_of_vm(self._vm_id)
        self._execute(self.membership.set_endpoints(map(encode_endpoint, own)))

    def _on_leaving(self, link, msg):
        """Mark a VM as leaving as soon as its own link says so, before any datagram."""
        vm = self._directory.vms.get(msg.vm_id)
        if vm is None or link.vm_id != msg.vm_id or vm.state is VmState.DEAD:
            return
        self._directory.put_vm(dataclasses.replace(vm, state=VmState.LEAVING))
        known = self.membership.table.records.get(msg.vm_id)
        if known is None or known.incarnation != vm.incarnation:
            return
        verdict = msgs.MemberVerdict(
            known.vm_id, known.incarnation, known.edition, VmState.LEAVING.value
        )
        self._execute(
            self.membership.on_message(
                members.address_of(known), msgs.Members((), (verdict,)), self._now()
            )
        )
