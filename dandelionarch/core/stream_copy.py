"""One daemon's copy of a stream: applies entries to a fold in log order."""

import base64
import json
import struct
import zlib
from collections import deque

from dandelionarch.core.entry_parts import Assembler, EntryKind, parse_part
from dandelionarch.core.streams import Record
from dandelionarch.errors import DandelionError, EntryError, SnapshotError
from dandelionarch.ids import Offset, RecordId

# At 20 appends/s these ids cover about 7 minutes; no append is repeated that late.
MAX_SEEN_IDS = 8192
MAX_RECENT_BYTES = 1 << 20
MAX_RECENT_ENTRIES = 2048
MAX_REPLY_BYTES = 384 << 10
MAX_SNAPSHOT_BYTES = 256 << 20
SNAPSHOT_HEADER = struct.Struct("!I")
COMPRESSION_LEVEL = 1
FOLD_ERRORS = (DandelionError, LookupError, TypeError, ValueError)


class StreamCopy:
    """State folded from a prefix of a stream, with its most recent entries.

    Attributes
    ----------
    next_offset : int
        Offset of the next entry to fold; it never decreases.
    checkpoint_time_s, checkpoint_offset : float, int
        Time and offset of the last checkpoint read, or else of the first entry.
    restore_count : int
        Number of times that a newer snapshot replaced the state.
    """

    def __init__(self, fold):
        self.fold = fold
        self.next_offset = Offset(0)
        self.checkpoint_time_s = None
        self.checkpoint_offset = 0
        self.restore_count = 0
        self._first_retained = None
        self._scan_offset = None
        self._scan_assembler = Assembler()
        self._seen_ids = {}
        self._assembler = Assembler()
        self._recent = deque()
        self._recent_bytes = 0

    @property
    def is_searching(self):
        """Return True while this copy looks for a checkpoint.

        The log no longer holds the entry that this copy needs next.
        """
        return self._scan_offset is not None

    @property
    def read_from(self):
        """Return the offset from which to read the log."""
        return self._scan_offset if self.is_searching else self.next_offset

    def apply_entries(self, entries):
        """Fold the entries that continue this copy.

        Returns
        -------
        list of (Record, result)
            One pair per record that took effect; the result is an exception if the
            fold raised one of `FOLD_ERRORS`.
        """
        applied = []
        for entry in entries:
            if entry.offset == self.next_offset:
                applied.extend(self._apply_entry(entry))
            if self.is_searching and entry.offset == self._scan_offset:
                self._scan_offset += 1
                self._search_checkpoint(entry)
        return applied

    def on_truncated(self, first):
        """Handle a log that starts at `first`; search for a checkpoint from there."""
        if first > self.next_offset and not (
            self.is_searching and self._scan_offset >= first
        ):
            self._first_retained = self._scan_offset = first
            self._scan_assembler = Assembler()

    def recent_from(self, start):
        """Return recent entries from `start` on, or None if they are gone."""
        if not self._recent or self._recent[0].offset > start:
            return None
        found, size = [], 0
        for entry in self._recent:
            if entry.offset >= start:
                size += len(entry.data)
                if found and size > MAX_REPLY_BYTES:
                    break
                found.append(entry)
        return found

    def snapshot(self):
        """Return the compressed state after all entries below `next_offset`."""
        header = {
            "as_of": self.next_offset,
            "checkpoint_time_s": self.checkpoint_time_s,
            "checkpoint_offset": self.checkpoint_offset,
            "seen": list(self._seen_ids),
            "unfinished": [
                [
                    *key[:3],
                    key[3].hex(),
                    {n: _to_base64(data) for n, data in parts.items()},
                ]
                for key, parts in self._assembler.unfinished.items()
            ],
        }
        header = json.dumps(header).encode()
        body = SNAPSHOT_HEADER.pack(len(header)) + header + self.fold.snapshot()
        return zlib.compress(body, COMPRESSION_LEVEL)

    def restore(self, data):
        """Replace the state by a snapshot if it is newer; return True if it was.

        Raises
        ------
        SnapshotError
            If the data is not a snapshot.
        """
        try:
            body = _decompress(data)
            size = SNAPSHOT_HEADER.unpack_from(body)[0]
            header = json.loads(
                body[SNAPSHOT_HEADER.size : SNAPSHOT_HEADER.size + size]
            )
            if header["as_of"] <= self.next_offset:
                return False
            unfinished = {
                (EntryKind(kind), record_id, parts, bytes.fromhex(digest)): {
                    int(n): base64.b64decode(text) for n, text in found.items()
                }
                for kind, record_id, parts, digest, found in header["unfinished"]
            }
            self.fold.restore(body[SNAPSHOT_HEADER.size + size :])
        except (zlib.error, struct.error, ValueError, KeyError, TypeError) as exc:
            raise SnapshotError(f"{self.fold.stream}: {exc}") from exc
        self.restore_count += 1
        self._seen_ids = dict.fromkeys(header["seen"])
        self._assembler.unfinished = unfinished
        self.checkpoint_time_s = header["checkpoint_time_s"]
        self.checkpoint_offset = header["checkpoint_offset"]
        self._recent.clear()
        self._recent_bytes = 0
        self._advance(header["as_of"])
        return True

    def _apply_entry(self, entry):
        self._keep_recent(entry)
        if self.checkpoint_time_s is None:
            self.checkpoint_time_s = entry.time_s
            self.checkpoint_offset = entry.offset
        self._advance(entry.offset + 1)
        try:
            part = parse_part(entry.data)
        except EntryError:
            return
        if part.kind is EntryKind.CHECKPOINT:
            if part.is_last:
                self.checkpoint_time_s = entry.time_s
                self.checkpoint_offset = entry.offset
            return
        if part.record_id in self._seen_ids:
            return
        data = self._assembler.add(part)
        if data is None:
            return
        self._seen_ids[part.record_id] = None
        if len(self._seen_ids) > MAX_SEEN_IDS:
            del self._seen_ids[next(iter(self._seen_ids))]
        record_id = RecordId(part.record_id)
        record = Record(Offset(entry.offset), entry.time_s, record_id, data)
        try:
            result = self.fold.apply(record)
        except FOLD_ERRORS as exc:
            # One bad record must not stop the stream on every daemon. The error
            # depends only on the record and the state, so all readers raise it.
            result = exc
        yield record, result

    def _search_checkpoint(self, entry):
        """Restore from the first complete checkpoint that the log can continue."""
        try:
            part = parse_part(entry.data)
            if part.kind is not EntryKind.CHECKPOINT:
                return
            data = self._scan_assembler.add(part)
            if data is not None and snapshot_offset(data) >= self._first_retained:
                self.restore(data)
        except (EntryError, SnapshotError):
            return

    def _advance(self, offset):
        self.next_offset = Offset(offset)
        if self.is_searching and self.next_offset >= self._first_retained:
            self._scan_offset = None

    def _keep_recent(self, entry):
        self._recent.append(entry)
        self._recent_bytes += len(entry.data)
        while (
            self._recent_bytes > MAX_RECENT_BYTES
            or len(self._recent) > MAX_RECENT_ENTRIES
        ) and len(self._recent) > 1:
            self._recent_bytes -= len(self._recent.popleft().data)


def snapshot_offset(data):
    """Return the offset of a snapshot without restoring it."""
    try:
        body = _decompress(data)
        size = SNAPSHOT_HEADER.unpack_from(body)[0]
        header = json.loads(body[SNAPSHOT_HEADER.size : SNAPSHOT_HEADER.size + size])
        return header["as_of"]
    except (zlib.error, struct.error, ValueError, KeyError) as exc:
        raise SnapshotError(str(exc)) from exc


def _decompress(data):
    inflater = zlib.decompressobj()
    body = inflater.decompress(data, MAX_SNAPSHOT_BYTES)
    if not inflater.eof:
        raise SnapshotError("snapshot is truncated or too large")
    return body


def _to_base64(data):
    return base64.b64encode(data).decode()
