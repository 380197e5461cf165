"""Entries of a stream: parts of records and checkpoints within the log's size limit."""

import hashlib
import struct
from dataclasses import dataclass
from enum import IntEnum

from dandelionarch.errors import EntryError

MAX_ENTRY_BYTES = 256 << 10
HEADER = struct.Struct("!BBHH8sB")
FORMAT_VERSION = 1
MAX_ID_BYTES = 120
PART_BYTES = MAX_ENTRY_BYTES - HEADER.size - MAX_ID_BYTES
MAX_PARTS = 512
# Payloads stay unfinished if their publisher dies. The limit bounds their memory. The
# oldest in log order is dropped first, so that every reader drops the same one.
MAX_UNFINISHED = 8


class EntryKind(IntEnum):
    """Kind of payload of which an entry is a part."""

    RECORD = 1
    CHECKPOINT = 2


@dataclass(frozen=True, slots=True)
class Part:
    """The content of one entry; `digest` is of the whole payload."""

    kind: EntryKind
    record_id: str
    part: int
    parts: int
    digest: bytes
    data: bytes

    @property
    def key(self):
        """Return the key that all parts of one payload share."""
        return (self.kind, self.record_id, self.parts, self.digest)

    @property
    def is_last(self):
        """Return True for the part with the highest number."""
        return self.part == self.parts - 1


def digest_of(data):
    """Return the digest that identifies the parts of one payload."""
    return hashlib.sha256(data).digest()[:8]


def split(record_id, data, kind=EntryKind.RECORD, part_bytes=PART_BYTES):
    """Return the entries of a payload, each at most `MAX_ENTRY_BYTES`.

    Raises
    ------
    EntryError
        If the id is too long or the payload needs more than `MAX_PARTS` parts.
    """
    name = record_id.encode()
    if not 0 < len(name) <= MAX_ID_BYTES:
        raise EntryError(f"record id must have 1 to {MAX_ID_BYTES} bytes")
    parts = max(1, -(-len(data) // part_bytes))
    if parts > MAX_PARTS:
        raise EntryError(f"{len(data)} bytes need more than {MAX_PARTS} parts")
    digest = digest_of(data)
    return [
        HEADER.pack(FORMAT_VERSION, kind, number, parts, digest, len(name))
        + name
        + data[number * part_bytes : (number + 1) * part_bytes]
        for number in range(parts)
    ]


def parse_part(entry):
    """Return the `Part` in an entry's bytes.

    Raises
    ------
    EntryError
        If the bytes are not an entry of this format.
    """
    try:
        version, kind, part, parts, digest, size = HEADER.unpack_from(entry)
        record_id = entry[HEADER.size : HEADER.size + size].decode()
        kind = EntryKind(kind)
    except (struct.error, ValueError) as exc:
        raise EntryError(f"not an entry: {exc}") from exc
    if version != FORMAT_VERSION or not record_id:
        raise EntryError(f"entry of unsupported format {version} or without id")
    if part >= parts or parts > MAX_PARTS:
        raise EntryError(f"invalid part number {part} of {parts} parts")
    return Part(kind, record_id, part, parts, digest, entry[HEADER.size + size :])


class Assembler:
    """Collects parts until their payload is complete."""

    def __init__(self):
        self.unfinished = {}

    def add(self, part):
        """Add a part; return the payload if the part completes it, otherwise None."""
        if part.parts == 1:
            return part.data if digest_of(part.data) == part.digest else None
        received = self.unfinished.setdefault(part.key, {})
        received.setdefault(part.part, part.data)
        if len(received) < part.parts:
            if len(self.unfinished) > MAX_UNFINISHED:
                del self.unfinished[next(iter(self.unfinished))]
            return None
        del self.unfinished[part.key]
        data = b"".join(received[number] for number in range(part.parts))
        return data if digest_of(data) == part.digest else None
