"""The fleet services of daemons that share one log."""

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
    """One log for the stream services of all daemons.

    Attributes
    ----------
    records : list
        Decoded records.
    up : bool
        False while appends fail.
    lose_replies : bool
        True while appends take effect but seem to fail.
    after_claim : object or None
        Record that is appended right after each claim.
    """

    def __init__(self):
        self.records = []
        self.readers = []
        self.up = True
        self.lose_replies = False
        self.after_claim = None

    def append(self, data):
        """Append a record and pass it to every reader, unless the log is down."""
        if not self.up:
            raise PlatformUnavailableError("down")
        number = len(self.records)
        record = Record(number, 0.0, str(number), data)
        self.records.append(records.from_bytes(data))
        for reader in self.readers:
            reader.apply(record)
        if self.after_claim is not None and data.endswith(b'"EjectClaim"}'):
            self.append(records.to_bytes(self.after_claim))
        if self.lose_replies:
            raise PlatformUnavailableError("reply lost")
        return number

    def records_of(self, cls):
        """Return the records of one type."""
        return [r for r in self.records if isinstance(r, cls)]


class FakeStreams:
    """The part of the stream service that the fleet service uses.

    While `held_records` is a list, records are stored there instead of applied.
    """

    ready = True

    def __init__(self, log):
        self._log = log
        self._callbacks = []
        self.held_records = None
        log.readers.append(self)

    @property
    def available(self):
        """Return True while the log answers."""
        return self._log.up

    def add_fold(self, fold):
        """Store the fold."""
        self._fold = fold

    def subscribe_applied(self, stream, callback):
        """Register a callback."""
        assert stream == FLEET_STREAM
        self._callbacks.append(callback)

    def subscribe_restored(self, stream, callback):
        """Ignore the callback, as this log retains all records."""

    async def append(self, stream, data, record_id=None):
        """Append to the shared log."""
        await asyncio.sleep(0)
        return self._log.append(data)

    def apply(self, record):
        """Apply one record, or store it while records are held."""
        if self.held_records is not None:
            self.held_records.append(record)
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
        self.service.subscribe_revoked(lambda e, inc: self.ejecting.discard(e))

    def add_endpoint(self, name, state=EndpointState.READY):
        """Put an endpoint on this VM into the directory."""
        vm_id = self.vm.vm_id
        self.directory.put_endpoint(
            Endpoint(f"{vm_id}-{name}", vm_id, "orders", "h", 1, 3, 330, 1, state)
        )

    async def eject(self, name):
        """Claim the ejection of an endpoint; return True if it was accepted."""
        endpoint_id = f"{self.vm.vm_id}-{name}"
        accepted = await self.service.claim(endpoint_id, 1, "orders", 1.0)
        if accepted:
            self.ejecting.add(endpoint_id)
        return accepted


async def wait_until(check):
    """Wait until `check()` is true; fail after 8 s."""
    for _ in range(400):
        if check():
            return
        await asyncio.sleep(0.02)
    raise AssertionError("condition not met within 8 s")


def run(scenario, count=2):
    """Run a scenario with daemons that have announced two endpoints each."""

    async def body():
        log = FakeLog()
        daemons = [Daemon(log, i, count) for i in range(count)]
        for daemon in daemons:
            for name in "ab":
                daemon.add_endpoint(name)
        tasks = [asyncio.create_task(d.service.run()) for d in daemons]
        await wait_until(lambda: len(log.records_of(records.Announce)) == count)
        await wait_until(lambda: daemons[0].service.fold.floors)
        await scenario(log, *daemons)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    asyncio.run(body())


