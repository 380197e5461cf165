"""Tests of the membership on a virtual clock and network."""

import dataclasses

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dandelionarch.core import endpoint_details, member_exchange
from dandelionarch.core import members as member_table
from dandelionarch.core.member_events import SendDatagram
from dandelionarch.core.membership import TICK_PERIOD_S
from dandelionarch.core.messages import members as msgs
from dandelionarch.errors import (
    AuthenticationError,
    FrameTooLargeError,
    WireError,
)
from dandelionarch.measure.virtual_fleet import KEY, STREAMS, VirtualFleet
from dandelionarch.wire.codec import Codec
from dandelionarch.wire.datagram import MAX_DATAGRAM_BYTES, DatagramCodec

CODEC = DatagramCodec(Codec(), KEY)


def deaths(fleet):
    """Return how often a daemon considered another one dead."""
    return sum(
        state == "dead" for d in fleet.daemons.values() for *_, state in d.changes
    )


def verdict_fields(record):
    """Return the fields of a verdict on a record, without its state."""
    return record.vm_id, record.incarnation, record.edition


class TestFailureDetection:
    """Dead members are detected, and living ones are not considered dead."""

    def test_death_of_a_killed_daemon_is_detected_by_all(self):
        """Guards against work for a VM that has died."""
        fleet = VirtualFleet(20)
        fleet.run(5)
        fleet.kill("vm-3")
        assert fleet.run_until(lambda: fleet.count_views("vm-3", "dead") == 19, 15)

    def test_one_way_partition_between_two_daemons_is_no_death(self):
        """Guards against suspicions that indirect probes should prevent."""
        fleet = VirtualFleet(6)
        fleet.is_cut = lambda s, t: (s.vm_id, t.vm_id) == ("vm-1", "vm-2")
        fleet.run(120)
        assert deaths(fleet) == 0
        assert sum(d.membership.false_suspicions for d in fleet.daemons.values()) == 0

    def test_lost_datagrams_cause_no_death(self):
        """Guards against deaths because false suspicions are not refuted."""
        fleet = VirtualFleet(20, loss=0.15)
        fleet.run(300)
        assert sum(d.membership.false_suspicions for d in fleet.daemons.values())
        assert deaths(fleet) == 0

    def test_paused_daemon_returns_and_suspects_nobody(self):
        """Guards against suspicions from the outdated view of a paused process."""
        fleet = VirtualFleet(12)
        fleet.run(5)
        fleet.pause("vm-4")
        assert fleet.run_until(lambda: fleet.count_views("vm-4", "dead") == 11, 20)
        fleet.run(30)
        resumed = fleet.daemons["vm-4"]
        resumed.changes.clear()
        fleet.resume("vm-4")
        assert fleet.run_until(lambda: fleet.count_views("vm-4", "alive") == 11, 60)
        fleet.run(20)
        assert not [c for c in resumed.changes if c[2] != "alive"]

    def test_suspicion_does_not_run_out_while_the_process_is_paused(self):
        """Guards against deaths that a process concludes from its own pause."""
        fleet = VirtualFleet(3)
        fleet.run(5)
        member = fleet.daemons["vm-0"].membership
        now = fleet.timers.now()
        record = member.table.records["vm-1"]
        member.merge([], [msgs.MemberVerdict(*verdict_fields(record), "suspect")], now)
        member.tick(now + 600)
        assert member.table.records["vm-1"].state == "suspect"
        for step in range(1, 13):
            member.tick(now + 600 + step * TICK_PERIOD_S)
        assert member.table.records["vm-1"].state == "dead"

    def test_regions_rejoin_after_an_hour_of_partition(self):
        """Guards against regions that consider each other dead permanently, and
        against deaths within a region when the partition ends."""
        fleet = VirtualFleet(8, seeds=())
        fleet.run(5)
        fleet.is_cut = lambda s, t: s.region != t.region
        fleet.run(3600)
        assert fleet.count_views("vm-0", "dead", lambda d: d.region == "region-1") == 4
        for daemon in fleet.daemons.values():
            daemon.changes.clear()
        fleet.is_cut = lambda s, t: False

        def all_alive():
            return all(fleet.count_views(vm, "alive") == 7 for vm in fleet.daemons)

        assert fleet.run_until(all_alive, 120)
        assert deaths(fleet) == 0

    def test_rejoining_regions_do_not_flood_each_other(self):
        """Guards against overflow of socket buffers, which hold about 90 datagrams."""
        fleet = VirtualFleet(40, seeds=())
        fleet.is_cut = lambda s, t: s.region != t.region
        fleet.run(60)
        fleet.is_cut = lambda s, t: False
        before = fleet.traffic.messages
        for _ in range(10):
            fleet.run(1)
            assert (fleet.traffic.messages - before) / 40 < 90
            before = fleet.traffic.messages
        assert all(fleet.count_views(vm_id, "alive") == 39 for vm_id in fleet.daemons)

    def test_reported_death_is_verified_by_the_next_probe(self):
        """Guards against trusting a report of a death without a known suspicion."""
        fleet = VirtualFleet(30)
        fleet.run(5)
        member = fleet.daemons["vm-0"].membership
        now = fleet.timers.now()
        dead = msgs.MemberVerdict(*verdict_fields(member.table.records["vm-3"]), "dead")
        member.merge([], [dead], now)
        commands = member.tick(now) + member.tick(now + TICK_PERIOD_S)
        sent = [c.message for c in commands if isinstance(c, SendDatagram)]
        probes = [m for m in sent if isinstance(m, msgs.Probe)]
        assert [(p.target, dead in p.verdicts) for p in probes] == [("vm-3", True)]

    def test_returning_members_cause_few_exchanges(self):
        """Guards against an exchange with each member of a region that returns."""
        member = VirtualFleet(30).daemons["vm-0"].membership
        started = 0
        for step in range(20):
            member.rejoin.on_returned("vm-1")
            commands = member.tick(1000.0 + step * TICK_PERIOD_S)
            started += sum(
                isinstance(c, SendDatagram) and isinstance(c.message, msgs.TreeDigest)
                for c in commands
            )
        assert 5 <= started <= 10


