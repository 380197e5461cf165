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
NOT_RUN_FIELDS = {"Dandelion-Not-Run": "1", "Retry-After": "1"}


class WorkerStandin:
    """Endpoint with slots that records the runs of each request.

    The query of a request may set `ms` (time of work), `size` (of the answer in bytes),
    `chunked` and `cookies` (number of Set-Cookie fields). `POST /standin/faults` takes
    the fields of `Faults` as JSON, `GET /standin/runs` returns the records of all runs,
    `GET /standin/probe` answers health probes and `POST /standin/drain` starts
    draining.
    """

    name = "worker"

    def __init__(self, args):
        self._args = args
        self._incarnation = time.time_ns() // 1_000_000
        self._start_s = time.monotonic()
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
        self.app.router.add_route("*", "/{path:.*}", self._handle_request)

    @staticmethod
    def add_arguments(parser):
        """Add the stand-in's options."""
        parser.add_argument("--endpoint", required=True)
        parser.add_argument("--service", required=True)
        parser.add_argument("--daemon", required=True, help="admin address, HOST:PORT")
        parser.add_argument("--slots", type=int, default=3)
        parser.add_argument(
            "--backlog",
            type=int,
            default=6,
            help="requests that may wait for a slot; any more are refused as not run",
        )
        parser.add_argument("--connections", type=int, default=330)
        parser.add_argument("--work-ms", type=float, default=5.0)
        parser.add_argument(
            "--cold-s",
            type=float,
            default=0.0,
            help="duration of the cold start in seconds",
        )
        parser.add_argument(
            "--cold-factor",
            type=float,
            default=5.0,
            help="factor on the time of work while cold",
        )
        parser.add_argument("--seed", type=int, default=1)

    async def on_start(self, runner, site):
        """Start to announce the endpoint to its daemon periodically."""
        self._announcer = asyncio.create_task(self._announce_forever())

    async def on_stop(self):
        """Announce that the endpoint drains and wait for running requests."""
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
        announcement = {
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
            async with session.post(url, json=announcement, timeout=timeout) as resp:
                await resp.read()

    async def _handle_request(self, request):
        run = self._record_run(request)
        faults = self.faults if self.faults.affects(request.path) else Faults()
        if faults.refuse or self._is_full(request):
            run["result"] = "refused"
            return web.json_response(
                {"error": "full"}, status=503, headers=NOT_RUN_FIELDS
            )
        self._running += 1
        try:
            async with asyncio.timeout(self._budget_s(request)):
                digest, size = await self._hash_body(request)
                async with self._slots:
                    await self._simulate_work(request, faults)
            run["result"] = "done"
            if self._rng.random() < faults.errors:
                return web.json_response({"error": "injected"}, status=500)
            return await self._send_answer(request, digest, size, faults)
        except TimeoutError:
            run["result"] = "deadline"
            return web.json_response({"error": "deadline"}, status=504)
        except (asyncio.CancelledError, ConnectionError):
            run["result"] = "cancelled"
            raise
        finally:
            run["end"] = time.time()
            self._running -= 1

    def _record_run(self, request):
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

    def _is_full(self, request):
        self._connections.add(request.transport)
        open_connections = sum(not t.is_closing() for t in self._connections)
        if open_connections > self._args.connections:
            return True
        return self._running >= self._args.slots + self._args.backlog

    @staticmethod
    def _budget_s(request):
        budget = request.headers.get("Dandelion-Time-Budget")
        return int(budget) / 1000 if budget else None

    @staticmethod
    async def _hash_body(request):
        digest, size = hashlib.sha256(), 0
        async for data in request.content.iter_chunked(CHUNK_BYTES):
            digest.update(data)
            size += len(data)
        return digest.hexdigest(), size

    async def _simulate_work(self, request, faults):
        if faults.hang:
            await asyncio.Event().wait()
        await asyncio.sleep(self.work_ms(request.query, faults) / 1000)

    def work_ms(self, query, faults):
        """Return the time that a request takes at present, in ms."""
        work_ms = float(query.get("ms", self._args.work_ms)) * faults.slow
        if time.monotonic() - self._start_s < self._args.cold_s:
            work_ms *= self._args.cold_factor
        return work_ms

    async def _send_answer(self, request, digest, size, faults):
        body = self._answer_body(request, digest, size)
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
            raise ConnectionResetError("answer aborted by the fault `truncate`")
        body_bytes = 0 if request.method == "HEAD" else len(body)
        for start in range(0, body_bytes, CHUNK_BYTES):
            await resp.write(body[start : start + CHUNK_BYTES])
        await resp.write_eof()
        return resp

    def _answer_body(self, request, digest, size):
        requested_size = request.query.get("size")
        if requested_size is not None:
            pattern = bytes(range(256))
            return (pattern * (int(requested_size) // 256 + 1))[: int(requested_size)]
        fields = {
            "endpoint": self._args.endpoint,
            "request": request.headers.get("Dandelion-Request-Id", "-"),
            "method": request.method,
            "target": request.path_qs,
            "size": size,
            "digest": digest,
            "budget_ms": request.headers.get("Dandelion-Time-Budget"),
        }
        return json.dumps(fields).encode()

    async def _show_runs(self, request):
        return web.json_response(self.runs)

    async def _probe(self, request):
        fails_probe = self.faults.has_any and not self.faults.healthy_probes
        return web.json_response(
            {"state": self._state}, status=500 if fails_probe else 200
        )

    async def _set_faults(self, request):
        try:
            self.faults = Faults.from_dict(await request.json())
        except ValueError as exc:
            return web.json_response({"error": str(exc)}, status=400)
        return web.json_response({})

    async def _drain(self, request):
        self._state = "draining"
        return web.json_response({})
