"""Requests on the platform while the store, links, daemons or connections fail."""

import asyncio
import time

from dandelionarch.core.world import UNKNOWN_START, EndpointState
from dandelionarch.platform.main import OPERATOR_TOPIC, REGISTRY_TOPIC
from tests.support.path import until
from tests.support.platform.fleet import ROUTES, ask, config, platform_test, route
from tests.support.platform.worker import WorkerStandin, answer, reset_connection


class TestLinks:
    """Two daemons share one link for the requests of both."""

    @platform_test
    async def test_requests_go_both_ways_over_one_link(self, fleet, session):
        """Guards against two links per pair of daemons, both of which need checks."""
        for vm, service in (("vm-a", "orders"), ("vm-b", "stock")):
            await fleet.daemon(vm, service=service)
        routes = {
            "read": route(),
            "stock": route(service="stock", prefix="/stock/"),
        }
        await fleet.configure(routes=routes)
        await fleet.worker("vm-a", session=session)
        await fleet.worker("vm-b", service="stock", session=session)
        await fleet.wait_for_links()
        for vm, path in (("vm-a", "/stock/1"), ("vm-b", "/orders/1")):
            status, _, _ = await ask(session, fleet, vm, path)
            assert status == 200
        links = [len(d.network.all_links()) for d in fleet.daemons.values()]
        assert links == [1, 1]


class TestIdleConnections:
    """Connections whose state the endpoint has lost while they were idle."""

    @platform_test
    async def test_forgotten_connections_are_not_used_again(self, fleet, session):
        """Guards against a reset of every request that follows an idle period."""
        used_at, resets = {}, 0

        async def reset_if_idle(req, writer):
            nonlocal resets
            now = time.monotonic()
            if now - used_at.get(writer, now) > 0.2:
                resets += 1
                reset_connection(writer)
            else:
                used_at[writer] = now
                writer.write(answer(req))

        await fleet.daemon("vm-a")
        await fleet.configure()
        await fleet.worker("vm-a", reset_if_idle, session=session)
        for n in range(6):
            await ask(session, fleet, "vm-a", request_id=f"r-{n}")
            await asyncio.sleep(0.3)
        assert resets == 1


class TestRestart:
    """A daemon that starts on the VM of a running endpoint knows it at once."""

    async def restart(self, fleet, status=200):
        """Return a daemon started on the VM of a running worker, and the worker."""
        worker = WorkerStandin("i-vm-a")
        worker.health_status = status
        await worker.start()
        fleet.workers[worker.instance] = worker
        daemon = await fleet.daemon("vm-a", endpoint_address=f"127.0.0.1:{worker.port}")
        await fleet.configure()
        return daemon, worker

    @platform_test
    async def test_endpoint_is_known_before_its_next_report(self, fleet, session):
        """Guards against refusing requests until the endpoint's next report.

        On day trouble-1 of kintaat-fi-grown, 922 requests were refused for this reason
        in the two seconds after all VMs had lost power.
        """
        daemon, _ = await self.restart(fleet)
        await until(lambda: "i-vm-a" in daemon.directory.endpoints, "worker known")
        status, _, _ = await ask(session, fleet, "vm-a")
        assert status == 200

    @platform_test
    async def test_first_report_replaces_the_probed_identity(self, fleet, session):
        """Guards against an endpoint whose start and slots remain unknown."""
        daemon, worker = await self.restart(fleet)
        await until(lambda: "i-vm-a" in daemon.directory.endpoints, "worker known")
        assert daemon.directory.endpoints["i-vm-a"].incarnation == UNKNOWN_START
        await fleet.report(session, "vm-a", worker)
        known = daemon.directory.endpoints["i-vm-a"]
        assert known.incarnation == worker.born_ms

    @platform_test
    async def test_draining_endpoint_is_not_added(self, fleet, session):
        """Guards against new work for an endpoint that drained before the restart."""
        daemon, _ = await self.restart(fleet, status=503)
        await asyncio.sleep(0.6)
        assert daemon.directory.endpoints == {}


