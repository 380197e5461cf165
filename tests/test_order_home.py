"""`PartitionHome` in outages, lost replies and gaps of the log."""

import asyncio

from dandelionarch.core.messages.streams import LogEntry
from dandelionarch.core.orders import Claim, ClaimVerdict
from dandelionarch.daemon import order_home
from dandelionarch.daemon.order_home import PartitionHome
from dandelionarch.errors import OffsetTruncatedError, PlatformUnavailableError


class FakeLog:
    """A log whose appends can fail while its reads work."""

    def __init__(self):
        self.era = 1
        self.records = []
        self.first_offset = 0
        self.time_s = 0.0
        self.holds_reads = False
        self.broken = False
        self.sends_replies = True

    async def append(self, stream, data):
        """Append a record unless the log is broken."""
        if self.broken:
            raise PlatformUnavailableError("broken")
        self.records.append((self.time_s, data))
        if not self.sends_replies:
            raise PlatformUnavailableError("reply lost")

    async def read(self, stream, start, limit=1000, wait_ms=0):
        """Return the records from `start` on."""
        await asyncio.sleep(0.005)
        while self.holds_reads:
            await asyncio.sleep(0.005)
        if start < self.first_offset:
            raise OffsetTruncatedError(self.first_offset)
        return [
            LogEntry(start + i, time_s, data)
            for i, (time_s, data) in enumerate(self.records[start:])
        ]

    def lose(self, count):
        """Come back from a copy that lacks the newest records."""
        del self.records[len(self.records) - count :]
        self.era += 1


class TestPartitionHome:
    """Claims are refused at once in an outage, and granted after it."""

    def test_appends_are_tried_again_after_an_outage(self, monkeypatch):
        """Guards against a home that stays unavailable after the log's recovery."""
        monkeypatch.setattr(order_home, "PROBE_PERIOD_S", 0.05)
        asyncio.run(self._outage())

    async def _outage(self):
        log = FakeLog()
        home = PartitionHome(0, log, 3600.0)
        try:
            assert await self._claim(home, "01") is ClaimVerdict.GRANTED
            log.broken = True
            assert await self._claim(home, "02") is ClaimVerdict.UNAVAILABLE
            log.broken = False
            await asyncio.sleep(0.1)
            assert await self._claim(home, "03") is ClaimVerdict.GRANTED
        finally:
            await home.stop()

    def test_lost_replies_are_no_outage(self):
        """Guards against refusing orders whose claims are in the log."""
        asyncio.run(self._lost_replies())

    async def _lost_replies(self):
        log = FakeLog()
        log.sends_replies = False
        home = PartitionHome(0, log, 3600.0)
        try:
            for number in ("01", "02", "03", "04", "05"):
                assert await self._claim(home, number) is ClaimVerdict.GRANTED
            assert home._failed_appends < order_home.FAILED_APPENDS_FOR_OUTAGE
        finally:
            await home.stop()

    def test_no_claim_is_granted_after_a_gap_in_the_log(self):
        """Guards against granting a key whose first claim was truncated unread."""
        asyncio.run(self._gap())

    async def _gap(self):
        log = FakeLog()
        home = PartitionHome(0, log, 3600.0)
        try:
            assert await self._claim(home, "01") is ClaimVerdict.GRANTED
            log.records += [(0.0, b"[]")] * 5
            log.first_offset = 5
            assert await self._claim(home, "02") is ClaimVerdict.UNAVAILABLE
        finally:
            await home.stop()

    def test_claim_that_the_log_has_lost_is_not_granted_again(self):
        """Guards against an order that runs twice after the log's return from a copy.

        The second home of the partition starts after the return; the first claim is
        only in the memory of the home that granted it.
        """
        asyncio.run(self._lost_claim())

    async def _lost_claim(self):
        log = FakeLog()
        first = PartitionHome(0, log, 3600.0)
        try:
            assert await self._claim(first, "01") is ClaimVerdict.GRANTED
            assert await self._claim(first, "02") is ClaimVerdict.GRANTED
            log.lose(1)
            second = PartitionHome(0, log, 3600.0)
            for home in (second, first):
                again = Claim("02", "bb", f"c{id(home)}", "vm-2", 1)
                verdict, _ = await home.claim(again, 0.5)
                assert verdict in (ClaimVerdict.UNAVAILABLE, ClaimVerdict.TAKEN)
            await second.stop()
        finally:
            await first.stop()

    def test_claim_of_the_era_before_is_not_granted_in_the_next(self):
        """Guards against a grant that rests on a claim read back after the return."""
        asyncio.run(self._claim_across_eras())

    async def _claim_across_eras(self):
        log = FakeLog()
        home = PartitionHome(0, log, 3600.0)
        try:
            log.holds_reads = True
            claiming = asyncio.create_task(self._claim(home, "01"))
            await asyncio.sleep(0.05)
            log.lose(0)
            log.holds_reads = False
            assert await claiming is ClaimVerdict.UNAVAILABLE
        finally:
            await home.stop()

    def test_claims_are_granted_again_after_the_window(self):
        """Guards against refusing all orders for good after one return of the log."""
        asyncio.run(self._window())

    async def _window(self):
        log = FakeLog()
        home = PartitionHome(0, log, 60.0)
        try:
            assert await self._claim(home, "01") is ClaimVerdict.GRANTED
            log.lose(1)
            assert await self._claim(home, "02") is ClaimVerdict.UNAVAILABLE
            log.time_s += 61.0
            assert await self._claim(home, "03") is ClaimVerdict.GRANTED
        finally:
            await home.stop()

    async def _claim(self, home, number):
        verdict, _ = await home.claim(Claim(number, "bb", number, "vm-1", 1), 5.0)
        return verdict
