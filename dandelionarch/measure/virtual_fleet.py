"""Several copies of the membership on a virtual clock and a virtual network."""

import random
import time
from dataclasses import dataclass, field

from dandelionarch.core import members as table_of
from dandelionarch.core.exchange import TreeExchange
from dandelionarch.core.member_events import (
    EndpointsLearnt,
    EndpointStateLearnt,
    IncarnationRaised,
    MemberChanged,
    PeerOffsets,
    SendDatagram,
)
from dandelionarch.core.membership import TICK_S, Membership
from dandelionarch.core.messages import members as msgs
from dandelionarch.core.timer import TimerService
from dandelionarch.core.world import EndpointState
from dandelionarch.wire.codec import Codec
from dandelionarch.wire.datagram import DatagramCodec

LATENCY_S = 0.0005
REGIONS = 2
DATA_CENTRES = 4
SERVICES = 330
KEY = b"0123456789abcdef"
STREAMS = ("config", "fleet", *(f"orders-{i}" for i in range(16)))


@dataclass
class Traffic:
    """What the copies sent, and the processor time they took."""

    messages: int = 0
    size: int = 0
    largest: int = 0
    cpu_s: float = 0.0
    by_type: dict = field(default_factory=dict)

    def add(self, message, size):
        """Count one datagram."""
        self.messages += 1
        self.size += size
        self.largest = max(self.largest, size)
        name = type(message).__name__
        count, total = self.by_type.get(name, (0, 0))
        self.by_type[name] = (count + 1, total + size)


class VirtualDaemon:
    """One copy of the membership with what it has told its daemon."""

    def __init__(self, record, rng, seeds, exchange_type):
        self.membership = Membership(record, rng, seeds, exchange_type)
        self.vm_id = record.vm_id
        self.region = record.region
        self.address = table_of.address_of(record)
        self.running = True
        self.paused = False
        self.inbox = []
        self.states = {}
        self.changes = []
        self.endpoints = {}
        self.offsets = {}
        self.raised = []

    def draining(self, endpoint_id, vm_id, service):
        """Return True if fetched detail shows an endpoint as draining."""
        endpoint = self.endpoints.get((vm_id, service), {}).get(endpoint_id)
        return endpoint is not None and endpoint.state is EndpointState.DRAINING


