"""Faulty heads of answers: of another request, or cut off.

A worker may write an earlier refusal once more on a kept connection, or stop in the
middle of a head and close.
"""

import asyncio

import aiohttp
import pytest

from dandelionarch.core.messages.request import RequestHead
from dandelionarch.core.world import Endpoint
from dandelionarch.daemon.endpoint_connections import Call, EndpointPool
from dandelionarch.errors import BrokenAnswerError, WorkerConnectionLostError
from dandelionarch.platform.http_fields import PlatformDialect
from tests.support.platform.fleet import ask, platform_test
from tests.support.platform.worker import (
    WorkerStandin,
    answer,
    not_executed,
    reset_connection,
)

BODY = b"done"
CHUNKED = "Transfer-Encoding: chunked"
REFUSALS_WITHOUT_ID = (
    b"HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 429 X\r\nContent-Length: 0\r\n\r\n",
)
# Heads of answers, each followed by its body.
ANSWERS = {
    "length": lambda req: answer(req, BODY),
    "length last": lambda req: answer(
        req, b"", length=False, extra=("X-Other: 1", "Content-Length: 4")
    ),
    "chunks": lambda req: answer(
        req, b"4\r\ndone\r\n0\r\n\r\n", length=False, extra=(CHUNKED,)
    ),
    "neither": lambda req: answer(req, BODY, length=False),
}


class TestRepeatedRefusals:
    """`not run` is told only of the request that was refused."""

    async def place_order(self, fleet, session, repeated):
        """Place an order whose worker writes `repeated(refused)` before its answer.

        `refused` is a request that the worker has refused before on a connection that
        it keeps. Returns (status, body, number of runs).
        """
        refused = []

        async def handle(req, writer):
            if not refused:
                refused.append(req)
                writer.write(not_executed(req))
                return
            writer.write(repeated(refused[0]))
            await asyncio.sleep(0.05)
            writer.write(answer(req, BODY))

        for vm in ("vm-a", "vm-b"):
            await fleet.daemon(vm)
        await fleet.configure()
        workers = [
            await fleet.worker(vm, handle, session=session) for vm in ("vm-a", "vm-b")
        ]
        await fleet.wait_for_links()
        kwargs = {"path": "/place/1", "method": "POST"}
        await ask(session, fleet, "vm-a", request_id="r-0", **kwargs)
        before = sum(len(worker.received) for worker in workers)
        status, _, body = await ask(session, fleet, "vm-a", request_id="r-1", **kwargs)
        await asyncio.sleep(0.1)
        received = sum(len(worker.received) for worker in workers)
        return status, body, received - before

    @platform_test
    async def test_refusal_of_an_earlier_request(self, fleet, session):
        """Guards against `not run`, or a second run, for an order that is running."""
        status, body, runs = await self.place_order(fleet, session, not_executed)
        assert (status, body, runs) == (200, BODY, 1)

    @pytest.mark.parametrize("data", REFUSALS_WITHOUT_ID)
    def test_refusal_that_names_no_request(self, data):
        """Guards against taking any refusal for that of the present request."""

        @platform_test
        async def place(self, fleet, session):
            status, _, runs = await self.place_order(fleet, session, lambda req: data)
            assert (status, runs) == (502, 1)

        place(self)


class TestCutHeads:
    """A head that ends early is never taken for a whole answer."""

    async def read_cut(self, name, cut_at, reset):
        """Return the (status, body) read from an answer cut at a byte, or None."""

        async def handle(req, writer):
            writer.write(ANSWERS[name](req)[:cut_at])
            await writer.drain()
            if reset:
                reset_connection(writer)
            else:
                writer.close()

        worker, pool = WorkerStandin("i", handle), EndpointPool(PlatformDialect())
        await worker.start()
        await pool.start()
        endpoint = Endpoint("i", "vm", "s", "127.0.0.1", worker.port, 3, 10, 1)
        fields = (1, "r-1", "i", "s", "r", "k", False, 1, 2000, "POST", "/x", (), b"")
        head = RequestHead(*fields, True, False)
        try:
            reply = await pool.open(Call(), endpoint, head, b"", 2000)
            body, last = b"", False
            while not last:
                data, last = await reply.read(1000)
                body += data
            return reply.status, body
        except (BrokenAnswerError, WorkerConnectionLostError, aiohttp.ClientError):
            return None
        finally:
            await pool.stop()
            worker.stop()

    @pytest.mark.parametrize("reset", [False, True])
    @pytest.mark.parametrize("name", ANSWERS)
    def test_every_cut(self, name, reset):
        """Guards against a 200 with an empty or short body that looks complete."""

        class Request:
            request_id = "r-1"

        head_size = ANSWERS[name](Request).index(b"\r\n\r\n") + 4

        async def read_all():
            return [
                await self.read_cut(name, cut_at, reset) for cut_at in range(head_size)
            ]

        assert asyncio.run(read_all()) == [None] * head_size
