"""Topics of keyed records; the log retains the newest record of each key."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from dandelionarch.ids import Offset, StoreEra

# Era of a store that tells none; such a store never comes back from a copy.
NO_ERA = StoreEra(0)


@dataclass(frozen=True, slots=True, order=True)
class Position:
    """A place in a topic.

    A store that comes back from an older copy gives offsets out again. Its era rises
    each time, so an offset is valid only together with the era in which it was read.
    """

    era: StoreEra
    offset: Offset


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """One record; an empty value removes the key."""

    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class Batch:
    """Records in order, and the position after the last one.

    `is_whole` is True if these are the newest records of all keys, so that a key that
    is missing here is missing in the topic.
    """

    records: tuple[KeyedRecord, ...]
    end: Position
    is_whole: bool = False


class KeyedLog(ABC):
    """One topic. All methods raise `PlatformError` if the platform is unavailable."""

    name = ""

    @abstractmethod
    async def newest(self):
        """Return the newest record of each key as a whole `Batch`."""

    @abstractmethod
    async def read(self, offset, wait_s):
        """Return a `Batch` from an offset on, empty if none came within `wait_s`.

        The offset counts in the store's present era, which the end of the batch tells.

        Raises
        ------
        OffsetTruncatedError
            If the topic does not have that offset: some records from there on are no
            longer retained, or the store has come back with fewer records.
        """

    @abstractmethod
    async def append(self, record):
        """Append a record and return its `Position`.

        Raises
        ------
        PlatformUnavailableError
            If no reply came. The record may have been appended, or may still be.
        """
