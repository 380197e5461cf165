"""Runs the users' benchmark and compares the reports of two versions.

A day is a scenario of the benchmark, which is played with a seed.
"""

import argparse
import json
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from itertools import product
from pathlib import Path

from dandelionarch.measure.paired import RunResult, compare, format_table, pair_runs


def read_reports(directory):
    """Yield a `RunResult` for each report in a directory, named DAY-SEED.json."""
    for path in sorted(Path(directory).glob("*.json")):
        day, _, seed = path.stem.rpartition("-")
        report = json.loads(path.read_text(encoding="utf-8"))
        yield RunResult(
            day,
            int(seed),
            # The benchmark's key for the worth of a day.
            report["G"],
            report["served"],
            report["refused"],
            tuple(report["breaks"]),
        )


def run_all(cfg):
    """Run the benchmark for every pair of a day and a seed.

    Returns
    -------
    list of str
        Names of the runs that wrote no report.
    """
    out = Path(cfg.out).absolute()
    out.mkdir(parents=True, exist_ok=True)
    runs = list(product(cfg.days.split(","), cfg.seeds.split(",")))
    with ThreadPoolExecutor(cfg.jobs) as pool:
        reports = list(pool.map(lambda run: _run_one(cfg, out, *run), runs))
    return [path.stem for path in reports if not path.exists()]


def _run_one(cfg, out, day, seed):
    report = out / f"{day}-{seed}.json"
    command = [cfg.bench, "run", cfg.site, day, "--seed", seed, "--jobs", "1"]
    command += ["--no-cpu", "--report", str(report), "--why", cfg.why]
    with open(out / f"{day}-{seed}.txt", "w", encoding="utf-8") as log:
        subprocess.run(
            command, cwd=cfg.sources, stdout=log, stderr=subprocess.STDOUT, check=False
        )
    return report


def parse_args(args=None):
    """Return the parsed command line."""
    parser = argparse.ArgumentParser(prog="python -m dandelionarch.platform.bench")
    commands = parser.add_subparsers(dest="verb", required=True)
    runs = commands.add_parser("play", help="run days with seeds and keep the reports")
    runs.add_argument("--bench", required=True, help="path of the benchmark's program")
    runs.add_argument("--site", required=True, help="path of the site file")
    runs.add_argument("--sources", default=".", help="working copy to measure")
    runs.add_argument(
        "--days", required=True, help="names of days, separated by commas"
    )
    runs.add_argument("--seeds", required=True, help="seeds, separated by commas")
    runs.add_argument("--jobs", type=int, default=3, help="number of concurrent runs")
    runs.add_argument(
        "--why", required=True, help="reason for the run, for the benchmark's journal"
    )
    runs.add_argument("out", help="directory for the reports")
    pairs = commands.add_parser(
        "compare", help="print a table that compares the reports in two directories"
    )
    pairs.add_argument("before")
    pairs.add_argument("after")
    return parser.parse_args(args)


def main(args=None):
    """Run the command line and return the exit code."""
    cfg = parse_args(args)
    if cfg.verb == "play":
        missing = run_all(cfg)
        for run in missing:
            print(f"no report: {run}", file=sys.stderr)
        return 1 if missing else 0
    pairs = pair_runs(read_reports(cfg.before), read_reports(cfg.after))
    print("\n".join(format_table(compare(pairs))))
    return 0


if __name__ == "__main__":
    sys.exit(main())
