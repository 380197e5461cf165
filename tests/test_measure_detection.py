"""Measurements of detection: metrics, and rules that are switched off."""

import pytest

from dandelionarch.core import detection
from dandelionarch.measure import rules
from dandelionarch.measure.floors import max_ejected_at_once, min_remaining_share
from dandelionarch.measure.scenarios import build_model, seconds_until_quiet


class TestReportedMetrics:
    """Metrics that the tables report."""

    def test_almost_none_is_a_span_with_one_request(self):
        """Guards against mistaking a short gap for the detection of the fault."""
        assert seconds_until_quiet([25.5, 26.0, 27.0, 31.0], 25.0, 60.0) == 1.0
        steady = [25.0 + n / 2 for n in range(70)]
        assert seconds_until_quiet(steady, 25.0, 60.0) is None

    def test_union_counts_an_endpoint_once(self):
        """Guards against counting an endpoint once per ingress that ejects it."""
        spans = [(0.0, 5.0, "a"), (1.0, 4.0, "a"), (2.0, 9.0, "b"), (6.0, 7.0, "c")]
        assert max_ejected_at_once(spans) == 2

    def test_floor_holds_while_all_endpoints_fail(self):
        """Guards against ejections of all agents that together violate the floor."""
        assert min_remaining_share("dandelionarch", "all, one every 4 s", 8, 1) >= 0.5


class TestRules:
    """Every rule can be switched off for a single run."""

    @pytest.mark.parametrize("rule", rules.RULES, ids=lambda r: r.name)
    def test_patches_apply_and_end(self, rule):
        """Guards against a patch whose target no longer exists."""
        for patch in rule.patches():
            with patch:
                build_model("dandelionarch", 3, 1).run(1.0)
        assert detection.CAP_SPREADS == 2.5
