"""The model of the measurements on a virtual clock."""

from dandelionarch.core.outcome import Outcome
from dandelionarch.measure.model import Model
from dandelionarch.measure.options import Options, crest, steady
from dandelionarch.measure.workers import Fault, Kind


def answered(results):
    """Return the share of requests that got an answer."""
    return sum(r.outcome is Outcome.ANSWER for r in results) / len(results)


class TestModel:
    """Runs are repeatable and faults have the effect that they describe."""

    def test_seed_determines_the_run(self):
        """Guards against a source of randomness outside the seed."""
        options = Options(rate=crest(50.0, 10.0, 2.0))
        first = Model(options).run(4.0)
        assert Model(options).run(4.0) == first
        assert Model(Options(rate=options.rate, seed=2)).run(4.0) != first

    def test_flapping_errors_follow_their_period(self):
        """Guards against faults outside their time and kind of work."""
        model = Model(Options(workers=1, kinds=(Kind("k", 0.01),), rate=steady(40.0)))
        fault = Fault(start_s=2.0, error_share=1.0, flap_period_s=4.0)
        model.agents[0].worker.faults.append(fault)
        results = model.run(6.0)
        early = [r for r in results if r.started_s < 1.9]
        bad = [r for r in results if 2.0 < r.started_s < 3.9]
        good = [r for r in results if 4.1 < r.started_s < 5.9]
        assert answered(bad) == 0.0
        assert min(answered(early), answered(good)) > 0.9

    def test_one_way_cut_takes_the_link_down(self):
        """Guards against work that keeps going over a silent link."""
        model = Model(Options(workers=2, data_centres=2, rate=steady(20.0)))
        model.timers.subscribe(1.0, lambda: model.network.cuts.add(("vm-1", "vm-0")))
        model.run(6.0)
        assert model.ingresses[0].down == {"vm-1"}
        assert model.ingresses[1].down == {"vm-0"}
        local = [r for r in model.results if r.started_s > 4.0]
        assert answered(local) > 0.8
