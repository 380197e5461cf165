"""The fleet service of daemons that share one log."""

import asyncio

from dandelionarch.core import fleet_records as records
from dandelionarch.core.directory import Directory
from dandelionarch.core.fleet import FLEET_STREAM
from dandelionarch.core.lists import Lists, ServiceSection
from dandelionarch.core.streams import Record
from dandelionarch.core.withdrawal import (
    STAGGER_S,
    WITHDRAW_DELAY_S,
    WithdrawalSchedule,
)
from dandelionarch.core.world import Endpoint, EndpointState, Vm
from dandelionarch.daemon.fleet import FleetService
from dandelionarch.errors import PlatformUnavailableError

CONFIG = (1, Lists(services={"orders": ServiceSection(floor="50%")}))


class FakeLog:
    """One log for the stream services of all daemons."""

    def __init__(self):
        self.records = []
        self.readers = []
        self.up = True
        self.lose_reply = False
        self.after_claim = None

    def append(self, data):
        """Append and let every reader apply, unless the log is down."""
        if not self.up:
            raise PlatformUnavailableError("down")
        number = len(self.records)
        record = Record(number, 0.0, str(number), data)
        self.records.append(records.from_bytes(data))
        for reader in self.readers:
            reader.apply(record)
        if self.after_claim is not None and data.endswith(b'"EjectClaim"}'):
            self.append(records.to_bytes(self.after_claim))
        if self.lose_reply:
            raise PlatformUnavailableError("reply lost")
        return number

    def of(self, cls):
        """Return the records of one type."""
        return [r for r in self.records if isinstance(r, cls)]


class FakeStreams:
    """What the fleet service uses of the stream service."""

    ready = True

    def __init__(self, log):
        self._log = log
        self._callbacks = []
        self.held_back = None
        log.readers.append(self)

    @property
    def available(self):
        """Return whether the log answers."""
        return self._log.up

    def add_fold(self, fold):
        """Keep the fold."""
        self._fold = fold

    def on_applied(self, stream, callback):
        """Keep a callback."""
        assert stream == FLEET_STREAM
        self._callbacks.append(callback)

    def on_restored(self, stream, callback):
        """Ignore the callback: this log keeps all records."""

    async def append(self, stream, data, record_id=None):
        """Append to the shared log."""
        await asyncio.sleep(0)
        return self._log.append(data)

    def apply(self, record):
        """Apply one record, or keep it while reading is held back."""
        if self.held_back is not None:
            self.held_back.append(record)
            return
        change = self._fold.apply(record)
        for callback in self._callbacks:
            callback(record, change)


class Daemon:
    """A fleet service with its directory."""

    def __init__(self, log, index, count):
        vms = [Vm(f"vm-{i}", "d", "r", "h", 1, 2, 3, 4, 1) for i in range(count)]
        self.vm = vms[index]
        self.directory = Directory()
        for vm in vms:
            self.directory.put_vm(vm)
        self.streams = FakeStreams(log)
        self.service = FleetService(
            self.streams, self.directory, self.vm, lambda: CONFIG
        )
        self.ejecting = set()
        self.service.on_revoke(lambda e, inc: self.ejecting.discard(e))

    def put(self, name, state=EndpointState.READY):
        """Record an endpoint beside this daemon."""
        vm_id = self.vm.vm_id
        self.directory.put_endpoint(
            Endpoint(f"{vm_id}-{name}", vm_id, "orders", "h", 1, 3, 330, 1, state)
        )

    async def eject(self, name):
        """Claim an endpoint and eject it if accepted."""
        endpoint_id = f"{self.vm.vm_id}-{name}"
        accepted = await self.service.claim(endpoint_id, 1, "orders", 1.0)
        if accepted:
            self.ejecting.add(endpoint_id)
        return accepted


async def until(check):
    """Wait, for a bounded time, until a check holds."""
    for _ in range(400):
        if check():
            return
        await asyncio.sleep(0.02)
    raise AssertionError("waited in vain")


def run(scenario, count=2):
    """Run a scenario with daemons that have announced two endpoints each."""

    async def body():
        log = FakeLog()
        daemons = [Daemon(log, i, count) for i in range(count)]
        for daemon in daemons:
            for name in "ab":
                daemon.put(name)
        tasks = [asyncio.create_task(d.service.run()) for d in daemons]
        await until(lambda: len(log.of(records.Announce)) == count)
        await until(lambda: daemons[0].service.fold.floors)
        await scenario(log, *daemons)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    asyncio.run(body())


