"""The audit of a chaos run finds each kind of violation."""

from dandelionarch.measure.chaos_audit import Attempt, Evidence, audit
from dandelionarch.measure.chaos_faults import KINDS, plan_faults


def run(request="r1", key="-", start=10.0, result="done"):
    """Return a worker's record of a run."""
    return {
        "request": request,
        "key": key,
        "start": start,
        "result": result,
        "endpoint": "w1",
    }


def attempt(outcome, request="r1", key="", complete=True, sent_s=20.0):
    """Return the record of an order with an outcome."""
    return Attempt(request, key, True, outcome, complete, sent_s, sent_s + 1)


class TestAudit:
    """Violations are found, and permitted behaviour is not reported."""

    def test_clean_run(self):
        """Guards against reports of behaviour that the guarantees permit."""
        evidence = Evidence(
            attempts=[
                attempt("answer", key="k"),
                attempt("unknown", "r2", "k"),
                attempt("not-run", "r3", "other"),
            ],
            runs=[run(key="k"), run("r3", "other", result="refused")],
            drain_starts={"w1": 8.0},
            publications=[(1, True), (1, False)],
        )
        evidence.revisions["vm"] = [1, 1, 2]
        assert audit(evidence) == []

    def test_each_violation(self):
        """Guards against an audit that misses a kind of violation."""
        cases = [
            Evidence(attempts=[attempt("answer", complete=False)]),
            Evidence(runs=[run(key="k"), run("r2", "k", result="cancelled")]),
            Evidence(attempts=[attempt("unknown")], runs=[run(), run()]),
            Evidence(attempts=[attempt("not-run")], runs=[run()]),
            Evidence(attempts=[attempt("not-run", "r2", "k")], runs=[run(key="k")]),
            Evidence(runs=[run(start=10.0)], drain_starts={"w1": 6.0}),
            Evidence(revisions={"vm": [2, 1]}),
            Evidence(publications=[(1, True), (1, True)]),
        ]
        assert [len(audit(evidence)) for evidence in cases] == [1] * len(cases)


class TestPlan:
    """The plan of faults depends on the seed only."""

    def test_same_seed_gives_the_same_faults_of_every_kind(self):
        """Guards against runs that can't be reproduced."""
        vms, endpoints = ["a", "b"], ["w1", "w2"]
        faults = plan_faults(3, 30.0, vms, endpoints, 16)
        assert faults == plan_faults(3, 30.0, vms, endpoints, 16)
        assert faults != plan_faults(4, 30.0, vms, endpoints, 16)
        assert {fault.kind for fault in faults} == set(KINDS)
