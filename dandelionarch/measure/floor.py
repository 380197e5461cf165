"""Measurement of the floor rule against independent ejection."""

import argparse
import random

from dandelionarch.core.claims import ClaimHolder
from dandelionarch.core.fleet import FleetFold
from dandelionarch.measure.floor_model import (
    FloorModel,
    IndependentHolder,
    UncheckedFold,
)

NAME = "floor"
HELP = "how far each rule lets ejections fall below the floor"

AGENTS = 10
FLOOR_PERCENT = 60
STEPS_PER_RUN = 600
STEP_WEIGHTS = {
    "claim": 4,
    "apply_append": 6,
    "read": 5,
    "release": 1,
    "announce": 1,
    "retry_releases": 1,
    "toggle_pause": 1,
    "toggle_log_access": 1,
    "withdraw": 1,
    "crash_or_replace": 1,
}
RULES = {
    "claims in the log": (FleetFold, ClaimHolder),
    "claims, floor rule off": (UncheckedFold, ClaimHolder),
    "independent, local floor": (UncheckedFold, IndependentHolder),
}


def steps(rng):
    """Return the random steps of one run."""
    names = rng.choices(list(STEP_WEIGHTS), STEP_WEIGHTS.values(), k=STEPS_PER_RUN)
    return [(name, rng.randrange(AGENTS), rng.randrange(13)) for name in names]


def main(args=None):
    """Print one row per rule; all rules get the same runs."""
    parser = argparse.ArgumentParser(prog=NAME, description=HELP)
    parser.add_argument("--runs", type=int, default=200)
    runs = parser.parse_args(args).runs
    print("| rule | runs | accepted claims | runs under the floor | worst shortfall |")
    print("|---|---|---|---|---|")
    for rule, (fold_type, holder_type) in RULES.items():
        shortfalls, accepted = [], 0
        for seed in range(runs):
            model = FloorModel(AGENTS, FLOOR_PERCENT, fold_type, holder_type)
            model.run(steps(random.Random(seed)))
            shortfalls.append(model.worst_shortfall)
            accepted += model.accepted_claims
        run_count_below = sum(s > 0 for s in shortfalls)
        print(
            f"| {rule} | {runs} | {accepted} | {run_count_below} | {max(shortfalls)} |"
        )


if __name__ == "__main__":
    main()
