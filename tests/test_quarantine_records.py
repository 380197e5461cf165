"""Quarantines that a VM keeps in its registry entry."""

import pytest

from dandelionarch.core.quarantine import (
    CRASHES_TO_QUARANTINE,
    QUARANTINE_S,
    Quarantine,
)
from dandelionarch.daemon import quarantine_records
from dandelionarch.daemon.quarantine_records import (
    MAX_RECORDS,
    MAX_SUSPECTS,
    QuarantineRecords,
)

DEADLY = b"d" * 16


class Vm:
    """The quarantines of one VM, on a clock that only the test moves."""

    def __init__(self, vm_id="vm-a"):
        self.now = 0.0
        self.changes = 0
        self.quarantine = Quarantine()
        self.records = QuarantineRecords(vm_id, self.quarantine, lambda: self.now)
        self.records.on_change = self.count_change

    def count_change(self):
        """Count a call of `on_change`."""
        self.changes += 1

    def crash(self, fingerprint, crash_id):
        """Let an endpoint of this VM crash under one request."""
        self.records.add_suspects("s", [fingerprint])
        self.quarantine.on_crash(crash_id, "s", [fingerprint], self.now)
        self.records.publish_changes()

    def convict(self, fingerprint=DEADLY):
        """Let endpoints crash until the request is refused."""
        for number in range(CRASHES_TO_QUARANTINE):
            self.crash(fingerprint, b"%d" % number)


class TestRecords:
    """Only what is refused is kept, by the VMs on which it has crashed an endpoint."""

    @pytest.fixture(autouse=True)
    def wall_clock(self, monkeypatch):
        """Set the time of day, which is the same on all VMs."""
        self.unix_ms = 1_000_000
        monkeypatch.setattr(quarantine_records, "_unix_ms", lambda: self.unix_ms)

    def test_verdict_is_kept_once(self):
        """Guards against a write for each crash, and against no write at all."""
        vm = Vm()
        vm.crash(DEADLY, b"x")
        assert (vm.changes, vm.records.records()) == (0, ())
        vm.convict()
        assert vm.changes == 2
        (record,) = vm.records.records()
        assert record.fingerprint == DEADLY
        vm.records.publish_changes()
        assert vm.changes == 2

    def test_later_process_refuses_for_the_rest_of_the_time(self):
        """Guards against a quarantine that begins anew with each restart."""
        vm, later = Vm(), Vm()
        vm.convict()
        records = vm.records.records()
        self.unix_ms += 400_000
        later.now = 5000.0
        later.records.merge("vm-a", records)
        left_s = later.quarantine.remaining_s(DEADLY, later.now)
        assert left_s == QUARANTINE_S - 400.0
        assert [r.crashed_at_ms for r in later.records.records()] == [1_000_000]

    def test_records_of_others_are_not_kept(self):
        """Guards against entries that all list the verdicts of the whole fleet."""
        vm, other = Vm(), Vm("vm-b")
        vm.convict()
        other.records.merge("vm-a", vm.records.records())
        assert other.quarantine.remaining_s(DEADLY, 0.0) > 0
        assert other.records.records() == ()

    def test_excused_request_is_dropped(self):
        """Guards against a false verdict that comes back with a restart."""
        vm = Vm()
        vm.convict()
        vm.quarantine.on_answered(DEADLY, 1.0)
        vm.records.publish_changes()
        assert (vm.changes, vm.records.records()) == (2, ())

    def test_records_are_bounded(self):
        """Guards against entries that grow, as a caller may send any number of bodies.

        Requests that only ran beside others do not displace those that are refused.
        """
        vm = Vm()
        for number in range(2 * MAX_RECORDS):
            vm.convict(b"deadly-%d" % number)
        for number in range(2 * MAX_SUSPECTS):
            vm.crash(b"beside-%d" % number, b"c%d" % number)
        records = vm.records.records()
        assert len(records) == MAX_RECORDS
        assert all(r.fingerprint.startswith(b"deadly") for r in records)
