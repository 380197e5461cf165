"""Customers' limits over the fleet, crests, load shedding and homes."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dandelionarch.core.limit_share import LimitShares, Step
from dandelionarch.core.limits import OWN_DIVISOR, LimitHome, LimitTable
from dandelionarch.core.lists import parse_lists
from dandelionarch.core.rendezvous import HomeCache, HomeRanks, rank
from dandelionarch.core.shedding import LoadShedder
from dandelionarch.errors import ListError

RATE, BURST, CONCURRENCY = 20.0, 40, 16
ALLOWANCES = f"""
[service s]
floor = 1
[crest evening]
service = s
starts = 18:00, 2026-12-04T09:00:00Z
lasts_s = 60
[plan gold]
priority = 0
[allow gold s]
rate = {RATE}
burst = {BURST}
concurrency = {CONCURRENCY}
crest_rate = 200
"""
PLANS = f"[customer c]\nkey_digest = {'0' * 64}\nplan = gold\n"
TABLE = LimitTable(parse_lists(PLANS, ALLOWANCES))


class LimitFleet:
    """Homes and ingresses with lossy messages and different views of members."""

    def __init__(self, size, seed, loss=0.0, started=-100.0):
        self.rng = random.Random(seed)
        self.loss = loss
        self.vms = [f"vm-{i}" for i in range(size)]
        self.homes, self.shares, self.views = {}, {}, {}
        for vm in self.vms:
            self.homes[vm] = LimitHome(vm, started)
            self.homes[vm].set_table(TABLE)
            self.homes[vm].set_members(self.vms, started)
            self.shares[vm] = LimitShares(self.rng)
            self.shares[vm].set_table(TABLE)
            self.views[vm] = set(self.vms)
        self.granting = set()

    def set_view(self, viewer, vm, up, now):
        """Change one daemon's view: another VM has left or returned."""
        (self.views[viewer].add if up else self.views[viewer].discard)(vm)
        self.homes[viewer].set_members(self.views[viewer], now)

    def request(self, vm, now, utc_s=0.0):
        """Run one request through an ingress; return its last verdict."""
        shares = self.shares[vm]
        verdict = shares.admit("c", "s", now, utc_s)
        if verdict.message is not None:
            answered = self.send(vm, verdict.message, now)
            if verdict.step is Step.ASK:
                if not answered:
                    shares.on_home_silent("home", verdict.message, now)
                verdict = shares.admit("c", "s", now, utc_s, after_reply=True)
        return verdict

    def send(self, vm, msg, now):
        """Pass a message to the home and its reply back; return False if lost."""
        home = rank("c", self.views[vm] | {vm})[0]
        if self.rng.random() < self.loss:
            return False
        grant = self.homes[home].handle(msg, vm, now)
        if grant is None or self.rng.random() < self.loss:
            return False
        if grant.tokens:
            self.granting.add(home)
        self.shares[vm].on_grant(grant, now)
        return True


def count_admitted(fleet, ingresses, seconds, per_s, start=0.0):
    """Return how many requests at a steady rate over some ingresses are admitted."""
    count = 0
    for i in range(int(seconds * per_s)):
        vm = fleet.vms[i % ingresses]
        verdict = fleet.request(vm, start + i / per_s)
        if verdict.step is Step.ADMIT:
            count += 1
            fleet.shares[vm].on_request_ended(verdict.key)
    return count


