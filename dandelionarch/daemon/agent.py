"""Agent: admits requests to the endpoints beside this daemon and runs them."""

import asyncio
import contextlib
import logging
import time

import aiohttp

from dandelionarch.core.admission import CostQueue
from dandelionarch.core.messages import request as msgs
from dandelionarch.core.outcome import Reason
from dandelionarch.core.selection import warmup_ramp
from dandelionarch.core.world import EndpointState
from dandelionarch.logs import event

log = logging.getLogger(__name__)

CHUNK_BYTES = 64 << 10
WINDOW_BYTES = 256 << 10
WORKER_CONNECT_TIMEOUT_S = 1.0
IDLE_CONNECTION_S = 5.0
HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "transfer-encoding",
        "te",
        "trailer",
        "upgrade",
        "proxy-authorization",
        "proxy-connection",
        "host",
        "content-length",
        "authorization",
        "expect",
    }
)


class Run:
    """One attempt at the agent: its body as it arrives, and its sending window."""

    def __init__(self, link, head):
        self.link = link
        self.head = head
        self.body = asyncio.Queue()
        self.window = WINDOW_BYTES
        self.window_open = asyncio.Event()
        self.started = asyncio.Event()
        self.answered = False
        self.task = None
        if head.data or head.last:
            self.body.put_nowait((head.data, head.last))

    def send(self, msg):
        """Send a message back to the ingress; a lost link is ignored."""
        with contextlib.suppress(Exception):
            self.link.send(msg)

    async def body_chunks(self):
        """Yield the request's body."""
        last = False
        while not last:
            data, last = await self.body.get()
            if data:
                yield data
                self.send(msgs.Credit(self.head.attempt_id, len(data)))

    async def take_window(self, size):
        """Wait until `size` bytes may be sent."""
        while self.window < min(size, WINDOW_BYTES):
            self.window_open.clear()
            await self.window_open.wait()
        self.window -= size


class LocalEndpoint:
    """An endpoint beside this daemon with its slots."""

    def __init__(self, endpoint):
        self.endpoint = endpoint
        self.queue = CostQueue(endpoint.slots)

    def load(self):
        """Return the `LoadReport` that goes with each reply."""
        return msgs.LoadReport(
            self.endpoint.endpoint_id,
            self.queue.running,
            self.queue.queued,
            self.endpoint.slots,
            self.endpoint.health.value,
            warmup_ramp(time.time() - self.endpoint.incarnation / 1000),
        )


