"""Stand-in for the platform's append-only log service."""

import asyncio
import base64
import time

from aiohttp import web

MAX_RECORD_BYTES = 256 << 10


class Stream:
    """Records of one stream in memory."""

    def __init__(self):
        self.first = 0
        self.records = []
        self.grown = asyncio.Condition()

    @property
    def next(self):
        """Return the offset of the next record."""
        return self.first + len(self.records)


class LogStandin:
    """Append-only log with offsets, kept in memory."""

    name = "log"

    def __init__(self, args):
        self._streams = {}
        self.app = web.Application(client_max_size=MAX_RECORD_BYTES)
        path = "/streams/{name}/records"
        self.app.router.add_post(path, self._append)
        self.app.router.add_get(path, self._read)

    @staticmethod
    def add_arguments(parser):
        """Add the stand-in's own options."""

    async def started(self):
        """Do nothing once the port is open."""

    async def stopping(self):
        """Do nothing before the port closes."""

    def _stream(self, request):
        return self._streams.setdefault(request.match_info["name"], Stream())

    async def _append(self, request):
        data = await request.read()
        stream = self._stream(request)
        async with stream.grown:
            offset = stream.next
            stream.records.append((time.time(), data))
            stream.grown.notify_all()
        return web.json_response({"offset": offset})

    async def _read(self, request):
        stream = self._stream(request)
        start = int(request.query.get("from", 0))
        limit = int(request.query.get("limit", 1000))
        wait_s = int(request.query.get("wait_ms", 0)) / 1000
        if start < stream.first:
            return web.json_response({"first_offset": stream.first}, status=410)
        if start >= stream.next and wait_s:
            await self._wait(stream, start, wait_s)
        begin = start - stream.first
        records = [
            {
                "offset": start + i,
                "time": when,
                "data": base64.b64encode(data).decode(),
            }
            for i, (when, data) in enumerate(stream.records[begin : begin + limit])
        ]
        return web.json_response({"records": records, "next": stream.next})

    async def _wait(self, stream, start, wait_s):
        try:
            async with asyncio.timeout(wait_s), stream.grown:
                await stream.grown.wait_for(lambda: stream.next > start)
        except TimeoutError:
            pass
