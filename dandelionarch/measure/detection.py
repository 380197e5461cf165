"""Measures detection of gray failures and false ejections."""

import argparse
import math
import sys
from concurrent.futures import ProcessPoolExecutor

from dandelionarch.measure import rules, scenarios
from dandelionarch.measure.floors import FLOOR_RUNS, min_remaining_share

NAME = "detection"
HELP = "detection of gray failures, false ejections and the floor"
PARTS = ("times", "false", "floor", "rules")
DETECTION_SEEDS = 10
FALSE_SEEDS = 4
FLOOR_SEEDS = 5


def quantile(values, share):
    """Return a quantile of some values."""
    values = sorted(values)
    return values[min(len(values) - 1, int(share * len(values)))]


def time_cell(value):
    """Return the table cell for a duration in seconds."""
    return "never" if value == math.inf else f"{value:.1f}"


def print_table(title, header, rows):
    """Print a Markdown table."""
    print(f"\n### {title}\n")
    print("| " + " | ".join(header) + " |")
    print("|" + "---|" * len(header))
    for row in rows:
        print("| " + " | ".join(row) + " |")
    sys.stdout.flush()


def detection_times_cell(values):
    """Return the cell for median and 95th percentile; None counts as never."""
    values = [math.inf if v is None else v for v in values]
    return f"{time_cell(quantile(values, 0.5))} / {time_cell(quantile(values, 0.95))}"


def false_ejections_cell(counts):
    """Return the cell for false ejections and demotions per worker-hour."""
    hours = sum(c.worker_hours for c in counts)
    ejections = sum(c.ejections for c in counts) / hours
    demotions = sum(c.demotions for c in counts) / hours
    return f"{ejections:.2f} ({demotions:.2f})"


def _call(job):
    return job[0](*job[1:])


class ParallelRunner:
    """Runs jobs in several processes and groups their results by key."""

    def __init__(self, processes):
        self._processes = processes

    def run(self, jobs):
        """Run {key: [(function, *arguments)]}; return {key: [result]}."""
        keyed_jobs = [(key, job) for key, group in jobs.items() for job in group]
        with ProcessPoolExecutor(self._processes) as pool:
            results = list(pool.map(_call, [job for _, job in keyed_jobs]))
        grouped = {key: [] for key in jobs}
        for (key, _), result in zip(keyed_jobs, results, strict=True):
            grouped[key].append(result)
        return grouped


def cases(seeds):
    """Return (workers, seed) for each service size and seed."""
    return [(size, seed) for size in scenarios.SIZES for seed in range(1, seeds + 1)]


def grid(function, policies, names, seeds):
    """Return jobs by (policy, name)."""
    return {
        (policy, name): [(function, policy, name, *case) for case in cases(seeds)]
        for policy in policies
        for name in names
    }


def print_times(runner, seeds):
    """Print detection times per policy and fault."""
    policies = list(scenarios.POLICIES)
    jobs = grid(scenarios.detection_s, policies, scenarios.FAULTS, seeds)
    results = runner.run(jobs)
    print_table(
        "Seconds until a failing worker gets almost no new work "
        "(median / 95th percentile)",
        ("fault", *policies),
        [
            (
                fault,
                *(detection_times_cell(results[policy, fault]) for policy in policies),
            )
            for fault in scenarios.FAULTS
        ],
    )


def print_false_ejections(runner, seeds):
    """Print false ejections per policy and scenario."""
    policies = ["fixed count", "dandelionarch"]
    jobs = grid(scenarios.false_ejections, policies, scenarios.HEALTHY_RUNS, seeds)
    results = runner.run(jobs)
    rows = []
    for name in scenarios.HEALTHY_RUNS:
        hours = sum(c.worker_hours for c in results[policies[0], name])
        cells = (false_ejections_cell(results[policy, name]) for policy in policies)
        rows.append((name, f"{hours:.1f}", *cells))
    print_table(
        "False ejections (demotions) per worker-hour",
        ("scenario", "worker-hours", *policies),
        rows,
    )


def print_floor(runner, seeds):
    """Print the smallest share of endpoints that no agent or ingress ejects."""
    policies = ["fixed count", "dandelionarch"]
    results = runner.run(grid(min_remaining_share, policies, FLOOR_RUNS, seeds))
    rows = []
    for name in FLOOR_RUNS:
        cells = [f"{min(results[p, name]):.0%}" for p in policies]
        rows.append((name, *cells))
    print_table(
        "Smallest share of endpoints not ejected by anyone (floor 50%)",
        ("failing workers", *policies),
        rows,
    )


def print_rules(runner, seeds):
    """Print the results of each rule's scenario with and without the rule."""
    jobs = {}
    for rule in rules.RULES:
        for off in (False, True):
            jobs[rule.name, off] = [
                (rules.measure, rule.name, off, *case) for case in cases(seeds)
            ]
    results = runner.run(jobs)
    rows = []
    for rule in rules.RULES:
        cell = detection_times_cell if rule.is_fault else false_ejections_cell
        cells = [cell(results[rule.name, off]) for off in (False, True)]
        rows.append((rule.name, rule.scenario, *cells))
    print_table(
        "Each rule switched off (seconds, or ejections (demotions) per worker-hour)",
        ("rule", "scenario", "with", "without"),
        rows,
    )


def main(args=None):
    """Print the selected tables; return the exit code."""
    parser = argparse.ArgumentParser(prog=NAME, description=HELP)
    parser.add_argument("--part", choices=PARTS, action="append")
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument("--seeds", type=int, help="runs per cell and service size")
    options = parser.parse_args(args)
    runner = ParallelRunner(options.processes)
    for part in options.part or PARTS:
        print_part, seeds = {
            "times": (print_times, DETECTION_SEEDS),
            "false": (print_false_ejections, FALSE_SEEDS),
            "floor": (print_floor, FLOOR_SEEDS),
            "rules": (print_rules, FALSE_SEEDS),
        }[part]
        print_part(runner, options.seeds or seeds)
    return 0


if __name__ == "__main__":
    sys.exit(main())
