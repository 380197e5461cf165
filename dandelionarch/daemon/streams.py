"""Task that keeps this daemon's copies of the log's streams up to date.

A fold computes a stream's state from its records in log order.
"""

import asyncio
import logging
import random
import uuid

from dandelionarch.core.entry_parts import EntryKind, split
from dandelionarch.core.messages import streams as msgs
from dandelionarch.core.relay import (
    TICK_PERIOD_S,
    AppendCheckpoint,
    ReadLog,
    RecordApplied,
    SendMessage,
    StateRestored,
    StreamNode,
)
from dandelionarch.errors import (
    LinkError,
    OffsetTruncatedError,
    PlatformError,
    PlatformUnavailableError,
)
from dandelionarch.ids import Offset
from dandelionarch.logs import event

log = logging.getLogger(__name__)

MAX_RECORDS_PER_READ = 200
# The log is considered unavailable for this long after an append without a reply,
# unless a later append succeeds.
APPEND_FAILURE_BACKOFF_S = 5.0


class StreamService:
    """Copies of streams, folded in log order and relayed between daemons.

    Parameters
    ----------
    client : LogClient
        Reads from and appends to the platform's log.
    network : PeerNetwork
    directory : Directory
        Provides the living members.
    vm : Vm
        This daemon's VM.
    retention : Retention
    seeds : list of (host, port)
        Peer addresses from the settings.
    """

    def __init__(self, client, network, directory, vm, retention, seeds=()):
        self._client = client
        self._network = network
        self._directory = directory
        self._vm = vm
        self._retention = retention
        self._seeds = [s for s in seeds if s != (vm.host, vm.peer_port)]
        self._folds = {}
        self._applied_callbacks = {}
        self._restored_callbacks = {}
        self._ready_callbacks = []
        self._was_ready = False
        self._node = self._new_node()
        self._members_changed = True
        self._append_failed_at = float("-inf")
        self._was_available = True
        directory.subscribe_changes(self._on_directory_change)
        for cls in msgs.MESSAGES:
            network.subscribe(cls, self._on_message)

    def add_fold(self, fold):
        """Register the `Fold` that follows `fold.stream`; call this before `run`."""
        self._folds[fold.stream] = fold
        self._node = self._new_node()

    def subscribe_applied(self, stream, callback):
        """Call `callback(record, result)` after each applied record of a stream."""
        self._applied_callbacks.setdefault(stream, []).append(callback)

    def subscribe_restored(self, stream, callback):
        """Call `callback()` when a newer snapshot has replaced a fold's state.

        The records that the snapshot covers are not reported one by one.
        """
        self._restored_callbacks.setdefault(stream, []).append(callback)

    def subscribe_ready(self, callback):
        """Call `callback()` once when `ready` becomes True."""
        self._ready_callbacks.append(callback)

    @property
    def ready(self):
        """Return True once the state of every fold is known to be recent.

        The state comes from the log or, while the log does not answer, from three
        peers.
        """
        return self._node.ready

    @property
    def available(self):
        """Return False while this daemon considers the log unavailable."""
        since_failure_s = self._network.now() - self._append_failed_at
        return self._node.available and since_failure_s > APPEND_FAILURE_BACKOFF_S

    def offsets(self):
        """Return the next offset of each stream."""
        return self._node.offsets()

    def record_peer_offsets(self, vm_id, offsets):
        """Record the offsets, by stream, that a peer's ping carries."""
        self._execute(self._node.on_peer_offsets(vm_id, offsets, self._network.now()))

    async def append(self, stream, data, record_id=None):
        """Append one record and return the offset at which it takes effect.

        Parameters
        ----------
        stream : str
        data : bytes
        record_id : str, optional
            Records with the same id take effect once.

        Raises
        ------
        PlatformUnavailableError
            If the result is unknown; append again with the same id to make sure.
        EntryError
            If the record is too large; nothing was appended.
        """
        return await self._append(split(record_id or uuid.uuid4().hex, data), stream)

    async def run(self):
        """Follow all streams until cancelled."""
        while True:
            if self._members_changed:
                self._members_changed = False
                self._node.set_members(
                    {
                        vm.vm_id: (vm.data_centre, (vm.host, vm.peer_port))
                        for vm in self._directory.live_vms()
                    }
                )
            self._execute(self._node.tick(self._network.now()))
            if self._was_available != self.available:
                self._was_available = self.available
                event(log, "log_availability", available=self._was_available)
            await asyncio.sleep(TICK_PERIOD_S)

    def _new_node(self):
        return StreamNode(
            self._vm.vm_id,
            self._vm.data_centre,
            list(self._folds.values()),
            self._retention,
            random.Random(),
            self._seeds,
        )

    def _on_directory_change(self, _changed):
        self._members_changed = True

    def _on_message(self, link, msg):
        commands = self._node.on_message(link.vm_id, msg, self._network.now())
        self._execute(commands)

    def _execute(self, commands):
        for command in commands:
            if isinstance(command, SendMessage):
                self._network.spawn(self._send(command))
            elif isinstance(command, ReadLog):
                self._network.spawn(self._read(command))
            elif isinstance(command, AppendCheckpoint):
                self._network.spawn(self._append_checkpoint(command))
            else:
                self._notify(command)
        if self.ready and not self._was_ready:
            self._was_ready = True
            event(log, "streams_ready", **self.offsets())
            self._call_all(self._ready_callbacks)

    def _notify(self, command):
        stream = command.stream
        if isinstance(command, StateRestored):
            event(log, "state_restored", stream=stream)
            self._call_all(self._restored_callbacks.get(stream, ()))
        elif isinstance(command, RecordApplied):
            if isinstance(command.result, Exception):
                detail = f"{type(command.result).__name__}: {command.result}"
                record = command.record.record_id
                event(log, "fold_failed", logging.ERROR, record=record, detail=detail)
            else:
                applied = self._applied_callbacks.get(stream, ())
                self._call_all(applied, command.record, command.result)

    def _call_all(self, callbacks, *args):
        """Call subscribers; log failures, which must not stop the streams."""
        for callback in callbacks:
            try:
                callback(*args)
            except Exception:
                log.exception("subscriber_failed")

    async def _send(self, command):
        try:
            await self._network.send(command.vm_id, command.msg)
        except LinkError as exc:
            event(log, "relay_failed", vm=command.vm_id, detail=str(exc))

    async def _read(self, command):
        node, now = self._node, self._network.now
        try:
            entries = await self._client.read(
                command.stream, command.start, MAX_RECORDS_PER_READ, command.wait_ms
            )
        except OffsetTruncatedError as exc:
            first = exc.first_offset
            event(log, "offset_truncated", stream=command.stream, first=first)
            commands = node.on_truncated(command.stream, first, now())
        except PlatformError as exc:
            event(log, "read_failed", stream=command.stream, detail=str(exc))
            commands = node.on_read_failed(command.stream, now())
        else:
            log_now = self._client.log_time_s
            commands = node.on_read(command.stream, entries, log_now, now())
        self._execute(commands)

    async def _append(self, entries, stream):
        offset = Offset(0)
        try:
            for entry in entries:
                offset = await self._client.append(stream, entry)
        except PlatformUnavailableError:
            self._append_failed_at = self._network.now()
            raise
        self._append_failed_at = float("-inf")
        return offset

    async def _append_checkpoint(self, command):
        entries = split(command.record_id, command.data, EntryKind.CHECKPOINT)
        try:
            offset = await self._append(entries, command.stream)
        except PlatformError as exc:
            event(log, "checkpoint_unknown", stream=command.stream, detail=str(exc))
            return
        size = len(command.data)
        event(
            log, "checkpoint_appended", stream=command.stream, offset=offset, bytes=size
        )
