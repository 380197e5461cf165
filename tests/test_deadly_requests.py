"""Requests that crash the workers that run them, on the platform."""

import asyncio

from dandelionarch.core.quarantine import CRASHES_TO_QUARANTINE, QUARANTINE_S
from dandelionarch.platform.main import REGISTRY_TOPIC
from dandelionarch.wire.codec import Channel, Codec
from tests.support.path import until
from tests.support.platform.fleet import ask, platform_test
from tests.support.platform.worker import answer, reset_connection

DEADLY = "/orders/deadly"
WORK_S = 0.02


class TestQuarantine:
    """A request that has crashed several workers is refused at every VM."""

    async def start(self, fleet, session, vms):
        """Start VMs whose workers crash on deadly requests and come back at once."""
        for vm in vms:
            await fleet.daemon(vm)
        await fleet.configure()
        for vm in vms:
            await self.add_worker(fleet, session, vm)
        await fleet.wait_for_links()

    async def add_worker(self, fleet, session, vm):
        """Start a worker on a VM."""

        async def handle(req, writer):
            await asyncio.sleep(WORK_S)
            if req.target == DEADLY:
                worker = fleet.workers[f"i-{vm}"]
                worker.crash()
                await asyncio.sleep(5 * WORK_S)
                await worker.start()
            else:
                writer.write(answer(req))

        await fleet.worker(vm, handle, session=session)

    def crashes(self, fleet):
        """Return the number of crashes of all workers."""
        return sum(worker.crashes for worker in fleet.workers.values())

    async def send_until_refused(self, fleet, session, vms):
        """Send the deadly request to one VM after the other until it is refused."""
        for number in range(4 * CRASHES_TO_QUARANTINE):
            status, headers, body = await ask(
                session, fleet, vms[number % len(vms)], DEADLY, f"d-{number}"
            )
            if b"quarantined" in body and status == 503:
                assert float(headers["Retry-After"]) > QUARANTINE_S / 2
                return
            await asyncio.sleep(0.2)
        raise AssertionError("the request was never refused")

    @platform_test
    async def test_deadly_request_is_refused_everywhere(self, fleet, session):
        """Guards against one request that crashes worker after worker.

        On kintaat-fi 16 workers ended under such requests, which came again at other
        VMs.
        """
        vms = ["vm-a", "vm-b", "vm-c"]
        await self.start(fleet, session, vms)
        await self.send_until_refused(fleet, session, vms)
        crashes = self.crashes(fleet)
        assert crashes <= CRASHES_TO_QUARANTINE + 1
        for vm in vms:
            status, _, _ = await ask(session, fleet, vm, DEADLY, f"again-{vm}")
            assert status == 503
        await fleet.daemon("vm-d")
        await fleet.wait_for_links()
        await self.add_worker(fleet, session, "vm-d")
        for number in range(6):
            status, _, _ = await ask(session, fleet, "vm-d", DEADLY, f"new-{number}")
            assert status == 503
        assert self.crashes(fleet) == crashes

    @platform_test
    async def test_verdict_outlives_all_daemons(self, fleet, session):
        """Guards against a request that crashes endpoints again after each restart.

        On kintaat-fi with all daemons killed twice, the same request crashed three to
        five workers after each time.
        """
        vms = ["vm-a", "vm-b", "vm-c"]
        await self.start(fleet, session, vms)
        await self.send_until_refused(fleet, session, vms)
        await until(lambda: self.kept(fleet), "verdict in the store")
        crashes = self.crashes(fleet)
        for daemon in list(fleet.daemons.values()):
            await daemon.stop()
        fleet.daemons.clear()
        for vm in vms:
            await fleet.daemon(vm)
        for vm in vms:
            worker = fleet.workers[f"i-{vm}"]
            assert await fleet.report(session, vm, worker) == 200
        await fleet.wait_for_links()
        for number in range(6):
            vm = vms[number % 3]
            status, _, body = await ask(session, fleet, vm, DEADLY, f"new-{number}")
            assert status == 503
            assert b"quarantined" in body
        assert self.crashes(fleet) == crashes

    def kept(self, fleet):
        """Return the quarantines in the registry entries in the store."""
        codec, values = Codec((Channel.REGISTRY,)), fleet.store.values(REGISTRY_TOPIC)
        entries = [codec.decode(Channel.REGISTRY, value) for value in values]
        return [record for entry in entries for record in entry.quarantined]

    @platform_test
    async def test_requests_beside_it_are_served(self, fleet, session):
        """Guards against refusing the requests that ran as the workers crashed."""
        vms = ["vm-a", "vm-b", "vm-c"]
        await self.start(fleet, session, vms)
        beside = [f"/orders/{number}" for number in range(4)]

        async def send_beside():
            for number in range(30):
                path, vm = beside[number % 4], vms[number % 3]
                await ask(session, fleet, vm, path, f"b-{number}")
                await asyncio.sleep(WORK_S)

        task = asyncio.create_task(send_beside())
        await self.send_until_refused(fleet, session, vms)
        await task
        await until(
            lambda: all(w._server.is_serving() for w in fleet.workers.values()),
            "workers back",
        )
        for path in beside:
            # The gates of workers that have crashed open by trials.
            async with asyncio.timeout(10.0):
                while (await ask(session, fleet, "vm-a", path, f"l-{path}"))[0] != 200:
                    await asyncio.sleep(0.1)

    @platform_test
    async def test_broken_connections_are_no_crash(self, fleet, session):
        """Guards against refusing requests whose worker resets connections."""

        async def reset(req, writer):
            reset_connection(writer)

        await fleet.daemon("vm-a")
        await fleet.configure()
        await fleet.worker("vm-a", reset, session=session)
        for number in range(4 * CRASHES_TO_QUARANTINE):
            _, _, body = await ask(session, fleet, "vm-a", request_id=f"r-{number}")
            assert b"quarantined" not in body
            await asyncio.sleep(0.05)
