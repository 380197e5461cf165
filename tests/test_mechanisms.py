"""Mechanisms that settings switch off to measure their effect."""

import random

import pytest

from dandelionarch.core.admission import CostQueue, QueueRules
from dandelionarch.core.directory import Directory
from dandelionarch.core.mechanisms import Mechanism, parse_mechanisms
from dandelionarch.core.outcome import Reason
from dandelionarch.core.world import Endpoint
from dandelionarch.daemon.agent_endpoint import LocalEndpoint
from dandelionarch.daemon.endpoint_views import IngressRules
from dandelionarch.daemon.endpoint_watch import GateWatch
from dandelionarch.daemon.settings import read_registry_settings
from dandelionarch.errors import SettingsError

ENDPOINT = Endpoint("i-0", "vm-0", "s", "h", 80, 2, 330, 1)
SETTINGS = """
[daemon]
vm = vm-a
data_centre = dc-1
shared_key = 0123456789abcdef
[listen]
callers = 127.0.0.1:1
reports = 127.0.0.1:2
readiness = 127.0.0.1:3
peer_port = 4
[store]
address = 127.0.0.1:5
[mechanisms]
off = {}
"""


class Run:
    """A run at the endpoint."""

    head = type("Head", (), {"request_id": "r", "route": "r", "budget_ms": 1000})


class TestNames:
    """The settings accept exactly the names of mechanisms."""

    def test_known_names_are_read(self, tmp_path):
        """Guards against a mechanism that settings can't switch off."""
        path = tmp_path / "daemon.ini"
        names = ", ".join(mechanism.value for mechanism in Mechanism)
        path.write_text(SETTINGS.format(names))
        assert parse_mechanisms(read_registry_settings(path).mechanisms.off) == set(
            Mechanism
        )

    def test_nothing_is_off_by_default(self, tmp_path):
        """Guards against a mechanism that is off by default."""
        path = tmp_path / "daemon.ini"
        path.write_text(SETTINGS.format(""))
        assert parse_mechanisms(read_registry_settings(path).mechanisms.off) == set()

    @pytest.mark.parametrize("names", ["gate", "gates hangs", "gates,,hangs"])
    def test_unknown_name_is_an_error(self, tmp_path, names):
        """Guards against a measurement with a misspelt mechanism."""
        path = tmp_path / "daemon.ini"
        path.write_text(SETTINGS.format(names))
        with pytest.raises(SettingsError, match="mechanisms.*off"):
            read_registry_settings(path)


class TestSwitches:
    """A mechanism that is off does nothing."""

    @staticmethod
    def watch(off):
        """Return the watch of an endpoint without runs."""
        directory = Directory()
        directory.put_endpoint(ENDPOINT)
        return GateWatch(directory, lambda: 1.0, random.Random(1), off=off)

    @classmethod
    def watch_after_failure(cls, off):
        """Return the watch of an endpoint after a broken connection."""
        watch, run = cls.watch(off), Run()
        watch.on_run_admitted(ENDPOINT, run)
        watch.on_run_ended(ENDPOINT, run, Reason.WORKER_FAILED, "kind")
        return watch

    def test_gates(self):
        """Guards against a gate that refuses requests although gates are off."""
        assert not self.watch_after_failure(frozenset()).admits(
            ENDPOINT, idempotent=False
        )
        off = frozenset({Mechanism.GATES})
        assert self.watch_after_failure(off).admits(ENDPOINT, idempotent=False)

    def test_fresh_endpoints(self):
        """Guards against redirecting orders although the mechanism is off."""
        assert self.watch_after_failure(frozenset()).risk_s(ENDPOINT) > 0
        assert self.watch(frozenset()).should_redirect(ENDPOINT)
        off = frozenset({Mechanism.FRESH_ENDPOINTS})
        assert self.watch_after_failure(off).risk_s(ENDPOINT) == 0
        assert not self.watch(off).should_redirect(ENDPOINT)

    def test_gates_off_leave_fresh_endpoints_on(self):
        """Guards against a switch that also disables another mechanism."""
        assert self.watch_after_failure(frozenset({Mechanism.GATES})).should_redirect(
            ENDPOINT
        )

    def test_queue_rules(self):
        """Guards against a queue that applies a rule that is off."""
        off = frozenset({Mechanism.LATE_REFUSALS})
        for rules, verdict in (
            (QueueRules(), "refuse"),
            (QueueRules.without(off), "run"),
        ):
            queue = CostQueue(1, rules=rules)
            queue.costs.observe("k", 2.0)
            assert queue.offer("a", 0.0, "k", 1.0) == verdict

    def test_warm_up(self):
        """Guards against a warm-up that is applied although it is off."""
        off = frozenset({Mechanism.WARM_UP})
        assert LocalEndpoint(ENDPOINT, off).load().warmup == 1.0

    def test_rules_of_the_ingress(self):
        """Guards against an ingress that ignores the switches."""
        rules = IngressRules(off=frozenset({Mechanism.RETRIES}))
        assert not rules.uses(Mechanism.RETRIES)
        assert rules.uses(Mechanism.SECOND_ATTEMPTS)
