"""Stand-in for an endpoint."""

import asyncio
import contextlib
import time

import aiohttp
from aiohttp import web

ANNOUNCE_PERIOD_S = 2.0


class WorkerStandin:
    """Endpoint with slots that counts the runs of each request."""

    name = "worker"

    def __init__(self, args):
        self._args = args
        self._incarnation = time.time_ns() // 1_000_000
        self._state = "ready"
        self._running = 0
        self._runs = []
        self._announcer = None
        self.app = web.Application(client_max_size=64 << 20)
        self.app.router.add_get("/standin/runs", self._show_runs)
        self.app.router.add_post("/standin/drain", self._drain)
        self.app.router.add_route("*", "/{path:.*}", self._work)

    @staticmethod
    def add_arguments(parser):
        """Add the stand-in's own options."""
        parser.add_argument("--endpoint", required=True)
        parser.add_argument("--service", required=True)
        parser.add_argument("--daemon", required=True, help="admin address, HOST:PORT")
        parser.add_argument("--slots", type=int, default=3)
        parser.add_argument("--work-ms", type=float, default=5.0)

    async def started(self, runner, site):
        """Announce the endpoint to its daemon from now on."""
        self._announcer = asyncio.create_task(self._announce_forever())

    async def stopping(self):
        """Announce that the endpoint drains, and let running work end."""
        self._state = "draining"
        self._announcer.cancel()
        async with aiohttp.ClientSession() as session:
            await self._announce(session)
            while self._running:
                await asyncio.sleep(0.02)
            self._state = "gone"
            await self._announce(session)

    async def _announce_forever(self):
        async with aiohttp.ClientSession() as session:
            while True:
                await self._announce(session)
                await asyncio.sleep(ANNOUNCE_PERIOD_S)

    async def _announce(self, session):
        said = {
            "endpoint": self._args.endpoint,
            "service": self._args.service,
            "host": self._args.host,
            "port": self._args.port,
            "slots": self._args.slots,
            "incarnation": self._incarnation,
            "state": self._state,
            "load": self._running / self._args.slots,
        }
        url = f"http://{self._args.daemon}/announce"
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            timeout = aiohttp.ClientTimeout(total=1.0)
            async with session.post(url, json=said, timeout=timeout) as resp:
                await resp.read()

    async def _work(self, request):
        request_id = request.headers.get("Dandelion-Request-Id", "-")
        key = request.headers.get("Idempotency-Key", "-")
        self._running += 1
        try:
            body = await request.read()
            self._runs.append({"request": request_id, "key": key, "time": time.time()})
            await asyncio.sleep(self._args.work_ms / 1000)
            return web.json_response(
                {
                    "endpoint": self._args.endpoint,
                    "request": request_id,
                    "method": request.method,
                    "target": request.path_qs,
                    "size": len(body),
                    "budget_ms": request.headers.get("Dandelion-Time-Budget"),
                }
            )
        finally:
            self._running -= 1

    async def _show_runs(self, request):
        return web.json_response(self._runs)

    async def _drain(self, request):
        self._state = "draining"
        return web.json_response({})
