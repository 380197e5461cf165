"""The request path under failures of workers, links and callers."""

import asyncio

import aiohttp

from dandelionarch.core.messages.request import LoadReport, ResponseHead
from tests.support.fleet import free_ports
from tests.support.path import fleet_test, two_daemons, until

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
BROKEN_ANSWERS = {
    "short body": b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
    "chunks without end": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2\r\nok\r\n",
    "no length": b"HTTP/1.1 200 OK\r\n\r\nok",
    "no answer": b"",
    "half a head": b"HTTP/1.1 200 OK\r\nContent-Le",
    "no HTTP": b"\x00\x01\x02\r\n\r\n",
    "other request": b"HTTP/1.1 200 OK\r\nDandelion-Request-Id: other\r\n"
    b"Content-Length: 2\r\n\r\nok",
    "bad chunk": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n",
}


def reply_and_close(data):
    """Return a handler for a raw worker that sends bytes and closes the connection."""

    async def handle(reader, writer, n):
        writer.write(data)
        writer.close()

    return handle


class TestBrokenAnswers:
    """An incomplete answer is never delivered as complete."""

    @fleet_test
    async def test_broken_answer_is_unknown(self, fleet, session):
        """Guards against delivering a truncated answer or that of another request."""
        await two_daemons(fleet)
        for name, data in BROKEN_ANSWERS.items():
            requests = await fleet.raw_worker("raw", "vm-b", reply_and_close(data))
            async with session.post(fleet.url("vm-a")) as resp:
                assert resp.status == 502, name
                assert resp.headers["Dandelion-Outcome"] == "unknown", name
            assert len(requests) == 1, name

    @fleet_test
    async def test_interrupted_stream_breaks_the_callers_connection(
        self, fleet, session
    ):
        """Guards against an orderly end of a streamed answer that is not whole."""
        await two_daemons(fleet)
        worker = await fleet.worker("w1", "vm-b")
        worker.faults.truncate = True
        for chunked in ("", "&chunked=1"):
            url = fleet.url("vm-a", f"/orders/1?size=2000000{chunked}")
            async with session.get(url) as resp:
                assert resp.status == 200
                try:
                    await resp.read()
                    broken = False
                except aiohttp.ClientError:
                    broken = True
            assert broken, chunked

    @fleet_test
    async def test_late_answer_on_a_pooled_connection_is_dropped(self, fleet, session):
        """Guards against taking unread bytes as the answer to the next request."""
        await two_daemons(fleet)

        async def handle(reader, writer, n):
            writer.write(OK)
            await asyncio.sleep(0.05)
            writer.write(OK.replace(b"ok", b"no"))

        requests = await fleet.raw_worker("raw", "vm-b", handle)
        for _ in range(2):
            async with session.get(fleet.url("vm-a")) as resp:
                assert await resp.read() == b"ok"
            await asyncio.sleep(0.2)
        assert len(requests) == 2

    @fleet_test
    async def test_forged_reply_is_dropped(self, fleet, session):
        """Guards against accepting a reply over another link or with an unknown id."""
        daemon = await two_daemons(fleet)
        worker = await fleet.worker("w1", "vm-b", work_ms=300)
        ingress = fleet.daemons["vm-a"]
        task = asyncio.create_task(session.get(fleet.url("vm-a")))
        await until(lambda: worker.runs, "request runs")
        load = LoadReport("w1", 0, 0, 3, "healthy", 1.0)
        for attempt in (1, 2):
            forged = ResponseHead(attempt, 200, (), b"forged", True, load)
            for link in daemon.network.all_links():
                ingress.network.deliver(link, forged)
        other = ResponseHead(99, 200, (), b"late", True, load)
        for link in ingress.network.all_links():
            ingress.network.deliver(link, other)
        resp = await task
        assert (await resp.json())["endpoint"] == "w1"


