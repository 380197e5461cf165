"""Planned stops of daemons and programs interrupt no request."""

import asyncio
import signal

import aiohttp
import pytest

from dandelionarch.core.world import VmState
from tests.support.fleet import Fleet
from tests.support.path import AUTH, fleet_test, two_daemons, until


class TestDrain:
    """A stopping daemon finishes its work and refuses new work."""

    @fleet_test
    async def test_work_in_flight_ends_and_new_work_is_refused(self, fleet, session):
        """Guards requests in flight at a stopping ingress and a stopping agent."""
        daemon = await two_daemons(fleet)
        worker = await fleet.worker("w1", "vm-b", work_ms=500)
        running = [
            asyncio.create_task(session.post(fleet.url(vm))) for vm in ("vm-a", "vm-b")
        ]
        await until(lambda: len(worker.runs) == 2, "requests run")
        await fleet.worker("w2", "vm-a")
        drain = asyncio.create_task(daemon.drain())
        known = fleet.daemons["vm-a"].directory
        await until(lambda: known.vms["vm-b"].state is VmState.LEAVING, "peer is told")
        async with session.post(fleet.url("vm-b")) as resp:
            assert resp.status == 503
            assert resp.headers["Dandelion-Outcome"] == "not-run"
            assert int(resp.headers["Retry-After"]) >= 1
            assert resp.headers["Connection"] == "close"
        # A peer that does not know of the stop yet still sends work to this agent.
        known.put_vm(daemon.vm)
        known.drop_endpoint("w2")
        async with session.post(fleet.url("vm-a")) as resp:
            assert (resp.status, (await resp.json())["title"]) == (503, "stopping")
        for task in running:
            assert (await task).status == 200
        await drain
        assert len(worker.runs) == 2

    @fleet_test
    async def test_second_signal_renews_the_time(self, fleet, session):
        """Guards against aborting a request at a daemon that gets two stop signals.

        On sntal-cl mix (seed 305357368906) two planned changes overlapped, and a
        request was aborted 3.7 s after the second signal.
        """
        daemon = await fleet.daemon("vm-a", stop_timeout_s=0.6)
        worker = await fleet.worker("w1", "vm-a", work_ms=1000)
        running = asyncio.create_task(session.post(fleet.url("vm-a")))
        await until(lambda: worker.runs, "request runs")
        in_flight = []

        async def leave():
            in_flight.append(daemon.agent.in_flight)

        daemon.fleet.leave = leave
        drain = asyncio.create_task(daemon.drain())
        await asyncio.sleep(0.4)
        daemon.stop_request.set()
        assert (await running).status == 200
        await drain
        assert in_flight == [0]

    @fleet_test
    async def test_idle_connections_are_closed(self, fleet, session):
        """Guards against callers' connections that stay open after a stop."""
        daemon = await fleet.daemon("vm-a")
        port = daemon.settings.daemon.ingress_port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
        await daemon.drain()
        async with asyncio.timeout(5):
            await reader.read()
        writer.close()

    @fleet_test
    async def test_peers_are_told_before_work_is_refused(self, fleet, session):
        """Guards against refusals that peers could have avoided."""
        daemon = await two_daemons(fleet)
        await daemon.network.connect("vm-a")
        order = []
        refuse = daemon.http.refuse_new_work
        daemon.http.refuse_new_work = lambda: (order.append("refuse"), refuse())
        for link in daemon.network.all_links():
            link.send = lambda msg: order.append(type(msg).__name__)
        await daemon.drain()
        assert order[0] == "Leaving"
        assert order[-1] == "refuse"

    @fleet_test
    async def test_streamed_answer_ends(self, fleet, session):
        """Guards against cutting off a long answer to a slow caller."""
        daemon = await two_daemons(fleet)
        await fleet.worker("w1", "vm-b")
        size = 16 << 20
        resp = await session.get(fleet.url("vm-b", f"/orders/1?size={size}"))
        drain = asyncio.create_task(daemon.drain())
        await asyncio.sleep(0.2)
        assert not drain.done()
        assert len(await resp.read()) == size
        await drain


class TestSigterm:
    """Each program exits by itself after SIGTERM."""

    @pytest.fixture
    def fleet(self, tmp_path):
        """Return a fleet whose processes end with the test."""
        fleet = Fleet(tmp_path)
        yield fleet
        fleet.stop()

    def test_programs_end_with_code_0_and_cut_nothing(self, fleet):
        """Guards against a wrong exit code and an interrupted answer."""
        fleet.start_log()
        fleet.start_daemon("vm-a")
        fleet.start_worker("orders-1", "orders", "vm-a", "--work-ms", "700")
        asyncio.run(self._run(fleet))

    async def _run(self, fleet):
        async with aiohttp.ClientSession(headers=AUTH) as session:
            await fleet.wait_until(
                lambda: fleet.status(session, "vm-a"), "daemon serves"
            )
            assert fleet.publish().returncode == 0
            await fleet.wait_until_ready(session, ["orders-1"])
            daemon, (_, worker) = fleet.daemons["vm-a"], fleet.workers["orders-1"]
            url = f"http://127.0.0.1:{daemon.ingress}/orders/1?size=200000"
            task = asyncio.create_task(session.post(url))
            await asyncio.sleep(0.3)
            for process in (worker, daemon.process):
                process.send_signal(signal.SIGTERM)
            resp = await task
            assert resp.status == 200
            assert len(await resp.read()) == 200_000
            for process in (worker, daemon.process):
                assert await asyncio.to_thread(process.wait, 10) == 0
            fleet.log_process.send_signal(signal.SIGTERM)
            assert await asyncio.to_thread(fleet.log_process.wait, 10) == 0
