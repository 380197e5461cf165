"""Relay of streams between daemons: one daemon's events and commands."""

from dataclasses import dataclass

from dandelionarch.core.bootstrap import PeerBootstrap
from dandelionarch.core.checkpoints import CheckpointSchedule
from dandelionarch.core.entry_parts import EntryKind, parse_part
from dandelionarch.core.messages import streams as msgs
from dandelionarch.core.placement import Placement
from dandelionarch.core.stream_copy import StreamCopy
from dandelionarch.core.streams import Record
from dandelionarch.core.transfer import IncomingState, OutgoingState
from dandelionarch.errors import EntryError, SnapshotError

TICK_PERIOD_S = 0.25
READ_WAIT_MS = 4000
READ_RETRY_S = (0.5, 2.0)
HEARTBEAT_PERIOD_S = 2.0
# After five missing heartbeats the parent counts as cut off, and this daemon reads the
# log itself.
PARENT_TIMEOUT_S = 10.0
# Entries normally arrive along the tree within this time, so an offset in a ping that
# arrives before them causes no pull.
PULL_GRACE_S = 0.5
PULL_TIMEOUT_S = 1.0
MAX_PULL_TRIES = 3
# Longer pulled batches are not forwarded, because the children have most entries.
MAX_FORWARDED_ENTRIES = 64
MAX_BATCH_BYTES = 384 << 10
# Resolution of the Date header from which the log's clock is read.
LOG_CLOCK_STEP_S = 1.0


@dataclass(frozen=True, slots=True)
class ReadLog:
    """Command: read the log from `start` on.

    The outcome is reported by `on_read`, `on_truncated` or `on_read_failed`.
    """

    stream: str
    start: int
    wait_ms: int


@dataclass(frozen=True, slots=True)
class AppendCheckpoint:
    """Command: append a checkpoint under a record id."""

    stream: str
    record_id: str
    data: bytes


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Command: send a message to the daemon of a VM."""

    vm_id: str
    msg: object


@dataclass(frozen=True, slots=True)
class RecordApplied:
    """Event: a record took effect."""

    stream: str
    record: Record
    result: object


@dataclass(frozen=True, slots=True)
class StateRestored:
    """Event: a newer snapshot replaced a fold's state."""

    stream: str