class TestJoiningAndLeaving:
    """Members come, go and are replaced."""

    def test_leaving_is_known_to_all_at_once_and_needs_no_suspicion(self):
        """Guards against work for a VM long after it has begun to leave."""
        fleet = VirtualFleet(30, loss=0.01)
        fleet.run(5)
        fleet.leave("vm-2", stop_after_s=5)
        assert fleet.run_until(lambda: fleet.count_views("vm-2", "leaving") == 29, 3)
        assert fleet.run_until(lambda: fleet.count_views("vm-2", "dead") == 29, 10)
        states = {c[2] for d in fleet.daemons.values() for c in d.changes}
        assert states == {"leaving", "dead"}

    @pytest.mark.parametrize("clock_ms", [None, 5])
    def test_new_incarnation_at_the_same_address_replaces_the_old(self, clock_ms):
        """Guards against restarts that are ignored, also if the clock was set back."""
        fleet = VirtualFleet(10)
        fleet.run(5)
        fleet.kill("vm-6")
        new = fleet.start("vm-6", 6, incarnation=clock_ms, seeds=fleet.seeds)
        assert fleet.run_until(
            lambda: (
                {
                    d.membership.table.records["vm-6"].incarnation
                    for d in fleet.daemons.values()
                }
                == {new.membership.me.incarnation}
            ),
            20,
        )
        assert bool(new.raised_incarnations) == (clock_ms is not None)
        assert fleet.run_until(lambda: fleet.count_views("vm-6", "alive") == 9, 20)

    def test_new_vm_at_an_address_ends_the_former_one_at_once(self):
        """Guards against a suspicion period for a VM that was replaced."""
        fleet = VirtualFleet(10)
        fleet.run(5)
        fleet.kill("vm-6")
        fleet.start("vm-new", 6, seeds=fleet.seeds)
        assert fleet.run_until(lambda: fleet.count_views("vm-6", "dead") == 9, 4)

    def test_joins_through_the_fleet_stream_without_seeds(self):
        """Guards against a daemon that can't join because all seeds have moved."""
        fleet = VirtualFleet(6)
        new = fleet.start("vm-new", 77, seeds=[("10.9.9.9", 7000)])
        fleet.run(5)
        assert not new.states
        new.membership.rejoin.set_fallback([fleet.daemons["vm-5"].address])
        assert fleet.run_until(lambda: fleet.count_views("vm-new", "alive") == 6, 10)
        assert len(new.membership.table.living) == 6

    def test_late_record_of_a_former_incarnation_is_ignored(self):
        """Guards against a delayed record that restores an old incarnation."""
        fleet = VirtualFleet(3)
        member = fleet.daemons["vm-0"].membership
        old = member.table.records["vm-1"]
        new = dataclasses.replace(old, incarnation=old.incarnation + 5)
        assert member.on_message(("x", 1), msgs.Members((new,), ()), 1000.0)
        assert member.on_message(("x", 1), msgs.Members((old,), ()), 1000.0) == []
        assert member.table.records["vm-1"] == new


class TestExchange:
    """Exchanges find differences that updates have left."""

    @pytest.mark.parametrize(
        "exchange_type", [member_exchange.TreeExchange, member_exchange.PlainExchange]
    )
    def test_exchange_makes_tables_equal(self, exchange_type):
        """Guards against lasting differences after a daemon missed updates."""
        fleet = VirtualFleet(60, wire=True, exchange_type=exchange_type)
        tables = [d.membership.table for d in fleet.daemons.values()]
        for table, gone in ((tables[0], range(20, 40)), (tables[1], range(40, 55))):
            for index in gone:
                table.remove(f"vm-{index}")
        first = fleet.daemons["vm-0"]
        for _ in range(3):
            first.membership.exchange_with("vm-1")
            fleet.execute(first, first.membership.tick(fleet.timers.now()))
            fleet.run(0.1)
        assert len(tables[0].records) == len(tables[1].records) == 60
        assert tables[0].tree.digest(0, 0) == tables[1].tree.digest(0, 0)