class VirtualFleet:
    """Daemons with ids `vm-0` and so on, of which each knows all at the start.

    Parameters
    ----------
    count : int
    seed : int
    workers : float
        Endpoints per daemon, on average.
    loss : float
        Share of datagrams lost.
    wire : bool
        Encode, authenticate and decode every datagram, and count its bytes.
    joined : bool
        Start with full member tables.
    """

    def __init__(
        self,
        count,
        seed=1,
        workers=0.0,
        loss=0.0,
        wire=False,
        joined=True,
        exchange_type=TreeExchange,
        seeds=(("10.0.0.0", 7000),),
    ):
        self.rng = random.Random(seed)
        self.timers = TimerService(1000.0)
        self.loss = loss
        self.cut = lambda source, target: False
        self.traffic = Traffic()
        self.daemons = {}
        self.by_address = {}
        self.seeds = seeds
        self._exchange_type = exchange_type
        self._codec = DatagramCodec(Codec(), KEY) if wire else None
        for index in range(count):
            self.start(f"vm-{index}", index, workers, seeds=self.seeds)
        if joined:
            self._introduce_all()

    def start(self, vm_id, index, workers=0.0, incarnation=None, seeds=()):
        """Start a daemon at the address of an index."""
        now_ms = int(self.timers.now() * 1000)
        record = msgs.MemberRecord(
            vm_id,
            f"dc-{index % DATA_CENTRES}",
            f"region-{index % REGIONS}",
            f"10.0.{index // 250}.{index % 250}",
            8080,
            8081,
            7000,
            8083,
            incarnation or now_ms * 1000 + self.rng.randrange(1000),
            1,
            table_of.ALIVE,
            0,
            (),
        )
        rng = random.Random(self.rng.random())
        daemon = VirtualDaemon(record, rng, seeds, self._exchange_type)
        self.daemons[vm_id] = daemon
        self.by_address[daemon.address] = daemon
        if workers:
            self.carry_out(
                daemon, daemon.membership.set_endpoints(self._endpoints(vm_id, workers))
            )
        daemon.membership.set_offsets(dict.fromkeys(STREAMS, 100_000))
        first = self.rng.uniform(0, TICK_S)
        self.timers.subscribe(first, lambda: self._tick(daemon))
        return daemon

    def _endpoints(self, vm_id, workers):
        whole = int(workers) + (self.rng.random() < workers % 1)
        first = self.rng.randrange(SERVICES)
        return [
            msgs.EndpointRecord(
                f"{vm_id}-w{i}",
                vm_id,
                f"service-{(first + i // 3) % SERVICES}",
                "127.0.0.1",
                9000 + i,
                3,
                330,
                1,
                "ready",
                "healthy",
            )
            for i in range(whole)
        ]

    def _introduce_all(self):
        records = [d.membership.me for d in self.daemons.values()]
        for daemon in self.daemons.values():
            for record in records:
                if record.vm_id != daemon.vm_id:
                    daemon.membership.table.put(record)
                    daemon.membership.details.on_member_changed(record)
                    daemon.states[record.vm_id] = record.state

    def run(self, seconds):
        """Move the virtual time on."""
        self.timers.advance(self.timers.now() + seconds)

    def run_until(self, check, limit_s, step_s=0.1):
        """Run until `check()` holds; return the seconds, or None at the limit.

        The check is made after each step of `step_s` seconds.
        """
        started = self.timers.now()
        while self.timers.now() - started < limit_s:
            self.run(step_s)
            if check():
                return self.timers.now() - started
        return None

    def kill(self, vm_id):
        """End a daemon without notice."""
        self.daemons[vm_id].running = False

    def pause(self, vm_id):
        """Stop a daemon as SIGSTOP does; datagrams wait in its socket."""
        self.daemons[vm_id].paused = True

    def wake(self, vm_id):
        """Let a paused daemon go on, first with what waits in its socket."""
        daemon = self.daemons[vm_id]
        daemon.paused = False
        waiting, daemon.inbox = daemon.inbox, []
        for address, message in waiting:
            self._receive(daemon, address, message)

    def leave(self, vm_id, stop_after_s=2.0):
        """Let a daemon leave, and end after a while."""
        daemon = self.daemons[vm_id]
        self.carry_out(daemon, daemon.membership.announce_leaving())

        def stop():
            self.carry_out(daemon, daemon.membership.announce_end())
            daemon.running = False

        self.timers.subscribe(stop_after_s, stop)

    def held(self, vm_id, state, among=None):
        """Return how many running daemons hold a member to be in a state."""
        return sum(
            d.states.get(vm_id) == state
            for d in self.daemons.values()
            if d.running and d.vm_id != vm_id and (among is None or among(d))
        )

    def _tick(self, daemon):
        if not daemon.running:
            return
        self.timers.subscribe(TICK_S, lambda: self._tick(daemon))
        if not daemon.paused:
            started = time.process_time()
            commands = daemon.membership.tick(self.timers.now())
            self.traffic.cpu_s += time.process_time() - started
            self.carry_out(daemon, commands)

    def carry_out(self, daemon, commands):
        """Carry out what a daemon's membership returned."""
        for command in commands:
            if isinstance(command, SendDatagram):
                self._send(daemon, command.address, command.message)
            elif isinstance(command, MemberChanged):
                state = command.vm.state.value
                daemon.states[command.vm.vm_id] = state
                daemon.changes.append((self.timers.now(), command.vm.vm_id, state))
            elif isinstance(command, EndpointsLearnt):
                key = (command.vm_id, command.service)
                daemon.endpoints[key] = {e.endpoint_id: e for e in command.endpoints}
            elif isinstance(command, EndpointStateLearnt):
                daemon.changes.append(
                    (self.timers.now(), command.endpoint_id, command.state.value)
                )
            elif isinstance(command, PeerOffsets):
                daemon.offsets[command.vm_id] = command.offsets
            elif isinstance(command, IncarnationRaised):
                daemon.raised.append(command.incarnation)

    def _send(self, daemon, address, message):
        target = self.by_address.get(address)
        data = None
        if self._codec is not None:
            started = time.process_time()
            data = self._codec.pack(message)
            self.traffic.cpu_s += time.process_time() - started
            self.traffic.add(message, len(data))
        else:
            self.traffic.add(message, 0)
        lost = self.rng.random() < self.loss
        if target is None or lost or self.cut(daemon, target):
            return
        self.timers.subscribe(
            LATENCY_S, lambda: self._arrive(address, daemon.address, message, data)
        )

    def _arrive(self, address, source, message, data):
        daemon = self.by_address[address]
        if not daemon.running:
            return
        if daemon.paused:
            daemon.inbox.append((source, message))
            return
        if data is not None:
            started = time.process_time()
            message = self._codec.unpack(data)
            self.traffic.cpu_s += time.process_time() - started
        self._receive(daemon, source, message)

    def _receive(self, daemon, source, message):
        started = time.process_time()
        commands = daemon.membership.on_message(source, message, self.timers.now())
        self.traffic.cpu_s += time.process_time() - started
        self.carry_out(daemon, commands)
