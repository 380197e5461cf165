"""Messages that relay the log's entries between daemons."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One entry at its place in a stream; `time_s` is the log service's clock."""

    offset: int
    time_s: float
    data: bytes


@dataclass(frozen=True, slots=True)
class StreamOffset:
    """The next offset that a daemon expects of a stream."""

    stream: str
    offset: int


@dataclass(frozen=True, slots=True)
class StreamRecords:
    """Consecutive entries of a stream, pushed along the tree or pulled."""

    stream: str
    entries: tuple[LogEntry, ...]
    pulled: bool


@dataclass(frozen=True, slots=True)
class StreamPull:
    """Ask for the entries from `start` on, or for one part of a state.

    `as_of` is 0 for entries, otherwise the offset of the state whose `part` is asked.
    """

    stream: str
    start: int
    as_of: int
    part: int


@dataclass(frozen=True, slots=True)
class StreamState:
    """One part of a stream's state after all entries below `as_of`."""

    stream: str
    as_of: int
    part: int
    parts: int
    data: bytes


@dataclass(frozen=True, slots=True)
class OffsetsQuery:
    """Ask a daemon for its `StreamBeat`; sent by a daemon that starts."""

    sender: str


@dataclass(frozen=True, slots=True)
class StreamBeat:
    """The sender's offsets and its view of the log, also sent to its children.

    The offsets count for a daemon that starts only if the sender is `ready`.
    """

    ready: bool
    available: bool
    offsets: tuple[StreamOffset, ...]


MESSAGES = (StreamRecords, StreamPull, StreamState, OffsetsQuery, StreamBeat)
