"""Measures head-of-line blocking: the wait of short work behind long work.

Eight workers with three slots each in four data centres serve 95% short and 5% long
requests. Every row has the same arrivals and the same workers.
"""

import argparse
import functools
import random
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace

from dandelionarch.core import selection
from dandelionarch.core.admission import CostQueue, QueueRules, SlotQueue
from dandelionarch.core.outcome import Outcome
from dandelionarch.core.retries import RetryBudget
from dandelionarch.measure.model import Model
from dandelionarch.measure.options import (
    QUEUE_PER_SLOT,
    NoDetector,
    NoHedging,
    Options,
    steady_rate,
)
from dandelionarch.measure.workers import Kind, Worker

NAME = "blocking"
HELP = "wait of short work behind long work"

SHORT = Kind("short", 0.010, share=0.95, budget_s=1.0)
LONG = Kind("long", 0.400, share=0.05, budget_s=10.0, priority=1)
WORKERS, SLOTS = 8, 3
LOADS = (0.5, 0.8, 0.95)
QUANTILES = (0.5, 0.99, 0.999)
CALLER_ROUND_TRIP_S = 0.016
# Estimates of costs and loads settle in this time, which is not counted.
WARM_UP_S = 10.0
PROCESSES = 5


class WaitRecorder(NoDetector):
    """Records the time of each request from its ingress to its first slot."""

    def __init__(self, agent):
        super().__init__(agent)
        self.waits = {}

    def on_start(self, attempt, now):
        start_s = attempt.deadline - attempt.kind.budget_s
        if start_s >= WARM_UP_S:
            key = (attempt.kind.name, attempt.work.request_id)
            self.waits.setdefault(key, now - start_s)


def mean_service_s(kinds, draws=20_000):
    """Return the mean time in seconds for which a request occupies a slot."""
    worker, rng = Worker("w", SLOTS, random.Random(1)), random.Random(2)
    shares = [k.share for k in kinds]
    total = 0.0
    for kind in rng.choices(kinds, shares, k=draws):
        total += min(kind.budget_s, worker.run(kind, 0.0)[0])
    return total / draws


def fifo_queue(worker):
    """Return the bounded first-in first-out queue of the baseline."""
    return SlotQueue(worker.slots, worker.slots * QUEUE_PER_SLOT)


def unbounded_fifo_queue(worker):
    """Return a first-in first-out queue that holds work until its deadline."""
    return SlotQueue(worker.slots, 10_000)


def make_cost_queue(worker, **off):
    """Return the agent's queue with `off`, {rule: False}, switched off."""
    return CostQueue(worker.slots, rules=QueueRules(**off))


def without_queue_rule(rule):
    """Return options with a queue that lacks one rule."""
    return {"make_queue": functools.partial(make_cost_queue, **{rule: False})}


def without_stage(stage):
    """Return options with a selection that lacks one stage."""
    skip = frozenset({stage})
    return {"select": functools.partial(selection.select, skip=skip)}


class NoRedirects(RetryBudget):
    """Retry budget that allows no redirects from busy endpoints."""

    def reserve(self, now):
        return None


PLAIN_OPTIONS = {
    "select": functools.partial(
        selection.select, skip=frozenset({"age_reports", "not_full", "near_first"})
    ),
    "make_queue": fifo_queue,
    "make_hedging": NoHedging,
}
ROWS = {
    "random, FIFO": {**PLAIN_OPTIONS, "make_policy": selection.RandomChoice},
    "round robin, FIFO": {**PLAIN_OPTIONS, "make_policy": selection.RoundRobin},
    "plain two choices, FIFO": {
        **PLAIN_OPTIONS,
        "make_policy": selection.PlainTwoChoices,
    },
    "two choices, FIFO": {"make_queue": fifo_queue, "make_hedging": NoHedging},
    "two choices, unbounded FIFO": {
        "make_queue": unbounded_fifo_queue,
        "make_hedging": NoHedging,
    },
    "random, cost queue": {**PLAIN_OPTIONS, "make_policy": selection.RandomChoice},
    "plain two choices, cost queue": {
        **PLAIN_OPTIONS,
        "make_policy": selection.PlainTwoChoices,
    },
    "all rules": {},
    "no shortest first": without_queue_rule("shortest_first"),
    "no slot closed to long work": without_queue_rule("short_slot"),
    "no ageing": without_queue_rule("ageing"),
    "no refusal of late work": without_queue_rule("refuse_late"),
    "no ageing of reports": without_stage("age_reports"),
    "no stage for full endpoints": without_stage("not_full"),
    "no second attempt beside stragglers": {"make_hedging": NoHedging},
    "no redirect from busy endpoints": {"make_retries": NoRedirects},
    "no preference for near ones": without_stage("near_first"),
}
for name in ("random, cost queue", "plain two choices, cost queue"):
    ROWS[name]["make_queue"] = make_cost_queue


