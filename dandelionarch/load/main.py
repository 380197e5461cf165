"""Entry point of `dandelion-load`."""

import argparse
import asyncio
import contextlib
import json
import random
import signal
import sys

import uvloop

from dandelionarch.load.generator import Generator, Workload
from dandelionarch.load.report import Report
from dandelionarch.load.schedule import Crest, Step, start_times

FAILED_OUTCOMES = ("broken", "timeout", "not-sent")


def customer(text):
    """Parse `NAME=KEY` into (name, key)."""
    name, _, key = text.partition("=")
    if not name or not key:
        raise ValueError(text)
    return name, key


def route(text):
    """Parse `METHOD PATH [WEIGHT]` into (method, path, weight)."""
    method, path, *weight = text.split()
    if len(weight) > 1 or not path.startswith("/"):
        raise ValueError(text)
    return method.upper(), path, float(weight[0]) if weight else 1.0


def build_parser():
    """Return the command line's parser."""
    parser = argparse.ArgumentParser(
        prog="dandelion-load",
        description="Open-loop load; latency counts from when a request is due.",
    )
    add = parser.add_argument
    add("--target", action="append", required=True, help="base URL; repeatable")
    add("--customer", action="append", type=customer, required=True, help="NAME=KEY")
    add("--route", action="append", type=route, help="METHOD PATH [WEIGHT]")
    add("--step", action="append", type=Step.parse, default=[], help="RATE:SECONDS")
    add(
        "--crest",
        action="append",
        type=Crest.parse,
        default=[],
        help="START,COUNT,SECONDS; START in seconds or as HH:MM:SS in UTC",
    )
    add(
        "--even",
        action="store_true",
        help="send at regular instead of random intervals",
    )
    add("--max-requests", type=int, default=1_000_000)
    add("--max-in-flight", type=int, default=10_000)
    add("--timeout-s", type=float, default=10.0)
    add("--body-bytes", type=int, default=0)
    add(
        "--keys", action="store_true", help="add an Idempotency-Key to POST, PUT, PATCH"
    )
    add("--seed", type=int, default=1)
    add("--json", metavar="FILE", help="write the report to FILE")
    add("--records", metavar="FILE", help="write one JSON line per request to FILE")
    return parser


async def generate(args, report):
    """Generate the load until it ends or SIGTERM or SIGINT arrives."""
    workload = Workload(
        tuple(target.rstrip("/") for target in args.target),
        tuple(args.customer),
        tuple(args.route or [("GET", "/", 1.0)]),
        args.body_bytes,
        args.keys,
        args.timeout_s,
        args.max_in_flight,
    )
    rng = random.Random(args.seed)
    generator = Generator(workload, report, rng)
    loop = asyncio.get_running_loop()
    for sig in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(sig, generator.stop_request.set)
    arrival_rng = None if args.even else random.Random(args.seed)
    await generator.run(
        start_times(args.step, args.crest, args.max_requests, rng=arrival_rng)
    )


def main(argv=None):
    """Generate load; return 1 if a request was not sent or not fully answered."""
    parser = build_parser()
    args = parser.parse_args(argv)
    if not args.step and not args.crest:
        parser.error("give at least one --step or --crest")
    with contextlib.ExitStack() as stack:
        records = None
        if args.records:
            records = stack.enter_context(open(args.records, "w", encoding="utf-8"))
        report = Report(records)
        uvloop.run(generate(args, report))
    for line in report.lines():
        print(line)
    if args.json:
        with open(args.json, "w", encoding="utf-8") as out:
            json.dump(report.to_dict(), out, indent=1)
    return 1 if any(report.outcomes[name] for name in FAILED_OUTCOMES) else 0


if __name__ == "__main__":
    sys.exit(main())
