"""Task that follows one topic of keyed records by long reads."""

import asyncio
import contextlib
import logging
import random

from dandelionarch.core.keyed_log import Batch
from dandelionarch.errors import OffsetTruncatedError, PlatformError
from dandelionarch.logs import event

log = logging.getLogger(__name__)

LONG_READ_S = 25.0
RETRY_MIN_S = 0.2
RETRY_MAX_S = 1.0
REST_CHECK_S = 0.25
# Bounds the harm of news that no peer told.
MOST_REST_S = 20.0


def retry_pause_s(rng):
    """Return the time until a call to the store that failed is made again."""
    return rng.uniform(RETRY_MIN_S, RETRY_MAX_S)


class Follower:
    """Hands every batch of a topic's records to `on_records`, oldest first.

    After a gap the newest record of each key comes again, so handlers must bear
    repeats.

    Parameters
    ----------
    topic : KeyedLog
    on_records : callable
        Takes a tuple of `KeyedRecord`.
    pause_s : float
        Least time between two reads, unless `read_soon` is called.
    rng : random.Random, optional
        Spreads the retries of many daemons.
    rests : callable, optional
        Returns True while peers read the topic and tell of its changes, so that this
        daemon need not; never by default.
    """

    def __init__(self, topic, on_records, pause_s=0.0, rng=None, rests=lambda: False):
        self._topic = topic
        self._on_records = on_records
        self._pause_s = pause_s
        self._rng = rng or random.Random()
        self._offset = None
        self._rests = rests
        self._hurry = asyncio.Event()
        self.available = False
        self.caught_up = asyncio.Event()

    def read_soon(self):
        """Make the next read at once instead of after the pause."""
        self._hurry.set()

    async def run(self):
        """Follow until cancelled."""
        while True:
            try:
                batch = await self._next()
            except OffsetTruncatedError as exc:
                event(log, "topic_truncated", topic=self._topic.name, detail=exc)
                self._offset = None
                continue
            except PlatformError as exc:
                self._lost(exc)
                await asyncio.sleep(retry_pause_s(self._rng))
                continue
            self._regained()
            self._offset = batch.end
            if batch.records:
                self._on_records(batch.records)
            self.caught_up.set()
            await self._pause(self._pause_s)
            await self._rest()

    async def _pause(self, pause_s):
        """Wait for a time, or until a read is asked for; return True if it was."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause_s):
                await self._hurry.wait()
        hurried = self._hurry.is_set()
        self._hurry.clear()
        return hurried

    async def _rest(self):
        """Wait while others read, for a bounded time."""
        left_s = MOST_REST_S
        while left_s > 0 and self._rests():
            if await self._pause(REST_CHECK_S):
                return
            left_s -= REST_CHECK_S

    async def _next(self) -> Batch:
        if self._offset is None:
            return await self._topic.newest()
        return await self._topic.read(self._offset, LONG_READ_S)

    def _lost(self, exc):
        if self.available or not self.caught_up.is_set():
            event(
                log,
                "store_lost",
                logging.WARNING,
                topic=self._topic.name,
                offset=self._offset,
                error=type(exc).__name__,
                detail=exc,
            )
        self.available = False

    def _regained(self):
        if not self.available:
            event(log, "store_regained", topic=self._topic.name, offset=self._offset)
        self.available = True