class TestEndpointDetail:
    """Details are kept, and kept up to date, for services in use."""

    def test_detail_is_fetched_for_services_in_use_only(self, monkeypatch):
        """Guards against excessive memory and traffic in fleets with many services."""
        monkeypatch.setattr(endpoint_details, "MAX_EAGER_ENDPOINTS", 0)
        fleet = VirtualFleet(10, workers=8)
        fleet.run(5)
        user = fleet.daemons["vm-0"]
        assert user.endpoints == {}
        record = fleet.daemons["vm-3"].membership.me
        service = record.services[0].service
        fleet.execute(user, user.membership.use_service(service, fleet.timers.now()))
        fleet.run(0.1)
        assert {key[1] for key in user.endpoints} == {service}
        assert len(user.endpoints["vm-3", service]) == record.services[0].endpoints

    def test_drained_endpoint_is_known_to_all(self):
        """Guards against work for an endpoint long after it has begun to drain."""
        fleet = VirtualFleet(30, workers=3, loss=0.01)
        fleet.run(5)
        daemon = fleet.daemons["vm-1"]
        first, *rest = daemon.membership._endpoints
        drained = dataclasses.replace(first, state="draining")
        fleet.execute(daemon, daemon.membership.set_endpoints([drained, *rest]))

        def informed_count():
            return sum(
                d.endpoints["vm-1", first.service][first.endpoint_id].state.value
                == "draining"
                or (first.endpoint_id, "draining") in {c[1:] for c in d.changes}
                for d in fleet.daemons.values()
                if d is not daemon
            )

        assert fleet.run_until(lambda: informed_count() == 29, 3)

    def test_probes_carry_a_bounded_choice_of_stream_offsets(self):
        """Guards against oversized probes, and against streams that are never sent."""
        fleet = VirtualFleet(2)
        seen = set()
        for _ in range(10):
            fleet.run(1)
            offsets = fleet.daemons["vm-0"].offsets["vm-1"]
            assert len(offsets) <= 6 and {"config", "fleet"} <= set(offsets)
            seen |= set(offsets)
        assert seen == set(STREAMS)


names = st.text(st.sampled_from("abcdefgh-0123456789"), min_size=1, max_size=63)
member_records = st.builds(
    msgs.MemberRecord,
    names,
    names,
    names,
    st.just("255.255.255.255"),
    *[st.integers(1, 65535)] * 4,
    st.integers(0, 2**63),
    st.integers(0, 2**31),
    st.sampled_from(["alive", "suspect", "leaving", "dead"]),
    st.integers(0, 2**31),
    st.lists(
        st.builds(msgs.ServiceSlots, names, st.integers(0, 99), st.integers(0, 2**31)),
        max_size=9,
    ).map(tuple),
)


class TestDatagrams:
    """Datagrams stay small, and only authentic ones are decoded."""

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(st.lists(member_records, min_size=1, max_size=12))
    def test_packed_records_fit_a_datagram(self, records):
        """Guards against size estimates that let messages exceed a datagram."""
        for message in member_exchange.members_messages(records):
            assert len(CODEC.pack(message)) <= MAX_DATAGRAM_BYTES
        for message in member_exchange.verdict_messages(
            map(member_table.verdict_of, records)
        ):
            assert len(CODEC.pack(message)) <= MAX_DATAGRAM_BYTES

    def test_message_survives_its_datagram(self):
        """Guards against a schema that does not fit its message class."""
        record = VirtualFleet(1, workers=5).daemons["vm-0"].membership.me
        message = msgs.Probe(
            "a", 1, 2, 3, "b", (msgs.StreamOffset("s", 4),), (record,), ()
        )
        assert CODEC.unpack(CODEC.pack(message)) == message

    @settings(derandomize=True, deadline=None)
    @given(st.binary(max_size=80), st.integers(0, 60), st.integers(1, 255))
    def test_bad_datagrams_raise_wire_errors(self, noise, position, mask):
        """Guards against accepting foreign or damaged datagrams."""
        good = bytearray(CODEC.pack(msgs.MemberQuery(("vm-1", "vm-2"))))
        good[position % len(good)] ^= mask
        with pytest.raises(AuthenticationError):
            CODEC.unpack(bytes(good))
        with pytest.raises(WireError):
            CODEC.unpack(noise)
        with pytest.raises(FrameTooLargeError):
            CODEC.unpack(bytes(MAX_DATAGRAM_BYTES + 1))
