"""Rules of detection, ejection and selection that can be switched off."""

import contextlib
from collections.abc import Callable
from dataclasses import dataclass
from unittest import mock

from dandelionarch.core import detection, selection
from dandelionarch.core.detection import Detector
from dandelionarch.core.ejection import Ejection
from dandelionarch.measure import scenarios

POLICY = "dandelionarch"


@dataclass(frozen=True)
class Rule:
    """A rule and the scenario that shows its use.

    `patches()` returns the context managers that switch the rule off.
    """

    name: str
    scenario: str
    patches: Callable

    @property
    def is_fault(self):
        """Return True if the scenario is a gray failure."""
        return self.scenario not in scenarios.HEALTHY_RUNS


def patch_constant(module, name, value):
    """Return patches that replace a constant."""
    return lambda: [mock.patch.object(module, name, value)]


def patch_method(cls, name, function):
    """Return patches that replace a method."""
    return lambda: [mock.patch.object(cls, name, function)]


def _never_cap(self, run, now):
    return False


def _confirm_at_once(self, suspicion, replies, now):
    self._suspicion = None
    score = self._severity(suspicion.alarm)
    self.restart()
    return [detection.UnhealthyVerdict(suspicion.kinds, score, True, True)]


def _all_are_warm(original):
    def on_run_started(self, run_id, kind, warm, now):
        original(self, run_id, kind, True, now)

    return on_run_started


def _own_kind_only(original):
    def suspect(self, kind, now):
        self._tests = detection.CusumTests()
        return original(self, kind, now)

    return suspect


def _all_kinds_only(original):
    def suspect(self, kind, now):
        self.kinds[kind].tests = detection.CusumTests()
        return original(self, kind, now)

    return suspect


def _claim_at_first_verdict(original):
    def on_verdict(self, score, confirmed_by_peers, claim_at_once, now):
        return original(self, score, confirmed_by_peers, True, now)

    return on_verdict


RULES = (
    Rule(
        "runs in progress count at the cap",
        "hangs, healthy to probes",
        patch_method(Detector, "_reached_cap", _never_cap),
    ),
    Rule(
        "test per kind",
        "rarer kind 3 times slower",
        patch_method(Detector, "_suspect", _all_kinds_only(Detector._suspect)),
    ),
    Rule(
        "test over all kinds",
        "10 times slower",
        patch_method(Detector, "_suspect", _own_kind_only(Detector._suspect)),
    ),
    Rule(
        "cap of service time",
        "quiet",
        patch_constant(detection, "CAP_SPREADS", 8.0),
    ),
    Rule(
        "comparison with peers",
        "crest, all 3 times slower",
        patch_method(Detector, "_judge", _confirm_at_once),
    ),
    Rule(
        "second verdict before a claim for slowness",
        "3% stragglers",
        patch_method(
            Ejection,
            "on_verdict",
            _claim_at_first_verdict(Ejection.on_verdict),
        ),
    ),
    Rule(
        "cold runs are no evidence of slowness",
        "cold starts",
        patch_method(
            Detector, "on_run_started", _all_are_warm(Detector.on_run_started)
        ),
    ),
    Rule(
        "demoted endpoints last",
        "50% errors, log unavailable",
        patch_constant(
            selection, "healthy_first", lambda cands, drops, rng, trial_share: cands
        ),
    ),
)


def measure(name, off, workers, seed):
    """Run a rule's scenario; `off` switches the rule off."""
    rule = next(rule for rule in RULES if rule.name == name)
    run = scenarios.detection_s if rule.is_fault else scenarios.false_ejections
    with contextlib.ExitStack() as stack:
        for patch in rule.patches() if off else ():
            stack.enter_context(patch)
        return run(POLICY, rule.scenario, workers, seed)
