"""The store's client, with prepared replies and with a stand-in of the store."""

import asyncio
import base64
import json

import pytest

from dandelionarch.core.keyed_log import KeyedRecord, Position
from dandelionarch.errors import (
    OffsetTruncatedError,
    PlatformRefusedError,
    PlatformUnavailableError,
)
from dandelionarch.ids import StoreEra
from dandelionarch.platform.store import Reply, StoreClient, StoreTopic
from tests.support.platform.fleet import platform_test


class FakeClient:
    """Client whose calls return replies or raise errors from a list."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []

    async def call(self, method, path, params, data=None, wait_s=0.0):
        """Return or raise the next item of the list."""
        self.calls.append((path, params))
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


def page(items, end, more=False, era=1):
    """Return a page of newest records, which are given as (key, offset)."""
    items = [
        {"key": key, "value": base64.b64encode(b"v").decode(), "offset": offset}
        for key, offset in items
    ]
    body = json.dumps({"items": items, "more": more, "end": end}).encode()
    return Reply(body, StoreEra(era))


class TestNewest:
    """No record is missed between `newest` and the reads that follow."""

    def test_reads_continue_after_the_newest_record(self):
        """Guards against missing a record written after those of the page were read.

        The store reads its end later than the records. A daemon that started while
        the store was slow kept an old configuration until the next change.
        """
        topic = StoreTopic(FakeClient(page([("config", 4)], end=9)), "keyed.op")
        assert asyncio.run(topic.newest()).end == Position(1, 5)

    def test_deleted_offset_is_not_requested_again(self):
        """Guards against endless reads from before the first retained offset."""
        client = FakeClient(
            page([("config", 4)], end=9),
            OffsetTruncatedError(7, era=1),
            page([("config", 4)], end=9),
        )
        topic = StoreTopic(client, "keyed.op")

        async def follow():
            batch = await topic.newest()
            with pytest.raises(OffsetTruncatedError):
                await topic.read(batch.end.offset, 1.0)
            return await topic.newest()

        assert asyncio.run(follow()).end == Position(1, 7)

    def test_first_offset_of_an_earlier_era_is_forgotten(self):
        """Guards against endless reads from past the end of a restored topic.

        The store had deleted all records before offset 7, and comes back with five.
        """
        client = FakeClient(
            OffsetTruncatedError(7, era=1), page([("config", 4)], end=5, era=2)
        )
        topic = StoreTopic(client, "keyed.op")

        async def follow():
            with pytest.raises(OffsetTruncatedError):
                await topic.read(3, 1.0)
            return await topic.newest()

        assert asyncio.run(follow()).end == Position(2, 5)

    def test_pages_are_of_one_era(self):
        """Guards against joining pages from before and after a return of the store."""
        client = FakeClient(
            page([("a", 3), ("b", 8)], 9, more=True),
            page([("c", 1)], 5, era=2),
            page([("a", 3), ("c", 4)], 5, era=2),
        )
        batch = asyncio.run(StoreTopic(client, "keyed.fleet").newest())
        assert [record.key for record in batch.records] == ["a", "c"]
        assert batch.end == Position(2, 5)
        assert "after" not in client.calls[2][1]

    def test_pages_are_joined(self):
        """Guards against losing the records that don't fit into the first page."""
        client = FakeClient(
            page([("a", 3), ("b", 8)], 9, more=True), page([("c", 1)], 9)
        )
        batch = asyncio.run(StoreTopic(client, "keyed.fleet").newest())
        assert [record.key for record in batch.records] == ["a", "b", "c"]
        assert batch.end == Position(1, 9)
        assert client.calls[1][1]["after"] == "b"


class TestCalls:
    """The type of exception shows whether a failed call may have taken effect."""

    @platform_test
    async def test_refused_append(self, fleet, session):
        """Guards against treating a refused append as one that may take effect."""
        client = StoreClient("127.0.0.1", fleet.store_port)
        await client.start()
        fleet.store.unavailable = True
        with pytest.raises(PlatformRefusedError):
            await client.topic("keyed.fleet").append(KeyedRecord("a", b"x"))
        await client.stop()

    @platform_test
    async def test_append_without_reply(self, fleet, session):
        """Guards against treating a lost reply as a refusal."""
        client = StoreClient("127.0.0.1", fleet.store_port)
        await client.start()
        topic = client.topic("keyed.fleet")
        fleet.store.drop_replies = 1
        with pytest.raises(PlatformUnavailableError):
            await topic.append(KeyedRecord("a", b"x"))
        batch = await topic.read(0, 0.1)
        assert batch.records == (KeyedRecord("a", b"x"),)
        await client.stop()

    @platform_test
    async def test_long_read_ends_with_the_next_record(self, fleet, session):
        """Guards against a record that is delivered only when a long read times out."""
        client = StoreClient("127.0.0.1", fleet.store_port)
        await client.start()
        topic = client.topic("keyed.fleet")
        reading = asyncio.create_task(topic.read(0, 20.0))
        await asyncio.sleep(0.05)
        await topic.append(KeyedRecord("a", b"x"))
        batch = await asyncio.wait_for(reading, 5.0)
        assert batch.records == (KeyedRecord("a", b"x"),)
        assert batch.end == Position(fleet.store.era, 1)
        await client.stop()

    @platform_test
    async def test_era_of_each_reply(self, fleet, session):
        """Guards against a restored topic that looks like the one before."""
        client = StoreClient("127.0.0.1", fleet.store_port)
        await client.start()
        topic = client.topic("keyed.fleet")
        assert await topic.append(KeyedRecord("a", b"x")) == Position(1, 0)
        await fleet.store.restore({})
        assert await topic.append(KeyedRecord("b", b"x")) == Position(2, 0)
        assert (await topic.newest()).end == Position(2, 1)
        assert (await topic.read(1, 0.01)).end == Position(2, 1)
        with pytest.raises(OffsetTruncatedError) as raised:
            await topic.read(2, 0.01)
        assert raised.value.era == 2
        await client.stop()

    @platform_test
    async def test_unreadable_era(self, fleet, session):
        """Guards against an era that a damaged header field makes up."""
        client = StoreClient("127.0.0.1", fleet.store_port)
        await client.start()
        for era in ("", "x", "-1", "1.5", "9" * 40):
            fleet.store.era = era
            with pytest.raises(PlatformUnavailableError):
                await client.topic("keyed.fleet").newest()
        await client.stop()
