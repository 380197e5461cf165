"""Stand-in for an endpoint."""

import asyncio
import contextlib
import hashlib
import json
import random
import time
import weakref

import aiohttp
from aiohttp import web

from dandelionarch.standin.faults import Faults

ANNOUNCE_PERIOD_S = 2.0
CHUNK_BYTES = 64 << 10
NOT_RUN = {"Dandelion-Not-Run": "1", "Retry-After": "1"}


class WorkerStandin:
    """Endpoint with slots that records the runs of each request.

    A caller may add `ms` (time of work), `size` (bytes of answer), `chunked` and
    `cookies` to the query. `POST /standin/faults` takes the fields of `Faults` as
    JSON, `GET /standin/runs` returns the record of all runs, `GET /standin/probe`
    answers health probes and `POST /standin/drain` begins draining.
    """

    name = "worker"

    def __init__(self, args):
        self._args = args
        self._incarnation = time.time_ns() // 1_000_000
        self._started = time.monotonic()
        self._state = "ready"
        self._running = 0
        self._slots = asyncio.Semaphore(args.slots)
        self._rng = random.Random(args.seed)
        self._connections = weakref.WeakSet()
        self._announcer = None
        self.faults = Faults()
        self.runs = []
        self.app = web.Application(client_max_size=64 << 20)
        self.app.router.add_get("/standin/runs", self._show_runs)
        self.app.router.add_get("/standin/probe", self._probe)
        self.app.router.add_post("/standin/faults", self._set_faults)
        self.app.router.add_post("/standin/drain", self._drain)
        self.app.router.add_route("*", "/{path:.*}", self._work)

    @staticmethod
    def add_arguments(parser):
        """Add the stand-in's own options."""
        parser.add_argument("--endpoint", required=True)
        parser.add_argument("--service", required=True)
        parser.add_argument("--daemon", required=True, help="admin address, HOST:PORT")
        parser.add_argument("--slots", type=int, default=3)
        parser.add_argument(
            "--backlog",
            type=int,
            default=6,
            help="requests that may wait for a slot; more are refused as not run",
        )
        parser.add_argument("--connections", type=int, default=330)
        parser.add_argument("--work-ms", type=float, default=5.0)
        parser.add_argument(
            "--cold-s", type=float, default=0.0, help="seconds of cold start"
        )
        parser.add_argument(
            "--cold-factor", type=float, default=5.0, help="slowness while cold"
        )
        parser.add_argument("--seed", type=int, default=1)

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
            "connections": self._args.connections,
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
        run = self._record(request)
        faults = self.faults if self.faults.active(request.path) else Faults()
        if faults.refuse or self._full(request):
            run["result"] = "refused"
            return web.json_response({"error": "full"}, status=503, headers=NOT_RUN)
        self._running += 1
        try:
            async with asyncio.timeout(self._budget_s(request)):
                digest, size = await self._read(request)
                async with self._slots:
                    await self._spend(request, faults)
            run["result"] = "done"
            if self._rng.random() < faults.errors:
                return web.json_response({"error": "injected"}, status=500)
            return await self._answer(request, digest, size, faults)
        except TimeoutError:
            run["result"] = "deadline"
            return web.json_response({"error": "deadline"}, status=504)
        except (asyncio.CancelledError, ConnectionError):
            run["result"] = "cancelled"
            raise
        finally:
            run["end"] = time.time()
            self._running -= 1

    def _record(self, request):
        run = {
            "request": request.headers.get("Dandelion-Request-Id", "-"),
            "key": request.headers.get("Idempotency-Key", "-"),
            "budget_ms": request.headers.get("Dandelion-Time-Budget"),
            "method": request.method,
            "path": request.path,
            "state": self._state,
            "start": time.time(),
            "end": None,
            "result": "running",
        }
        self.runs.append(run)
        return run

    def _full(self, request):
        self._connections.add(request.transport)
        used = sum(not t.is_closing() for t in self._connections)
        if used > self._args.connections:
            return True
        return self._running >= self._args.slots + self._args.backlog

    @staticmethod
    def _budget_s(request):
        budget = request.headers.get("Dandelion-Time-Budget")
        return int(budget) / 1000 if budget else None

    @staticmethod
    async def _read(request):
        digest, size = hashlib.sha256(), 0
        async for data in request.content.iter_chunked(CHUNK_BYTES):
            digest.update(data)
            size += len(data)
        return digest.hexdigest(), size

    async def _spend(self, request, faults):
        if faults.hang:
            await asyncio.Event().wait()
        await asyncio.sleep(self.work_ms(request.query, faults) / 1000)

    def work_ms(self, query, faults):
        """Return the time that a request takes now, in milliseconds."""
        work_ms = float(query.get("ms", self._args.work_ms)) * faults.slow
        if time.monotonic() - self._started < self._args.cold_s:
            work_ms *= self._args.cold_factor
        return work_ms

    async def _answer(self, request, digest, size, faults):
        body = self._body(request, digest, size)
        resp = web.StreamResponse(headers={"Content-Type": "application/json"})
        if request.query.get("chunked"):
            resp.enable_chunked_encoding()
        else:
            resp.content_length = len(body)
        for name in ("one", "two")[: int(request.query.get("cookies", 0))]:
            resp.headers.add("Set-Cookie", f"{name}=1")
        await resp.prepare(request)
        if faults.truncate:
            await resp.write(body[: len(body) // 2])
            request.transport.abort()
            raise ConnectionResetError("answer broken off on request")
        sent = 0 if request.method == "HEAD" else len(body)
        for start in range(0, sent, CHUNK_BYTES):
            await resp.write(body[start : start + CHUNK_BYTES])
        await resp.write_eof()
        return resp

    def _body(self, request, digest, size):
        wanted = request.query.get("size")
        if wanted is not None:
            pattern = bytes(range(256))
            return (pattern * (int(wanted) // 256 + 1))[: int(wanted)]
        answer = {
            "endpoint": self._args.endpoint,
            "request": request.headers.get("Dandelion-Request-Id", "-"),
            "method": request.method,
            "target": request.path_qs,
            "size": size,
            "digest": digest,
            "budget_ms": request.headers.get("Dandelion-Time-Budget"),
        }
        return json.dumps(answer).encode()

    async def _show_runs(self, request):
        return web.json_response(self.runs)

    async def _probe(self, request):
        sick = self.faults.any and not self.faults.healthy_probes
        return web.json_response({"state": self._state}, status=500 if sick else 200)

    async def _set_faults(self, request):
        try:
            self.faults = Faults.from_dict(await request.json())
        except ValueError as exc:
            return web.json_response({"error": str(exc)}, status=400)
        return web.json_response({})

    async def _drain(self, request):
        self._state = "draining"
        return web.json_response({})
