"""The platform's forms are decoded into the project's types, or refused."""

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
    """Return the template filled in as the platform does it."""
    text = TEMPLATE.read_text(encoding="utf-8")

    def section(match):
        return match[2] if fields.get(match[1]) else ""

    text = re.sub(r"{{#([\w.]+)}}\n(.*?){{/\1}}\n", section, text, flags=re.DOTALL)
    return re.sub(r"{{([\w.]+)}}", lambda match: fields.get(match[1], ""), text)


class TestSettings:
    """The settings that the template gives are accepted."""

    def read(self, tmp_path, **changes):
        """Return the settings of a file made from the template."""
        path = tmp_path / "node.conf"
        path.write_text(fill(FIELDS | changes), encoding="utf-8")
        return read_registry_settings(str(path))

    def test_template_gives_valid_settings(self, tmp_path):
        """Guards against a daemon that does not start on the platform."""
        settings = self.read(tmp_path)
        assert settings.listen.callers_address == ("10.1.0.8", 8304)
        assert settings.retries.slack == 56
        assert settings.stop.timeout_s < settings.stop.kill_after_s == 6

    def test_bounds_that_a_deployment_does_not_state_have_defaults(self, tmp_path):
        """Guards against an empty option where a bound is missing."""
        settings = self.read(tmp_path, **{"bounds.budget_slack": ""})
        assert settings.retries.slack == 10

    def test_vm_without_endpoint(self, tmp_path):
        """Guards against a spare VM whose daemon does not start."""
        settings = self.read(tmp_path, app_addr="", service="")
        assert settings.endpoint.address == ""

    def test_bad_address_names_its_place(self, tmp_path):
        """Guards against an error that does not say which option is wrong."""
        with pytest.raises(SettingsError, match=r"\[store\] address"):
            self.read(tmp_path, **{"platform.address": "nowhere"})


class TestConfig:
    """The operator's configuration becomes routes, or one error."""

    @pytest.mark.parametrize(
        ("kind", "idempotent"),
        [("safe", True), ("download", True), ("unsafe", False), ("other", False)],
    )
    def test_which_routes_may_be_repeated(self, kind, idempotent):
        """Guards against an order that is repeated, and a download that is not."""
        decoded = OperatorConfig().decode(config(7, {"r": route(kind=kind)}))
        assert decoded.routes[0].idempotent is idempotent

    def test_split_route(self):
        """Guards against a lost weight, host or kind."""
        shares = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
        said = route(kind="unsafe", traffic_split=shares, host="Shop.Example")
        decoded = OperatorConfig().decode(config(7, {"r": said}))
        only = decoded.routes[0]
        assert [(s.service, s.weight) for s in only.shares] == [("a", 90), ("b", 10)]
        assert (only.host, only.idempotent) == ("shop.example", False)
        assert (decoded.revision, decoded.bounds.idle_timeout_s) == (7, 15.0)

    @given(st.data())
    def test_damaged_configuration_is_an_error_of_its_own(self, data):
        """Guards against a record that ends the task that reads the topic."""
        whole = config(7)
        cut = data.draw(st.integers(0, len(whole) - 1))
        with pytest.raises(ConfigError):
            OperatorConfig().decode(whole[:cut])

    @pytest.mark.parametrize("name", ["version", "routes", "services", "limits"])
    def test_field_of_another_type(self, name):
        """Guards against a table that is a list, or a number that is a text."""
        body = json.loads(config(7))
        body[name] = ["x"]
        with pytest.raises(ConfigError):
            OperatorConfig().decode(json.dumps(body).encode())

    @pytest.mark.parametrize("said", ["x", 5, ["x"], {"traffic_split": ["x"]}, {}])
    def test_route_of_another_form(self, said):
        """Guards against an error that escapes while a route is read."""
        with pytest.raises(ConfigError):
            OperatorConfig().decode(config(7, {"r": said}))


class TestReport:
    """A report names an endpoint only if all of it can be read."""

    BODY = {
        "address": "10.1.0.8:8080",
        "born": 1774254618000,
        "info": {"service": "orders", "version": "v1", "zone": "z", "slots": 3},
        "status": {"state": "draining", "sequence": 4, "cold_left_ms": 500},
    }

    def test_report(self):
        """Guards against a field that is taken for another."""
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
    def test_foreign_report_names_no_endpoint(self, change):
        """Guards against an endpoint made up from another writer's report."""
        with pytest.raises(InvalidBodyError):
            decode_report("i-1", json.dumps(self.BODY | change))
