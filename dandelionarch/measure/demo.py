"""Requests and faults of the demo, with an audit of the results."""

import argparse
import asyncio
import contextlib
import os
import signal
import time
from collections import Counter
from pathlib import Path
from types import SimpleNamespace

import aiohttp

from dandelionarch.measure.chaos_audit import Evidence, audit
from dandelionarch.measure.chaos_client import ChaosClient

INGRESS_PORTS = (18200, 18210, 18220, 18230)
STOPPED_DAEMON = 3
ADMIN_PORT_OFFSET = 3
CALENDAR_PORTS = {f"calendar-{n}": 18300 + n for n in range(4)}
ORDERS_PORTS = {f"orders-{10 + n}": 18310 + n for n in range(4)}
GRAY_ENDPOINT = "calendar-2"
GRAY_ENDPOINT_DAEMON = 2
# An endpoint on trial is ejected except for single trial requests.
EJECTED_STATES = ("ejected", "trial")
PHASE_S = 8.0
REQUESTS_PER_S = 20
READY_TIMEOUT_S = 30.0
SEED = 1


class Demo:
    """Sends requests in phases while a worker fails and a daemon stops.

    Parameters
    ----------
    stop_pid : int
        Process id of the daemon that is stopped in the last phase.
    """

    def __init__(self, stop_pid):
        self.evidence = Evidence()
        self.workers = {**CALENDAR_PORTS, **ORDERS_PORTS}
        self._stop_pid = stop_pid
        daemons = {n: SimpleNamespace(ingress=p) for n, p in enumerate(INGRESS_PORTS)}
        self._fleet = SimpleNamespace(daemons=daemons)
        self.client = ChaosClient(self._fleet, self.evidence, SEED)
        self.health = ""

    async def run(self):
        """Run all phases and collect the records of the workers."""
        async with aiohttp.ClientSession() as session:
            await self._wait_until_ready(session)
            print("== serving reads, orders and issued keys")
            await self._run_phase()
            print(
                f"== worker {GRAY_ENDPOINT} has a gray failure: "
                "half of its answers are errors"
            )
            url = f"http://127.0.0.1:{self.workers[GRAY_ENDPOINT]}/standin/faults"
            async with session.post(url, json={"errors": 0.5}):
                pass
            await self._run_phase(reads=True)
            status = await self._fetch_status(session, GRAY_ENDPOINT_DAEMON)
            self.health = status["endpoints"][GRAY_ENDPOINT]["health"]
            print(f"   {GRAY_ENDPOINT} is now {self.health}")
            print(f"== daemon vm-{STOPPED_DAEMON} stops while requests are in flight")
            del self._fleet.daemons[STOPPED_DAEMON]
            os.kill(self._stop_pid, signal.SIGTERM)
            await self._run_phase()
            await self._collect_runs(session)

    async def _run_phase(self, reads=False):
        self.client.only_reads = reads
        await self.client.run(PHASE_S, REQUESTS_PER_S * (3 if reads else 1))

    async def _wait_until_ready(self, session):
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            with contextlib.suppress(aiohttp.ClientError):
                states = [
                    await self._fetch_status(session, n) for n in self._fleet.daemons
                ]
                all_known = all(
                    set(self.workers) <= set(s["endpoints"]) for s in states
                )
                if all_known and all(s["revision"] for s in states):
                    return
            await asyncio.sleep(0.2)
        raise TimeoutError("the fleet did not become ready")

    async def _fetch_status(self, session, number):
        port = INGRESS_PORTS[number] + ADMIN_PORT_OFFSET
        async with session.get(f"http://127.0.0.1:{port}/status") as resp:
            return await resp.json()

    async def _collect_runs(self, session):
        for endpoint, port in self.workers.items():
            async with session.get(f"http://127.0.0.1:{port}/standin/runs") as resp:
                runs = await resp.json()
            self.evidence.runs += [{**run, "endpoint": endpoint} for run in runs]


def report(demo):
    """Print the outcomes and return the violations."""
    outcomes = Counter(a.outcome for a in demo.evidence.attempts)
    print("== outcomes reported to callers")
    for outcome, count in sorted(outcomes.items()):
        print(f"   {outcome}: {count}")
    violations = audit(demo.evidence)
    if demo.health not in EJECTED_STATES:
        violations.append(f"{GRAY_ENDPOINT} is {demo.health}, not ejected")
    if demo.client.broken_connections:
        violations.append(
            f"{demo.client.broken_connections} connections of callers broke"
        )
    for text in violations:
        print(f"VIOLATION {text}")
    return violations


def main(argv=None):
    """Run the demo; return 1 if a guarantee was violated."""
    parser = argparse.ArgumentParser(prog="demo", description=__doc__)
    parser.add_argument("--stop-pid", type=int, required=True)
    parser.add_argument("--request-file", type=Path, required=True)
    args = parser.parse_args(argv)
    demo = Demo(args.stop_pid)
    asyncio.run(demo.run())
    args.request_file.write_text(demo.client.last_read_through(INGRESS_PORTS[0]))
    return 1 if report(demo) else 0


if __name__ == "__main__":
    raise SystemExit(main())
