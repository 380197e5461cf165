"""Large bodies: streaming, backpressure, size limits and replay."""

import asyncio
import contextlib
import hashlib
from unittest.mock import AsyncMock, Mock

import aiohttp

from dandelionarch.daemon.attempt import (
    REPLAY_LIMIT_BYTES,
    AttemptStream,
    BodyRemainder,
    CallerRequest,
)
from tests.support.path import fleet_test, two_daemons, until

MIB = 1 << 20
# The kernel buffers of the connections hold some MiB in addition to the windows.
STALL_LIMIT_BYTES = 24 * MIB
ENDLESS_CHUNKS = 1024


class Source:
    """Body that counts how many of its bytes were read."""

    def __init__(self, size, pause_s=0.0):
        self.read_bytes = 0
        self._size = size
        self._pause_s = pause_s

    async def __aiter__(self):
        part = b"0123456789abcdef" * 4096
        while self.read_bytes < self._size:
            await asyncio.sleep(self._pause_s)
            self.read_bytes += len(part)
            yield part


async def stalled_progress(progress):
    """Return `progress()` once it has not changed for half a second."""
    before = -1
    while (now := progress()) != before:
        before = now
        await asyncio.sleep(0.5)
    return before


class TestRequestBodies:
    """A request body arrives whole, or the caller gets a refusal."""

    @fleet_test
    async def test_large_body_arrives_whole(self, fleet, session):
        """Guards the order and completeness of a streamed body."""
        await two_daemons(fleet)
        await fleet.worker("w1", "vm-b")
        part = b"0123456789abcdef" * 4096
        for size in (4 * MIB, 4 * len(part)):
            body = part * (size // len(part))
            for data in (body, Source(size)):
                async with session.post(fleet.url("vm-a"), data=data) as resp:
                    answer = await resp.json()
                assert answer["size"] == size
                assert answer["digest"] == hashlib.sha256(body).hexdigest()

    @fleet_test
    async def test_too_large_body(self, fleet, session):
        """Guards the size limit, with and without an announced length."""
        await two_daemons(fleet, max_request_body_bytes=MIB)
        worker = await fleet.worker("w1", "vm-b")
        async with session.post(fleet.url("vm-a"), data=b"x" * 2 * MIB) as resp:
            assert resp.status == 413
            assert resp.headers["Dandelion-Outcome"] == "not-run"
        assert worker.runs == []
        async with session.post(fleet.url("vm-a"), data=Source(2 * MIB)) as resp:
            assert resp.status == 413
            assert resp.headers["Dandelion-Outcome"] == "unknown"
        await until(lambda: worker.runs[0]["end"], "worker stops")
        assert [run["result"] for run in worker.runs] == ["cancelled"]

    @fleet_test
    async def test_slow_body_times_out(self, fleet, session):
        """Guards against a caller that holds a request open indefinitely."""
        await two_daemons(fleet)
        worker = await fleet.worker("w1", "vm-b")
        headers = {"Dandelion-Time-Budget": "200"}
        slow = Source(MIB, pause_s=0.15)
        async with session.post(fleet.url("vm-a"), data=slow, headers=headers) as resp:
            assert resp.status == 408
            assert resp.headers["Dandelion-Outcome"] == "not-run"
        assert worker.runs == []

    @fleet_test
    async def test_worker_that_does_not_read(self, fleet, session):
        """Guards against reading much more from the caller than the worker reads."""
        await two_daemons(fleet, max_request_body_bytes=1 << 30)

        async def handle(reader, writer, n):
            reader._transport.pause_reading()
            await asyncio.sleep(30)

        await fleet.raw_worker("raw", "vm-b", handle)
        source = Source(ENDLESS_CHUNKS * 65_536)
        task = asyncio.create_task(session.post(fleet.url("vm-a"), data=source))
        assert await stalled_progress(lambda: source.read_bytes) < STALL_LIMIT_BYTES
        task.cancel()


class TestReplay:
    """A body is resent only if all of it has been kept."""

    @fleet_test
    async def test_refused_before_the_limit(self, fleet, session):
        """Guards against losing a large body when an endpoint refuses it."""
        daemon = await two_daemons(fleet)
        await fleet.worker("w1", "vm-b")
        await fleet.worker("w2", "vm-b")
        daemon.directory.drop_endpoint("w1")
        body = b"x" * MIB
        for _ in range(6):
            async with session.post(fleet.url("vm-a"), data=body) as resp:
                answer = await resp.json()
            assert answer["endpoint"] == "w2"
            assert answer["digest"] == hashlib.sha256(body).hexdigest()

    @fleet_test
    async def test_failed_before_and_after_the_limit(self, fleet, session):
        """Guards against resending the remainder of a body as if it were whole."""
        await two_daemons(fleet)

        async def handle(reader, writer, n):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.3):
                    while await reader.read(65_536):
                        pass
            writer.close()

        requests = await fleet.raw_worker("raw", "vm-b", handle)
        await fleet.worker("w2", "vm-b")
        for size, status in ((MIB, 502), (200_000, 200)):
            requests.clear()
            body = b"x" * size
            while not requests:
                async with session.patch(fleet.url("vm-a"), data=body) as resp:
                    answer = await resp.json()
                if resp.status == 200:
                    assert answer["digest"] == hashlib.sha256(body).hexdigest()
            assert resp.status == status
            assert answer.get("outcome", "unknown") == "unknown"

    def test_caller_is_read_after_the_endpoint(self):
        """Guards against reading the remainder while a replay is still possible."""
        asyncio.run(self._send_first_chunks())

    async def _send_first_chunks(self):
        async def read():
            return b""

        remainder = BodyRemainder(read, REPLAY_LIMIT_BYTES, MIB)
        req = CallerRequest("POST", "/", (), bytes(REPLAY_LIMIT_BYTES), remainder)
        stream = AttemptStream(1, "w1", Mock(writable=AsyncMock()))
        task = asyncio.create_task(stream.send_body(req))
        await until(lambda: stream.link.send.call_count == 4, "start is sent")
        await asyncio.sleep(0)
        assert req.replayable()
        task.cancel()


