"""Tests of the fleet stream: announcements, ejection claims and the floor."""

import random

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from dandelionarch.core import fleet_records as records
from dandelionarch.core.claims import ClaimHolder
from dandelionarch.core.fleet import FleetFold, FleetVerdict
from dandelionarch.core.streams import Record
from dandelionarch.measure.floor_model import (
    SERVICE,
    FloorModel,
    IndependentHolder,
    UncheckedFold,
)

AGENTS = 5
STEPS = (
    ("claim",) * 4
    + ("apply_append",) * 6
    + ("read",) * 5
    + (
        "release",
        "announce",
        "retry_releases",
        "toggle_pause",
        "toggle_log_access",
        "withdraw",
        "crash_or_replace",
    )
    + ("set_floor",)
)
step = st.tuples(
    st.sampled_from(STEPS), st.integers(0, AGENTS - 1), st.integers(0, 12)
).map(lambda s: (s[0], s[1], s[2] * 8 if s[0] == "set_floor" else s[2]))


def random_steps(seed, count):
    """Return a reproducible list of steps."""
    rng = random.Random(seed)
    names = rng.choices(STEPS, k=count)
    return [
        (n, rng.randrange(AGENTS), rng.choice((40, 60, 80)) if n == "set_floor" else a)
        for n, a in ((n, rng.randrange(13)) for n in names)
    ]


class Stream:
    """Appends fleet records to a fold and returns the changes."""

    def __init__(self):
        self.fold = FleetFold()
        self.offset = 0

    def add(self, rec):
        """Fold one record at the next offset."""
        record = Record(self.offset, 0.0, str(self.offset), records.to_bytes(rec))
        self.offset += 1
        return self.fold.apply(record)

    def announce(self, vm, count=1, incarnation=1, version=1, read_to=0):
        """Announce `count` endpoints of a VM."""
        endpoints = tuple(
            records.AnnouncedEndpoint(f"{vm}-{i}", 1, SERVICE) for i in range(count)
        )
        return self.add(
            records.Announce(
                vm, incarnation, version, read_to, "127.0.0.1", 7, endpoints
            )
        )

    def claim(self, vm, number=1, score=1.0, endpoint=0, version=1):
        """Claim the ejection of an endpoint of a VM."""
        return self.add(
            records.EjectClaim(
                vm, 1, version, number, f"{vm}-{endpoint}", 1, SERVICE, score
            )
        )

    def floor(self, amount, revision=1, unit="endpoints"):
        """Set the floor of the service."""
        return self.add(records.Floors(revision, ((SERVICE, amount, unit),)))


class TestFleetFold:
    """Verdicts depend only on the order of records in one stream."""

    def test_claim_needs_a_known_floor_and_headroom(self):
        """Guards against ejections below the floor or without a known floor."""
        stream = Stream()
        for vm in "abc":
            stream.announce(vm)
        assert stream.claim("a").verdict is FleetVerdict.NO_FLOOR
        stream.floor(60, unit="percent")
        assert stream.claim("a", 2).verdict is FleetVerdict.ACCEPTED
        assert stream.claim("b").verdict is FleetVerdict.FLOOR

    def test_withdrawal_revokes_the_least_unhealthy_claim(self):
        """Guards against too few healthy endpoints after a withdrawal, and against
        counting a revoked claim as headroom before its agent ended the ejection."""
        stream = Stream()
        stream.floor(2)
        for vm in "abcd":
            stream.announce(vm)
        stream.claim("a", score=5.0)
        stream.claim("b", score=2.0)
        change = stream.add(records.Withdraw("d", 1))
        assert [c.vm_id for c in change.revoked] == ["b"]
        stream.announce("e")
        assert stream.claim("c").verdict is FleetVerdict.FLOOR
        stream.add(records.Readmit("b", 1, 1))
        assert stream.claim("c", 2).verdict is FleetVerdict.ACCEPTED

    def test_raised_floor_revokes_claims(self):
        """Guards against ejections that violate a floor raised after their claims."""
        stream = Stream()
        stream.floor(1)
        for vm in "abc":
            stream.announce(vm)
        stream.claim("a", score=1.0)
        stream.claim("b", score=2.0)
        assert [c.vm_id for c in stream.floor(2, revision=2).revoked] == ["a"]
        assert stream.floor(1, revision=2).verdict is FleetVerdict.OLD

    def test_late_repeats_change_nothing(self):
        """Guards against a repeated `Readmit` that releases a newer claim."""
        stream = Stream()
        stream.floor(1)
        stream.announce("a", 2)
        stream.claim("a", 1)
        stream.add(records.Readmit("a", 1, 1))
        assert stream.claim("a", 1).verdict is FleetVerdict.OLD
        stream.claim("a", 2)
        assert stream.add(records.Readmit("a", 1, 1)).verdict is FleetVerdict.OLD
        assert stream.claim("a", 3).verdict is FleetVerdict.ALREADY_CLAIMED

    def test_announcement_written_before_the_withdrawal_was_read_is_refused(self):
        """Guards against announced endpoints that are ejected without a claim."""
        stream = Stream()
        stream.announce("a")
        stream.add(records.Withdraw("a", 1))
        late = stream.announce("a", version=2, read_to=1)
        assert late.verdict is FleetVerdict.UNREAD_WITHDRAWAL
        assert stream.announce("a", version=1, read_to=9).verdict is FleetVerdict.OLD
        aware = stream.announce("a", version=3, read_to=2)
        assert aware.verdict is FleetVerdict.ACCEPTED

    def test_undecodable_record_is_ignored(self):
        """Guards against one bad record that stops every reader."""
        fold = FleetFold()
        for data in (b"{", b"[]", b'{"type":"Withdraw"}', b'{"type":"x"}'):
            change = fold.apply(Record(0, 0.0, "r", data))
            assert change.verdict is FleetVerdict.INVALID

    def test_snapshot_continues_like_the_original(self):
        """Guards against other verdicts at readers that start from a checkpoint."""
        model = FloorModel(AGENTS, 60)
        model.run(random_steps(11, 300))
        middle = len(model.log) // 2
        whole, resumed = FleetFold(), FleetFold()
        for record in model.log[:middle]:
            whole.apply(record)
        resumed.restore(whole.snapshot())
        for record in model.log[middle:]:
            assert whole.apply(record) == resumed.apply(record)
        assert whole.snapshot() == resumed.snapshot()


