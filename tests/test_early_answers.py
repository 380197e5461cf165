"""Answers that begin before the endpoint has read the request's body.

Pattern: the endpoint sends a part of a long answer, reads a long body at its own pace,
and sends the rest. Both bodies have windows of their own.
"""

import asyncio
import contextlib
import random
import re
import socket

import aiohttp
from hypothesis import given, settings
from hypothesis import strategies as st

from dandelionarch.core.messages import request as msgs
from dandelionarch.daemon.agent_run import WINDOW_BYTES
from tests.support.path import fleet_test, until

REQUEST_BYTES = 8_000_000
ANSWER = random.Random(1).randbytes(1_500_000)
FIRST_BYTES = 400_000
READ_BYTES = 1 << 16
READ_PAUSE_S = 0.01
# Far more than the transfer takes, and below the route's budget.
ANSWER_TIMEOUT_S = 2.5


class EarlyWorker:
    """Sends the first part of its answer before it reads the body, the rest after it.

    `read_bytes` are the sizes of the bodies that it has read.
    """

    def __init__(self):
        self.read_bytes = []
        self._server = None
        self._writers = set()

    async def start(self):
        """Listen; return the port."""
        sock = socket.create_server(("127.0.0.1", 0))
        # Otherwise the kernel takes the whole body, and the daemon holds none of it.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BYTES)
        self._server = await asyncio.start_server(
            self._serve, sock=sock, limit=READ_BYTES
        )
        return sock.getsockname()[1]

    def stop(self):
        """Stop listening and close all connections."""
        self._server.close()
        for writer in self._writers:
            writer.close()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            head = await reader.readuntil(b"\r\n\r\n")
            id_line = re.search(rb"Dandelion-Request-Id: \S+\r\n", head, re.IGNORECASE)
            writer.write(
                b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n"
                % (id_line[0] if id_line else b"", len(ANSWER))
            )
            writer.write(ANSWER[:FIRST_BYTES])
            size = 0
            while part := int(await reader.readline(), 16):
                await reader.readexactly(part + 2)
                size += part
                await asyncio.sleep(READ_PAUSE_S)
            self.read_bytes.append(size)
            writer.write(ANSWER[FIRST_BYTES:])
            await writer.drain()
        writer.close()


async def collected_run(fleet, vm):
    """Return (agent, run) once the agent of a VM has one run."""
    agent = fleet.daemons[vm].agent
    await until(lambda: agent.in_flight, "run at the agent")
    return agent, next(iter(agent._runs.values()))


class TestEarlyAnswer:
    """An answer that begins early arrives whole."""

    @fleet_test
    async def test_both_bodies_arrive_whole(self, fleet, session):
        """Guards against an answer without an end (CONFIG).

        Credit for the answer enlarged the window of the request's body, as both have
        the same number on a daemon's link to itself. The agent cancelled the run for
        what it then got, without a word.
        """
        await fleet.daemon("vm-a")
        worker = EarlyWorker()
        fleet.announce("w1", "vm-a", await worker.start())
        body = bytes(REQUEST_BYTES)
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            async with session.post(fleet.url("vm-a"), data=body) as resp:
                assert resp.status == 200
                assert await resp.read() == ANSWER
        assert worker.read_bytes == [REQUEST_BYTES]
        worker.stop()

    @fleet_test
    async def test_run_that_exceeds_its_window_fails_aloud(self, fleet, session):
        """Guards against a caller that waits for a run that was cancelled."""
        await fleet.daemon("vm-a")
        worker = EarlyWorker()
        fleet.announce("w1", "vm-a", await worker.start())

        async def ask():
            body = bytes(REQUEST_BYTES)
            async with session.post(fleet.url("vm-a"), data=body) as resp:
                await resp.read()
                return resp.status

        asked = asyncio.create_task(ask())
        agent, run = await collected_run(fleet, "vm-a")
        chunk = msgs.RequestChunk(run.head.attempt_id, bytes(2 * WINDOW_BYTES), False)
        for _ in range(2):
            agent._on_chunk(run.link, chunk)
        # The answer may have begun, and then breaks off.
        with contextlib.suppress(aiohttp.ClientError):
            assert await asyncio.wait_for(asked, ANSWER_TIMEOUT_S) == 502
        worker.stop()


class TestCredit:
    """A credit counts for the body that it names."""

    @settings(max_examples=20)
    @given(st.integers(0, 1 << 32), st.integers(1, 1 << 20))
    def test_older_credit_counts_for_both(self, attempt_id, size):
        """Guards against answers that stop between daemons of two versions."""
        older = msgs.Credit(attempt_id, size)
        assert all(older.is_for(body) for body in msgs.CreditedBody)
        for body in msgs.CreditedBody:
            credit = msgs.Credit(attempt_id, size, body.value)
            assert [other for other in msgs.CreditedBody if credit.is_for(other)] == [
                body
            ]
