"""Keyed topic in memory, which counts the calls that are made on it."""

import asyncio

from dandelionarch.core.keyed_log import Batch, KeyedLog
from dandelionarch.errors import PlatformUnreachableError
from dandelionarch.ids import Offset


class MemoryLog(KeyedLog):
    """One topic that any number of daemons share.

    Attributes
    ----------
    reads, appends : int
        Calls so far.
    down : bool
        True while no call succeeds.
    """

    name = "memory"

    def __init__(self):
        self.reads = 0
        self.appends = 0
        self.down = False
        self._records = []
        self._grown = asyncio.Event()

    def _check(self):
        if self.down:
            raise PlatformUnreachableError("the topic is down")

    async def newest(self):
        self.reads += 1
        self._check()
        newest = {record.key: record for record in self._records}
        return Batch(tuple(newest.values()), Offset(len(self._records)))

    async def read(self, offset, wait_s):
        self.reads += 1
        self._check()
        try:
            async with asyncio.timeout(wait_s):
                while len(self._records) <= offset:
                    await self._grown.wait()
        except TimeoutError:
            return Batch((), Offset(offset))
        return Batch(tuple(self._records[offset:]), Offset(len(self._records)))

    async def append(self, record):
        self.appends += 1
        self._check()
        self._records.append(record)
        self._grown.set()
        self._grown = asyncio.Event()