class TestFloorInvariant:
    """All ejections together leave at least the floor of healthy endpoints."""

    @settings(
        derandomize=True,
        deadline=None,
        max_examples=150,
        suppress_health_check=[HealthCheck.too_slow],
    )
    @given(st.lists(step, min_size=20, max_size=80), st.sampled_from((40, 60, 80)))
    def test_ejections_keep_the_floor(self, steps, floor):
        """Guards against ejections below the floor after delays, pauses, partitions,
        repeated appends and crashes."""
        model = FloorModel(AGENTS, floor)
        model.run(steps)
        assert model.worst_shortfall <= 0
        assert model.unclaimed_moments == 0

    def test_long_runs_eject_and_keep_the_floor(self):
        """Guards against ejections below the floor in runs that accept many claims."""
        accepted = 0
        for seed in range(40):
            model = FloorModel(AGENTS, 60)
            model.run(random_steps(seed, 400))
            assert (model.worst_shortfall <= 0, model.unclaimed_moments) == (True, 0), (
                seed
            )
            accepted += model.accepted_claims
        assert accepted > 40

    @pytest.mark.parametrize(
        ("fold_type", "holder_type"),
        [(UncheckedFold, None), (UncheckedFold, IndependentHolder)],
    )
    def test_baselines_violate_the_floor(self, fold_type, holder_type):
        """Guards against a model that finds no violations even without the rule."""
        options = {} if holder_type is None else {"holder_type": holder_type}
        worst = 0
        for seed in range(10):
            model = FloorModel(AGENTS, 60, fold_type, **options)
            model.run(random_steps(seed, 200))
            worst = max(worst, model.worst_shortfall)
        assert worst >= 1


class TestClaimHolder:
    """An agent ejects only under a claim that the fold holds."""

    def test_claim_is_invalid_before_its_announcement(self):
        """Guards against a late announcement that drops the claim of an ejection."""
        stream = Stream()
        stream.floor(0)
        stream.announce("a", 2, version=1)
        early = stream.claim("a", 1, endpoint=1, version=3)
        assert early.verdict is FleetVerdict.NOT_ANNOUNCED
        stream.announce("a", 2, version=3)
        late = stream.claim("a", 2, endpoint=1, version=3)
        assert late.verdict is FleetVerdict.ACCEPTED

    def test_pending_claim_ends_with_its_endpoint(self):
        """Guards against an ejection whose claim a new announcement drops."""
        stream, holder = Stream(), ClaimHolder("a", 1, "127.0.0.1", 7)
        stream.floor(0)
        endpoint = records.AnnouncedEndpoint("a-0", 1, SERVICE)
        holder.on_record(stream.add(holder.announce([endpoint], 0)[0].record))
        _, (claim,) = holder.claim("a-0", 1, SERVICE, 1.0)
        change = stream.add(claim.record)
        holder.announce([], 2)
        holder.on_record(change)
        assert change.verdict is FleetVerdict.ACCEPTED
        assert holder.ejected_endpoints() == set()

    def test_restore_ends_ejections_without_a_claim_in_the_snapshot(self):
        """Guards against ejections that outlive a withdrawal that was never read."""
        stream, holder = Stream(), ClaimHolder("a", 1, "127.0.0.1", 7)
        stream.floor(0)
        endpoint = records.AnnouncedEndpoint("a-0", 1, SERVICE)
        stream.add(holder.announce([endpoint], 0)[0].record)
        _, (claim,) = holder.claim("a-0", 1, SERVICE, 1.0)
        holder.on_record(stream.add(claim.record))
        assert holder.ejected_endpoints() == {("a-0", 1)}
        stream.add(records.Withdraw("a", 1))
        fold = FleetFold()
        fold.restore(stream.fold.snapshot())
        holder.resync(fold)
        assert holder.ejected_endpoints() == set()