class TestFleetService:
    """Claims go through the log; records that are not read back are repeated."""

    def test_one_record_per_burst_and_per_floor_change(self):
        """Guards against one record per endpoint or one floor record per daemon."""

        async def scenario(log, daemon_0, daemon_1):
            await asyncio.sleep(1.0)
            assert len(log.records_of(records.Announce)) == 2
            assert len(log.records_of(records.Floors)) == 1

        run(scenario)

    def test_floor_decides_about_claims(self):
        """Guards against ejections that leave fewer endpoints than the floor."""

        async def scenario(log, daemon_0, daemon_1):
            assert await daemon_0.eject("a")
            assert await daemon_1.eject("a")
            assert not await daemon_1.eject("b")
            daemon_0.ejecting.clear()
            await daemon_0.service.release("vm-0-a", 1)
            await wait_until(lambda: log.records_of(records.Readmit))
            assert await daemon_1.eject("b")

        run(scenario)

    def test_withdrawal_ends_ejections_before_the_next_announcement(self):
        """Guards against ejections without a claim after a VM was considered dead."""

        async def scenario(log, daemon_0, daemon_1):
            assert await daemon_0.eject("a")
            log.append(records.to_bytes(records.Withdraw("vm-0", 1)))
            assert daemon_0.ejecting == set()
            await wait_until(lambda: "vm-0" in daemon_1.service.fold.vms)
            assert len(daemon_1.service.fold.services["orders"].announced) == 4

        run(scenario)

    def test_claim_that_is_revoked_before_the_caller_resumes_is_refused(self):
        """Guards against an ejection that starts after its revocation was read."""

        async def scenario(log, daemon_0, daemon_1):
            log.after_claim = records.Withdraw("vm-0", 1)
            assert not await daemon_0.eject("a")

        run(scenario)

    def test_floor_is_enforced_locally_while_the_log_is_down(self, monkeypatch):
        """Guards against ejections below the floor during an outage of the log."""
        monkeypatch.setattr("dandelionarch.daemon.fleet.REPEAT_PERIOD_S", 0.5)

        async def scenario(log, daemon_0, daemon_1):
            assert await daemon_0.eject("a")
            log.up = False
            assert not await daemon_0.eject("b")
            assert daemon_0.ejecting == {"vm-0-a"}
            daemon_0.directory.drop_vm("vm-1")
            await wait_until(lambda: daemon_0.ejecting == set())
            log.up = True
            await wait_until(lambda: log.records_of(records.Readmit))

        run(scenario)

    def test_claim_with_a_lost_reply_is_accepted(self):
        """Guards against a claim that uses headroom without an ejection."""

        async def scenario(log, daemon_0, daemon_1):
            log.lose_replies = True
            assert await daemon_0.eject("a")

        run(scenario)

    def test_claim_that_is_read_late_is_released(self, monkeypatch):
        """Guards against headroom lost to claims that have timed out."""
        monkeypatch.setattr("dandelionarch.daemon.fleet.CLAIM_TIMEOUT_S", 0.2)

        async def scenario(log, daemon_0, daemon_1):
            daemon_0.streams.held_records = []
            assert not await daemon_0.eject("a")
            held, daemon_0.streams.held_records = daemon_0.streams.held_records, None
            for record in held:
                daemon_0.streams.apply(record)
            await wait_until(
                lambda: not daemon_1.service.fold.services["orders"].claims
            )
            assert daemon_0.service._claim_holder.ejected_endpoints() == set()

        run(scenario)

    def test_incarnation_rises_above_the_one_of_a_former_process(self):
        """Guards against a replaced VM that is ignored for its lower incarnation.

        This happens if the clock of the former process was ahead.
        """

        async def scenario(log, daemon_0, daemon_1):
            former = records.Announce("vm-0", 99, 1, 0, "h", 3, ())
            log.append(records.to_bytes(former))
            await wait_until(
                lambda: daemon_1.service.fold.vms["vm-0"].announce.incarnation == 100
            )
            assert await daemon_0.eject("a")

        run(scenario)

    def test_leaving_withdraws_and_announces_no_more(self):
        """Guards against a stopping VM that returns by a late announcement."""

        async def scenario(log, daemon_0, daemon_1):
            await daemon_0.service.leave()
            daemon_0.add_endpoint("c")
            await asyncio.sleep(1.0)
            assert "vm-0" not in daemon_1.service.fold.vms

        run(scenario)


class TestWithdrawals:
    """Each dead VM is withdrawn by about one append."""

    @staticmethod
    def appends(living, announced, seconds, returns=False):
        """Return (time, vm_id) of the withdrawals that all living daemons append."""
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
        """Guards against a withdrawal from every daemon for each dead VM."""
        living = {f"vm-{i}" for i in range(30)}
        dead = {f"dead-{i}" for i in range(5)}
        out = self.appends(living, living | dead, 150)
        assert {vm_id for _, vm_id in out} == dead
        assert len(out) == 5
        assert min(out)[0] >= WITHDRAW_DELAY_S

    def test_returning_vm_is_withdrawn_less_and_less_often(self):
        """Guards against endless appends by regions that consider each other dead."""
        living = {"vm-1", "vm-2"}
        out = self.appends(living, living | {"far"}, 1000, returns=True)
        assert 2 <= len(out) <= 5

    def test_daemon_that_is_cut_off_withdraws_nobody(self):
        """Guards against one daemon that withdraws all others when it is isolated."""
        announced = {f"vm-{i}" for i in range(9)}
        assert self.appends({"vm-0"}, announced, 200) == []

    def test_next_in_rank_withdraws_if_the_first_does_not(self):
        """Guards against a dead VM that stays if the first in rank is dead too."""
        views = [WithdrawalSchedule(f"vm-{i}") for i in range(3)]
        living = {"vm-0", "vm-1", "vm-2"}
        firsts = []
        for view in views:
            first_s = None
            for now in range(100):
                if first_s is None and view.vms_to_withdraw(
                    living | {"x"}, living, now
                ):
                    first_s = now
            firsts.append(first_s)
        assert sorted(firsts) == [
            WITHDRAW_DELAY_S,
            WITHDRAW_DELAY_S + STAGGER_S,
            WITHDRAW_DELAY_S + 2 * STAGGER_S,
        ]