class TestStore:
    """Faults of the store fail no requests."""

    @platform_test
    async def test_known_workers_and_routes_survive_an_outage(self, fleet, session):
        """Guards against forgetting workers or routes when the store fails."""
        await fleet.daemon("vm-a")
        await fleet.daemon("vm-b")
        await fleet.configure()
        await fleet.worker("vm-b", session=session)
        await fleet.wait_for_links()
        fleet.store.unavailable = True
        status, _, _ = await ask(session, fleet, "vm-a")
        assert status == 200

    @platform_test
    async def test_worker_is_known_after_lost_replies_and_compaction(
        self, fleet, session
    ):
        """Guards against a worker that is never registered after a lost reply."""
        await fleet.daemon("vm-a")
        await fleet.configure()
        fleet.store.drop_replies = 2
        await fleet.worker("vm-a", session=session)
        await fleet.store.compact("keyed.fleet")
        late = await fleet.daemon("vm-b")
        await until(lambda: "i-vm-a" in late.directory.endpoints, "worker known")
        assert late.directory.endpoints["i-vm-a"].state is EndpointState.READY

    @platform_test
    async def test_daemon_that_starts_in_an_outage_learns_from_peers(
        self, fleet, session
    ):
        """Guards against refusing all requests on a VM that starts in an outage."""
        await fleet.daemon("vm-a")
        await fleet.configure()
        await fleet.worker("vm-a", session=session)
        fleet.store.unavailable = True
        late = await fleet.daemon("vm-b")
        peer = fleet.daemons["vm-a"]
        # The peer knows a previous process of this VM, so it connects to it.
        peer.directory.put_vm(late.vm)
        await until(lambda: "i-vm-a" in late.directory.endpoints, "worker known")
        await until(lambda: late.network.is_up("vm-a"), "link up")
        # Entries are sent on connecting; the configuration must be requested.
        await until(lambda: late.ready, "configuration known")
        status, _, _ = await ask(session, fleet, "vm-b")
        assert status == 200

    @platform_test
    async def test_unreadable_entries_are_ignored(self, fleet, session):
        """Guards against a malformed entry that stops the registry task."""
        await fleet.daemon("vm-a")
        await fleet.store.put("keyed.fleet", "stranger", b"\x00\x01not an entry")
        await fleet.store.put("keyed.op", "config", b"{")
        await fleet.configure()
        await fleet.worker("vm-a", session=session)
        status, _, _ = await ask(session, fleet, "vm-a")
        assert status == 200

    @platform_test
    async def test_older_configuration_is_ignored(self, fleet, session):
        """Guards against a late record that replaces a newer version."""
        daemon = await fleet.daemon("vm-a")
        await fleet.configure(5)
        await fleet.store.put("keyed.op", "other", b"x")
        await fleet.configure(9, {"read": ROUTES["read"]})
        await fleet.store.put("keyed.op", "config", config(7))
        await asyncio.sleep(0.1)
        assert daemon.routing.revision == 9
        status, _, _ = await ask(session, fleet, "vm-a", "/place/1", method="POST")
        assert status == 404


class TestRestoredStore:
    """The store comes back from a copy that is some seconds old."""

    @platform_test
    async def test_joined_worker_is_found_after_the_return(self, fleet, session):
        """Guards against workers that no daemon which joins later sends work to.

        vm-c joined after the copy was made, and rests between two reads of the
        registry; vm-a, which reads the configuration, sees the store's return.
        """
        for vm in ("vm-a", "vm-b"):
            await fleet.daemon(vm)
        await fleet.configure()
        await fleet.worker("vm-a", session=session)
        copy = fleet.store.copy()
        await fleet.daemon("vm-c")
        await fleet.worker("vm-c", session=session)
        await fleet.wait_for_links()
        await until(lambda: "vm-c" in fleet.store.keys(REGISTRY_TOPIC), "entry written")
        await fleet.store.restore(copy)
        await until(lambda: "vm-c" in fleet.store.keys(REGISTRY_TOPIC), "written again")
        joined = await fleet.daemon("vm-d")
        await until(lambda: "i-vm-c" in joined.directory.endpoints, "worker known")

    @platform_test
    async def test_change_after_the_return_is_applied(self, fleet, session):
        """Guards against readers that wait at an offset that was given out again."""
        for vm in ("vm-a", "vm-b"):
            await fleet.daemon(vm)
        await fleet.configure(version=1)
        copy = fleet.store.copy()
        await fleet.configure(version=4)
        await fleet.configure(version=9)
        fleet.store.unavailable = True
        await fleet.store.restore(copy)
        await fleet.store.put(OPERATOR_TOPIC, "config", config(9))
        await fleet.store.put(OPERATOR_TOPIC, "config", config(11))
        fleet.store.unavailable = False
        for daemon in fleet.daemons.values():
            await until(lambda d=daemon: d.routing.revision == 11, "change in force")

    @platform_test
    async def test_confirmed_change_is_not_withdrawn(self, fleet, session):
        """Guards against a return to the revision of the copy."""
        await fleet.daemon("vm-a")
        await fleet.configure(version=1)
        copy = fleet.store.copy()
        await fleet.configure(version=4)
        await fleet.store.restore(copy)
        daemon = fleet.daemons["vm-a"]
        await until(lambda: daemon.store_era == 2, "return seen")
        await fleet.store.put(OPERATOR_TOPIC, "config", config(3))
        await asyncio.sleep(0.3)
        assert daemon.routing.revision == 4
