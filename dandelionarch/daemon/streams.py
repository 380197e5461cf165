"""Task that keeps this daemon's copies of the log's streams up to date."""

import asyncio
import logging
import uuid

from dandelionarch.core.copy import StreamCopy
from dandelionarch.core.parts import split
from dandelionarch.errors import (
    OffsetTruncatedError,
    PlatformError,
    PlatformUnavailableError,
)
from dandelionarch.ids import Offset
from dandelionarch.logs import event

log = logging.getLogger(__name__)

READ_LIMIT = 200
READ_WAIT_MS = 1000
READ_RETRY_S = 0.5


class StreamService:
    """Copies of streams, folded in log order.

    Parameters
    ----------
    client : LogClient
        Reads from and appends to the platform's log.
    """

    def __init__(self, client):
        self._client = client
        self._copies = {}
        self._applied = {}
        self._restored = {}
        self._caught_up = set()
        self._failing = set()

    def add_fold(self, fold):
        """Follow `fold.stream` with a `Fold`; call it before `run`."""
        self._copies[fold.stream] = StreamCopy(fold)

    def on_applied(self, stream, callback):
        """Call `callback(record, result)` after each applied record of a stream."""
        self._applied.setdefault(stream, []).append(callback)

    def on_restored(self, stream, callback):
        """Call `callback()` when a fold's state was replaced by a newer snapshot.

        The records behind the snapshot are not reported one by one.
        """
        self._restored.setdefault(stream, []).append(callback)

    @property
    def ready(self):
        """Return True once every fold's state is known to be recent."""
        return self._caught_up >= set(self._copies)

    @property
    def available(self):
        """Return False while the log does not answer."""
        return not self._failing

    def offsets(self):
        """Return the next offset of each stream."""
        return {stream: copy.next for stream, copy in self._copies.items()}

    def peer_offsets(self, vm_id, offsets):
        """Note the offsets that a peer's ping shows."""

    async def append(self, stream, data, record_id=None):
        """Append one record and return the offset at which it takes effect.

        Parameters
        ----------
        stream : str
        data : bytes
        record_id : str, optional
            A repeat with the same id counts once.

        Raises
        ------
        PlatformUnavailableError
            If the result is not known; repeat with the same id to make sure.
        EntryError
            If the record is too large; nothing was appended.
        """
        offset = Offset(0)
        for entry in split(record_id or uuid.uuid4().hex, data):
            offset = await self._client.append(stream, entry)
        return offset

    async def run(self):
        """Follow all streams until cancelled."""
        async with asyncio.TaskGroup() as group:
            for stream in self._copies:
                group.create_task(self._follow(stream))

    async def _follow(self, stream):
        copy = self._copies[stream]
        while True:
            wait_ms = READ_WAIT_MS if stream in self._caught_up else 0
            try:
                entries = await self._client.read(
                    stream, copy.read_from, READ_LIMIT, wait_ms
                )
            except OffsetTruncatedError as exc:
                copy.truncated(exc.first_offset)
                continue
            except PlatformError as exc:
                self._read_failed(stream, exc)
                await asyncio.sleep(READ_RETRY_S)
                continue
            self._failing.discard(stream)
            self._feed(stream, copy, entries)
            if not entries and not copy.searching:
                self._caught_up.add(stream)

    def _feed(self, stream, copy, entries):
        was_searching = copy.searching
        applied = copy.feed(entries)
        if was_searching and not copy.searching:
            for callback in self._restored.get(stream, ()):
                callback()
        for record, result in applied:
            for callback in self._applied.get(stream, ()):
                callback(record, result)

    def _read_failed(self, stream, exc):
        if stream not in self._failing:
            event(
                log,
                "log_unavailable",
                logging.WARNING,
                stream=stream,
                transient=isinstance(exc, PlatformUnavailableError),
                detail=str(exc),
            )
        self._failing.add(stream)
