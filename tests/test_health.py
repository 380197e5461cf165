"""`HealthWatch`: from reported runs to demotions, claims and ejections."""

import asyncio
import random

import aiohttp
import pytest

from dandelionarch.core.directory import Directory
from dandelionarch.core.messages.evidence import EvidenceQuery
from dandelionarch.core.outcome import Reason
from dandelionarch.core.world import Endpoint, Health
from dandelionarch.daemon.health import HealthWatch
from dandelionarch.errors import PlatformUnavailableError
from dandelionarch.wire.codec import Codec
from tests.support.fleet import CUSTOMER_KEY, Fleet

COUNT = 4
AUTH = {"Authorization": f"Bearer {CUSTOMER_KEY}"}


class FakeFleet:
    """Health tasks with a common clock that query each other through the codec."""

    def __init__(self, claims=None):
        self.time = 0.0
        self.codec = Codec()
        self.directory = Directory()
        self.watches = {}
        for number in range(COUNT):
            self.directory.put_endpoint(endpoint(number))
            vm_id = f"vm-{number}"
            network = FakeNetwork(self, vm_id)
            self.watches[vm_id] = HealthWatch(
                network, self.directory, vm_id, claims, random.Random(1)
            )

    def run(self, number, reason=None, status=200, service_s=0.01):
        """Run one request at an endpoint."""
        watch, run = self.watches[f"vm-{number}"], object()
        watch.on_run_admitted(endpoint(number), run)
        watch.on_run_started(endpoint(number), run, "read")
        self.time += service_s
        if reason is None:
            watch.on_run_answered(endpoint(number), run, status)
        watch.on_run_ended(endpoint(number), run, reason, "read")

    async def warm_up(self):
        """Let every endpoint serve until all have a baseline."""
        for _ in range(20):
            for number in range(COUNT):
                self.run(number)
        self.time += 2.0
        await self.settle()

    async def settle(self):
        """Run every task for one tick and its consequences."""
        tasks = [asyncio.create_task(w.run()) for w in self.watches.values()]
        await asyncio.sleep(0.25)
        for task in tasks:
            task.cancel()

    def health(self, number):
        """Return an endpoint's health in the directory."""
        return self.directory.endpoints[f"w-{number}"].health


class FakeNetwork:
    """Network of one VM."""

    def __init__(self, fleet, vm_id):
        self.fleet, self.vm_id, self.handlers, self.tasks = fleet, vm_id, {}, set()

    def subscribe(self, cls, handler):
        self.handlers[cls] = handler

    def now(self):
        return self.fleet.time

    def spawn(self, coro):
        task = asyncio.create_task(coro)
        self.tasks.add(task)

    async def ask(self, vm_id, msg, timeout_s):
        codec, peer = self.fleet.codec, self.fleet.watches[vm_id]
        msg = codec.decode(*codec.encode(msg))
        return codec.decode(*codec.encode(peer._on_query(None, msg)))


class Claims:
    """Accepts every claim, or raises an error if the log is unavailable."""

    def __init__(self, available=True):
        self.available = available
        self.accepted = lambda: None
        self.claimed, self.released = [], []

    async def claim(self, endpoint_id, incarnation, service, score):
        if not self.available:
            raise PlatformUnavailableError("no answer")
        self.claimed.append(endpoint_id)
        self.accepted()
        return True

    async def release(self, endpoint_id, incarnation):
        self.released.append(endpoint_id)


def endpoint(number):
    """Return an endpoint that started long ago, so that it is warm."""
    return Endpoint(f"w-{number}", f"vm-{number}", "orders", "", 0, 3, 330, 1)


async def fleet_with_failures(claims, **run):
    """Return a fleet whose first endpoint has had the runs `run`, unlike its peers."""
    fleet = FakeFleet(claims)
    await fleet.warm_up()
    for _ in range(10):
        for number in range(1, COUNT):
            fleet.run(number)
        fleet.run(0, **run)
    await asyncio.sleep(0.01)
    return fleet


