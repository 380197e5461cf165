"""The path on the platform while the store, links, daemons or connections fail."""

import asyncio
import time

from dandelionarch.core.world import UNKNOWN_START, EndpointState
from tests.support.path import until
from tests.support.platform.fleet import ROUTES, ask, config, platform_test, route
from tests.support.platform.worker import WorkerStandin, answer, reset_connection


class TestLinks:
    """One link between two daemons serves the requests of both."""

    @platform_test
    async def test_requests_go_both_ways_over_one_link(self, fleet, session):
        """Guards against two links for each pair, both of which have to be checked."""
        for vm, service in (("vm-a", "orders"), ("vm-b", "stock")):
            await fleet.daemon(vm, service=service)
        routes = {
            "read": route(),
            "stock": route(service="stock", prefix="/stock/"),
        }
        await fleet.configure(routes=routes)
        await fleet.worker("vm-a", session=session)
        await fleet.worker("vm-b", service="stock", session=session)
        await fleet.linked()
        for vm, path in (("vm-a", "/stock/1"), ("vm-b", "/orders/1")):
            status, _, _ = await ask(session, fleet, vm, path)
            assert status == 200
        links = [len(d.network.all_links()) for d in fleet.daemons.values()]
        assert links == [1, 1]


class TestResting:
    """Connections that the endpoint forgets while they rest."""

    @platform_test
    async def test_forgotten_connections_are_not_used_again(self, fleet, session):
        """Guards against a reset for every request that follows a pause."""
        used_at, resets = {}, 0

        async def forgetful(seen, writer):
            nonlocal resets
            now = time.monotonic()
            if now - used_at.get(writer, now) > 0.2:
                resets += 1
                reset_connection(writer)
            else:
                used_at[writer] = now
                writer.write(answer(seen))

        await fleet.daemon("vm-a")
        await fleet.configure()
        await fleet.worker("vm-a", forgetful, session=session)
        for n in range(6):
            await ask(session, fleet, "vm-a", request_id=f"r-{n}")
            await asyncio.sleep(0.3)
        assert resets == 1


class TestRestart:
    """A daemon that starts beside a running endpoint knows it at once."""

    async def restart(self, fleet, status=200):
        """Return a daemon that has started beside a running worker, and the worker."""
        worker = WorkerStandin("i-vm-a")
        worker.health_status = status
        await worker.start()
        fleet.workers[worker.instance] = worker
        daemon = await fleet.daemon("vm-a", beside=f"127.0.0.1:{worker.port}")
        await fleet.configure()
        return daemon, worker

    @platform_test
    async def test_endpoint_is_known_before_its_next_report(self, fleet, session):
        """Guards against refusing work for the time between two reports.

        On kintaat-fi-grown trouble-1, 922 requests were refused so in the two seconds
        after all VMs had lost power.
        """
        daemon, _ = await self.restart(fleet)
        await until(lambda: "i-vm-a" in daemon.directory.endpoints, "worker known")
        status, _, _ = await ask(session, fleet, "vm-a")
        assert status == 200

    @platform_test
    async def test_first_report_goes_before_the_answer(self, fleet, session):
        """Guards against an endpoint that stays without its start and its slots."""
        daemon, worker = await self.restart(fleet)
        await until(lambda: "i-vm-a" in daemon.directory.endpoints, "worker known")
        assert daemon.directory.endpoints["i-vm-a"].incarnation == UNKNOWN_START
        await fleet.report(session, "vm-a", worker)
        known = daemon.directory.endpoints["i-vm-a"]
        assert known.incarnation == worker.born_ms

    @platform_test
    async def test_leaving_endpoint_is_not_taken_in(self, fleet, session):
        """Guards against new work for an endpoint that the former process let go."""
        daemon, _ = await self.restart(fleet, status=503)
        await asyncio.sleep(0.6)
        assert daemon.directory.endpoints == {}


class TestStore:
    """The store's faults cost no request."""

    @platform_test
    async def test_outage_keeps_what_is_known(self, fleet, session):
        """Guards against losing workers or routes with the store."""
        await fleet.daemon("vm-a")
        await fleet.daemon("vm-b")
        await fleet.configure()
        await fleet.worker("vm-b", session=session)
        await fleet.linked()
        fleet.store.down = True
        status, _, _ = await ask(session, fleet, "vm-a")
        assert status == 200

    @platform_test
    async def test_lost_reply_and_compaction_lose_nothing(self, fleet, session):
        """Guards against a worker that stays unknown after the store's faults."""
        await fleet.daemon("vm-a")
        await fleet.configure()
        fleet.store.lose_appends = 2
        await fleet.worker("vm-a", session=session)
        await fleet.store.compact("keyed.fleet")
        late = await fleet.daemon("vm-b")
        await until(lambda: "i-vm-a" in late.directory.endpoints, "worker known")
        assert late.directory.endpoints["i-vm-a"].state is EndpointState.READY

    @platform_test
    async def test_daemon_that_the_store_turns_away_learns_from_peers(
        self, fleet, session
    ):
        """Guards against refusing all callers of a VM that starts in an outage."""
        await fleet.daemon("vm-a")
        await fleet.configure()
        await fleet.worker("vm-a", session=session)
        fleet.store.down = True
        late = await fleet.daemon("vm-b")
        peer = fleet.daemons["vm-a"]
        # A former process of this VM is in the registry, so its peers dial it.
        peer.directory.put_vm(late.vm)
        await until(lambda: "i-vm-a" in late.directory.endpoints, "worker known")
        await until(lambda: late.network.is_up("vm-a"), "link up")
        # Entries come with the link; the configuration is asked for.
        await until(lambda: late.ready, "configuration known")
        status, _, _ = await ask(session, fleet, "vm-b")
        assert status == 200

    @platform_test
    async def test_unreadable_entries_name_no_worker(self, fleet, session):
        """Guards against an entry of another writer that stops the registry."""
        await fleet.daemon("vm-a")
        await fleet.store.put("keyed.fleet", "stranger", b"\x00\x01not an entry")
        await fleet.store.put("keyed.op", "config", b"{")
        await fleet.configure()
        await fleet.worker("vm-a", session=session)
        status, _, _ = await ask(session, fleet, "vm-a")
        assert status == 200

    @platform_test
    async def test_configuration_never_goes_back(self, fleet, session):
        """Guards against a late record that undoes a newer version."""
        daemon = await fleet.daemon("vm-a")
        await fleet.configure(5)
        await fleet.store.put("keyed.op", "other", b"x")
        await fleet.configure(9, {"read": ROUTES["read"]})
        await fleet.store.put("keyed.op", "config", config(7))
        await asyncio.sleep(0.1)
        assert daemon.routing.revision == 9
        status, _, _ = await ask(session, fleet, "vm-a", "/place/1", method="POST")
        assert status == 404
