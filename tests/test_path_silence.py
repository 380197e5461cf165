"""The request path over connections that stay open and carry no data."""

import asyncio
from unittest.mock import patch

import aiohttp

from dandelionarch.daemon.link import PeerNetwork
from tests.support.path import AUTH, LoopFleet, fleet_test, two_daemons, until
from tests.support.relay import Relay


async def two_relayed_daemons(fleet):
    """Start two daemons; return the relay between the ingress and the other one."""
    await two_daemons(fleet)
    ingress, agent = fleet.daemons["vm-a"], fleet.daemons["vm-b"]
    for daemon in fleet.daemons.values():
        # Traffic of other tasks would hide the silence or missing pings.
        for task in daemon._tasks:
            task.cancel()
    relay = Relay(agent.settings.daemon.peer_port)
    await relay.start()
    ingress.network.address_of = lambda vm: ("127.0.0.1", relay.port)
    return relay


class TestSilentLinks:
    """A dead link is detected, closed and replaced; its endpoint stays in use."""

    def test_silence_in_either_direction(self):
        """Guards against requests that wait for a dead link until their deadline."""
        cases = ((False, True), (True, False), (False, False))

        async def main():
            # Each case waits until the silence is detected, so they run concurrently.
            await asyncio.gather(*(self._silence(*case) for case in cases))

        asyncio.run(main())

    async def _silence(self, forward, back):
        async with LoopFleet() as fleet:
            async with aiohttp.ClientSession(headers=AUTH) as session:
                relay = await two_relayed_daemons(fleet)
                worker = await fleet.worker("w1", "vm-b")
                async with session.get(fleet.url("vm-a")) as resp:
                    assert resp.status == 200
                relay.forward, relay.backward = forward, back
                get = asyncio.create_task(session.get(fleet.url("vm-a")))
                post = asyncio.create_task(session.post(fleet.url("vm-a")))
                await asyncio.sleep(0.3)
                relay.forward = relay.backward = True
                assert (await get).status == 200
                # The agent runs an order only after the ingress has confirmed it.
                assert (await post).status == 200
                assert relay.connection_count == 2
                posts = [run for run in worker.runs if run["method"] == "POST"]
                assert len(posts) == 1
                await relay.stop()

    @fleet_test
    async def test_long_work_is_no_silence(self, fleet, session):
        """Guards against closing a link whose peer answers pings."""
        relay = await two_relayed_daemons(fleet)
        await fleet.worker("w1", "vm-b", work_ms=2000)
        async with session.post(fleet.url("vm-a")) as resp:
            assert resp.status == 200
        assert relay.connection_count == 1
        await relay.stop()

    @fleet_test
    async def test_agent_ends_the_work_of_a_silent_ingress(self, fleet, session):
        """Guards against work that continues for an ingress that is gone."""
        relay = await two_relayed_daemons(fleet)
        worker = await fleet.worker("w1", "vm-b", work_ms=60_000)
        task = asyncio.create_task(session.post(fleet.url("vm-a")))
        await until(lambda: worker.runs, "request runs")
        relay.forward = relay.backward = False
        with patch("dandelionarch.daemon.agent.event") as event:
            assert (await task).status == 502
            await until(lambda: worker.runs[0]["end"], "worker stops")
        names = [call.args[1] for call in event.call_args_list]
        # A run that reaches its deadline would log a failure instead.
        assert names == ["run_cancelled"]
        await relay.stop()

    @fleet_test
    async def test_cut_link(self, fleet, session):
        """Guards failover when the connection is cut during a request."""
        relay = await two_relayed_daemons(fleet)
        worker = await fleet.worker("w1", "vm-b", work_ms=300)
        task = asyncio.create_task(session.get(fleet.url("vm-a")))
        await until(lambda: worker.runs, "request runs")
        await relay.cut()
        assert (await task).status == 200
        await relay.stop()

    def test_own_pause_is_no_silence(self):
        """Guards against taking peers for silent when this process was paused."""
        network = PeerNetwork("vm-a", b"key", lambda vm: None)
        assert network.was_paused(10.0, 10.3) is False
        assert network.was_paused(10.0, 12.0) is True


class TestSilentWorkers:
    """Workers that accept a request on a pooled connection and stay silent."""

    @fleet_test
    async def test_reused_connection_without_a_byte(self, fleet, session):
        """Guards against counting a dead connection as a failure of the endpoint."""
        daemon = await two_daemons(fleet)
        worker = await fleet.worker("w1", "vm-b")
        relay = Relay(fleet.ports["w1"])
        await relay.start()
        fleet.announce("w1", "vm-b", relay.port)
        headers = {"Dandelion-Time-Budget": "300"}
        async with session.post(fleet.url("vm-a")) as resp:
            assert resp.status == 200
        relay.backward = False
        with patch("dandelionarch.daemon.agent.event") as event:
            async with session.post(fleet.url("vm-a"), headers=headers) as resp:
                assert resp.headers["Dandelion-Outcome"] == "unknown"
            await until(lambda: not daemon.agent.in_flight, "agent is idle")
        failed = [c.kwargs for c in event.call_args_list if c.args[1] == "run_failed"]
        assert [fields["reason"] for fields in failed] == ["worker_silent"]
        relay.backward = True
        async with session.post(fleet.url("vm-a")) as resp:
            assert resp.status == 200
        assert relay.connection_count == 2
        assert len(worker.runs) == 3
        await relay.stop()
