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
        self.records = []
        self.first_offset = 0
        self.broken = False
        self.sends_replies = True

    async def append(self, stream, data):
        """Append a record unless the log is broken."""
        if self.broken:
            raise PlatformUnavailableError("broken")
        self.records.append(data)
        if not self.sends_replies:
            raise PlatformUnavailableError("reply lost")

    async def read(self, stream, start, limit=1000, wait_ms=0):
        """Return the records from `start` on."""
        await asyncio.sleep(0.005)
        if start < self.first_offset:
            raise OffsetTruncatedError(self.first_offset)
        return [
            LogEntry(start + i, 0.0, data)
            for i, data in enumerate(self.records[start:])
        ]


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
            log.records += [b"[]"] * 5
            log.first_offset = 5
            assert await self._claim(home, "02") is ClaimVerdict.UNAVAILABLE
        finally:
            await home.stop()

    async def _claim(self, home, number):
        verdict, _ = await home.claim(Claim(number, "bb", number, "vm-1", 1), 5.0)
        return verdict