class TestHealthWatch:
    """Demotion, claims and refusals follow from the reported runs."""

    @pytest.mark.parametrize(
        "run", [{"reason": Reason.WORKER_FAILED}, {"status": 500}], ids=str
    )
    def test_failing_endpoint_is_ejected_by_a_claim(self, run):
        """Guards against a failing endpoint that is not claimed or admits work."""

        async def body():
            claims = Claims()
            fleet = await fleet_with_failures(claims, **run)
            watch = fleet.watches["vm-0"]
            assert claims.claimed == ["w-0"]
            assert fleet.health(0) is Health.EJECTED
            assert watch.with_current_health(endpoint(0)).health is Health.EJECTED
            assert not watch.admits(endpoint(0), True)
            assert [fleet.health(n) for n in (1, 2, 3)] == [Health.HEALTHY] * 3
            watch.on_claim_revoked("w-0", 1)
            assert fleet.health(0) is Health.DEMOTED

        asyncio.run(body())

    def test_revocation_before_the_verdict_is_handled(self):
        """Guards against an ejection whose claim was revoked before its verdict."""

        async def body():
            claims = Claims()
            claims.accepted = lambda: fleet.watches["vm-0"].on_claim_revoked("w-0", 1)
            fleet = FakeFleet(claims)
            await fleet.warm_up()
            for _ in range(10):
                fleet.run(0, status=500)
                fleet.run(1)
                fleet.run(2)
                fleet.run(3)
            await asyncio.sleep(0.01)
            assert claims.claimed
            assert fleet.health(0) is Health.DEMOTED

        asyncio.run(body())

    @pytest.mark.parametrize("claims", [None, Claims(available=False)], ids=str)
    def test_without_the_log_it_is_only_demoted(self, claims):
        """Guards against ejection without an accepted claim."""

        async def body():
            fleet = await fleet_with_failures(claims, status=500)
            assert fleet.health(0) is Health.DEMOTED
            assert fleet.watches["vm-0"].admits(endpoint(0), False)

        asyncio.run(body())

    @pytest.mark.parametrize(
        "run",
        [{"reason": Reason.WORKER_REFUSED}, {"status": 503}, {"status": 504}],
        ids=str,
    )
    def test_load_shedding_is_no_failure(self, run):
        """Guards against ejecting endpoints that shed load at a crest."""

        async def body():
            fleet = await fleet_with_failures(Claims(), **run)
            assert fleet.health(0) is Health.HEALTHY

        asyncio.run(body())

    def test_unknown_endpoint_has_no_evidence(self):
        """Guards against an empty summary that is taken for a healthy peer."""

        async def body():
            fleet = await fleet_with_failures(Claims())
            query = EvidenceQuery("w-1", ("read",), (0.0,), 60.0)
            assert fleet.watches["vm-0"]._on_query(None, query).kinds == ()
            assert fleet.watches["vm-1"]._on_query(None, query).kinds[0].count > 0

        asyncio.run(body())


class TestDaemon:
    """Daemons and workers as processes."""

    def test_failing_worker_is_ejected_through_the_log(self, tmp_path):
        """Guards the connection of agent, health task, fleet stream and selection."""
        fleet = Fleet(tmp_path)
        try:
            asyncio.run(self._run(fleet))
        finally:
            fleet.stop()

    async def _run(self, fleet):
        fleet.start_log()
        for number in range(3):
            fleet.start_daemon(f"vm-{number}", seeds=["vm-0"] if number else [])
            fleet.start_worker(f"w-{number}", "orders", f"vm-{number}")
        async with aiohttp.ClientSession(headers=AUTH) as session:
            await fleet.wait_until(
                lambda: fleet.status(session, "vm-2"), "third daemon serves"
            )
            fleet.publish()
            await fleet.wait_until_ready(session, ["w-0", "w-1", "w-2"])

            async def ejected():
                await self._send(fleet, session, 30)
                status = await fleet.status(session, "vm-0")
                return status["endpoints"]["w-0"]["health"] in ("ejected", "trial")

            await self._send(fleet, session, 150)
            await asyncio.sleep(2.5)
            faults = f"http://127.0.0.1:{fleet.workers['w-0'][0]}/standin/faults"
            async with session.post(faults, json={"errors": 1.0}) as resp:
                assert resp.status == 200
            await fleet.wait_until(ejected, "the endpoint is ejected")
            assert await self._send(fleet, session, 60) >= 50

    async def _send(self, fleet, session, count):
        """Send requests to the daemons in turn; return how many succeed."""
        succeeded = 0
        for number in range(count):
            port = fleet.daemons[f"vm-{number % 3}"].ingress
            async with session.get(f"http://127.0.0.1:{port}/orders/1") as resp:
                succeeded += resp.status == 200
        return succeeded
