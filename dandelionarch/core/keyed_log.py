"""Topics of keyed records; the log retains the newest record of each key."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from dandelionarch.ids import Offset


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """One record; an empty value removes the key."""

    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class Batch:
    """Records in order, and the offset after the last one."""

    records: tuple[KeyedRecord, ...]
    end: Offset


class KeyedLog(ABC):
    """One topic. All methods raise `PlatformError` if the platform is unavailable."""

    name = ""

    @abstractmethod
    async def newest(self):
        """Return the newest record of each key as a `Batch`."""

    @abstractmethod
    async def read(self, offset, wait_s):
        """Return a `Batch` from an offset on, empty if none came within `wait_s`.

        Raises
        ------
        OffsetTruncatedError
            If some records from that offset on are no longer retained.
        """

    @abstractmethod
    async def append(self, record):
        """Append a record.

        Raises
        ------
        PlatformUnavailableError
            If no reply came. The record may have been appended, or may still be.
        """
