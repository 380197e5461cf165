"""The simulation model of the measurements."""

from dandelionarch.core.outcome import Outcome
from dandelionarch.measure.model import Model
from dandelionarch.measure.options import Options, crest_rate, steady_rate
from dandelionarch.measure.workers import Fault, Kind


def answered_share(results):
    """Return the share of requests that were answered."""
    return sum(r.outcome is Outcome.ANSWER for r in results) / len(results)


class TestModel:
    """Runs are reproducible, and faults have the intended effect."""

    def test_seed_determines_the_run(self):
        """Guards against random numbers that do not depend on the seed."""
        options = Options(rate=crest_rate(50.0, 10.0, 2.0))
        first = Model(options).run(4.0)
        assert Model(options).run(4.0) == first
        assert Model(Options(rate=options.rate, seed=2)).run(4.0) != first

    def test_flapping_errors_follow_their_period(self):
        """Guards against faults that are active at the wrong times."""
        model = Model(
            Options(workers=1, kinds=(Kind("k", 0.01),), rate=steady_rate(40.0))
        )
        fault = Fault(start_s=2.0, error_share=1.0, flap_period_s=4.0)
        model.agents[0].worker.faults.append(fault)
        results = model.run(6.0)
        before_fault = [r for r in results if r.started_s < 1.9]
        during_fault = [r for r in results if 2.0 < r.started_s < 3.9]
        after_fault = [r for r in results if 4.1 < r.started_s < 5.9]
        assert answered_share(during_fault) == 0.0
        assert min(answered_share(before_fault), answered_share(after_fault)) > 0.9

    def test_one_way_cut_takes_the_link_down(self):
        """Guards against requests that are sent over a lost link."""
        model = Model(Options(workers=2, data_centres=2, rate=steady_rate(20.0)))
        model.timers.subscribe(1.0, lambda: model.network.cuts.add(("vm-1", "vm-0")))
        model.run(6.0)
        assert model.ingresses[0].lost_links == {"vm-1"}
        assert model.ingresses[1].lost_links == {"vm-0"}
        late_results = [r for r in model.results if r.started_s > 4.0]
        assert answered_share(late_results) > 0.8
