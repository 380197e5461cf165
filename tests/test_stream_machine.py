"""Tests of stream copies under faults of the log, the network and the VMs."""

import random

from hypothesis import event, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from dandelionarch.core.amend import Difference
from dandelionarch.core.checkpoints import Retention
from dandelionarch.core.config import ConfigFold, Publication, Verdict
from dandelionarch.core.entry_parts import EntryKind, parse_part, split
from dandelionarch.core.stream_copy import StreamCopy, snapshot_offset
from dandelionarch.measure.stream_fleet import StreamFleet
from tests.support.fleet import ALLOWANCES, PLANS

STREAM = "config"
RETAINED_RECORDS = 60
PART_BYTES = 60
VMS = {**{f"a{n}": "dc-a" for n in range(5)}, "b0": "dc-b", "b1": "dc-b"}
SETTLE_S = 40.0
INDEX = st.integers(0, 100)
SECONDS = st.sampled_from([0.0, 1.0, 5.0])


class StreamMachine(RuleBasedStateMachine):
    """Compares every copy with a reference that has read every entry."""

    @initialize(seed=st.integers(0, 1000))
    def start(self, seed):
        self.fleet = StreamFleet(
            random.Random(seed),
            lambda: [ConfigFold()],
            Retention(3600.0, RETAINED_RECORDS),
            records=RETAINED_RECORDS,
        )
        self.reference = StreamCopy(ConfigFold())
        self.decisions = {}
        self.effects = set()
        self.appended = []
        self.last_state = {}
        self.predecessors = {}
        self.log_was_down = False
        self.fleet.on_applied = self._compare
        self._watch_log()
        for vm_id, centre in VMS.items():
            self._start_vm(vm_id, centre)
        self.fleet.update_members()
        self._append(Publication(0, "ann", (PLANS, ALLOWANCES)))
        self.fleet.run(5.0)

    def _watch_log(self):
        log, append = self.fleet.log, self.fleet.log.append

        def append_and_check(stream, data):
            done = append(stream, data)
            if done:
                before = self.reference.fold.state.revision
                for record, result in self.reference.apply_entries(
                    log.entries(stream)[-1:]
                ):
                    self.decisions[record.offset] = result
                    lost = result.verdict is Verdict.LOST_RACE
                    assert lost == (result.base_revision != before)
                    assert record.record_id not in self.effects
                    self.effects.add(record.record_id)
            return done

        log.append = append_and_check

    def _start_vm(self, vm_id, centre):
        old = self.fleet.members.get(vm_id)
        if old is not None:
            self.predecessors[vm_id] = revision(old)
        self.last_state[vm_id] = (0, 0)
        self.fleet.add(vm_id, centre, seeds=["a0", "b0"])

    def _append(self, pub, parts=None):
        entries = split(
            f"r{len(self.appended)}", pub.to_bytes(), EntryKind.RECORD, PART_BYTES
        )
        self.appended.append(entries)
        for entry in entries[:parts]:
            self.fleet.log.append(STREAM, entry)

    def _member(self, index):
        return self.fleet.members[sorted(VMS)[index % len(VMS)]]

    def _compare(self, member, command):
        assert command.result == self.decisions[command.record.offset]

    @rule(
        readers=st.lists(INDEX, min_size=1, max_size=3),
        priority=st.integers(0, 11),
        parts=st.sampled_from([None, None, None, 1]),
    )
    def publish(self, readers, priority, parts):
        """Publishers race; each amends the revision that one daemon has in force."""
        for index in readers:
            change = Difference(changed={"plan gold": {"priority": str(priority)}})
            base = revision(self._member(index))
            self._append(Publication(base, f"op{index}", None, change), parts)

    @rule(index=INDEX)
    def repeat_append(self, index):
        """A publisher repeats an append after a lost reply."""
        for entry in self.appended[index % len(self.appended)]:
            self.fleet.log.append(STREAM, entry)

    @rule(loss=st.sampled_from([0.0, 0.3, 1.0]), slow=st.booleans())
    def change_network(self, loss, slow):
        """Messages are lost, duplicated, delayed and reordered."""
        self.fleet.loss_share = loss
        self.fleet.duplicate_share = 0.2
        self.fleet.delay_s = (0.001, 3.0) if slow else (0.0005, 0.002)

    @rule(source=INDEX, sink=INDEX)
    def block_one_way(self, source, sink):
        pair = (self._member(source).vm_id, self._member(sink).vm_id)
        self.fleet.blocked ^= {pair}

    @rule(index=INDEX, seconds=SECONDS)
    def toggle_log_path(self, index, seconds):
        """One daemon loses its connection to the log, or regains it."""
        member = self._member(index)
        member.log_reachable = not member.log_reachable
        self.log_was_down = True
        self.fleet.run(seconds)

    @rule(seconds=SECONDS)
    def toggle_log(self, seconds):
        self.fleet.log.is_up = not self.fleet.log.is_up
        self.log_was_down = True
        self.fleet.run(seconds)

    @rule(index=INDEX, seconds=SECONDS)
    def toggle_pause(self, index, seconds):
        member = self._member(index)
        if member.paused:
            self.fleet.resume(member)
        else:
            member.paused = True
        self.fleet.run(seconds)

    @rule(index=INDEX)
    def replace_vm(self, index):
        member = self._member(index)
        self._start_vm(member.vm_id, member.data_centre)
        self.fleet.update_members()

    @rule(gap_s=st.sampled_from([0.0, 0.0, 3.0]))
    def replace_all(self, gap_s):
        """All VMs are replaced, at once or one by one."""
        for vm_id, centre in VMS.items():
            self._start_vm(vm_id, centre)
            self.fleet.update_members()
            self.fleet.run(gap_s)

    @rule(seconds=st.sampled_from([0.1, 12.0]))
    def pass_time(self, seconds):
        self.fleet.run(seconds)

    @rule(count=st.sampled_from([5, 20, RETAINED_RECORDS]))
    def fill_log(self, count):
        """The log truncates entries that some copies have not read."""
        for _ in range(count):
            self.fleet.log.append(STREAM, b"foreign entry")
        self.fleet.run(1.0)

    @rule()
    def settle(self):
        """After the faults, all members reach the accepted revision if they can."""
        fleet = self.fleet
        fleet.loss_share, fleet.delay_s, fleet.log.is_up = (
            0.0,
            (0.0005, 0.002),
            True,
        )
        fleet.blocked.clear()
        for member in fleet.members.values():
            member.log_reachable = True
            if member.paused:
                fleet.resume(member)
        can_catch_up = self._can_catch_up()
        fleet.run(SETTLE_S)
        if can_catch_up:
            for member in fleet.members.values():
                assert member.node.ready and member.node.available
                assert revision(member) == self.reference.fold.state.revision
                assert member.node.offsets()[STREAM] == fleet.log.next_offset(STREAM)
        event(f"can catch up: {can_catch_up}")
        self.predecessors.clear()
        self.log_was_down = False

    def _can_catch_up(self):
        """Return True if some copy or checkpoint reaches the retained entries."""
        entries = self.fleet.log.entries(STREAM)
        first = entries[0].offset
        offsets = [m.node.offsets()[STREAM] for m in self.fleet.members.values()]
        for entry in entries:
            if entry.data != b"foreign entry":
                part = parse_part(entry.data)
                if part.kind is EntryKind.CHECKPOINT:
                    offsets.append(snapshot_offset(part.data))
        return max(offsets) >= first

    @invariant()
    def offsets_and_revisions_never_decrease(self):
        for vm_id, member in self.fleet.members.items():
            now = (member.node.offsets()[STREAM], revision(member))
            before = self.last_state[vm_id]
            assert now[0] >= before[0] and now[1] >= before[1], (before, now)
            self.last_state[vm_id] = now
            if member.node.ready and not self.log_was_down:
                assert revision(member) >= self.predecessors.pop(vm_id, 0)

    def teardown(self):
        """End the faults in every example."""
        if hasattr(self, "fleet"):
            self.settle()


def revision(member):
    """Return the revision that a member has folded."""
    return member.node.streams[STREAM].copy.fold.state.revision


class TestStreams(StreamMachine.TestCase):
    """All verdicts are the same; offsets and revisions never decrease.

    Guards against a reader that skips, duplicates or reorders records, and against a
    daemon that stays behind although the log or a peer has the missing entries.
    """

    settings = settings(
        derandomize=True, deadline=None, max_examples=35, stateful_step_count=40
    )
