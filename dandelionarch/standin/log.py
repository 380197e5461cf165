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
RECORDS_PATH = "/streams/{name}/records"


class Faults(pydantic.BaseModel):
    """The active faults, set by `POST /standin/faults`.

    The next `lost_next` appends and a share `lost_share` of all appends take effect
    without a reply. `one_way` makes either appends or reads fail. With
    `hang_after_lost`, no request is answered after the first lost reply.
    `lose_records` has the log come back once from a copy that lacks the newest records
    of each stream; its era rises.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    outage: Literal["none", "refuse", "hang"] = "none"
    slow_ms: float = pydantic.Field(default=0.0, ge=0)
    lost_next: int = pydantic.Field(default=0, ge=0)
    lost_share: float = pydantic.Field(default=0.0, ge=0, le=1)
    hang_after_lost: bool = False
    one_way: Literal["none", "appends", "reads"] = "none"
    lose_records: int = pydantic.Field(default=0, ge=0)


class Stream:
    """Records of one stream, kept in memory."""

    def __init__(self):
        self.first_offset = 0
        self.records = []
        self.records_added = asyncio.Condition()

    @property
    def next_offset(self):
        """Return the offset of the next record."""
        return self.first_offset + len(self.records)

    def drop_newest(self, count):
        """Drop the newest records, as a log does that comes back from a copy."""
        del self.records[max(0, len(self.records) - count) :]

    def drop_expired(self, max_age_s, max_count):
        """Drop records beyond the retention, except for the newest one."""
        oldest = time.time() - max_age_s if max_age_s else 0.0
        drop_count = max(0, len(self.records) - max_count) if max_count else 0
        while (
            drop_count < len(self.records) - 1 and self.records[drop_count][0] < oldest
        ):
            drop_count += 1
        del self.records[:drop_count]
        self.first_offset += drop_count


class LogStandin:
    """Append-only log with offsets, kept in memory."""

    name = "log"

    def __init__(self, args):
        self._streams = {}
        self._retention_s = args.retention_s
        self._retention_records = args.retention_records
        self._faults = Faults()
        self._rng = random.Random(args.seed)
        self.appends = self.reads = 0
        self.era = 1
        self._args = args
        self._runner = self._site = self._control_runner = None
        self.app = web.Application(
            client_max_size=MAX_RECORD_BYTES, middlewares=[self._inject_faults]
        )
        self.app.on_response_prepare.append(self._add_era)
        self.app.router.add_post(RECORDS_PATH, self._append)
        self.app.router.add_get(RECORDS_PATH, self._read)
        self._add_controls(self.app)

    @staticmethod
    def add_arguments(parser):
        """Add the stand-in's options."""
        parser.add_argument("--retention-s", type=float, default=0.0)
        parser.add_argument("--retention-records", type=int, default=0)
        parser.add_argument("--seed", type=int, default=1)
        parser.add_argument(
            "--control-port",
            type=int,
            default=0,
            help="separate port for /standin/; if set, an outage closes the main port",
        )

    def _add_controls(self, app):
        app.router.add_post("/standin/faults", self._set_faults)
        app.router.add_get("/standin/counts", self._show_counts)

    async def on_start(self, runner, site):
        """Open the control port if there is one."""
        self._runner, self._site = runner, site
        if self._args.control_port:
            app = web.Application()
            self._add_controls(app)
            self._control_runner = web.AppRunner(app, access_log=None)
            await self._control_runner.setup()
            host, port = self._args.host, self._args.control_port
            await web.TCPSite(self._control_runner, host, port).start()

    async def on_stop(self):
        """Close the control port."""
        if self._control_runner is not None:
            await self._control_runner.cleanup()

    def _stream(self, request):
        stream = self._streams.setdefault(request.match_info["name"], Stream())
        stream.drop_expired(self._retention_s, self._retention_records)
        return stream

    @web.middleware
    async def _inject_faults(self, request, handler):
        """Apply the faults to all requests except those for the control paths."""
        if request.path.startswith("/standin/"):
            return await handler(request)
        faults = self._faults
        kind = "appends" if request.method == "POST" else "reads"
        if faults.outage == "refuse" or faults.one_way == kind:
            # Connections opened before the port was closed must fail as well.
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
        async with stream.records_added:
            offset = stream.next_offset
            stream.records.append((time.time(), data))
            stream.drop_expired(self._retention_s, self._retention_records)
            stream.records_added.notify_all()
        if self._drops_reply():
            if self._faults.hang_after_lost:
                self._faults = Faults(outage="hang")
            return self._abort(request)
        return web.json_response({"offset": offset})

    def _drops_reply(self):
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
        if start >= stream.next_offset and wait_s:
            await self._wait_for_records(stream, start, wait_s)
            if self._faults.outage != "none":
                return self._abort(request)
        if start < stream.first_offset:
            return web.json_response({"first_offset": stream.first_offset}, status=410)
        start_index = start - stream.first_offset
        records = [
            {
                "offset": start + i,
                "time": time_s,
                "data": base64.b64encode(data).decode(),
            }
            for i, (time_s, data) in enumerate(
                stream.records[start_index : start_index + limit]
            )
        ]
        return web.json_response({"records": records, "next": stream.next_offset})

    async def _wait_for_records(self, stream, start, wait_s):
        try:
            async with asyncio.timeout(wait_s), stream.records_added:
                await stream.records_added.wait_for(lambda: stream.next_offset > start)
        except TimeoutError:
            pass

    async def _set_faults(self, request):
        try:
            self._faults = Faults.model_validate_json(await request.read())
        except pydantic.ValidationError as exc:
            return web.Response(status=400, text=str(exc))
        if self._faults.lose_records:
            self.restore(self._faults.lose_records)
        await self._update_site()
        return web.json_response(self._faults.model_dump())

    def restore(self, lost):
        """Come back from a copy that lacks the newest records of each stream."""
        self.era += 1
        for stream in self._streams.values():
            stream.drop_newest(lost)

    async def _add_era(self, request, resp):
        resp.headers["Log-Era"] = str(self.era)

    async def _update_site(self):
        """Close the main port during an outage of kind `refuse`, else open it."""
        if self._control_runner is None:
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
