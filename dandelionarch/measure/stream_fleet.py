"""Simulation of the stream core of many daemons with a faulty log and network."""

import math
from dataclasses import dataclass, field

from dandelionarch.core.entry_parts import EntryKind, split
from dandelionarch.core.messages.streams import LogEntry
from dandelionarch.core.relay import (
    TICK_PERIOD_S,
    AppendCheckpoint,
    ReadLog,
    RecordApplied,
    SendMessage,
    StreamNode,
)
from dandelionarch.core.timer import TimerService

LOG_DELAY_S = 0.002
MAX_RECORDS_PER_READ = 200
PING_PERIOD_S = 1.0
DETECTION_S = 7.0
OUTAGE_DELAY_S = 0.01


class VirtualLog:
    """Append-only streams; `is_up` is False in an outage."""

    def __init__(self, timer, retention_records=math.inf):
        self.is_up = True
        self.appends = 0
        self.reads = 0
        self._timer = timer
        self._retention = retention_records
        self._streams = {}
        self._append_callbacks = {}

    def entries(self, stream):
        """Return the retained entries of a stream."""
        return self._streams.setdefault(stream, [])

    def next_offset(self, stream):
        """Return the offset of the next entry."""
        entries = self.entries(stream)
        return entries[-1].offset + 1 if entries else 0

    def append(self, stream, data):
        """Append an entry; return False if the log is down."""
        if not self.is_up:
            return False
        self.appends += 1
        entries = self.entries(stream)
        entries.append(LogEntry(self.next_offset(stream), self._timer.now(), data))
        while len(entries) > self._retention:
            entries.pop(0)
        for callback in self._append_callbacks.pop(stream, []):
            callback()
        return True

    def notify_on_append(self, stream, callback):
        """Call `callback()` at the next append to a stream."""
        self._append_callbacks.setdefault(stream, []).append(callback)


@dataclass
class Member:
    """One simulated daemon.

    `pending_events` are handled after a pause. `applied` holds (offset, result) of
    every record that the daemon has applied.
    """

    vm_id: str
    data_centre: str
    node: StreamNode
    alive: bool = True
    paused: bool = False
    log_reachable: bool = True
    pending_events: list = field(default_factory=list)
    applied: list = field(default_factory=list)
    received_bytes: int = 0
    sent_bytes: int = 0


