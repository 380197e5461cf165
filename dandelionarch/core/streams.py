"""Streams of the platform's log and the states folded from them."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from dandelionarch.ids import Offset, RecordId


@dataclass(frozen=True, slots=True)
class Record:
    """One complete record of a stream.

    `time_s` is read from the log service's clock; verdicts depend on no other clock.
    """

    offset: Offset
    time_s: float
    record_id: RecordId
    data: bytes


class Fold(ABC):
    """A state that is computed from the records of one stream, in log order."""

    stream: str

    @abstractmethod
    def apply(self, record):
        """Fold one record and return what it changed, or None.

        The result must depend on the record and the state only. A record that can't
        be decoded must change nothing.
        """

    @abstractmethod
    def snapshot(self):
        """Return the state as bytes."""

    @abstractmethod
    def restore(self, data):
        """Replace the state by that of a snapshot."""