class TestFleetLimits:
    """The limits hold over the fleet within their bounds."""

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(
        st.integers(0, 2**32),
        st.sampled_from([0.0, 0.2, 1.0]),
        st.lists(st.tuples(st.floats(0, 30), st.integers(0, 5), st.booleans())),
    )
    def test_overshoot_stays_within_the_bound(self, seed, loss, changes):
        """Guards against exceeding the own shares per ingress and a bucket per home."""
        fleet, seconds, per_s = LimitFleet(6, seed, loss), 30, 60
        pending = [
            (at + fleet.rng.uniform(0, 7), viewer, fleet.vms[vm], up)
            for at, vm, up in changes
            for viewer in fleet.vms
        ]
        count, now = 0, 0.0
        for i in range(seconds * per_s):
            now = i / per_s
            for change in [p for p in pending if p[0] <= now]:
                pending.remove(change)
                fleet.set_view(*change[1:], now)
            vm = fleet.rng.choice(fleet.vms)
            verdict = fleet.request(vm, now)
            if verdict.step is Step.ADMIT:
                count += 1
                fleet.shares[vm].on_request_ended(verdict.key)
        homes = len(fleet.granting)
        own = len(fleet.vms) * (BURST + RATE * seconds) / OWN_DIVISOR
        assert count <= homes * (BURST + RATE * seconds) + own

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(
        st.integers(0, 2**32),
        # Messages are lost only while no hold expires: a request that still runs after
        # its ingress's hold has expired is not covered by the bound.
        st.sampled_from([(0.0, 0.2), (0.5, 0.01)]),
        st.lists(st.tuples(st.floats(0, 1), st.integers(0, 3), st.booleans())),
    )
    def test_concurrency_stays_within_the_bound(self, seed, mode, steps):
        """Guards against exceeding the reservations plus an own share per ingress."""
        loss, pace = mode
        fleet, now = LimitFleet(4, seed, loss), 0.0
        running = {vm: [] for vm in range(4)}
        for gap, vm, begin in steps * 8:
            now += gap * pace
            share = fleet.shares[fleet.vms[vm]]
            if not begin and running[vm]:
                share.on_request_ended(running[vm].pop())
            verdict = fleet.request(fleet.vms[vm], now)
            if verdict.step is Step.ADMIT:
                running[vm].append(verdict.key)
            for msg in share.tick(now):
                fleet.send(fleet.vms[vm], msg, now)
            total = sum(map(len, running.values()))
            assert total <= CONCURRENCY + 4 * (CONCURRENCY // OWN_DIVISOR)

    def test_lost_reply_gives_no_concurrency_to_two_ingresses(self):
        """Guards against using a hold that the home has already lowered."""
        fleet = LimitFleet(2, 1)
        share = fleet.shares[fleet.vms[0]]
        keys = [fleet.request(fleet.vms[0], 0.0).key for _ in range(9)]
        for key in keys[:6]:
            share.on_request_ended(key)
        (msg,) = share.tick(4.5)
        (account,) = share.accounts.values()
        assert account.concurrency <= msg.hold < 9

    def test_one_ingress_gets_the_whole_rate_and_burst(self):
        """Guards against limiting a customer to one ingress's own share."""
        count = count_admitted(LimitFleet(6, 1), 1, 30, 60)
        assert 0.9 <= count / (BURST + RATE * 30) <= 1.1

    def test_own_shares_of_many_ingresses_are_reduced(self):
        """Guards against a total rate that grows with the number of ingresses."""
        fleet = LimitFleet(64, 1)
        count_admitted(fleet, 64, 60, 400)
        assert count_admitted(fleet, 64, 30, 400, start=60.0) <= 1.5 * RATE * 30

    def test_silent_home_leaves_the_own_share(self):
        """Guards against requests that wait for a lost home or fail with it."""
        count = count_admitted(LimitFleet(6, 1, loss=1.0), 1, 30, 60)
        own = (BURST + RATE * 30) / OWN_DIVISOR
        assert own * 0.9 <= count <= own + 1

    def test_refused_at_once_after_a_denial(self):
        """Guards against a message to the home for each request over the limit."""
        fleet = LimitFleet(2, 1)
        count_admitted(fleet, 1, 5, 200)
        verdict = fleet.shares[fleet.vms[0]].admit("c", "s", 5.0, 0.0)
        assert verdict.step is Step.REFUSE
        assert 0 < verdict.retry_after_s <= 1

    def test_unused_grant_is_returned(self):
        """Guards against losing tokens at an ingress that has become idle."""
        fleet = LimitFleet(2, 1)
        count_admitted(fleet, 1, 2, 10)
        share = fleet.shares[fleet.vms[0]]
        (account,) = share.accounts.values()
        held = account.granted_tokens
        (msg,) = share.tick(20.0)
        assert msg.returned == held > 0
        assert share.tick(21.0) == []

    def test_new_home_starts_without_tokens(self):
        """Guards against a full burst from each daemon that becomes the home."""
        fleet = LimitFleet(6, 1)
        first = rank("c", fleet.vms)[0]
        other = next(vm for vm in fleet.vms if vm != first)
        fleet.vms = [other]
        assert count_admitted(fleet, 1, 1, 100) >= BURST
        fleet.set_view(other, first, False, 1.0)
        for viewer in fleet.homes:
            fleet.set_view(viewer, first, False, 1.0)
        assert count_admitted(fleet, 1, 1, 100, start=1.0) <= RATE * 1.5


class TestCrests:
    """Crest values apply from fixed UTC starts; tokens are requested before."""

    def test_period_and_lead(self):
        """Guards against applying crest values at wrong times."""
        calendar, daily, once = TABLE.calendar, 64800, 1796374800
        assert calendar.current("s", daily - 1) == 0
        assert calendar.upcoming("s", daily - 1) == daily
        assert calendar.upcoming("s", daily - 31) == 0
        assert calendar.current("s", daily + 86400 + 59) == daily + 86400
        assert calendar.current("s", daily + 60) == 0
        assert calendar.current("s", once) == once
        assert TABLE.allowance("c", "s", daily).rate == 200

    def test_tokens_are_granted_before_the_crest_starts(self):
        """Guards against requesting tokens in the first second of a crest."""
        fleet, daily = LimitFleet(2, 1), 64800
        vm = fleet.vms[0]
        count_admitted(fleet, 1, 2, 20)
        for msg in fleet.shares[vm].prefetch(3.0, daily - 20):
            fleet.send(vm, msg, 3.0)
        fleet.loss = 1.0
        own, count = BURST // OWN_DIVISOR, 0
        for _ in range(40):
            verdict = fleet.request(vm, 23.0, daily)
            if verdict.step is Step.ADMIT:
                count += 1
                fleet.shares[vm].on_request_ended(verdict.key)
        assert count == own + BURST // 2

    def test_bad_start_is_refused(self):
        """Guards against accepting lists with a start that can't be parsed."""
        with pytest.raises(ListError, match="starts"):
            parse_lists(PLANS, ALLOWANCES.replace("18:00", "25:00"))


class TestLoadShedder:
    """Requests are shed by plan, the lowest first and the highest never."""

    def test_sheds_lowest_plan_first(self):
        """Guards against a wrong order of plans, and shedding after the overload."""
        shedder, rng = LoadShedder(), random.Random(1)

        def shares(now):
            return [
                sum(
                    shedder.should_shed("s", p, [0, 4, 9], now, rng) for _ in range(100)
                )
                for p in (0, 4, 9)
            ]

        for load, expected in ((1.9, [0, 0, 0]), (2.75, [0, 0, 100])):
            for _ in range(100):
                shedder.observe("s", load, 1.0)
            gold, silver, bronze = shares(1.0)
            assert gold == expected[0]
            assert silver <= 10
            assert bronze >= expected[2] * 0.9
        for _ in range(100):
            shedder.observe("s", 5.0, 1.0)
        assert shares(1.0) == [0, 100, 100]
        assert shares(4.0) == [0, 0, 0]


class TestPlacement:
    """Cached homes equal the first of the ranked members."""

    @settings(derandomize=True, deadline=None, max_examples=50)
    @given(st.lists(st.sets(st.integers(0, 9), min_size=1), min_size=1))
    def test_cached_home_is_the_first_ranked_member(self, views):
        """Guards against a cached home that has left or is no longer the first."""
        placement = HomeCache(views[0], capacity=8)
        for view in views:
            placement.set_members(view)
            for key in map(str, range(10)):
                assert placement.home(key) == rank(key, view)[0]


class TestHomeRanks:
    """Homes of order streams while members change."""

    def test_homes_are_the_first_ranked_members(self):
        """Guards against daemons that use different homes."""
        rng = random.Random(5)
        keys = [f"orders-{n}" for n in range(8)]
        ranks, members = HomeRanks(keys, 2), set()
        for _ in range(200):
            members ^= {f"vm-{rng.randrange(12)}"}
            ranks.set_members(members)
            for key in keys:
                assert ranks.homes(key) == rank(key, members)[:2]