class FollowedStream:
    """Copy of a stream with the state of its reads, pulls and checkpoints.

    Attributes
    ----------
    failing : bool
        True if the last read of the log failed.
    at_end : bool
        True if the last read returned no entries.
    caught_up : bool
        True once all entries up to the first read of the log are folded.
    ready : bool
        True once the state can be used, from the log or from peers.
    log_now : tuple of (float, float)
        The log's clock at the last read, and the local time of that read.
    pull_target : tuple or None
        (local time from which the grace period counts, VM id, offset) of a peer whose
        copy is ahead of this one.
    """

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

    `tick` and the `on_...` methods take the local monotonic time `now` in seconds and
    return the commands to carry out.

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
        return {
            name: followed.copy.next_offset for name, followed in self.streams.items()
        }

    @property
    def available(self):
        """Return False if the log is known not to answer, here or at the parent."""
        if any(followed.failing for followed in self.streams.values()):
            return False
        return self.placement.follower or self._parent_heartbeat[1]

    def set_members(self, members):
        """Set the living members: a dict of VM id to (data centre, peer address)."""
        self._addresses = {vm_id: address for vm_id, (_, address) in members.items()}
        self.placement.update({vm_id: centre for vm_id, (centre, _) in members.items()})

    def tick(self, now):
        """Start the reads, pulls, heartbeats and checkpoints that are due."""
        commands = []
        for stream, followed in self.streams.items():
            followed.outgoing.expire(now)
            commands += self._read(stream, followed, now)
            commands += self._pull(stream, followed, now)
            commands += self._checkpoint(stream, followed, now)
        if not self.ready:
            commands += self._bootstrap_from_peers(now)
        if now >= self._next_heartbeat:
            self._next_heartbeat = now + HEARTBEAT_PERIOD_S
            commands += [
                SendMessage(vm, self._heartbeat()) for vm in self.placement.children
            ]
        return commands

    def on_read(self, stream, entries, log_now, now):
        """Handle the entries of a read; `log_now` is the log's clock in seconds."""
        followed = self.streams[stream]
        followed.reading = followed.failing = False
        followed.log_now = (log_now, now)
        commands = self._apply_entries(
            stream, followed, entries, now, forward=self.ready
        )
        followed.at_end = not entries
        if followed.first_log_now is None:
            followed.first_log_now = log_now
        # An entry from after the first reply proves that all earlier ones are folded,
        # even on a stream that grows faster than it is read.
        fresh_from_s = followed.first_log_now + LOG_CLOCK_STEP_S
        is_fresh = not entries or entries[-1].time_s >= fresh_from_s
        if is_fresh and not followed.copy.is_searching:
            followed.caught_up = followed.ready = True
            self._update_ready()
        return commands + self._read(stream, followed, now)

    def on_truncated(self, stream, first, now):
        """Handle a read of truncated entries; the log now starts at `first`."""
        followed = self.streams[stream]
        followed.reading = followed.failing = False
        followed.copy.on_truncated(first)
        return self._read(stream, followed, now)

    def on_read_failed(self, stream, now):
        """Handle a read that got no answer."""
        followed = self.streams[stream]
        followed.reading, followed.failing = False, True
        followed.retry_at = now + self._rng.uniform(*READ_RETRY_S)
        return []

    def on_message(self, sender, msg, now):
        """Handle a message from another daemon."""
        if isinstance(msg, msgs.OffsetsQuery):
            return [SendMessage(sender, self._heartbeat())]
        if isinstance(msg, msgs.StreamBeat):
            return self._on_heartbeat(sender, msg, now)
        followed = self.streams.get(msg.stream)
        if followed is None:
            return []
        if isinstance(msg, msgs.StreamPull):
            return self._on_pull(sender, followed, msg, now)
        if isinstance(msg, msgs.StreamState):
            return self._on_state(sender, followed, msg, now)
        return self._on_records(sender, followed, msg, now)

    def on_peer_offsets(self, vm_id, offsets, now, since=None):
        """Handle a peer's offsets; `tick` pulls from it if this copy stays behind.

        `PULL_GRACE_S` counts from `since`, by default from now.
        """
        for stream, offset in offsets.items():
            followed = self.streams.get(stream)
            if (
                followed is None
                or offset <= followed.copy.next_offset
                or vm_id == self.vm_id
            ):
                continue
            # A target that is not reached yet is kept. A newer one would restart the
            # grace period; raising only the offset would count the next entries of a
            # busy stream as late from the first one on.
            if (
                followed.pull_target is None
                or followed.pull_target[2] <= followed.copy.next_offset
            ):
                followed.pull_target = (now if since is None else since, vm_id, offset)
        return []

    def _read(self, stream, followed, now):
        if (
            followed.reading
            or now < followed.retry_at
            or not self._must_read(followed, now)
        ):
            return []
        followed.reading = True
        wait_ms = READ_WAIT_MS if followed.caught_up or followed.at_end else 0
        return [ReadLog(stream, followed.copy.read_from, wait_ms)]

    def _must_read(self, followed, now):
        if self.placement.follower or not followed.ready or followed.failing:
            return True
        return now - self._parent_heartbeat[0] > PARENT_TIMEOUT_S

    def _apply_entries(self, stream, followed, entries, now, forward):
        copy = followed.copy
        before, restore_count = copy.next_offset, copy.restore_count
        applied = copy.apply_entries(entries)
        commands = []
        if copy.restore_count != restore_count:
            commands.append(StateRestored(stream))
        commands += [
            RecordApplied(stream, record, result) for record, result in applied
        ]
        new = tuple(e for e in entries if before <= e.offset < copy.next_offset)
        if any(_is_checkpoint(e) for e in new):
            followed.schedule.on_checkpoint_part(now)
        if forward and new and copy.restore_count == restore_count:
            for batch in _batches(new):
                msg = msgs.StreamRecords(stream, batch, pulled=False)
                commands += [
                    SendMessage(vm_id, msg) for vm_id in self.placement.children
                ]
        return commands

    def _on_records(self, sender, followed, msg, now):
        start = followed.copy.next_offset
        if msg.entries and msg.entries[0].offset > start:
            last = msg.entries[-1].offset
            return self.on_peer_offsets(sender, {msg.stream: last + 1}, now)
        forward = self.ready
        if msg.pulled:
            followed.pull_until = 0.0
            forward = forward and len(msg.entries) <= MAX_FORWARDED_ENTRIES
        commands = self._apply_entries(msg.stream, followed, msg.entries, now, forward)
        if msg.pulled and followed.copy.next_offset > start:
            commands += self._pull(msg.stream, followed, now)
        self._update_ready()
        return commands

    def _on_pull(self, sender, followed, pull, now):
        if not pull.as_of:
            if pull.start >= followed.copy.next_offset:
                return []
            entries = followed.copy.recent_from(pull.start)
            if entries:
                msg = msgs.StreamRecords(pull.stream, tuple(entries), pulled=True)
                return [SendMessage(sender, msg)]
        return [SendMessage(sender, followed.outgoing.answer(pull, now))]

    def _on_state(self, sender, followed, state, now):
        data, next_pull = followed.incoming.add(sender, state)
        if next_pull is not None:
            followed.pull_until = now + PULL_TIMEOUT_S
            return [SendMessage(sender, next_pull)]
        if data is None:
            return []
        followed.pull_until = 0.0
        try:
            restored = followed.copy.restore(data)
        except SnapshotError:
            followed.pull_target = None
            return []
        self._update_ready()
        commands = [StateRestored(state.stream)] if restored else []
        return commands + self._pull(state.stream, followed, now)

    def _pull(self, stream, followed, now):
        if followed.pull_target is None or now < followed.pull_until:
            return []
        since, vm_id, offset = followed.pull_target
        if offset <= followed.copy.next_offset or vm_id not in self._addresses:
            followed.pull_target = None
            return []
        if self.ready and now < since + PULL_GRACE_S:
            return []
        followed.pull_tries = followed.pull_tries + 1 if followed.pull_until else 1
        if followed.pull_tries > MAX_PULL_TRIES:
            # The peer does not answer; the next ping sets another target.
            followed.pull_target, followed.pull_until = None, 0.0
            return []
        followed.pull_until = now + PULL_TIMEOUT_S
        return [
            SendMessage(vm_id, msgs.StreamPull(stream, followed.copy.next_offset, 0, 0))
        ]

    def _heartbeat(self):
        offsets = tuple(msgs.StreamOffset(s, o) for s, o in self.offsets().items())
        return msgs.StreamBeat(self.ready, self.available, offsets)

    def _on_heartbeat(self, sender, heartbeat, now):
        was_available = self.available
        offsets = {s.stream: s.offset for s in heartbeat.offsets}
        if sender == self.placement.parent:
            self._parent_heartbeat = (now, heartbeat.available)
        if not self.ready:
            self._bootstrap.on_reply(sender, heartbeat)
        # The parent forwards entries before it reports their offset, so missing ones
        # were lost and need no grace period.
        since = now - PULL_GRACE_S if sender == self.placement.parent else None
        commands = self.on_peer_offsets(sender, offsets, now, since)
        if self.available != was_available:
            commands += [
                SendMessage(vm, self._heartbeat()) for vm in self.placement.children
            ]
        return commands

    def _bootstrap_from_peers(self, now):
        """Use peers' states for streams that the log can't supply.

        The log does not answer, or it no longer holds the entries needed next.
        """
        waiting = [
            (stream, followed)
            for stream, followed in self.streams.items()
            if not followed.ready and (followed.failing or followed.copy.is_searching)
        ]
        if not waiting:
            return []
        targets = self._bootstrap.targets(self._addresses)
        if targets is not None:
            for stream, followed in waiting:
                followed.ready = followed.copy.next_offset >= targets.get(stream, 0)
            self._update_ready()
        if self.ready:
            return []
        queries = self._bootstrap.queries(list(self._addresses), now)
        return [SendMessage(vm_id, msg) for vm_id, msg in queries]

    def _update_ready(self):
        self.ready = self.ready or all(
            followed.ready for followed in self.streams.values()
        )

    def _checkpoint(self, stream, followed, now):
        rank = self.placement.checkpoint_rank
        if (
            rank is None
            or not followed.ready
            or followed.failing
            or followed.copy.is_searching
        ):
            return []
        log_now = followed.log_now[0] + now - followed.log_now[1]
        if not followed.caught_up or not followed.schedule.take_turn(
            followed.copy, rank, log_now, now
        ):
            return []
        record_id = f"checkpoint-{self.vm_id}-{followed.copy.next_offset}"
        return [AppendCheckpoint(stream, record_id, followed.copy.snapshot())]


def _is_checkpoint(entry):
    try:
        return parse_part(entry.data).kind is EntryKind.CHECKPOINT
    except EntryError:
        return False


def _batches(entries):
    """Yield batches of consecutive entries that fit into a frame."""
    batch, size = [], 0
    for entry in entries:
        size += len(entry.data)
        if batch and size > MAX_BATCH_BYTES:
            yield tuple(batch)
            batch, size = [], len(entry.data)
        batch.append(entry)
    yield tuple(batch)
