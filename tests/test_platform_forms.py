"""Decoding of the platform's settings, configuration and reports."""

import json
import re
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dandelionarch.core.world import EndpointState
from dandelionarch.daemon.settings import read_registry_settings
from dandelionarch.errors import ConfigError, SettingsError
from dandelionarch.platform.config import OperatorConfig
from dandelionarch.platform.control import decode_report
from dandelionarch.platform.json_fields import InvalidBodyError
from tests.support.platform.fleet import config, route

TEMPLATE = Path(__file__).parent.parent / "deploy" / "settings.ini.tmpl"
FIELDS = {
    "node_name": "sidecar-espoo-1",
    "zone": "espoo",
    "region": "fi-south",
    "ip": "10.1.0.8",
    "listen_addrs.outbound": "10.1.0.8:8304",
    "listen_addrs.control": "10.1.0.8:8306",
    "listen_addrs.ready": "10.1.0.8:8302",
    "internal_ports.0": "7620",
    "app_addr": "10.1.0.8:8301",
    "service": "wuno96b",
    "platform.address": "10.200.1.7:8309",
    "bounds.budget_ratio": "0.2",
    "bounds.budget_slack": "56",
    "bounds.budget_window_s": "10",
    "bounds.grace_s": "6",
}


def fill(fields):
    """Return the settings template with its fields filled in as on the platform."""
    text = TEMPLATE.read_text(encoding="utf-8")

    def section(match):
        return match[2] if fields.get(match[1]) else ""

    text = re.sub(r"{{#([\w.]+)}}\n(.*?){{/\1}}\n", section, text, flags=re.DOTALL)
    return re.sub(r"{{([\w.]+)}}", lambda match: fields.get(match[1], ""), text)


class TestSettings:
    """The settings that result from the template are valid."""

    def read(self, tmp_path, **changes):
        """Return the settings in a file made from the template."""
        path = tmp_path / "node.conf"
        path.write_text(fill(FIELDS | changes), encoding="utf-8")
        return read_registry_settings(str(path))

    def test_template_gives_valid_settings(self, tmp_path):
        """Guards against a daemon that does not start on the platform."""
        settings = self.read(tmp_path)
        assert settings.listen.callers_address == ("10.1.0.8", 8304)
        assert settings.retries.slack == 56
        assert settings.stop.timeout_s < settings.stop.kill_after_s == 6

    def test_missing_bounds_have_defaults(self, tmp_path):
        """Guards against an empty option for a bound that is not configured."""
        settings = self.read(tmp_path, **{"bounds.budget_slack": ""})
        assert settings.retries.slack == 10

    def test_vm_without_endpoint(self, tmp_path):
        """Guards against a daemon that doesn't start on a VM without an endpoint."""
        settings = self.read(tmp_path, app_addr="", service="")
        assert settings.endpoint.address == ""

    def test_error_names_the_option(self, tmp_path):
        """Guards against an error that does not name the invalid option."""
        with pytest.raises(SettingsError, match=r"\[store\] address"):
            self.read(tmp_path, **{"platform.address": "nowhere"})


class TestConfig:
    """The operator's configuration is decoded or raises `ConfigError`."""

    @pytest.mark.parametrize(
        ("kind", "idempotent"),
        [("safe", True), ("download", True), ("unsafe", False), ("other", False)],
    )
    def test_idempotent_route_types(self, kind, idempotent):
        """Guards against repeating unsafe requests, and not repeating downloads."""
        decoded = OperatorConfig().decode(config(7, {"r": route(kind=kind)}))
        assert decoded.routes[0].idempotent is idempotent

    def test_split_route(self):
        """Guards against a weight, host or type that is not decoded."""
        shares = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
        fields = route(kind="unsafe", traffic_split=shares, host="Shop.Example")
        decoded = OperatorConfig().decode(config(7, {"r": fields}))
        first = decoded.routes[0]
        assert [(s.service, s.weight) for s in first.shares] == [("a", 90), ("b", 10)]
        assert (first.host, first.idempotent) == ("shop.example", False)
        assert (decoded.revision, decoded.bounds.idle_timeout_s) == (7, 15.0)

    @given(st.data())
    def test_truncated_configuration(self, data):
        """Guards against a record that crashes the task that reads the topic."""
        record = config(7)
        size = data.draw(st.integers(0, len(record) - 1))
        with pytest.raises(ConfigError):
            OperatorConfig().decode(record[:size])

    @pytest.mark.parametrize("name", ["version", "routes", "services", "limits"])
    def test_field_of_another_type(self, name):
        """Guards against a list in place of an object or a number."""
        body = json.loads(config(7))
        body[name] = ["x"]
        with pytest.raises(ConfigError):
            OperatorConfig().decode(json.dumps(body).encode())

    @pytest.mark.parametrize("fields", ["x", 5, ["x"], {"traffic_split": ["x"]}, {}])
    def test_malformed_route(self, fields):
        """Guards against any other exception on a malformed route."""
        with pytest.raises(ConfigError):
            OperatorConfig().decode(config(7, {"r": fields}))


class TestReport:
    """A report is accepted only if all of its fields are valid."""

    BODY = {
        "address": "10.1.0.8:8080",
        "born": 1774254618000,
        "info": {"service": "orders", "version": "v1", "zone": "z", "slots": 3},
        "status": {"state": "draining", "sequence": 4, "cold_left_ms": 500},
    }

    def test_report(self):
        """Guards against mixed-up fields."""
        report = decode_report("i-1", json.dumps(self.BODY))
        assert (report.host, report.port, report.slots) == ("10.1.0.8", 8080, 3)
        assert report.state is EndpointState.DRAINING
        assert (report.sequence, report.warm_up_s) == (4, 0.5)

    @pytest.mark.parametrize(
        "change",
        [
            {"born": "yesterday"},
            {"born": True},
            {"address": "nowhere"},
            {"address": "10.1.0.8:99999"},
            {"info": {"service": "orders", "slots": 0}},
            {"info": None},
            {"status": {"state": "asleep", "sequence": 1, "cold_left_ms": 0}},
            {"status": {"state": "ready", "sequence": "1", "cold_left_ms": 0}},
        ],
    )
    def test_malformed_report_is_rejected(self, change):
        """Guards against an endpoint with values from a malformed report."""
        with pytest.raises(InvalidBodyError):
            decode_report("i-1", json.dumps(self.BODY | change))
