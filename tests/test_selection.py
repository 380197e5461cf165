"""Selection of an endpoint by load and data centre."""

import random
from collections import Counter

from dandelionarch.core.selection import Candidate, TwoChoices, select
from dandelionarch.core.world import Endpoint, Vm


def candidate(name, data_centre="a", **state):
    """Return a candidate in data centre a or b for an ingress in a."""
    vm = Vm(f"vm-{name}", data_centre, "r", "", 0, 0, 0, 0, 1)
    endpoint = Endpoint(name, vm.vm_id, "s", "", 0, 3, 330, 1)
    return Candidate(endpoint, vm, near=data_centre == "a", **state)


def count_choices(make, draws=300):
    """Return how often each endpoint is chosen."""
    rng = random.Random(3)
    chosen = Counter()
    for _ in range(draws):
        decision = select(make(), TwoChoices(), rng)
        chosen[decision.chosen.endpoint.endpoint_id] += 1
    return chosen


class TestSelect:
    """Stages record the candidates that they drop; the policy is two choices."""

    def test_reported_load_steers_choice_until_it_ages(self):
        """Guards against ignoring new reports and against trusting old ones."""

        def with_reports(age_s):
            return lambda: [
                candidate("busy", reported=2, age_s=age_s),
                candidate("idle", reported=0, age_s=age_s),
            ]

        assert count_choices(with_reports(0.01))["busy"] == 0
        assert 100 < count_choices(with_reports(60.0))["busy"] < 200

    def test_endpoint_without_report_counts_as_average(self):
        """Guards against sending all requests to endpoints without a report."""
        chosen = count_choices(
            lambda: [
                candidate("idle", reported=0, age_s=0.01),
                candidate("busy", reported=2, age_s=0.01),
                candidate("unreported"),
            ]
        )
        assert chosen["idle"] > chosen["unreported"] > chosen["busy"]

    def test_full_endpoint_is_dropped_while_another_has_a_slot(self):
        """Guards against queueing at one endpoint while another has a free slot."""
        full = candidate("full", in_flight=3)
        free = candidate("free", "b", in_flight=2)
        decision = select([full, free], TwoChoices(), random.Random(1))
        assert decision.chosen is free
        assert [(d.endpoint_id, d.stage) for d in decision.drops] == [
            ("full", "not_full")
        ]
        assert select([full], TwoChoices(), random.Random(1)).chosen is full

    def test_own_data_centre_is_left_when_it_is_busier(self):
        """Guards against ignoring near endpoints, and against overloading them."""

        def busy(in_flight):
            return lambda: [candidate("near", in_flight=in_flight), candidate("f", "b")]

        assert count_choices(busy(0))["f"] == 0
        assert count_choices(busy(2))["f"] > 250

    def test_cold_endpoint_gets_less(self):
        """Guards against sending a full load to an endpoint during its warm-up."""
        chosen = count_choices(
            lambda: [
                candidate("cold", in_flight=1, warmup=1 / 3),
                candidate("warm", in_flight=2),
            ]
        )
        assert chosen["cold"] == 0