class Agent:
    """Task that owns the connections to the endpoints of this VM."""

    def __init__(self, network, directory, vm_id):
        self._directory = directory
        self._vm_id = vm_id
        self._local = {}
        self._runs = {}
        self._session = None
        self.stopping = False
        network.subscribe(msgs.RequestHead, self._on_head)
        network.subscribe(msgs.RequestChunk, self._on_chunk)
        network.subscribe(msgs.Credit, self.on_credit)
        network.subscribe(msgs.Cancel, self._on_cancel)
        network.on_lost(self._on_link_lost)

    async def start(self):
        """Open the connection pool towards the endpoints."""
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=IDLE_CONNECTION_S)
        self._session = aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def stop(self):
        """Close the connection pool."""
        await self._session.close()

    @property
    def in_flight(self):
        """Return the number of attempts that wait or run."""
        return len(self._runs)

    def _endpoint(self, endpoint_id):
        endpoint = self._directory.endpoints.get(endpoint_id)
        if endpoint is None or endpoint.vm_id != self._vm_id:
            return None
        local = self._local.get(endpoint_id)
        if local is None or local.endpoint.incarnation != endpoint.incarnation:
            local = self._local[endpoint_id] = LocalEndpoint(endpoint)
        local.endpoint = endpoint
        return local

    def _on_head(self, link, head):
        local = self._endpoint(head.endpoint_id)
        reason = self._refusal_reason(local)
        run = Run(link, head)
        if reason is None:
            now = asyncio.get_running_loop().time()
            deadline = now + head.budget_ms / 1000
            verdict = local.queue.offer(run, now, head.route, deadline, head.priority)
            self._refuse_evicted(local)
            reason = Reason.QUEUE_FULL if verdict == "refuse" else None
        if reason is not None:
            self._refuse(run, local, reason)
            return
        self._runs[link, head.attempt_id] = run
        if verdict == "run":
            run.started.set()
        run.task = asyncio.get_running_loop().create_task(self._run(run, local))

    def _refusal_reason(self, local):
        if self.stopping:
            return Reason.STOPPING
        if local is None:
            return Reason.UNKNOWN_ENDPOINT
        if local.endpoint.state not in (EndpointState.READY, EndpointState.STARTING):
            return Reason.DRAINING
        return None

    def _refuse(self, run, local, reason):
        load = local.load() if local else msgs.LoadReport("", 0, 0, 0, "healthy", 1.0)
        now = asyncio.get_running_loop().time()
        retry_after_ms = int(local.queue.retry_after_s(now) * 1000) if local else 0
        event(
            log,
            "placement",
            request=run.head.request_id,
            endpoint=run.head.endpoint_id,
            verdict="refused",
            reason=reason.value,
        )
        run.send(msgs.Refusal(run.head.attempt_id, reason.value, retry_after_ms, load))

    def _refuse_evicted(self, local):
        for run in local.queue.take_evicted():
            self._refuse(run, local, Reason.QUEUE_FULL)
            self._runs.pop((run.link, run.head.attempt_id), None)
            run.task.cancel()

    def _on_chunk(self, link, msg):
        run = self._runs.get((link, msg.attempt_id))
        if run is not None:
            run.body.put_nowait((msg.data, msg.last))

    def on_credit(self, link, msg):
        """Open the window of an attempt."""
        run = self._runs.get((link, msg.attempt_id))
        if run is not None:
            run.window += msg.size
            run.window_open.set()

    def _on_cancel(self, link, msg):
        run = self._runs.get((link, msg.attempt_id))
        if run is not None:
            run.task.cancel()

    def _on_link_lost(self, link):
        for (owner, _), run in list(self._runs.items()):
            if owner is link:
                run.task.cancel()

    async def _run(self, run, local):
        head = run.head
        loop = asyncio.get_running_loop()
        deadline = loop.time() + head.budget_ms / 1000
        try:
            async with asyncio.timeout_at(deadline):
                await run.started.wait()
            await self._call(run, local, deadline)
        except TimeoutError:
            self._refuse(run, local, Reason.TOO_LATE)
        except asyncio.CancelledError:
            event(log, "run_cancelled", request=head.request_id)
        finally:
            self._runs.pop((run.link, head.attempt_id), None)
            self._release(run, local)

    def _release(self, run, local):
        if not run.started.is_set():
            local.queue.withdraw(run)
            return
        now = asyncio.get_running_loop().time()
        following = local.queue.finish(run, now, run.answered)
        if following is not None:
            following.started.set()
        self._refuse_evicted(local)

    async def _call(self, run, local, deadline):
        loop = asyncio.get_running_loop()
        endpoint = local.endpoint
        event(
            log,
            "placement",
            request=run.head.request_id,
            endpoint=endpoint.endpoint_id,
            verdict="run",
            running=local.queue.running,
            queued=local.queue.queued,
        )
        reason = None
        try:
            async with asyncio.timeout_at(deadline):
                async with self._open(run, endpoint, deadline - loop.time()) as resp:
                    if resp.headers.get("Dandelion-Not-Run") == "1":
                        reason = Reason.WORKER_REFUSED
                    else:
                        await self._relay(run, local, resp)
        except TimeoutError:
            reason = Reason.DEADLINE
        except aiohttp.ClientConnectorError:
            reason = Reason.WORKER_UNREACHABLE
        except aiohttp.ClientPayloadError:
            reason = Reason.TRUNCATED
        except (aiohttp.ClientError, OSError):
            reason = Reason.WORKER_FAILED
        if reason in (Reason.WORKER_REFUSED, Reason.WORKER_UNREACHABLE):
            self._refuse(run, local, reason)
        elif reason is not None:
            run.send(msgs.Failure(run.head.attempt_id, reason.value, local.load()))

    def _open(self, run, endpoint, budget_s):
        head = run.head
        headers = [(h.name, h.value) for h in head.headers]
        headers.append(("Dandelion-Request-Id", head.request_id))
        headers.append(("Dandelion-Time-Budget", str(max(1, int(budget_s * 1000)))))
        data = head.data if head.last else run.body_chunks()
        return self._session.request(
            head.method,
            f"http://{endpoint.host}:{endpoint.port}{head.target}",
            headers=headers,
            data=data or None,
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(sock_connect=WORKER_CONNECT_TIMEOUT_S),
        )

    async def _relay(self, run, local, resp):
        headers = tuple(
            msgs.Header(name, value)
            for name, value in resp.headers.items()
            if name.lower() not in HOP_HEADERS
        )
        attempt_id = run.head.attempt_id
        first = await resp.content.read(CHUNK_BYTES)
        last = resp.content.at_eof()
        await run.take_window(len(first))
        run.send(
            msgs.ResponseHead(
                attempt_id, resp.status, headers, first, last, local.load()
            )
        )
        while not last:
            data = await resp.content.read(CHUNK_BYTES)
            last = resp.content.at_eof()
            await run.take_window(len(data))
            run.send(msgs.ResponseChunk(attempt_id, data, last))
        run.answered = True
