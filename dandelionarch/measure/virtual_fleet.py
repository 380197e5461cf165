"""Simulation of the membership of many daemons with virtual time and network."""

import random
import time
from dataclasses import dataclass, field

from dandelionarch.core import members
from dandelionarch.core.member_events import (
    EndpointsLearnt,
    EndpointStateLearnt,
    IncarnationRaised,
    MemberChanged,
    PeerOffsets,
    SendDatagram,
)
from dandelionarch.core.member_exchange import TreeExchange
from dandelionarch.core.membership import TICK_PERIOD_S, Membership
from dandelionarch.core.messages import members as msgs
from dandelionarch.core.timer import TimerService
from dandelionarch.core.world import EndpointState
from dandelionarch.wire.codec import Codec
from dandelionarch.wire.datagram import DatagramCodec

LATENCY_S = 0.0005
REGION_COUNT = 2
DATA_CENTRE_COUNT = 4
SERVICE_COUNT = 330
KEY = b"0123456789abcdef"
STREAMS = ("config", "fleet", *(f"orders-{i}" for i in range(16)))


@dataclass
class Traffic:
    """Datagrams that the daemons sent, and the processor time that they used."""

    messages: int = 0
    size: int = 0
    max_bytes: int = 0
    cpu_s: float = 0.0
    by_type: dict = field(default_factory=dict)

    def add(self, message, size):
        """Count one datagram."""
        self.messages += 1
        self.size += size
        self.max_bytes = max(self.max_bytes, size)
        name = type(message).__name__
        count, total = self.by_type.get(name, (0, 0))
        self.by_type[name] = (count + 1, total + size)


class VirtualDaemon:
    """The membership of one daemon, and the events that it has reported."""

    def __init__(self, record, rng, seeds, exchange_type):
        self.membership = Membership(record, rng, seeds, exchange_type)
        self.vm_id = record.vm_id
        self.region = record.region
        self.address = members.address_of(record)
        self.running = True
        self.paused = False
        self.inbox = []
        self.states = {}
        self.changes = []
        self.endpoints = {}
        self.offsets = {}
        self.raised_incarnations = []

    def is_known_draining(self, endpoint_id, vm_id, service):
        """Return True if the endpoints fetched from a VM show one as draining."""
        endpoint = self.endpoints.get((vm_id, service), {}).get(endpoint_id)
        return endpoint is not None and endpoint.state is EndpointState.DRAINING


