"""Tests of the relay of entries and states between daemons."""

import random

import pytest

from dandelionarch.core.amend import Difference
from dandelionarch.core.checkpoints import STAGGER_S, Retention
from dandelionarch.core.config import ConfigFold, Publication
from dandelionarch.core.entry_parts import EntryKind, parse_part, split
from dandelionarch.core.placement import FAN_OUT, Placement
from dandelionarch.core.relay import READ_WAIT_MS
from dandelionarch.measure.stream_fleet import StreamFleet
from tests.support.fleet import ALLOWANCES, PLANS

STREAM = "config"
RETENTION_S = 400.0


def publish(fleet, revision=0):
    """Append the publication that creates `revision + 1`."""
    change = Difference(changed={"plan gold": {"priority": str(revision % 9 + 1)}})
    pub = Publication(revision, "ann", None, change)
    if not revision:
        pub = Publication(0, "ann", (PLANS, ALLOWANCES))
    assert fleet.log.append(STREAM, split(f"r{revision}", pub.to_bytes())[0])


def revisions(fleet, ready=True):
    """Return the members' revisions; check that all or none of them are ready."""
    assert all(m.node.ready is ready for m in fleet.members.values())
    return {
        m.node.streams[STREAM].copy.fold.state.revision for m in fleet.members.values()
    }


def checkpoints(fleet):
    """Return the number of checkpoints in the log."""
    parts = (parse_part(entry.data) for entry in fleet.log.entries(STREAM))
    return sum(part.kind is EntryKind.CHECKPOINT for part in parts)


@pytest.fixture
def fleet():
    """Return 20 running daemons in one data centre at revision 1."""
    fleet = StreamFleet(
        random.Random(3), lambda: [ConfigFold()], Retention(RETENTION_S), records=10
    )
    for n in range(20):
        fleet.add(f"vm-{n}", "dc", seeds=["vm-0", "vm-1", "vm-2"])
    fleet.update_members()
    publish(fleet)
    fleet.run(15.0)
    assert revisions(fleet) == {1}
    return fleet


def stop_pings(fleet):
    """Stop the pings, so that entries arrive only along the tree."""
    fleet._ping = lambda member: []


class TestPlacement:
    """Each data centre has three followers and a relay tree."""

    def test_every_other_member_has_one_parent(self):
        """Guards against members that receive every entry twice or never."""
        members = {f"vm-{n}": f"dc-{n % 2}" for n in range(100)}
        placements = {vm: Placement(vm, dc) for vm, dc in members.items()}
        for placement in placements.values():
            placement.update(members)
            assert len(placement.children) <= FAN_OUT
        children = [
            vm for placement in placements.values() for vm in placement.children
        ]
        assert len(children) == len(set(children)) == 94
        ranks = [p.checkpoint_rank for p in placements.values() if p.follower]
        assert sorted(ranks) == list(range(6))
        assert all(vm in placements[placements[vm].parent].children for vm in children)


class TestRelay:
    """Entries reach all members, whichever path fails."""

    def test_tree_carries_entries_within_the_grace_period(self, fleet):
        """Guards against entries that arrive only by pulls."""
        stop_pings(fleet)
        publish(fleet, 1)
        fleet.run(0.5)
        assert revisions(fleet) == {2}

    def test_only_followers_read_the_log(self, fleet):
        """Guards against a load on the log that grows with the fleet."""
        before = fleet.log.reads
        fleet.run(40.0)
        assert fleet.log.reads - before <= 3 * (40.0 / (READ_WAIT_MS / 1000) + 1)

    def test_lost_push_is_pulled_from_a_peer(self, fleet):
        """Guards against a subtree that stays behind after a lost message."""
        fleet.loss_share = 1.0
        publish(fleet, 1)
        fleet.run(0.5)
        assert revisions(fleet) == {1, 2}
        fleet.loss_share = 0.0
        fleet.run(6.0)
        assert revisions(fleet) == {2}

    def test_member_without_parent_reads_the_log(self, fleet):
        """Guards against a member that waits for a dead parent."""
        fleet.loss_share = 1.0
        publish(fleet, 1)
        fleet.run(15.0)
        assert revisions(fleet) == {2}

    def test_member_far_behind_gets_the_state(self, fleet):
        """Guards against a copy that needs entries that no peer has kept."""
        member = next(m for m in fleet.members.values() if m.node.placement.parent)
        fleet.run(1.0)
        member.paused, member.log_reachable = True, False
        for revision in range(1, 30):
            publish(fleet, revision)
            fleet.run(0.1)
        for other in fleet.members.values():
            other.node.streams[STREAM].copy._recent.clear()
        member.pending_events.clear()
        member.paused = False
        fleet.run(8.0)
        assert revisions(fleet) == {30}

    def test_members_learn_of_an_outage_from_their_parents(self, fleet):
        """Guards against daemons that rely on a log that does not answer."""
        fleet.log.is_up = False
        fleet.run(20.0)
        assert not any(m.node.available for m in fleet.members.values())
        fleet.log.is_up = True
        fleet.run(15.0)
        assert all(m.node.available for m in fleet.members.values())


