"""Messages that relay the entries of the log between daemons."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One entry of a stream; `time_s` is read from the log service's clock."""

    offset: int
    time_s: float
    data: bytes


@dataclass(frozen=True, slots=True)
class StreamOffset:
    """The next offset that a daemon expects in a stream."""

    stream: str
    offset: int


@dataclass(frozen=True, slots=True)
class StreamRecords:
    """Consecutive entries of a stream, pushed down the relay tree or `pulled`."""

    stream: str
    entries: tuple[LogEntry, ...]
    pulled: bool


@dataclass(frozen=True, slots=True)
class StreamPull:
    """Ask for the entries from `start` on, or for one part of a state.

    `as_of` is 0 for entries, otherwise the offset of the state whose `part` is wanted.
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
    """Ask a daemon for its `StreamBeat`; sent by a daemon at its start."""

    sender: str


@dataclass(frozen=True, slots=True)
class StreamBeat:
    """The sender's offsets, and whether it considers the log `available`.

    Sent to the children in the relay tree and in reply to `OffsetsQuery`. A starting
    daemon uses the offsets only if the sender is `ready`.
    """

    ready: bool
    available: bool
    offsets: tuple[StreamOffset, ...]


MESSAGES = (StreamRecords, StreamPull, StreamState, OffsetsQuery, StreamBeat)
