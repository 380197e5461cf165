"""Stand-in for the platform's append-only log service."""

import asyncio
import base64
import random
import time
from typing import Literal

import pydantic
from aiohttp import web

MAX_RECORD_BYTES = 256 << 10
HANG_S = 3600.0
PATH = "/streams/{name}/records"


class Faults(pydantic.BaseModel):
    """What goes wrong, set by `POST /standin/faults`.

    `lost_next` appends, or a `lost_share` of them, take effect without a reply.
    `one_way` makes appends, or reads, fail while the others work. With
    `hang_after_lost`, nothing is answered any more after a lost reply.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    outage: Literal["none", "refuse", "hang"] = "none"
    slow_ms: float = pydantic.Field(default=0.0, ge=0)
    lost_next: int = pydantic.Field(default=0, ge=0)
    lost_share: float = pydantic.Field(default=0.0, ge=0, le=1)
    hang_after_lost: bool = False
    one_way: Literal["none", "appends", "reads"] = "none"


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

    def truncate(self, age_s, count):
        """Drop records beyond the retention; the newest stays."""
        oldest = time.time() - age_s if age_s else 0.0
        drop = max(0, len(self.records) - count) if count else 0
        while drop < len(self.records) - 1 and self.records[drop][0] < oldest:
            drop += 1
        del self.records[:drop]
        self.first += drop


class LogStandin:
    """Append-only log with offsets, kept in memory."""

    name = "log"

    def __init__(self, args):
        self._streams = {}
        self._age_s = args.retention_s
        self._count = args.retention_records
        self._faults = Faults()
        self._rng = random.Random(args.seed)
        self.appends = self.reads = 0
        self._args = args
        self._runner = self._site = self._control = None
        self.app = web.Application(
            client_max_size=MAX_RECORD_BYTES, middlewares=[self._fail]
        )
        self.app.router.add_post(PATH, self._append)
        self.app.router.add_get(PATH, self._read)
        self._add_controls(self.app)

    @staticmethod
    def add_arguments(parser):
        """Add the stand-in's own options."""
        parser.add_argument("--retention-s", type=float, default=0.0)
        parser.add_argument("--retention-records", type=int, default=0)
        parser.add_argument("--seed", type=int, default=1)
        parser.add_argument(
            "--control-port",
            type=int,
            default=0,
            help="second port for /standin/; with it, an outage closes the first one",
        )

    def _add_controls(self, app):
        app.router.add_post("/standin/faults", self._set_faults)
        app.router.add_get("/standin/counts", self._show_counts)

    async def started(self, runner, site):
        """Open the control port, if any."""
        self._runner, self._site = runner, site
        if self._args.control_port:
            app = web.Application()
            self._add_controls(app)
            self._control = web.AppRunner(app, access_log=None)
            await self._control.setup()
            host, port = self._args.host, self._args.control_port
            await web.TCPSite(self._control, host, port).start()

    async def stopping(self):
        """Close the control port."""
        if self._control is not None:
            await self._control.cleanup()

    def _stream(self, request):
        stream = self._streams.setdefault(request.match_info["name"], Stream())
        stream.truncate(self._age_s, self._count)
        return stream

    @web.middleware
    async def _fail(self, request, handler):
        """Inject the faults into everything but the stand-in's own paths."""
        if request.path.startswith("/standin/"):
            return await handler(request)
        faults = self._faults
        kind = "appends" if request.method == "POST" else "reads"
        if faults.outage == "refuse" or faults.one_way == kind:
            # Also for connections from before the port was closed.
            return self._abort(request)
        if faults.outage == "hang":
            await asyncio.sleep(HANG_S)
        await asyncio.sleep(faults.slow_ms / 1000)
        return await handler(request)

    def _abort(self, request):
        request.transport.abort()
        return web.Response(status=503)

    async def _append(self, request):
        data = await request.read()
        stream = self._stream(request)
        self.appends += 1
        async with stream.grown:
            offset = stream.next
            stream.records.append((time.time(), data))
            stream.truncate(self._age_s, self._count)
            stream.grown.notify_all()
        if self._loses_reply():
            if self._faults.hang_after_lost:
                self._faults = Faults(outage="hang")
            return self._abort(request)
        return web.json_response({"offset": offset})

    def _loses_reply(self):
        faults = self._faults
        if faults.lost_next:
            update = {"lost_next": faults.lost_next - 1}
            self._faults = faults.model_copy(update=update)
            return True
        return self._rng.random() < faults.lost_share

    async def _read(self, request):
        stream = self._stream(request)
        self.reads += 1
        start = int(request.query.get("from", 0))
        limit = int(request.query.get("limit", 1000))
        wait_s = int(request.query.get("wait_ms", 0)) / 1000
        if start >= stream.next and wait_s:
            await self._wait(stream, start, wait_s)
            if self._faults.outage != "none":
                return self._abort(request)
        if start < stream.first:
            return web.json_response({"first_offset": stream.first}, status=410)
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

    async def _set_faults(self, request):
        try:
            self._faults = Faults.model_validate_json(await request.read())
        except pydantic.ValidationError as exc:
            return web.Response(status=400, text=str(exc))
        await self._open_or_close()
        return web.json_response(self._faults.model_dump())

    async def _open_or_close(self):
        """Close the port in an outage with refused connections, then open it."""
        if self._control is None:
            return
        refusing = self._faults.outage == "refuse"
        if refusing and self._site is not None:
            await self._site.stop()
            self._site = None
        elif not refusing and self._site is None:
            self._site = web.TCPSite(self._runner, self._args.host, self._args.port)
            await self._site.start()

    async def _show_counts(self, request):
        return web.json_response({"appends": self.appends, "reads": self.reads})
