"""Smallest capacity that ejections leave when many workers fail."""

import math
from dataclasses import dataclass

from dandelionarch.core.world import Health
from dandelionarch.measure.baselines import FIXED_HOLD_S
from dandelionarch.measure.scenarios import build_model
from dandelionarch.measure.workers import Fault

START_S = 25.0
END_S = 90.0
OUTAGE_S = 10.0


@dataclass(frozen=True)
class FloorRun:
    """A share of the workers that fails, one every `interval_s` seconds."""

    share: float
    interval_s: float
    log_outage: bool = False


FLOOR_RUNS = {
    "30%, at once": FloorRun(0.3, 0.0),
    "60%, at once": FloorRun(0.6, 0.0),
    "all, at once": FloorRun(1.0, 0.0),
    "30%, one every 4 s": FloorRun(0.3, 4.0),
    "60%, one every 4 s": FloorRun(0.6, 4.0),
    "all, one every 4 s": FloorRun(1.0, 4.0),
    "60%, one every 4 s, log unavailable": FloorRun(0.6, 4.0, log_outage=True),
}


def min_remaining_share(policy, name, workers, seed):
    """Return the smallest share of endpoints at any time that nobody ejects."""
    scenario = FLOOR_RUNS[name]
    model = build_model(policy, workers, seed)
    if scenario.log_outage and model.log is not None:
        model.timers.subscribe(OUTAGE_S, lambda: setattr(model.log, "available", False))
    for number in range(math.ceil(scenario.share * workers)):
        start_s = START_S + number * scenario.interval_s
        fault = Fault(start_s=start_s, error_share=0.6, slow=2.0)
        model.agents[number].worker.faults.append(fault)
    model.run(END_S)
    return 1 - max_ejected_at_once(ejected_spans(model)) / workers


def ejected_spans(model):
    """Yield (start, end, endpoint) of each ejection, with times in seconds."""
    for agent in model.agents:
        endpoint_id, start_s = agent.endpoint.endpoint_id, None
        for now, health in getattr(agent.detector, "history", ()):
            is_ejected = health in (Health.EJECTED, Health.TRIAL)
            if is_ejected and start_s is None:
                start_s = now
            elif not is_ejected and start_s is not None:
                yield start_s, now, endpoint_id
                start_s = None
        if start_s is not None:
            yield start_s, math.inf, endpoint_id
    for ingress in model.ingresses:
        for now, endpoint_id in getattr(ingress.filter, "ejections", ()):
            yield now, now + FIXED_HOLD_S, endpoint_id


def max_ejected_at_once(spans):
    """Return the largest number of distinct endpoints ejected at any time."""
    spans = list(spans)
    return max(
        (
            len({endpoint for start, end, endpoint in spans if start <= now < end})
            for now, _, _ in spans
        ),
        default=0,
    )
