"""Tests of the registry's entries, and of endpoints' reports to their daemon."""

import dataclasses
import random

from hypothesis import given
from hypothesis import strategies as st

from dandelionarch.core.directory import Directory
from dandelionarch.core.endpoint_reports import EndpointReport, EndpointReports
from dandelionarch.core.keyed_log import Position
from dandelionarch.core.registry import Registry
from dandelionarch.core.world import UNKNOWN_START, Endpoint, EndpointState, Vm, VmState
from dandelionarch.wire.codec import Codec


def make_vm(vm_id, incarnation=1):
    """Return a VM with defaults."""
    return Vm(vm_id, "dc-1", "region", "10.0.0.1", 0, 7620, 0, 0, incarnation)


def make_endpoint(vm_id, endpoint_id="i-1", incarnation=10, service="orders"):
    """Return an endpoint with defaults."""
    return Endpoint(endpoint_id, vm_id, service, "10.0.0.1", 80, 3, 330, incarnation)


class Daemon:
    """The registry of one daemon with its directory."""

    def __init__(self, vm_id, incarnation=1):
        self.directory = Directory()
        vm = make_vm(vm_id, incarnation)
        self.directory.put_vm(vm)
        self.registry = Registry(self.directory, vm)


class TestEntries:
    """Every daemon ends up with the entry that each owner wrote last."""

    def test_entry_survives_its_encoding(self):
        """Guards against a field that is lost in encoding."""
        daemon, codec = Daemon("vm-a"), Codec()
        daemon.directory.put_endpoint(make_endpoint("vm-a"))
        entry = daemon.registry.new_entry()
        assert codec.decode(*codec.encode(entry)) == entry

    def test_endpoint_that_left_the_entry_is_dropped(self):
        """Guards against work for an endpoint that its daemon no longer lists."""
        owner, reader = Daemon("vm-a"), Daemon("vm-b")
        owner.directory.put_endpoint(make_endpoint("vm-a"))
        reader.registry.apply(owner.registry.new_entry())
        assert "i-1" in reader.directory.endpoints
        owner.directory.drop_endpoint("i-1")
        reader.registry.apply(owner.registry.new_entry())
        assert reader.directory.endpoints == {}

    def test_late_write_of_an_old_entry_is_overwritten(self):
        """Guards against an append that takes effect seconds late."""
        owner = Daemon("vm-a")
        first, second = owner.registry.new_entry(), owner.registry.new_entry()
        assert not owner.registry.apply(first)
        assert not owner.registry.apply(second)
        assert owner.registry.apply(first)

    def test_restart_with_a_clock_set_back_is_recognised(self):
        """Guards against peers that take the new process for an older one."""
        former, restarted, reader = (
            Daemon("vm-a", 50),
            Daemon("vm-a", 40),
            Daemon("vm-b"),
        )
        entry = former.registry.new_entry()
        reader.registry.apply(entry)
        assert restarted.registry.apply(entry)
        reader.registry.apply(restarted.registry.new_entry())
        assert reader.directory.vms["vm-a"].incarnation == 51

    def test_leaving_vm_is_marked(self):
        """Guards against work for a daemon that is about to stop."""
        owner, reader = Daemon("vm-a"), Daemon("vm-b")
        owner.registry.mark_leaving()
        reader.registry.apply(owner.registry.new_entry())
        assert reader.directory.vms["vm-a"].state is VmState.LEAVING

    @given(st.integers(0, 10_000))
    def test_any_order_ends_with_the_newest_entry(self, seed):
        """Guards against late or repeated entries that replace newer ones."""
        rng = random.Random(seed)
        owner, reader = Daemon("vm-a"), Daemon("vm-b")
        entries = []
        for n in range(6):
            endpoint = make_endpoint("vm-a", f"i-{n}", 10 + n)
            owner.directory.put_endpoint(endpoint)
            if n:
                owner.directory.drop_endpoint(f"i-{n - 1}")
            entries.append(owner.registry.new_entry())
        deliveries = entries + rng.choices(entries, k=6)
        rng.shuffle(deliveries)
        for entry in deliveries:
            reader.registry.apply(entry)
        assert list(reader.directory.endpoints) == ["i-5"]


