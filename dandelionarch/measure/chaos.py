"""Fault injection in real processes under load, with an audit of the results."""

import argparse
import asyncio
import contextlib
import json
import subprocess
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import aiohttp

from dandelionarch.measure.chaos_audit import Evidence, audit
from dandelionarch.measure.chaos_client import ChaosClient
from dandelionarch.measure.chaos_faults import FaultRunner, plan_faults
from dandelionarch.measure.processes import ALLOWANCES, Fleet

NAME = "chaos"
HELP = "fault injection in real processes under load, then an audit"

DATA_CENTRES = ("dc-1", "dc-2")
DAEMON_COUNT = 8
WORKERS_PER_DAEMON = 3
REQUESTS_PER_S = 12
LOAD_PER_S = 60
POLL_PERIOD_S = 0.5
PUBLISH_TRIES = 20
SETTLE_S = 4.0
FAULTS_SECTION = "\n[faults]\nenabled = true\n"
CALENDAR_SECTIONS = """
[service calendar]
floor = 50%

[route today]
service = calendar
path = /calendar
kind = today
budget_ms = 2000

[crest evening]
service = calendar
starts = 18:00
lasts_s = 3600

[allow gold calendar]
rate = 1000
burst = 1000
"""


class ChaosRun:
    """Starts a fleet, injects faults under load and audits the results.

    Parameters
    ----------
    directory : Path
        Directory for settings and logs.
    seed : int
    duration_s : float
    faults : int
        Number of faults, at least one of each kind.
    """

    def __init__(self, directory, seed, duration_s, faults):
        self.fleet = Fleet(directory)
        self.evidence = Evidence()
        self.vms = [f"vm-{number}" for number in range(DAEMON_COUNT)]
        self.endpoints = [
            f"{'orders' if (vm + n) % 2 else 'calendar'}-{vm}-{n}"
            for vm in range(DAEMON_COUNT)
            for n in range(WORKERS_PER_DAEMON)
        ]
        self._seed = seed
        self._duration_s = duration_s
        self.planned_faults = plan_faults(
            seed, duration_s, self.vms, self.endpoints, faults
        )
        self.client = ChaosClient(self.fleet, self.evidence, seed)

    def start(self):
        """Start all processes and publish the lists."""
        self.fleet.start_log("--seed", str(self._seed))
        for vm in self.vms:
            self._start_daemon(vm)
        for endpoint in self.endpoints:
            service, vm, _ = endpoint.split("-")
            self.fleet.start_worker(endpoint, service, f"vm-{vm}", "--work-ms", "20")
        for _ in range(PUBLISH_TRIES):
            process = self.fleet.publish(allowances=ALLOWANCES + CALENDAR_SECTIONS)
            if not process.returncode:
                return
            time.sleep(POLL_PERIOD_S)
        raise RuntimeError(process.stderr)

    def _start_daemon(self, vm):
        centre = DATA_CENTRES[self.vms.index(vm) % len(DATA_CENTRES)]
        seeds = [name for name in self.vms[:2] if name in self.fleet.daemons]
        self.fleet.start_daemon(vm, centre, seeds, extra=FAULTS_SECTION)

    async def run(self):
        """Inject the faults and return the list of violations."""
        async with aiohttp.ClientSession() as session:
            await self.fleet.wait_until_ready(session, self.endpoints)
            poll_task = asyncio.create_task(self._poll_revisions(session))
            load_process = self._start_load()
            runner = FaultRunner(
                self.fleet, self.evidence, self._start_daemon, self._seed
            )
            try:
                await asyncio.gather(
                    self.client.run(self._duration_s + SETTLE_S, REQUESTS_PER_S),
                    runner.run(self.planned_faults),
                )
                await asyncio.sleep(SETTLE_S)
                await asyncio.to_thread(load_process.wait, 30)
            finally:
                poll_task.cancel()
            await self._collect_runs(session)
        return audit(self.evidence)

    def _start_load(self):
        """Start `dandelion-load` with reads of one service."""
        targets = [daemon.ingress for daemon in self.fleet.daemons.values()]
        return self.fleet.start_load(
            targets, "GET /calendar/{n}", LOAD_PER_S, self._duration_s
        )

    async def _poll_revisions(self, session):
        while True:
            for vm in self.vms:
                with contextlib.suppress(
                    aiohttp.ClientError, TimeoutError, json.JSONDecodeError
                ):
                    async with asyncio.timeout(1.0):
                        status = await self.fleet.status(session, vm)
                    if status["ready"]:
                        self.evidence.revisions[vm].append(status["revision"])
            await asyncio.sleep(POLL_PERIOD_S)

    async def _collect_runs(self, session):
        for endpoint, (port, _) in self.fleet.workers.items():
            url = f"http://127.0.0.1:{port}/standin/runs"
            async with session.get(url) as resp:
                runs = await resp.json()
            self.evidence.runs += [{**run, "endpoint": endpoint} for run in runs]


def report(run, violations, seconds):
    """Print the outcomes and the violations."""
    evidence = run.evidence
    outcomes = Counter(
        f"{'order' if a.order else 'read'} {a.outcome}" for a in evidence.attempts
    )
    print(f"seed {run._seed}, {seconds:.0f} s, {len(run.planned_faults)} faults")
    for name, count in sorted(outcomes.items()):
        print(f"  {name}: {count}")
    print(f"  caller's connection broke: {run.client.broken_connections}")
    print(f"  runs at workers: {len(evidence.started_runs())}")
    keys = {r["key"] for r in evidence.started_runs() if r["key"] != "-"}
    print(f"  keys that ran: {len(keys)}")
    print(f"  publications accepted: {sum(a for _, a in evidence.publications)}")
    for text in violations:
        print(f"VIOLATION {text}")
    print(f"violations: {len(violations)}")


def build_parser():
    """Return the command line's parser."""
    parser = argparse.ArgumentParser(prog="chaos", description=HELP)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=50.0)
    parser.add_argument("--faults", type=int, default=16)
    parser.add_argument("--keep", help="directory for settings and logs")
    return parser


def main(argv=None):
    """Run once; return 1 on a violated guarantee, 2 if the run could not be made."""
    args = build_parser().parse_args(argv)
    with contextlib.ExitStack() as stack:
        directory = args.keep or stack.enter_context(tempfile.TemporaryDirectory())
        Path(directory).mkdir(parents=True, exist_ok=True)
        run = ChaosRun(Path(directory), args.seed, args.seconds, args.faults)
        for fault in run.planned_faults:
            print(f"{fault.at_s:5.1f} s {fault.kind} {fault.target} {fault.other}")
        start_s = time.monotonic()
        try:
            run.start()
            violations = asyncio.run(run.run())
        except (TimeoutError, RuntimeError, subprocess.TimeoutExpired) as exc:
            print(f"the run could not be made: {exc}", file=sys.stderr)
            return 2
        finally:
            run.fleet.stop()
        report(run, violations, time.monotonic() - start_s)
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