class TestAtMostOnce:
    """Work that is not idempotent is resent only if it was not run."""

    @fleet_test
    async def test_put_on_a_broken_reused_connection_is_not_resent(
        self, fleet, session
    ):
        """Guards against the HTTP library's resending on reused connections."""
        await two_daemons(fleet)

        async def handle(reader, writer, n):
            if n == 0:
                writer.write(OK)
            else:
                writer.close()

        requests = await fleet.raw_worker("raw", "vm-b", handle)
        async with session.put(fleet.url("vm-a")) as resp:
            assert resp.status == 200
        async with session.put(fleet.url("vm-a")) as resp:
            assert resp.status == 502
            assert resp.headers["Dandelion-Outcome"] == "unknown"
        assert len(requests) == 2

    @fleet_test
    async def test_get_on_a_broken_reused_connection_is_retried(self, fleet, session):
        """Guards against failing when only the connection to the endpoint broke."""
        await two_daemons(fleet)

        async def handle(reader, writer, n):
            if n == 1:
                writer.close()
            else:
                writer.write(OK)

        requests = await fleet.raw_worker("raw", "vm-b", handle)
        for _ in range(2):
            async with session.get(fleet.url("vm-a")) as resp:
                assert resp.status == 200
        assert len(requests) == 3

    @fleet_test
    async def test_refused_and_unsent_work_is_redirected(self, fleet, session):
        """Guards against failing an order that one endpoint has provably not run."""
        await two_daemons(fleet)
        full = await fleet.worker("w1", "vm-b")
        full.faults.refuse = True
        fleet.announce("w2", "vm-b", free_ports(1)[0])
        async with session.post(fleet.url("vm-a")) as resp:
            assert resp.status == 503
            assert resp.headers["Dandelion-Outcome"] == "not-run"
            assert int(resp.headers["Retry-After"]) >= 1
        await fleet.worker("w3", "vm-a")
        for _ in range(10):
            async with session.post(fleet.url("vm-a")) as resp:
                assert (await resp.json())["endpoint"] == "w3"
        assert {run["result"] for run in full.runs} == {"refused"}

    @fleet_test
    async def test_lost_link(self, fleet, session):
        """Guards failover on a lost link, which only idempotent work may have."""
        await two_daemons(fleet)
        worker = await fleet.worker("w1", "vm-b", work_ms=200)
        for method, status in (("GET", 200), ("POST", 502)):
            worker.runs.clear()
            task = asyncio.create_task(session.request(method, fleet.url("vm-a")))
            await until(lambda: worker.runs, "request runs")
            for link in fleet.daemons["vm-a"].network.all_links():
                link.close()
            resp = await task
            assert resp.status == status
            await until(lambda: worker.runs[0]["end"], "worker stops")
            assert worker.runs[0]["result"] == "cancelled"
            assert len(worker.runs) == (2 if method == "GET" else 1)

    @fleet_test
    async def test_second_dial_interrupts_no_request(self, fleet, session):
        """Guards against replacing a working link that carries requests."""
        daemon = await two_daemons(fleet)
        worker = await fleet.worker("w1", "vm-b", work_ms=200)
        task = asyncio.create_task(session.post(fleet.url("vm-a")))
        await until(lambda: worker.runs, "request runs")
        port = daemon.settings.daemon.peer_port
        await fleet.daemons["vm-a"].network.dial("127.0.0.1", port)
        assert (await task).status == 200


class TestCancellation:
    """Deadlines and cancellations reach the worker."""

    @fleet_test
    async def test_deadline(self, fleet, session):
        """Guards against work that continues after its time budget."""
        await two_daemons(fleet)
        worker = await fleet.worker("w1", "vm-b", work_ms=60_000)
        headers = {"Dandelion-Time-Budget": "200"}
        async with session.post(fleet.url("vm-a"), headers=headers) as resp:
            assert resp.status == 504
            assert resp.headers["Dandelion-Outcome"] == "unknown"
        await until(lambda: worker.runs[0]["end"], "worker stops")
        assert worker.runs[0]["result"] in ("cancelled", "deadline")
        # The agent must time out first, or the run is no evidence of a failure.
        assert int(worker.runs[0]["budget_ms"]) <= 180

    @fleet_test
    async def test_caller_leaves(self, fleet, session):
        """Guards against work that continues for a caller that has disconnected."""
        await two_daemons(fleet)
        worker = await fleet.worker("w1", "vm-b", work_ms=60_000)
        task = asyncio.create_task(session.post(fleet.url("vm-a")))
        await until(lambda: worker.runs, "request runs")
        task.cancel()
        await until(lambda: worker.runs[0]["end"], "worker stops")
        assert worker.runs[0]["result"] == "cancelled"
        for daemon in fleet.daemons.values():
            await until(lambda d=daemon: not d.agent.in_flight, "agent is idle")
            await until(lambda d=daemon: not d.http.in_flight, "ingress is idle")


class TestContent:
    """Headers and bodies arrive unchanged."""

    @fleet_test
    async def test_headers_bodies_and_head(self, fleet, session):
        """Guards repeated fields, escaped targets, binary bodies and HEAD."""
        await two_daemons(fleet)
        await fleet.worker("w1", "vm-b")
        url = fleet.url("vm-a", "/orders/a%2Fb/../c?cookies=2&x=%20")
        async with session.get(aiohttp.client.URL(url, encoded=True)) as resp:
            assert resp.headers.getall("Set-Cookie") == ["one=1", "two=1"]
            target = (await resp.json())["target"]
            assert target == "/orders/a%2Fb/../c?cookies=2&x=%20"
            size = len(await resp.read())
        async with session.head(fleet.url("vm-a", "/orders/1?size=9")) as resp:
            assert resp.headers["Content-Length"] == "9"
        for size in (0, 255, 262_144, 262_145):
            url = fleet.url("vm-a", f"/orders/1?size={size}")
            async with session.get(url) as resp:
                body = await resp.read()
            assert body == (bytes(range(256)) * 1025)[:size]

    @fleet_test
    async def test_field_bytes_that_are_not_utf8(self, fleet, session):
        """Guards against a worker's header bytes that break the wire encoding."""
        await two_daemons(fleet)
        answer = OK.replace(b"\r\n\r\n", b"\r\nX-Name: caf\xe9\r\n\r\n")
        await fleet.raw_worker("raw", "vm-b", reply_and_close(answer))
        async with session.get(fleet.url("vm-a")) as resp:
            raw = dict(resp.raw_headers)
        assert raw[b"X-Name"] == b"caf\xe9"