class VirtualFleet:
    """Daemons with the ids `vm-0`, `vm-1` and so on.

    Parameters
    ----------
    count : int
    seed : int
    workers : float
        Mean number of endpoints per daemon.
    loss : float
        Share of datagrams that are lost.
    wire : bool
        Whether datagrams are encoded, authenticated and decoded, and bytes counted.
    joined : bool
        Whether every daemon knows all others at the start.
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
        self.is_cut = lambda source, target: False
        self.traffic = Traffic()
        self.daemons = {}
        self.by_address = {}
        self.seeds = seeds
        self._exchange_type = exchange_type
        self._codec = DatagramCodec(Codec(), KEY) if wire else None
        for index in range(count):
            self.start(f"vm-{index}", index, workers, seeds=self.seeds)
        if joined:
            self._fill_member_tables()

    def start(self, vm_id, index, workers=0.0, incarnation=None, seeds=()):
        """Start a daemon with the address that belongs to an index."""
        now_ms = int(self.timers.now() * 1000)
        record = msgs.MemberRecord(
            vm_id,
            f"dc-{index % DATA_CENTRE_COUNT}",
            f"region-{index % REGION_COUNT}",
            f"10.0.{index // 250}.{index % 250}",
            8080,
            8081,
            7000,
            8083,
            incarnation or now_ms * 1000 + self.rng.randrange(1000),
            1,
            members.ALIVE,
            0,
            (),
        )
        rng = random.Random(self.rng.random())
        daemon = VirtualDaemon(record, rng, seeds, self._exchange_type)
        self.daemons[vm_id] = daemon
        self.by_address[daemon.address] = daemon
        if workers:
            self.execute(
                daemon, daemon.membership.set_endpoints(self._endpoints(vm_id, workers))
            )
        daemon.membership.set_offsets(dict.fromkeys(STREAMS, 100_000))
        first_tick_delay_s = self.rng.uniform(0, TICK_PERIOD_S)
        self.timers.subscribe(first_tick_delay_s, lambda: self._tick(daemon))
        return daemon

    def _endpoints(self, vm_id, workers):
        count = int(workers) + (self.rng.random() < workers % 1)
        first_service = self.rng.randrange(SERVICE_COUNT)
        return [
            msgs.EndpointRecord(
                f"{vm_id}-w{i}",
                vm_id,
                f"service-{(first_service + i // 3) % SERVICE_COUNT}",
                "127.0.0.1",
                9000 + i,
                3,
                330,
                1,
                "ready",
                "healthy",
            )
            for i in range(count)
        ]

    def _fill_member_tables(self):
        records = [d.membership.me for d in self.daemons.values()]
        for daemon in self.daemons.values():
            for record in records:
                if record.vm_id != daemon.vm_id:
                    daemon.membership.table.put(record)
                    daemon.membership.details.on_member_changed(record)
                    daemon.states[record.vm_id] = record.state

    def run(self, seconds):
        """Advance the virtual time."""
        self.timers.advance(self.timers.now() + seconds)

    def run_until(self, check, limit_s, step_s=0.1):
        """Run until `check()` is true; return the seconds taken, or None at the limit.

        The check is made after each step of `step_s` seconds.
        """
        start_s = self.timers.now()
        while self.timers.now() - start_s < limit_s:
            self.run(step_s)
            if check():
                return self.timers.now() - start_s
        return None

    def kill(self, vm_id):
        """Stop a daemon without notice."""
        self.daemons[vm_id].running = False

    def pause(self, vm_id):
        """Suspend a daemon as SIGSTOP does; datagrams are kept in its socket."""
        self.daemons[vm_id].paused = True

    def resume(self, vm_id):
        """Resume a paused daemon, which first handles the datagrams in its socket."""
        daemon = self.daemons[vm_id]
        daemon.paused = False
        datagrams, daemon.inbox = daemon.inbox, []
        for address, message in datagrams:
            self._receive(daemon, address, message)

    def leave(self, vm_id, stop_after_s=2.0):
        """Let a daemon leave and stop `stop_after_s` seconds later."""
        daemon = self.daemons[vm_id]
        self.execute(daemon, daemon.membership.announce_leaving())

        def stop():
            self.execute(daemon, daemon.membership.announce_end())
            daemon.running = False

        self.timers.subscribe(stop_after_s, stop)

    def count_views(self, vm_id, state, among=None):
        """Return the number of running daemons that see a member in a state."""
        return sum(
            d.states.get(vm_id) == state
            for d in self.daemons.values()
            if d.running and d.vm_id != vm_id and (among is None or among(d))
        )

    def _tick(self, daemon):
        if not daemon.running:
            return
        self.timers.subscribe(TICK_PERIOD_S, lambda: self._tick(daemon))
        if not daemon.paused:
            start_s = time.process_time()
            commands = daemon.membership.tick(self.timers.now())
            self.traffic.cpu_s += time.process_time() - start_s
            self.execute(daemon, commands)

    def execute(self, daemon, commands):
        """Execute the commands that a daemon's membership has returned."""
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
                daemon.raised_incarnations.append(command.incarnation)

    def _send(self, daemon, address, message):
        target = self.by_address.get(address)
        data = None
        if self._codec is not None:
            start_s = time.process_time()
            data = self._codec.pack(message)
            self.traffic.cpu_s += time.process_time() - start_s
            self.traffic.add(message, len(data))
        else:
            self.traffic.add(message, 0)
        is_lost = self.rng.random() < self.loss
        if target is None or is_lost or self.is_cut(daemon, target):
            return
        self.timers.subscribe(
            LATENCY_S, lambda: self._deliver(address, daemon.address, message, data)
        )

    def _deliver(self, address, source, message, data):
        daemon = self.by_address[address]
        if not daemon.running:
            return
        if daemon.paused:
            daemon.inbox.append((source, message))
            return
        if data is not None:
            start_s = time.process_time()
            message = self._codec.unpack(data)
            self.traffic.cpu_s += time.process_time() - start_s
        self._receive(daemon, source, message)

    def _receive(self, daemon, source, message):
        start_s = time.process_time()
        commands = daemon.membership.on_message(source, message, self.timers.now())
        self.traffic.cpu_s += time.process_time() - start_s
        self.execute(daemon, commands)
