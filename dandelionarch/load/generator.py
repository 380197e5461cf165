"""Open-loop load: requests start when they are due, without waiting for replies."""

import asyncio
import itertools
import uuid
from dataclasses import dataclass

import aiohttp

from dandelionarch.daemon.endpoint_connections import prevent_resend
from dandelionarch.errors import DandelionError


@dataclass(frozen=True, slots=True)
class Workload:
    """Requests to send.

    Attributes
    ----------
    targets : tuple of str
        Base URLs, used in turn.
    customers : tuple of (str, str)
        Name and bearer key of each customer, chosen at random.
    routes : tuple of (str, str, float)
        Method, path and weight; `{n}` in a path is replaced by the request's number.
    body_bytes : int
        Size of the body of POST, PUT and PATCH requests.
    keys : bool
        Whether to add an `Idempotency-Key` to POST, PUT and PATCH requests.
    timeout_s : float
        Time-out of one request.
    max_in_flight : int
        Requests that are due while so many are in flight are counted as not sent.
    """

    targets: tuple
    customers: tuple
    routes: tuple
    body_bytes: int = 0
    keys: bool = False
    timeout_s: float = 10.0
    max_in_flight: int = 10_000


class Generator:
    """Sends the requests of a workload and records the results in a report."""

    def __init__(self, workload, report, rng):
        self._workload = workload
        self._report = report
        self._rng = rng
        self._targets = itertools.cycle(workload.targets)
        self._weights = [weight for _, _, weight in workload.routes]
        self._tasks = set()
        self._session = None
        self._start_s = 0.0
        self.stop_request = asyncio.Event()

    async def run(self, times):
        """Send a request at each of `times`, given in seconds from now."""
        timeout = aiohttp.ClientTimeout(total=self._workload.timeout_s)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(
            connector=connector,
            timeout=timeout,
            middlewares=[prevent_resend],
            cookie_jar=aiohttp.DummyCookieJar(),
        ) as session:
            self._session = session
            self._start_s = asyncio.get_running_loop().time()
            for n, due_s in enumerate(times):
                await self._wait_until(due_s)
                if self.stop_request.is_set():
                    break
                if len(self._tasks) >= self._workload.max_in_flight:
                    self._report.count_unsent(due_s)
                    continue
                task = asyncio.create_task(self._send(n, due_s))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            await asyncio.gather(*self._tasks)

    def _now(self):
        return asyncio.get_running_loop().time() - self._start_s

    async def _wait_until(self, due_s):
        delay_s = due_s - self._now()
        if delay_s > 0:
            try:
                async with asyncio.timeout(delay_s):
                    await self.stop_request.wait()
            except TimeoutError:
                pass

    async def _send(self, n, due_s):
        method, path, _ = self._rng.choices(self._workload.routes, self._weights)[0]
        customer, key = self._rng.choice(self._workload.customers)
        headers = {"Authorization": f"Bearer {key}"}
        body = None
        if method in ("POST", "PUT", "PATCH"):
            body = bytes(self._workload.body_bytes)
            if self._workload.keys:
                headers["Idempotency-Key"] = uuid.uuid4().hex
        result = {
            "request": None,
            "key": headers.get("Idempotency-Key"),
            "outcome": "broken",
            "status": 0,
            "customer": customer,
            "route": f"{method} {path}",
        }
        url = next(self._targets) + path.replace("{n}", str(n))
        sent_s = self._now()
        try:
            async with self._session.request(
                method, url, headers=headers, data=body
            ) as resp:
                result["request"] = resp.headers.get("Dandelion-Request-Id")
                result["status"] = resp.status
                await resp.read()
                result["outcome"] = resp.headers.get("Dandelion-Outcome", "direct")
        except TimeoutError:
            result["outcome"] = "timeout"
        except (aiohttp.ClientError, DandelionError, OSError):
            pass
        self._report.add(due_s, sent_s, self._now(), result)