def base_options(load, seed, **changes):
    """Return the options of a run at a load that is a share of the capacity."""
    kinds = (SHORT, LONG)
    capacity = WORKERS * SLOTS / mean_service_s(kinds)
    options = Options(
        workers=WORKERS,
        slots=SLOTS,
        kinds=kinds,
        rate=steady_rate(load * capacity),
        seed=seed,
        make_queue=make_cost_queue,
        make_retries=RetryBudget,
        make_detector=WaitRecorder,
    )
    return replace(options, **changes)


def percentile_ms(values, share):
    """Return a percentile in ms of sorted values in s; nan if there are none."""
    if not values:
        return float("nan")
    return 1000 * values[min(len(values) - 1, int(share * len(values)))]


def measure(options, seconds):
    """Return waits, latencies and shares of unanswered requests, each by kind."""
    model = Model(options)
    results = [r for r in model.run(seconds) if r.started_s >= WARM_UP_S]
    waits, latencies, unanswered, first_waits = {}, {}, {}, {}
    for agent in model.agents:
        for key, wait in agent.detector.waits.items():
            first_waits[key] = min(wait, first_waits.get(key, wait))
    for kind in options.kinds:
        waits[kind.name] = sorted(
            w for (n, _), w in first_waits.items() if n == kind.name
        )
        kind_results = [r for r in results if r.kind == kind.name]
        answers = [r for r in kind_results if r.outcome is Outcome.ANSWER]
        latencies[kind.name] = sorted(
            r.latency_s - CALLER_ROUND_TRIP_S for r in answers
        )
        unanswered[kind.name] = 1 - len(answers) / max(1, len(kind_results))
    return waits, latencies, unanswered


def dedicated_slots(load, seed, seconds):
    """Run a bound: one slot per worker for short work and two for long work."""
    base = base_options(load, seed)
    parts = {}, {}, {}
    for kind, slots in ((SHORT, 1), (LONG, 2)):
        rate = base.rate.peak * kind.share
        options = replace(base, kinds=(kind,), slots=slots, rate=steady_rate(rate))
        for part, part_values in zip(parts, measure(options, seconds), strict=True):
            part.update(part_values)
    return parts


def short_alone(load, seed, seconds):
    """Run a bound: the same short work without any long work."""
    base = base_options(load, seed)
    rate = base.rate.peak * SHORT.share
    options = replace(base, kinds=(SHORT,), rate=steady_rate(rate))
    waits, latencies, unanswered = measure(options, seconds)
    return {**waits, "long": []}, latencies, {**unanswered, "long": float("nan")}


BOUNDS = {
    "own slots (1 short, 2 long)": dedicated_slots,
    "short work alone": short_alone,
}


def row(task):
    """Return one row of the table."""
    name, load, seed, seconds = task
    if name in BOUNDS:
        waits, latencies, unanswered = BOUNDS[name](load, seed, seconds)
    else:
        waits, latencies, unanswered = measure(
            base_options(load, seed, **ROWS[name]), seconds
        )
    cells = [name, f"{load:.0%}"]
    cells += [f"{percentile_ms(latencies['short'], share):.0f}" for share in QUANTILES]
    for kind, shares in (("short", QUANTILES), ("long", (0.5, 0.99))):
        cells += [f"{percentile_ms(waits[kind], share):.1f}" for share in shares]
        cells.append(f"{unanswered[kind]:.2%}")
    return cells


HEADER = (
    "policy",
    "load",
    "short latency p50 ms",
    "p99",
    "p99.9",
    "short wait p50 ms",
    "p99",
    "p99.9",
    "short not answered",
    "long wait p50 ms",
    "p99",
    "long not answered",
)


def print_table(header, rows):
    """Print rows as a Markdown table."""
    print("| " + " | ".join(header) + " |")
    print("|" + "---|" * len(header))
    for cells in rows:
        print("| " + " | ".join(cells) + " |", flush=True)


def add_arguments(parser):
    """Add the options of the measurement."""
    parser.add_argument("--seconds", type=float, default=130.0, help="virtual time")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rows", default="", help="only rows whose names contain this")


def main(args=None):
    """Print a row per policy and load."""
    parser = argparse.ArgumentParser(description=HELP)
    add_arguments(parser)
    args = parser.parse_args(args)
    names = [n for n in (*ROWS, *BOUNDS) if args.rows in n]
    tasks = [(n, load, args.seed, args.seconds) for load in LOADS for n in names]
    with ProcessPoolExecutor(PROCESSES) as pool:
        print_table(HEADER, pool.map(row, tasks))


if __name__ == "__main__":
    main()
