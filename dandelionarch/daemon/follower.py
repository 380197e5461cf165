"""Task that follows one topic of keyed records by long polling."""

import asyncio
import contextlib
import logging
import random

from dandelionarch.core.keyed_log import NO_ERA, Batch
from dandelionarch.errors import OffsetTruncatedError, PlatformError
from dandelionarch.logs import event

log = logging.getLogger(__name__)

LONG_POLL_S = 25.0
# Factor between the waits of two successive reads without records, with a random spread
# that keeps the reads of many daemons from beginning at the same time.
POLL_GROWTH = 2.0
POLL_SPREAD = (0.8, 1.2)
MIN_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 1.0
SKIP_CHECK_S = 0.25
# Wait of a read after an error or a request. The era of its reply shows whether the
# store has been restored, which a longer read at the topic's end would show late.
SHORT_POLL_S = 0.5
# Bounds the delay of a change that no peer announced.
MAX_SKIP_S = 20.0


def retry_delay_s(rng):
    """Return the random delay in seconds before a failed store call is retried."""
    return rng.uniform(MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S)


class Follower:
    """Passes every batch of a topic's records to `on_batch`, oldest first.

    If the store has dropped records before they were read, or has come back from an
    older copy of its records, the newest record of each key is delivered again, so the
    handler must be idempotent.

    Parameters
    ----------
    topic : KeyedLog
    on_batch : callable
        Called with each `Batch` that has records or is whole.
    pause_s : float
        Minimum pause between two reads, unless `read_soon` is called.
    rng : random.Random, optional
        Spreads the retries of many daemons over time.
    can_skip_reads : callable, optional
        Returns True while peers read the topic and announce its changes, so that this
        daemon need not read it. By default it always reads.
    first_poll_s : float, optional
        Wait in seconds of the first read after a batch; it grows with each read without
        records, and is `SHORT_POLL_S` at most after an error or a request. The store
        may not answer a read that begins while a record is written before the next
        record or the end of the read's wait.
    reread_delay_s : callable, optional
        Returns the seconds to wait before the topic is read again as a whole because
        the store has been restored, which all daemons see at about the same time.
    on_restored : callable, optional
        Called without arguments when the store has been restored.

    Attributes
    ----------
    available : bool
        True if the last read succeeded.
    era : StoreEra
        Era of the store at the last reply, `NO_ERA` before the first one.
    caught_up : asyncio.Event
        Set after the first successful read.
    """

    def __init__(
        self,
        topic,
        on_batch,
        pause_s=0.0,
        rng=None,
        can_skip_reads=lambda: False,
        first_poll_s=LONG_POLL_S,
        reread_delay_s=lambda: 0.0,
        on_restored=lambda: None,
    ):
        self._topic = topic
        self._on_batch = on_batch
        self._reread_delay_s = reread_delay_s
        self._on_restored = on_restored
        self._pause_s = pause_s
        self._rng = rng or random.Random()
        self._position = None
        self._can_skip_reads = can_skip_reads
        self._first_poll_s = first_poll_s
        self._poll_s = first_poll_s
        self._read_requested = asyncio.Event()
        self.available = False
        self.era = NO_ERA
        self.caught_up = asyncio.Event()

    def read_soon(self):
        """Start the next read at once instead of after the pause, as a short one."""
        self._read_requested.set()

    async def run(self):
        """Follow until cancelled."""
        while True:
            try:
                batch = await self._read_batch()
            except OffsetTruncatedError as exc:
                await self._on_truncated(exc)
                continue
            except PlatformError as exc:
                self._shorten_poll()
                self._on_store_lost(exc)
                await asyncio.sleep(retry_delay_s(self._rng))
                continue
            self._on_store_regained()
            self.era = batch.end.era
            if self._is_of_earlier_era():
                await self._leave_earlier_era()
                continue
            self._log_read(batch)
            self._position = batch.end
            if batch.records or batch.is_whole:
                self._on_batch(batch)
            self.caught_up.set()
            await self._wait(self._pause_s)
            await self._skip_reads()

    async def _on_truncated(self, exc):
        self.era = exc.era
        if self._is_of_earlier_era():
            await self._leave_earlier_era()
            return
        event(log, "topic_truncated", topic=self._topic.name, detail=exc)
        self._position = None

    def _is_of_earlier_era(self):
        """Return True if the position is of another era than the store's.

        It may stand for other records now, or for the end of the topic, where a reader
        would wait without an error.
        """
        return self._position is not None and self._position.era != self.era

    async def _leave_earlier_era(self):
        """Drop the position, so that the topic is read again as a whole."""
        event(
            log,
            "store_restored",
            logging.WARNING,
            topic=self._topic.name,
            era=self.era,
            previous=self._position.era,
            offset=self._position.offset,
        )
        self._position = None
        self._on_restored()
        await asyncio.sleep(self._reread_delay_s())

    async def _wait(self, pause_s):
        """Wait `pause_s` or until a read is requested; return True if it was."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause_s):
                await self._read_requested.wait()
        requested = self._read_requested.is_set()
        if requested:
            self._read_requested.clear()
            self._shorten_poll()
        return requested

    def _shorten_poll(self):
        self._poll_s = min(self._first_poll_s, SHORT_POLL_S)

    async def _skip_reads(self):
        """Wait while peers read in place of this daemon, up to `MAX_SKIP_S`."""
        if not self._can_skip_reads():
            return
        event(log, "reads_skipped", topic=self._topic.name, offset=self._known_offset)
        remaining_s, requested = MAX_SKIP_S, False
        while remaining_s > 0 and not requested and self._can_skip_reads():
            requested = await self._wait(SKIP_CHECK_S)
            remaining_s -= SKIP_CHECK_S
        event(
            log,
            "reads_resumed",
            topic=self._topic.name,
            offset=self._known_offset,
            requested=requested,
        )

    def _log_read(self, batch):
        event(
            log,
            "topic_read",
            topic=self._topic.name,
            era=batch.end.era,
            offset=self._known_offset,
            end=batch.end.offset,
            records=len(batch.records),
        )

    @property
    def _known_offset(self):
        return None if self._position is None else self._position.offset

    async def _read_batch(self) -> Batch:
        if self._position is None:
            self._poll_s = self._first_poll_s
            return await self._topic.newest()
        batch = await self._topic.read(self._position.offset, self._poll_s)
        self._poll_s = self._first_poll_s if batch.records else self._longer_poll_s()
        return batch

    def _longer_poll_s(self):
        growth = POLL_GROWTH * self._rng.uniform(*POLL_SPREAD)
        return min(LONG_POLL_S, max(self._first_poll_s, growth * self._poll_s))

    def _on_store_lost(self, exc):
        if self.available or not self.caught_up.is_set():
            event(
                log,
                "store_lost",
                logging.WARNING,
                topic=self._topic.name,
                offset=self._known_offset,
                error=type(exc).__name__,
                detail=exc,
            )
        self.available = False

    def _on_store_regained(self):
        if not self.available:
            event(
                log,
                "store_regained",
                topic=self._topic.name,
                offset=self._known_offset,
            )
        self.available = True