class TestAnswers:
    """Large answers are streamed at the caller's pace."""

    @fleet_test
    async def test_large_answer_arrives_whole(self, fleet, session):
        """Guards the order and completeness of a streamed answer."""
        await two_daemons(fleet)
        await fleet.worker("w1", "vm-b")
        for chunked in ("", "&chunked=1"):
            url = fleet.url("vm-a", f"/orders/1?size={3 * MIB}{chunked}")
            async with session.get(url) as resp:
                assert await resp.read() == bytes(range(256)) * (3 * MIB // 256)

    @fleet_test
    async def test_caller_that_does_not_read(self, fleet, session):
        """Guards against buffering an answer that the caller does not read."""
        await two_daemons(fleet, max_response_body_bytes=1 << 30)
        sent = 0

        async def handle(reader, writer, n):
            nonlocal sent
            size = ENDLESS_CHUNKS * 65_536
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
            for _ in range(ENDLESS_CHUNKS):
                writer.write(bytes(65_536))
                await writer.drain()
                sent += 65_536

        await fleet.raw_worker("raw", "vm-b", handle)
        resp = await session.get(fleet.url("vm-a"))
        assert resp.status == 200
        assert await stalled_progress(lambda: sent) < STALL_LIMIT_BYTES
        resp.close()

    @fleet_test
    async def test_answer_over_the_size_limit(self, fleet, session):
        """Guards against an answer above the size limit that looks whole."""
        await two_daemons(fleet, max_response_body_bytes=MIB)
        await fleet.worker("w1", "vm-b")
        url = fleet.url("vm-a", "/orders/1?size=3000000&chunked=1")
        async with session.get(url) as resp:
            with contextlib.suppress(aiohttp.ClientPayloadError):
                await resp.read()
                raise AssertionError("answer looks whole")
