"""One daemon's part in relaying the streams: events in, commands out."""

from dataclasses import dataclass

from dandelionarch.core.bootstrap import PeerBootstrap
from dandelionarch.core.checkpoints import CheckpointSchedule
from dandelionarch.core.messages import streams as msgs
from dandelionarch.core.parts import EntryKind, parse_part
from dandelionarch.core.placement import Placement
from dandelionarch.core.stream_copy import StreamCopy
from dandelionarch.core.streams import Record
from dandelionarch.core.transfer import IncomingState, OutgoingState
from dandelionarch.errors import EntryError, SnapshotError

TICK_PERIOD_S = 0.25
READ_WAIT_MS = 4000
READ_RETRY_S = (0.5, 2.0)
HEARTBEAT_PERIOD_S = 2.0
# Five lost beats: the parent is cut off, so this daemon reads the log itself.
PARENT_TIMEOUT_S = 10.0
# Entries normally arrive along the tree before this, so a ping that overtakes them
# causes no pull.
PULL_GRACE_S = 0.5
PULL_TIMEOUT_S = 1.0
PULL_TRIES = 3
# Longer pulled batches are not passed on: the children have most of them.
FORWARD_PULLED_ENTRIES = 64
MAX_BATCH_BYTES = 384 << 10
# Resolution of the Date header from which the log's clock is read.
LOG_CLOCK_STEP_S = 1.0


@dataclass(frozen=True, slots=True)
class ReadLog:
    """Read the log from `start` on; answer by `on_read` or a failure."""

    stream: str
    start: int
    wait_ms: int


@dataclass(frozen=True, slots=True)
class AppendCheckpoint:
    """Append a checkpoint's payload under an id."""

    stream: str
    record_id: str
    data: bytes


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to the daemon of a VM."""

    vm_id: str
    msg: object


@dataclass(frozen=True, slots=True)
class RecordApplied:
    """A record took effect."""

    stream: str
    record: Record
    result: object


@dataclass(frozen=True, slots=True)
class StateRestored:
    """A newer snapshot replaced a fold's state."""

    stream: str


class FollowedStream:
    """A stream's copy with what is under way for it."""

    def __init__(self, fold, retention):
        self.copy = StreamCopy(fold)
        self.schedule = CheckpointSchedule(retention)
        self.outgoing = OutgoingState(self.copy)
        self.incoming = IncomingState()
        self.reading = False
        self.retry_at = 0.0
        self.failing = False
        self.at_end = False
        self.caught_up = False
        self.ready = False
        self.log_now = (0.0, 0.0)
        self.first_log_now = None
        self.pull_target = None
        self.pull_until = 0.0
        self.pull_tries = 0