def make_report(**fields):
    """Return a report with defaults."""
    report = EndpointReport(
        "i-1", "orders", "10.0.0.1", 80, 3, 1000, 1, EndpointState.READY
    )
    return dataclasses.replace(report, **fields)


class TestLostEntries:
    """An acknowledged entry that the store no longer has."""

    def make_registry(self):
        """Return a registry whose second entry is at offset 7, and its two entries."""
        registry = Daemon("vm-a").registry
        first, second = registry.new_entry(), registry.new_entry()
        registry.on_written(first, Position(1, 4))
        registry.on_written(second, Position(1, 7))
        return registry, first, second

    def test_entry_that_is_missing_or_old_is_lost(self):
        """Guards against an owner that reads nothing of its entry and keeps still."""
        registry, first, second = self.make_registry()
        assert registry.has_lost(None, Position(2, 0))
        assert registry.has_lost(first, Position(2, 5))
        assert not registry.has_lost(second, Position(2, 8))

    def test_records_from_before_the_write_prove_nothing(self):
        """Guards against writing an entry twice at each start."""
        registry, first, _ = self.make_registry()
        assert not registry.has_lost(first, Position(1, 5))
        assert registry.has_lost(first, Position(1, 8))

    def test_entry_that_was_never_written_is_not_lost(self):
        """Guards against an entry written before the endpoint's first report."""
        registry = Daemon("vm-a").registry
        registry.new_entry()
        assert not registry.has_lost(None, Position(3, 9))


class TestReports:
    """Reports that are late, repeated or from a former endpoint are ignored."""

    def reports(self):
        """Return an `EndpointReports` without reports."""
        return EndpointReports("vm-a", lambda service: 330)

    def states(self, changed):
        """Return (id, state) of each changed endpoint."""
        return [(e.endpoint_id, e.state) for e in changed]

    def test_late_ready_does_not_undo_draining(self):
        """Guards against new work for an endpoint that reported that it leaves."""
        reports = self.reports()
        reports.accept(make_report(sequence=1))
        draining = make_report(sequence=3, state=EndpointState.DRAINING)
        changed = reports.accept(draining)
        assert self.states(changed) == [("i-1", EndpointState.DRAINING)]
        assert reports.accept(make_report(sequence=2)) == []
        changed = reports.accept(make_report(sequence=4))
        assert self.states(changed) == [("i-1", EndpointState.DRAINING)]

    def test_new_start_under_the_same_id_is_ready(self):
        """Guards against a restarted endpoint that gets no work."""
        reports = self.reports()
        reports.accept(make_report(sequence=9, state=EndpointState.DRAINING))
        changed = reports.accept(make_report(sequence=1, incarnation=2000))
        assert self.states(changed) == [("i-1", EndpointState.READY)]

    def test_report_of_a_crashed_former_endpoint_is_ignored(self):
        """Guards against a delayed report that replaces the current endpoint."""
        reports = self.reports()
        reports.accept(make_report())
        new = make_report(endpoint_id="i-2", incarnation=2000)
        changed = reports.accept(new)
        assert self.states(changed) == [
            ("i-1", EndpointState.GONE),
            ("i-2", EndpointState.READY),
        ]
        assert reports.accept(make_report(sequence=5)) == []

    def test_leaving_before_any_report_is_remembered(self):
        """Guards against work for an endpoint that left before its first report to a
        restarted daemon."""
        reports = self.reports()
        assert reports.mark_draining("i-1", now_ms=5000) is None
        changed = reports.accept(make_report(sequence=7))
        assert self.states(changed) == [("i-1", EndpointState.DRAINING)]
        changed = reports.accept(make_report(incarnation=6000))
        assert self.states(changed) == [("i-1", EndpointState.READY)]

    def test_leaving_of_an_endpoint_whose_start_is_unknown(self):
        """Guards against new work after a leaving endpoint's first report.

        A daemon that has restarted knows the endpoint by a probe, which tells no start.
        """
        reports = self.reports()
        reports.accept(make_report(incarnation=UNKNOWN_START, sequence=0))
        endpoint = reports.mark_draining("i-1", now_ms=5000)
        assert endpoint.state is EndpointState.DRAINING
        changed = reports.accept(make_report(sequence=7))
        assert self.states(changed) == [("i-1", EndpointState.DRAINING)]
