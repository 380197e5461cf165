"""Topics of keyed records, of which the newest record of each key is retained."""

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
    """One topic. All methods raise `PlatformError` if the platform can't be used."""

    name = ""

    @abstractmethod
    async def newest(self):
        """Return the newest record of each key as a `Batch`."""

    @abstractmethod
    async def read(self, offset, wait_s):
        """Return a `Batch` from an offset on, empty if none came in `wait_s`.

        Raises
        ------
        OffsetTruncatedError
            If records from that offset on are no longer all there.
        """

    @abstractmethod
    async def append(self, record):
        """Append a record.

        Raises
        ------
        PlatformUnavailableError
            If no reply came; the record may have been appended or may be later.
        """
