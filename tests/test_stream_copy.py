"""Tests that a copy of a stream folds entries in log order."""

import json

import pytest

from dandelionarch.core.entry_parts import MAX_ENTRY_BYTES, EntryKind, split
from dandelionarch.core.messages import streams as msgs
from dandelionarch.core.messages.streams import LogEntry
from dandelionarch.core.stream_copy import StreamCopy
from dandelionarch.core.streams import Fold
from dandelionarch.errors import EntryError
from dandelionarch.wire.codec import Codec


class RecordingFold(Fold):
    """Fold that keeps the ids and sizes of the applied records."""

    stream = "config"

    def __init__(self):
        self.applied = []

    def apply(self, record):
        self.applied.append([record.record_id, len(record.data)])
        return len(self.applied)

    def snapshot(self):
        return json.dumps(self.applied).encode()

    def restore(self, data):
        self.applied = json.loads(data)


class MemoryLog:
    """A log in memory."""

    def __init__(self):
        self.entries = []

    def add(self, *entries):
        for data in entries:
            offset = len(self.entries)
            self.entries.append(LogEntry(offset, float(offset), data))
        return self

    def copy(self, start=0):
        """Return a new copy that has read everything from `start` on."""
        copy = StreamCopy(RecordingFold())
        copy.on_truncated(start)
        while copy.read_from < len(self.entries):
            copy.apply_entries(self.entries[copy.read_from :])
        return copy


LARGE_PAYLOAD = bytes(range(256)) * 3000


class TestParts:
    """Payloads larger than a log record are split."""

    def test_interleaved_parts_take_effect_at_the_last_one(self):
        """Guards against a payload that contains parts of another one."""
        first, second = split("a", LARGE_PAYLOAD), split("b", LARGE_PAYLOAD[::-1])
        log = MemoryLog()
        for one, other in zip(first, second, strict=True):
            assert max(len(one), len(other)) <= MAX_ENTRY_BYTES
            log.add(one, other)
        copy = StreamCopy(RecordingFold())
        copy.apply_entries(log.entries[:-2])
        assert copy.fold.applied == []
        copy.apply_entries(log.entries[-2:])
        assert copy.fold.applied == [
            ["a", len(LARGE_PAYLOAD)],
            ["b", len(LARGE_PAYLOAD)],
        ]

    def test_repeated_append_counts_once(self):
        """Guards against a second effect after the reply to an append was lost."""
        parts = split("a", LARGE_PAYLOAD)
        copy = MemoryLog().add(*parts[:1], *parts, *parts, *split("b", b"")).copy()
        assert copy.fold.applied == [["a", len(LARGE_PAYLOAD)], ["b", 0]]

    def test_foreign_entry_is_skipped(self):
        """Guards against a stream that stops at an entry of another format."""
        copy = MemoryLog().add(b"", b"not an entry at all", *split("a", b"x")).copy()
        assert copy.fold.applied == [["a", 1]]

    def test_oversized_payload_is_rejected(self):
        """Guards against appending parts that no reader accepts."""
        with pytest.raises(EntryError):
            split("a" * 200, b"")


class TestMessages:
    """Messages between daemons survive their encoding."""

    @pytest.mark.parametrize(
        "msg",
        [
            msgs.StreamRecords(
                "config", (LogEntry(1, 2.5, LARGE_PAYLOAD[:9]),) * 2, True
            ),
            msgs.StreamPull("config", 7, 9, 1),
            msgs.StreamState("config", 9, 1, 3, LARGE_PAYLOAD[: 256 << 10]),
            msgs.OffsetsQuery("vm-a"),
            msgs.StreamBeat(True, False, (msgs.StreamOffset("config", 1 << 40),)),
        ],
        ids=lambda msg: type(msg).__name__,
    )
    def test_round_trip(self, msg):
        """Guards against a schema that does not fit its message class."""
        codec = Codec()
        assert codec.decode(*codec.encode(msg)) == msg


class TestStreamCopy:
    """Copies reach the same state from any start."""

    def test_gap_is_never_skipped(self):
        """Guards against a verdict on a record before earlier ones are folded."""
        log = MemoryLog().add(*(split(str(n), b"")[0] for n in range(4)))
        copy = StreamCopy(RecordingFold())
        copy.apply_entries(log.entries[2:])
        assert (copy.next_offset, copy.fold.applied) == (0, [])

    def test_start_from_checkpoint_equals_start_from_the_first_entry(self):
        """Guards against a checkpoint without record ids or unfinished payloads."""
        large = split("big", LARGE_PAYLOAD)
        log = MemoryLog().add(*split("a", b"1"), large[0])
        checkpoint = log.copy().snapshot()
        log.add(*split("b", b"2"))
        log.add(*split("cp", checkpoint, EntryKind.CHECKPOINT))
        log.add(*split("a", b"1"), *large[1:], *split("c", b"3"))
        whole, late = log.copy(), log.copy(start=2)
        assert late.fold.applied == whole.fold.applied
        assert [name for name, _ in late.fold.applied] == ["a", "b", "big", "c"]
        assert late.next_offset == whole.next_offset == len(log.entries)

    def test_checkpoint_with_a_truncated_remainder_is_not_used(self):
        """Guards against skipping entries that the checkpoint does not cover."""
        log = MemoryLog().add(*split("a", b""))
        checkpoint = log.copy().snapshot()
        log.add(*split("b", b""), *split("c", b""))
        log.add(*split("cp", checkpoint, EntryKind.CHECKPOINT))
        copy = log.copy(start=2)
        assert copy.is_searching
        assert (copy.next_offset, copy.fold.applied) == (0, [])

    def test_faulty_record_does_not_stop_the_stream(self):
        """Guards against one record that stops every daemon."""
        copy = StreamCopy(RecordingFold())
        copy.fold.apply = lambda record: {}[record.record_id]
        log = MemoryLog().add(*split("a", b""), *split("b", b""))
        results = [type(result) for _, result in copy.apply_entries(log.entries)]
        assert (results, copy.next_offset) == ([KeyError, KeyError], 2)

    def test_older_snapshot_is_not_restored(self):
        """Guards against an offset or a revision that decreases."""
        log = MemoryLog().add(*split("a", b""))
        old = log.copy().snapshot()
        copy = log.add(*split("b", b"")).copy()
        assert not copy.restore(old)
        assert copy.next_offset == 2
