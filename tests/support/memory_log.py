"""In-memory keyed topic that counts its calls."""

import asyncio

from dandelionarch.core.keyed_log import Batch, KeyedLog, Position
from dandelionarch.errors import OffsetTruncatedError, PlatformUnreachableError
from dandelionarch.ids import Offset, StoreEra


class MemoryLog(KeyedLog):
    """One topic that any number of daemons can share.

    Attributes
    ----------
    reads, appends : int
        Number of calls so far, including failed ones.
    down : bool
        True while all calls fail.
    """

    name = "memory"

    def __init__(self):
        self.reads = 0
        self.appends = 0
        self.down = False
        self._era = StoreEra(1)
        self._records = []
        self._record_appended = asyncio.Event()

    def restore(self, lost):
        """Lose the last records and begin a new era; waiting reads fail."""
        del self._records[len(self._records) - lost :]
        self._era += 1
        self._wake_reads()

    def keys(self):
        """Return the keys of the topic's records."""
        return {record.key for record in self._records}

    def _wake_reads(self):
        self._record_appended.set()
        self._record_appended = asyncio.Event()

    def _raise_if_down(self):
        if self.down:
            raise PlatformUnreachableError("the topic is down")

    def _batch(self, records, is_whole=False):
        end = Position(self._era, Offset(len(self._records)))
        return Batch(tuple(records), end, is_whole)

    async def newest(self):
        self.reads += 1
        self._raise_if_down()
        newest = {record.key: record for record in self._records}
        return self._batch(newest.values(), is_whole=True)

    async def read(self, offset, wait_s):
        self.reads += 1
        self._raise_if_down()
        if offset > len(self._records):
            raise OffsetTruncatedError(0, self._era)
        era = self._era
        try:
            async with asyncio.timeout(wait_s):
                while len(self._records) <= offset:
                    await self._record_appended.wait()
                    if self._era != era:
                        raise PlatformUnreachableError("the topic was restored")
        except TimeoutError:
            pass
        return self._batch(self._records[offset:])

    async def append(self, record):
        self.appends += 1
        self._raise_if_down()
        self._records.append(record)
        self._wake_reads()
        return Position(self._era, Offset(len(self._records) - 1))
