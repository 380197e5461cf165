"""In-memory keyed topic that counts its calls."""

import asyncio

from dandelionarch.core.keyed_log import Batch, KeyedLog
from dandelionarch.errors import PlatformUnreachableError
from dandelionarch.ids import Offset


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
        self._records = []
        self._record_appended = asyncio.Event()

    def _raise_if_down(self):
        if self.down:
            raise PlatformUnreachableError("the topic is down")

    async def newest(self):
        self.reads += 1
        self._raise_if_down()
        newest = {record.key: record for record in self._records}
        return Batch(tuple(newest.values()), Offset(len(self._records)))

    async def read(self, offset, wait_s):
        self.reads += 1
        self._raise_if_down()
        try:
            async with asyncio.timeout(wait_s):
                while len(self._records) <= offset:
                    await self._record_appended.wait()
        except TimeoutError:
            return Batch((), Offset(offset))
        return Batch(tuple(self._records[offset:]), Offset(len(self._records)))

    async def append(self, record):
        self.appends += 1
        self._raise_if_down()
        self._records.append(record)
        self._record_appended.set()
        self._record_appended = asyncio.Event()