class StreamFleet:
    """Simulated daemons; all faults are drawn from one random generator.

    Parameters
    ----------
    rng : random.Random
    make_folds : callable
        Returns the folds of a new daemon.
    retention : Retention
    size_of : callable, optional
        Returns the size of a message in bytes.
    """

    def __init__(self, rng, make_folds, retention, size_of=None, records=math.inf):
        self.rng = rng
        self.timer = TimerService()
        self.log = VirtualLog(self.timer, records)
        self.members = {}
        self.loss_share = 0.0
        self.duplicate_share = 0.0
        self.delay_s = (0.0005, 0.002)
        self.blocked = set()
        self.on_applied = lambda member, command: None
        self._make_folds = make_folds
        self._retention = retention
        self._size_of = size_of

    def add(self, vm_id, data_centre, seeds=()):
        """Start a daemon, which replaces any previous one with the same VM id."""
        previous = self.members.get(vm_id)
        if previous is not None:
            previous.alive = False
        addresses = [(seed, 1) for seed in seeds]
        folds = self._make_folds()
        node = StreamNode(
            vm_id, data_centre, folds, self._retention, self.rng, addresses
        )
        member = Member(vm_id, data_centre, node)
        self.members[vm_id] = member
        self._schedule_every(member, TICK_PERIOD_S, lambda: node.tick(self.timer.now()))
        self._schedule_every(member, PING_PERIOD_S, lambda: self._ping(member))
        return member

    def crash(self, vm_id):
        """Stop a daemon; the others are notified after `DETECTION_S`."""
        self.members.pop(vm_id).alive = False
        self.timer.subscribe(DETECTION_S, self.update_members)

    def update_members(self):
        """Send the current members to every daemon."""
        live_members = {
            vm_id: (m.data_centre, (vm_id, 1)) for vm_id, m in self.members.items()
        }
        for member in self.members.values():
            member.node.set_members(live_members)

    def resume(self, member):
        """Resume a paused daemon, which then handles the events since its pause."""
        member.paused = False
        events, member.pending_events = member.pending_events, []
        for event in events:
            self._execute(member, event())

    def run(self, seconds):
        """Advance the virtual time."""
        self.timer.advance(self.timer.now() + seconds)

    def _schedule_every(self, member, period_s, event):
        def fire():
            if not member.alive:
                sub.cancel()
            elif not member.paused:
                self._execute(member, event())

        delay_s = self.rng.uniform(0, period_s)
        sub = self.timer.subscribe_every(period_s, fire, delay_s)

    def _schedule(self, member, delay_s, event):
        def fire():
            if not member.alive:
                return
            if member.paused:
                member.pending_events.append(event)
            else:
                self._execute(member, event())

        self.timer.subscribe(delay_s, fire)

    def _execute(self, member, commands):
        for command in commands:
            if isinstance(command, SendMessage):
                self._send(member, command)
            elif isinstance(command, ReadLog):
                self._read(member, command)
            elif isinstance(command, AppendCheckpoint):
                self._append_checkpoint(member, command)
            elif isinstance(command, RecordApplied):
                member.applied.append((command.record.offset, command.result))
                self.on_applied(member, command)

    def _send(self, member, command):
        size = self._size_of(command.msg) if self._size_of else 0
        member.sent_bytes += size
        copies = 1 + (self.rng.random() < self.duplicate_share)
        for _ in range(copies):
            if self._is_lost(member.vm_id, command.vm_id):
                continue
            target = self.members.get(command.vm_id)
            if target is not None:
                target.received_bytes += size
                self._deliver(member.vm_id, target, command.msg)

    def _is_lost(self, source, target):
        return (source, target) in self.blocked or self.rng.random() < self.loss_share

    def _deliver(self, sender, target, msg):
        self._schedule(
            target,
            self.rng.uniform(*self.delay_s),
            lambda: target.node.on_message(sender, msg, self.timer.now()),
        )

    def _ping(self, member):
        peers = [vm for vm in self.members if vm != member.vm_id]
        if not peers:
            return []
        target = self.members[self.rng.choice(peers)]
        if not self._is_lost(member.vm_id, target.vm_id):
            offsets = member.node.offsets()
            self._schedule(
                target,
                self.rng.uniform(*self.delay_s),
                lambda: target.node.on_peer_offsets(
                    member.vm_id, offsets, self.timer.now()
                ),
            )
        return []

    def _read(self, member, command):
        node, stream, now = member.node, command.stream, self.timer.now
        if not (self.log.is_up and member.log_reachable):

            def on_failed():
                return node.on_read_failed(stream, now())

            self._schedule(member, OUTAGE_DELAY_S, on_failed)
            return
        self.log.reads += 1
        answered = []

        def answer():
            if not answered:
                answered.append(True)
                self._schedule(member, LOG_DELAY_S, self._read_result(node, command))

        if command.start >= self.log.next_offset(stream) and command.wait_ms:
            self.log.notify_on_append(stream, answer)
            self.timer.subscribe(command.wait_ms / 1000, answer)
        else:
            answer()

    def _read_result(self, node, command):
        stream, now = command.stream, self.timer.now
        retained = self.log.entries(stream)
        first_offset = retained[0].offset if retained else 0
        if command.start < first_offset:
            return lambda: node.on_truncated(stream, first_offset, now())
        start_index = command.start - first_offset
        entries = retained[start_index : start_index + MAX_RECORDS_PER_READ]
        return lambda: node.on_read(stream, entries, now(), now())

    def _append_checkpoint(self, member, command):
        for entry in split(command.record_id, command.data, EntryKind.CHECKPOINT):
            if not member.log_reachable or not self.log.append(command.stream, entry):
                return
