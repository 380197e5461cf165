"""Entries of another writer among those of the endpoints and daemons.

An entry may be nested deeply, hold numbers that are too large, or name a port out of
range. It names no endpoint to use, and the others hold.
"""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dandelionarch.core.directory import Directory
from dandelionarch.core.endpoint_reports import EndpointReports
from dandelionarch.core.messages.registry import ConfigNotice, VmEntry
from dandelionarch.core.registry import Registry
from dandelionarch.core.world import Vm
from dandelionarch.platform.control import decode_report
from dandelionarch.platform.json_fields import InvalidBodyError
from dandelionarch.platform.main import REGISTRY_TOPIC
from dandelionarch.wire.codec import Codec
from tests.support.platform.fleet import ask, platform_test

CODEC = Codec()
BODY = {
    "address": "127.0.0.1:80",
    "born": 1774254618000,
    "info": {"service": "orders", "version": "v1", "zone": "z", "slots": 3},
    "status": {"state": "ready", "sequence": 1, "cold_left_ms": 0},
}


def report_with(**fields):
    """Return a report's body with changed fields; `info_slots` is `slots` in `info`."""
    body = json.loads(json.dumps(BODY))
    for name, value in fields.items():
        part, _, field = name.partition("_")
        if part in ("info", "status"):
            body[part][field] = value
        else:
            body[name] = value
    return json.dumps(body)


ODD_REPORTS = {
    "start of 65 bits": report_with(born=2**64),
    "start of 400 digits": report_with(born=10**400),
    "start before the epoch": report_with(born=-5),
    "sequence of 31 digits": report_with(status_sequence=10**30),
    "slots of 33 bits": report_with(info_slots=2**32),
    "endless warm-up": report_with(status_cold_left_ms=float("inf")),
    "warm-up that is no number": report_with(status_cold_left_ms=float("nan")),
    "warm-up of 400 digits": report_with(status_cold_left_ms=10**400),
    "port too large": report_with(address="127.0.0.1:65536"),
    "port zero": report_with(address="127.0.0.1:0"),
    "port of other digits": report_with(address="127.0.0.1:\u0661\u0662"),
    "port of 5000 digits": report_with(address="127.0.0.1:" + "0" * 5000 + "80"),
    "host that is no address": report_with(address="a b\r\nc:80"),
    "host with a zero byte": report_with(address="a\0b:80"),
    "long host": report_with(address="a" * 100_000 + ":80"),
    "half a character as the service": report_with(info_service="\ud800"),
    "long service": report_with(info_service="s" * 300_000),
    "objects nested 100,000 deep": '{"a":' * 100_000,
    "lists nested 1,000,000 deep": "[" * 1_000_000,
    "number of 5000 digits": '{"born":' + "9" * 5000 + "}",
    "list": "[]",
}
JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=5)
    | st.sampled_from(["ready", "10.0.0.1:80", "10.0.0.1:70000", 2**64, 10**400]),
    lambda inner: st.lists(inner, max_size=2) | st.dictionaries(st.text(), inner),
    max_leaves=4,
)


def entry_of(vm_id="vm-b", incarnation=5, state="alive", **fields):
    """Return a registry entry."""
    return VmEntry(
        vm_id, "dc", "r", "127.0.0.1", 80, incarnation, 1, state, (), **fields
    )


class TestReports:
    """A report that is odd is refused, and those that follow are accepted."""

    @pytest.mark.parametrize("name", ODD_REPORTS)
    def test_odd_report_is_refused(self, name):
        """Guards against an endpoint whose values have no message form."""
        with pytest.raises(InvalidBodyError):
            decode_report("odd", ODD_REPORTS[name])

    @given(JSON, JSON, JSON, JSON, JSON, JSON)
    def test_any_values(self, address, born, service, slots, sequence, cold_left_ms):
        """Guards against another error, and an entry that can't be announced."""
        body = {
            "address": address,
            "born": born,
            "info": {"service": service, "slots": slots},
            "status": {
                "state": "ready",
                "sequence": sequence,
                "cold_left_ms": cold_left_ms,
            },
        }
        try:
            report = decode_report("i-1", json.dumps(body))
        except InvalidBodyError:
            return
        directory = Directory()
        registry = Registry(directory, Vm("vm", "dc", "r", "h", 0, 0, 0, 0, 1))
        for endpoint in EndpointReports("vm", lambda name: 330).accept(report):
            directory.put_endpoint(endpoint)
        CODEC.encode(registry.new_entry())

    @platform_test
    async def test_daemon_serves_after_odd_reports(self, fleet, session):
        """Guards against a daemon that announces no change after an odd report."""
        for vm in ("vm-a", "vm-b"):
            await fleet.daemon(vm)
        await fleet.configure()
        await fleet.wait_for_links()
        host, port = fleet.daemons["vm-b"].settings.listen.reports_address
        for name, body in ODD_REPORTS.items():
            url = f"http://{host}:{port}/-/instances/odd"
            data = body.encode(errors="surrogatepass")
            async with session.put(url, data=data) as resp:
                assert resp.status in (400, 413), name
        await fleet.worker("vm-b", session=session)
        assert (await ask(session, fleet, "vm-a"))[0] == 200


class TestRegistry:
    """A record that is odd is ignored, and the others are applied."""

    @platform_test
    async def test_daemon_follows_after_odd_records(self, fleet, session):
        """Guards against a daemon that stops following the registry, or its own entry.

        The record with the largest incarnation is stored under the daemon's own key.
        """
        daemon = await fleet.daemon("vm-a")
        await fleet.configure()
        records = {
            "vm-a": entry_of("vm-a", incarnation=2**64 - 1),
            "vm-odd": entry_of("vm-odd", state="upside down"),
            "vm-other": entry_of("vm-b"),
            "vm-notice": ConfigNotice(7),
        }
        for key, msg in records.items():
            await fleet.store.put(REGISTRY_TOPIC, key, CODEC.encode(msg)[1])
        await fleet.store.put(REGISTRY_TOPIC, "vm-bytes", b"\xff" * 100)
        daemon.registry.follower.read_soon()
        await fleet.daemon("vm-c")
        await fleet.worker("vm-a", session=session)
        await fleet.wait_for_links()
        assert (await ask(session, fleet, "vm-c"))[0] == 200
        known = set(daemon.directory.vms)
        assert known == {"vm-a", "vm-c"}

    def test_unreadable_endpoint_changes_nothing(self):
        """Guards against an entry that is applied in part."""
        registry = Registry(Directory(), Vm("vm", "dc", "r", "h", 0, 0, 0, 0, 1))
        with pytest.raises(ValueError, match="upside down"):
            registry.apply(entry_of(state="upside down"))
        assert registry.entries() == ()
        registry.apply(entry_of())
        assert [entry.vm_id for entry in registry.entries()] == ["vm-b"]
