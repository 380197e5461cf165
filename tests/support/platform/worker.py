"""Stand-in for an endpoint with the platform's protocol."""

import asyncio
import contextlib
import re
import socket
import struct
import time
from dataclasses import dataclass

STAMP = "3e1b.07.5a2"
HEALTH_PATH = "/health"


@dataclass(frozen=True)
class ReceivedRequest:
    """A request as received by the worker; header names are in lower case."""

    method: str
    target: str
    headers: dict
    body: bytes

    @property
    def request_id(self):
        """Return the id of the request."""
        return self.headers["x-request-id"]


def answer(req, body=b"done", status=200, stamp=True, length=True, extra=()):
    """Return the bytes of a response."""
    lines = [f"HTTP/1.1 {status} X", f"X-Request-Id: {req.request_id}"]
    if stamp:
        lines.append(f"X-Response-Stamp: {STAMP}")
    if length:
        lines.append(f"Content-Length: {len(body)}")
    lines += extra
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def not_executed(req, status=503):
    """Return the refusal of a request that was not run."""
    return answer(req, b"", status, stamp=False, extra=("X-Not-Executed: 1",))


def reset_connection(writer):
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class WorkerStandin:
    """Passes each request to `handle(req, writer)`, which sends an answer by default.

    Requests for another instance are answered with status 421 and counted in
    `misdirected`. `received` lists the requests passed to `handle`, and `crashes`
    counts the calls of `crash`.
    """

    def __init__(self, instance, handle=None):
        self.instance = instance
        # Long enough ago for the worker to be warm.
        self.born_ms = int(time.time() * 1000) - 60_000
        self.port = 0
        self.received = []
        self.misdirected = 0
        self.health_status = 200
        self._handle = handle or self._answer
        self._server = None
        self.crashes = 0
        self._writers = set()

    async def start(self):
        """Listen on a free port of the loopback address, or again on the same one."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self):
        """Stop listening and close all connections."""
        self._server.close()
        for writer in self._writers:
            writer.close()

    def crash(self):
        """End all connections and stop listening."""
        self.crashes += 1
        for writer in self._writers:
            reset_connection(writer)
        self.stop()

    @staticmethod
    async def _answer(req, writer):
        writer.write(answer(req))

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while not writer.is_closing():
                req = await self._read(reader)
                if req.target == HEALTH_PATH:
                    writer.write(self._health())
                    continue
                if req.headers.get("x-expect-instance") != self.instance:
                    self.misdirected += 1
                    writer.write(not_executed(req, 421))
                    continue
                self.received.append(req)
                await self._handle(req, writer)
        self._writers.discard(writer)
        writer.close()

    def _health(self):
        """Return the answer to a status check."""
        lines = (
            f"HTTP/1.1 {self.health_status} X",
            f"X-Instance-Id: {self.instance}",
            "X-Server-Load: 0,0,3",
            "Content-Length: 0",
        )
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    @staticmethod
    async def _read(reader):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        request_line, *lines = head.strip().split("\r\n")
        method, target, _ = request_line.split(" ")
        headers = dict(re.split(r":\s*", line, maxsplit=1) for line in lines)
        headers = {name.lower(): value for name, value in headers.items()}
        size = int(headers.get("content-length", 0))
        body = await reader.readexactly(size)
        if headers.get("transfer-encoding") == "chunked":
            body = await WorkerStandin._read_chunks(reader)
        return ReceivedRequest(method, target, headers, body)

    @staticmethod
    async def _read_chunks(reader):
        body = b""
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
        return body
