"""Client of a chaos run, which repeats its orders and records all outcomes."""

import asyncio
import hashlib
import random
import time

import aiohttp

from dandelionarch.measure.chaos_audit import Attempt
from dandelionarch.measure.processes import CUSTOMER_KEY

REQUEST_TIMEOUT_S = 8.0
MAX_REPEATS = 6
REPEAT_DELAY_S = 0.4
BODY_SIZES = (10, 3_000, 150_000)


class ChaosClient:
    """Sends orders and reads through random daemons.

    Parameters
    ----------
    fleet : Fleet
    evidence : Evidence
        Receives an `Attempt` per request.
    seed : int
    """

    def __init__(self, fleet, evidence, seed):
        self._fleet = fleet
        self._evidence = evidence
        self._rng = random.Random(seed)
        self._session = None
        self._issued_keys = []
        self._request_count = 0
        self._last_reads = {}
        self.broken_connections = 0
        self.only_reads = False

    async def run(self, duration_s, rate):
        """Send `rate` requests/s for `duration_s` seconds and wait until all end."""
        headers = {"Authorization": f"Bearer {CUSTOMER_KEY}"}
        tasks = []
        async with aiohttp.ClientSession(headers=headers) as session:
            self._session = session
            start_s = time.monotonic()
            while (elapsed_s := time.monotonic() - start_s) < duration_s:
                if len(tasks) <= elapsed_s * rate:
                    tasks.append(asyncio.create_task(self._send_random()))
                await asyncio.sleep(0.2 / rate)
            await asyncio.gather(*tasks)

    async def _send_random(self):
        self._request_count += 1
        kind = self._rng.choice(("own", "own", "issued", "none", "read"))
        if self.only_reads:
            kind = "read"
        if kind == "read":
            await self._send("GET", "/calendar/today", "", b"")
        elif kind == "none":
            await self._send("POST", "/orders", "", self._random_body())
        else:
            key = (
                f"own-{self._request_count}"
                if kind == "own"
                else await self._take_issued_key()
            )
            if key:
                await self._send_order(key, self._random_body())

    def last_read_through(self, port):
        """Return the request id of the last read through an ingress port."""
        return self._last_reads.get(port, "")

    def _random_body(self):
        return self._rng.randbytes(self._rng.choice(BODY_SIZES))

    async def _send_order(self, key, body):
        """Send an order, sometimes in two copies, until a repeat of it is answered."""
        for repeat in range(MAX_REPEATS):
            copies = 2 if self._rng.random() < 0.3 else 1
            outcomes = await asyncio.gather(
                *(self._send("POST", "/orders", key, body) for _ in range(copies))
            )
            if "answer" in outcomes and repeat > 0:
                return
            await asyncio.sleep(self._rng.uniform(0.1, 2.0) * REPEAT_DELAY_S)

    async def _take_issued_key(self):
        """Return a key issued by a daemon, or None if there is no answer."""
        if not self._issued_keys:
            url = f"http://127.0.0.1:{self._choose_port()}/dandelion/keys"
            timeout = aiohttp.ClientTimeout(total=2.0)
            try:
                async with self._session.post(
                    url, params={"count": "5"}, timeout=timeout
                ) as resp:
                    if resp.status == 200:
                        self._issued_keys = (await resp.json())["keys"]
            except (aiohttp.ClientError, TimeoutError):
                return None
        return self._issued_keys.pop() if self._issued_keys else None

    def _choose_port(self):
        return self._rng.choice(list(self._fleet.daemons.values())).ingress

    async def _send(self, method, path, key, body):
        """Send one request and record it; return its outcome."""
        headers = {"Idempotency-Key": key} if key else {}
        port = self._choose_port()
        url = f"http://127.0.0.1:{port}{path}"
        sent_s = time.time()
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        try:
            async with self._session.request(
                method, url, data=body or None, headers=headers, timeout=timeout
            ) as resp:
                outcome = resp.headers.get("Dandelion-Outcome", "none")
                request_id = resp.headers.get("Dandelion-Request-Id", "-")
                repeated = "Dandelion-Repeated" in resp.headers
                complete = resp.status != 200 or _is_own(
                    await resp.json(), request_id, body, repeated
                )
        except (aiohttp.ClientError, TimeoutError, ValueError):
            # The connection to the daemon broke, so the outcome is not known.
            self.broken_connections += 1
            return "broken"
        if method == "GET":
            self._last_reads[port] = request_id
        self._evidence.attempts.append(
            Attempt(
                request_id,
                key,
                method == "POST",
                outcome,
                complete,
                sent_s,
                time.time(),
            )
        )
        return outcome


def _is_own(answer, request_id, body, repeated):
    """Return True if an answer of the worker stand-in belongs to a request."""
    if answer["digest"] != hashlib.sha256(body).hexdigest():
        return False
    return repeated or answer["request"] == request_id