class StreamNode:
    """Copies of all streams of one daemon.

    Every method takes the local monotonic time `now` in seconds and returns the
    commands to carry out.

    Parameters
    ----------
    vm_id : VmId
    data_centre : DataCentreId
    folds : list of Fold
    retention : Retention
    rng : random.Random
    seeds : list of (host, port)
        Other daemons' peer addresses from the settings.
    """

    def __init__(self, vm_id, data_centre, folds, retention, rng, seeds=()):
        self.vm_id = vm_id
        self.streams = {fold.stream: FollowedStream(fold, retention) for fold in folds}
        self.placement = Placement(vm_id, data_centre)
        self.ready = False
        self._rng = rng
        self._bootstrap = PeerBootstrap(vm_id, seeds, rng)
        self._addresses = {vm_id: None}
        self._next_heartbeat = 0.0
        self._parent_heartbeat = (float("-inf"), True)

    def offsets(self):
        """Return the next offset of each stream."""
        return {name: f.copy.next for name, f in self.streams.items()}

    @property
    def available(self):
        """Return False while the log does not answer, as far as known here."""
        if any(f.failing for f in self.streams.values()):
            return False
        return self.placement.follower or self._parent_heartbeat[1]

    def set_members(self, members):
        """Take the living members: VM id to (data centre, peer address)."""
        self._addresses = {vm_id: address for vm_id, (_, address) in members.items()}
        self.placement.update({vm_id: centre for vm_id, (centre, _) in members.items()})

    def tick(self, now):
        """Start reads, pulls, beats and checkpoints that are due."""
        commands = []
        for stream, f in self.streams.items():
            f.outgoing.expire(now)
            commands += self._read(stream, f, now)
            commands += self._pull(stream, f, now)
            commands += self._checkpoint(stream, f, now)
        if not self.ready:
            commands += self._bootstrap_from_peers(now)
        if now >= self._next_heartbeat:
            self._next_heartbeat = now + HEARTBEAT_PERIOD_S
            commands += [
                SendMessage(vm, self._heartbeat()) for vm in self.placement.children
            ]
        return commands

    def on_read(self, stream, entries, log_now, now):
        """Take what the log answered; `log_now` is the log's clock in seconds."""
        f = self.streams[stream]
        f.reading = f.failing = False
        f.log_now = (log_now, now)
        commands = self._feed(stream, f, entries, now, forward=self.ready)
        f.at_end = not entries
        if f.first_log_now is None:
            f.first_log_now = log_now
        # An entry from after the first reply proves that all earlier ones are folded,
        # also on a stream that grows faster than it is read.
        after = f.first_log_now + LOG_CLOCK_STEP_S
        fresh = not entries or entries[-1].time_s >= after
        if fresh and not f.copy.searching:
            f.caught_up = f.ready = True
            self._check_ready()
        return commands + self._read(stream, f, now)

    def on_truncated(self, stream, first, now):
        """Note that the log starts at `first`."""
        f = self.streams[stream]
        f.reading = f.failing = False
        f.copy.on_truncated(first)
        return self._read(stream, f, now)

    def on_read_failed(self, stream, now):
        """Note that a read had no answer."""
        f = self.streams[stream]
        f.reading, f.failing = False, True
        f.retry_at = now + self._rng.uniform(*READ_RETRY_S)
        return []

    def on_message(self, sender, msg, now):
        """Take a message from another daemon."""
        if isinstance(msg, msgs.OffsetsQuery):
            return [SendMessage(sender, self._heartbeat())]
        if isinstance(msg, msgs.StreamBeat):
            return self._on_heartbeat(sender, msg, now)
        f = self.streams.get(msg.stream)
        if f is None:
            return []
        if isinstance(msg, msgs.StreamPull):
            return self._on_pull(sender, f, msg, now)
        if isinstance(msg, msgs.StreamState):
            return self._on_state(sender, f, msg, now)
        return self._on_records(sender, f, msg, now)

    def on_peer_offsets(self, vm_id, offsets, now, since=None):
        """Note a peer's offsets; pull from it if this copy stays behind.

        The grace counts from `since`, by default from now.
        """
        for stream, offset in offsets.items():
            f = self.streams.get(stream)
            if f is None or offset <= f.copy.next or vm_id == self.vm_id:
                continue
            # A target that is not reached yet stays, so that a busy stream's next
            # entries are not counted as late from the first one on.
            if f.pull_target is None or f.pull_target[2] <= f.copy.next:
                f.pull_target = (now if since is None else since, vm_id, offset)
        return []

    def _read(self, stream, f, now):
        if f.reading or now < f.retry_at or not self._must_read(f, now):
            return []
        f.reading = True
        wait_ms = READ_WAIT_MS if f.caught_up or f.at_end else 0
        return [ReadLog(stream, f.copy.read_from, wait_ms)]

    def _must_read(self, f, now):
        if self.placement.follower or not f.ready or f.failing:
            return True
        return now - self._parent_heartbeat[0] > PARENT_TIMEOUT_S

    def _feed(self, stream, f, entries, now, forward):
        copy = f.copy
        before, restores = copy.next, copy.restores
        applied = copy.apply_entries(entries)
        commands = []
        if copy.restores != restores:
            commands.append(StateRestored(stream))
        commands += [
            RecordApplied(stream, record, result) for record, result in applied
        ]
        new = tuple(e for e in entries if before <= e.offset < copy.next)
        if any(_is_checkpoint(e) for e in new):
            f.schedule.on_checkpoint_part(now)
        if forward and new and copy.restores == restores:
            for batch in _batches(new):
                msg = msgs.StreamRecords(stream, batch, pulled=False)
                commands += [
                    SendMessage(vm_id, msg) for vm_id in self.placement.children
                ]
        return commands

    def _on_records(self, sender, f, msg, now):
        start = f.copy.next
        if msg.entries and msg.entries[0].offset > start:
            last = msg.entries[-1].offset
            return self.on_peer_offsets(sender, {msg.stream: last + 1}, now)
        forward = self.ready
        if msg.pulled:
            f.pull_until = 0.0
            forward = forward and len(msg.entries) <= FORWARD_PULLED_ENTRIES
        commands = self._feed(msg.stream, f, msg.entries, now, forward)
        if msg.pulled and f.copy.next > start:
            commands += self._pull(msg.stream, f, now)
        self._check_ready()
        return commands

    def _on_pull(self, sender, f, pull, now):
        if not pull.as_of:
            if pull.start >= f.copy.next:
                return []
            entries = f.copy.recent_from(pull.start)
            if entries:
                msg = msgs.StreamRecords(pull.stream, tuple(entries), pulled=True)
                return [SendMessage(sender, msg)]
        return [SendMessage(sender, f.outgoing.answer(pull, now))]

    def _on_state(self, sender, f, state, now):
        data, more = f.incoming.add(sender, state)
        if more is not None:
            f.pull_until = now + PULL_TIMEOUT_S
            return [SendMessage(sender, more)]
        if data is None:
            return []
        f.pull_until = 0.0
        try:
            restored = f.copy.restore(data)
        except SnapshotError:
            f.pull_target = None
            return []
        self._check_ready()
        commands = [StateRestored(state.stream)] if restored else []
        return commands + self._pull(state.stream, f, now)

    def _pull(self, stream, f, now):
        if f.pull_target is None or now < f.pull_until:
            return []
        since, vm_id, offset = f.pull_target
        if offset <= f.copy.next or vm_id not in self._addresses:
            f.pull_target = None
            return []
        if self.ready and now < since + PULL_GRACE_S:
            return []
        f.pull_tries = f.pull_tries + 1 if f.pull_until else 1
        if f.pull_tries > PULL_TRIES:
            # The peer does not answer; the next ping names another one.
            f.pull_target, f.pull_until = None, 0.0
            return []
        f.pull_until = now + PULL_TIMEOUT_S
        return [SendMessage(vm_id, msgs.StreamPull(stream, f.copy.next, 0, 0))]

    def _heartbeat(self):
        offsets = tuple(msgs.StreamOffset(s, o) for s, o in self.offsets().items())
        return msgs.StreamBeat(self.ready, self.available, offsets)

    def _on_heartbeat(self, sender, beat, now):
        was_available = self.available
        offsets = {s.stream: s.offset for s in beat.offsets}
        if sender == self.placement.parent:
            self._parent_heartbeat = (now, beat.available)
        if not self.ready:
            self._bootstrap.on_reply(sender, beat)
        # The parent pushed what it shows here before, so what is missing was lost.
        since = now - PULL_GRACE_S if sender == self.placement.parent else None
        commands = self.on_peer_offsets(sender, offsets, now, since)
        if self.available != was_available:
            commands += [
                SendMessage(vm, self._heartbeat()) for vm in self.placement.children
            ]
        return commands

    def _bootstrap_from_peers(self, now):
        """Use the peers' states for the streams whose log has no answer or state."""
        waiting = [
            (stream, f)
            for stream, f in self.streams.items()
            if not f.ready and (f.failing or f.copy.searching)
        ]
        if not waiting:
            return []
        targets = self._bootstrap.targets(self._addresses)
        if targets is not None:
            for stream, f in waiting:
                f.ready = f.copy.next >= targets.get(stream, 0)
            self._check_ready()
        if self.ready:
            return []
        queries = self._bootstrap.queries(list(self._addresses), now)
        return [SendMessage(vm_id, msg) for vm_id, msg in queries]

    def _check_ready(self):
        self.ready = self.ready or all(f.ready for f in self.streams.values())

    def _checkpoint(self, stream, f, now):
        rank = self.placement.checkpoint_rank
        if rank is None or not f.ready or f.failing or f.copy.searching:
            return []
        log_now = f.log_now[0] + now - f.log_now[1]
        if not f.caught_up or not f.schedule.take_turn(f.copy, rank, log_now, now):
            return []
        record_id = f"checkpoint-{self.vm_id}-{f.copy.next}"
        return [AppendCheckpoint(stream, record_id, f.copy.snapshot())]


def _is_checkpoint(entry):
    try:
        return parse_part(entry.data).kind is EntryKind.CHECKPOINT
    except EntryError:
        return False


def _batches(entries):
    """Yield runs of entries that fit into a frame."""
    batch, size = [], 0
    for entry in entries:
        size += len(entry.data)
        if batch and size > MAX_BATCH_BYTES:
            yield tuple(batch)
            batch, size = [], len(entry.data)
        batch.append(entry)
    yield tuple(batch)