class TestFleetService:
    """Claims go through the log; what is not read back is repeated."""

    def test_one_record_per_burst_and_per_floor_change(self):
        """Guards the log against a record per endpoint or per daemon."""

        async def scenario(log, one, two):
            await asyncio.sleep(1.0)
            assert len(log.of(records.Announce)) == 2
            assert len(log.of(records.Floors)) == 1

        run(scenario)

    def test_claims_are_answered_by_the_floor(self):
        """Guards the answer that the health task gets."""

        async def scenario(log, one, two):
            assert await one.eject("a")
            assert await two.eject("a")
            assert not await two.eject("b")
            one.ejecting.clear()
            await one.service.release("vm-0-a", 1)
            await until(lambda: log.of(records.Readmit))
            assert await two.eject("b")

        run(scenario)

    def test_withdrawal_ends_ejections_before_the_next_announcement(self):
        """Guards a VM that was held dead: its claims are gone with it."""

        async def scenario(log, one, two):
            assert await one.eject("a")
            log.append(records.to_bytes(records.Withdraw("vm-0", 1)))
            assert one.ejecting == set()
            await until(lambda: "vm-0" in two.service.fold.vms)
            assert len(two.service.fold.services["orders"].announced) == 4

        run(scenario)

    def test_claim_that_is_gone_before_the_caller_goes_on_is_refused(self):
        """Guards against an ejection that begins after its revocation was read."""

        async def scenario(log, one, two):
            log.after_claim = records.Withdraw("vm-0", 1)
            assert not await one.eject("a")

        run(scenario)

    def test_no_claim_and_the_own_floor_while_the_log_is_down(self, monkeypatch):
        """Guards the floor by the agent's own view during an outage."""
        monkeypatch.setattr("dandelionarch.daemon.fleet.REPEAT_S", 0.5)

        async def scenario(log, one, two):
            assert await one.eject("a")
            log.up = False
            assert not await one.eject("b")
            assert one.ejecting == {"vm-0-a"}
            one.directory.drop_vm("vm-1")
            await until(lambda: one.ejecting == set())
            log.up = True
            await until(lambda: log.of(records.Readmit))

        run(scenario)

    def test_lost_reply_to_a_claim_does_not_lose_the_claim(self):
        """Guards against a claim that holds headroom and that nobody knows of."""

        async def scenario(log, one, two):
            log.lose_reply = True
            assert await one.eject("a")

        run(scenario)

    def test_claim_that_lands_late_is_released(self, monkeypatch):
        """Guards headroom against claims that were given up."""
        monkeypatch.setattr("dandelionarch.daemon.fleet.CLAIM_TIMEOUT_S", 0.2)

        async def scenario(log, one, two):
            one.streams.held_back = []
            assert not await one.eject("a")
            held, one.streams.held_back = one.streams.held_back, None
            for record in held:
                one.streams.apply(record)
            await until(lambda: not two.service.fold.services["orders"].claims)
            assert one.service._holder.ejected_endpoints() == set()

        run(scenario)

    def test_former_process_with_a_faster_clock_does_not_silence_this_one(self):
        """Guards a replaced VM whose incarnation is lower than its predecessor's."""

        async def scenario(log, one, two):
            former = records.Announce("vm-0", 99, 1, 0, "h", 3, ())
            log.append(records.to_bytes(former))
            await until(
                lambda: two.service.fold.vms["vm-0"].announce.incarnation == 100
            )
            assert await one.eject("a")

        run(scenario)

    def test_leaving_withdraws_and_announces_no_more(self):
        """Guards a planned stop against coming back by a late announcement."""

        async def scenario(log, one, two):
            await one.service.leave()
            one.put("c")
            await asyncio.sleep(1.0)
            assert "vm-0" not in two.service.fold.vms

        run(scenario)


class TestWithdrawals:
    """Dead VMs are withdrawn by about one append."""

    @staticmethod
    def appends(living, announced, seconds, returns=False):
        """Return (time, vm) of the appends of all living daemons."""
        views = {vm_id: WithdrawalSchedule(vm_id) for vm_id in living}
        gone, out = set(), []
        for half in range(2 * seconds):
            now = half / 2
            for view in views.values():
                for vm_id in view.vms_to_withdraw(announced - gone, living, now):
                    out.append((now, vm_id))
            for _, vm_id in [o for o in out if now - 0.5 <= o[0] < now]:
                gone.add(vm_id)
                for view in views.values():
                    view.on_withdrawal(vm_id, 1)
                    if returns:
                        view.on_announcement(vm_id, 1)
                gone -= {vm_id} if returns else set()
        return out

    def test_about_one_append_per_dead_vm(self):
        """Guards the log against a withdrawal from every daemon."""
        living = {f"vm-{i}" for i in range(30)}
        dead = {f"dead-{i}" for i in range(5)}
        out = self.appends(living, living | dead, 150)
        assert {vm_id for _, vm_id in out} == dead
        assert len(out) == 5
        assert min(out)[0] >= WITHDRAW_DELAY_S

    def test_vm_that_returns_is_withdrawn_ever_more_rarely(self):
        """Guards the log while two regions that hold each other dead both reach it."""
        living = {"vm-1", "vm-2"}
        out = self.appends(living, living | {"far"}, 1000, returns=True)
        assert 2 <= len(out) <= 5

    def test_daemon_that_is_cut_off_withdraws_nobody(self):
        """Guards the fleet against one daemon that sees all others dead."""
        announced = {f"vm-{i}" for i in range(9)}
        assert self.appends({"vm-0"}, announced, 200) == []

    def test_next_by_rank_withdraws_when_the_first_does_not(self):
        """Guards a dead VM whose first withdrawer is dead too."""
        views = [WithdrawalSchedule(f"vm-{i}") for i in range(3)]
        living = {"vm-0", "vm-1", "vm-2"}
        firsts = []
        for view in views:
            due = None
            for second in range(100):
                if due is None and view.vms_to_withdraw(living | {"x"}, living, second):
                    due = second
            firsts.append(due)
        assert sorted(firsts) == [
            WITHDRAW_DELAY_S,
            WITHDRAW_DELAY_S + STAGGER_S,
            WITHDRAW_DELAY_S + 2 * STAGGER_S,
        ]