class TestStart:
    """A replaced daemon is ready only with recent state."""

    def test_start_in_an_outage_takes_the_newest_of_three_peers(self, fleet):
        """Guards against serving an old revision, or none, during an outage."""
        fleet.loss_share = 1.0
        publish(fleet, 1)
        fleet.run(0.5)
        fleet.log.is_up = False
        ahead = [
            m.vm_id
            for m in fleet.members.values()
            if m.node.offsets()[STREAM] == fleet.log.next_offset(STREAM)
        ]
        replaced = fleet.add("vm-new", "dc", seeds=["vm-0", "vm-1", "vm-2"])
        known = ahead[:1] + [vm for vm in fleet.members if vm not in ahead][:2]
        addresses = {vm: ("dc", (vm, 1)) for vm in (*known, "vm-new")}
        replaced.node.set_members(addresses)
        fleet.run(3.0)
        assert not replaced.node.ready
        fleet.loss_share = 0.0
        fleet.blocked = {(vm, "vm-new") for vm in fleet.members if vm not in known}
        fleet.run(4.0)
        assert replaced.node.ready
        assert replaced.node.streams[STREAM].copy.fold.state.revision == 2

    def test_one_peer_is_not_enough(self, fleet):
        """Guards against a start from a single peer, which may be cut off itself."""
        fleet.log.is_up = False
        replaced = fleet.add("vm-new", "dc", seeds=["vm-0", "vm-1", "vm-2"])
        fleet.update_members()
        fleet.blocked = {(vm, "vm-new") for vm in fleet.members if vm != "vm-3"}
        fleet.run(20.0)
        assert not replaced.node.ready
        fleet.blocked.clear()
        fleet.run(3.0)
        assert replaced.node.ready

    def test_all_daemons_are_replaced_in_an_outage(self, fleet):
        """Guards against daemons that become ready without any state."""
        fleet.log.is_up = False
        for vm_id in list(fleet.members):
            fleet.add(vm_id, "dc", seeds=["vm-0", "vm-1"])
        fleet.update_members()
        fleet.run(20.0)
        assert revisions(fleet, ready=False) == {0}
        fleet.log.is_up = True
        fleet.run(10.0)
        assert revisions(fleet) == {1}


class TestCheckpoints:
    """Checkpoints keep state for longer than the retention of its records."""

    def test_one_follower_appends_in_the_normal_case(self, fleet):
        """Guards against every follower appending the same checkpoint."""
        fleet.run(RETENTION_S / 4)
        assert checkpoints(fleet) == 1

    def test_next_follower_takes_over(self, fleet):
        """Guards against state that is lost with one follower's VM."""
        first = next(
            m for m in fleet.members.values() if m.node.placement.checkpoint_rank == 0
        )
        first.paused = True
        fleet.run(RETENTION_S / 4 - 10.0)
        assert checkpoints(fleet) == 0
        fleet.run(10.0 + STAGGER_S)
        assert checkpoints(fleet) == 1

    def test_replaced_fleet_starts_from_a_checkpoint(self, fleet):
        """Guards against losing the revision when its record is truncated."""
        fleet.run(RETENTION_S / 4)
        for _ in range(9):
            fleet.log.append(STREAM, b"foreign entry")
        assert fleet.log.entries(STREAM)[0].offset > 0
        for vm_id in list(fleet.members):
            fleet.add(vm_id, "dc")
        fleet.update_members()
        fleet.run(5.0)
        assert revisions(fleet) == {1}

    def test_revisions_do_not_restart_after_state_is_lost(self, fleet):
        """Guards against revisions that start at 0 again after the state was lost."""
        for vm_id in list(fleet.members):
            fleet.add(vm_id, "dc")
        for _ in range(12):
            fleet.log.append(STREAM, b"foreign entry")
        fleet.update_members()
        reads = fleet.log.reads
        fleet.run(20.0)
        assert revisions(fleet, ready=False) == {0}
        # All 20 daemons search for a checkpoint by long polls, not in a busy loop.
        assert fleet.log.reads - reads < 20 * 20
