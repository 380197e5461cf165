"""The daemon beside a leaving worker is killed, and an old heartbeat arrives late.

The worker says that it leaves, to its daemon and in its answers, and goes on to serve
for some seconds. Its last heartbeat from before arrives seconds late.
"""

import asyncio
from pathlib import Path

from review.common.client import send_request
from review.common.fleet import CannotRunError, Fleet, route
from review.common.script import main
from review.common.worker import Worker

SERVICE = "catalogue"
VMS = 3
WORK_S = 0.6
REQUESTS_PER_S = 9.0
# Seconds from the start of the traffic.
LEAVES_AT_S = 4.0
KILLED_AT_S = 4.5
RESTARTED_AT_S = 5.0
LATE_HEARTBEAT_AT_S = 7.5
EXITS_AT_S = 14.0
PLAY_S = 15.0
DRAIN_S = 2.0


class LeavingWorker(Worker):
    """Names in its answers that it leaves once `state` says so."""

    def answer(self, req, body, extra=""):
        if self.state != "ready":
            extra += "Server-Leaving: 1\r\n"
        return super().answer(req, body, extra)


async def case(record, trouble):
    """Play the case; return the requests that reached the worker too late."""
    routes = {"browse": route(SERVICE, "/browse/", "safe")}
    async with Fleet([SERVICE] * VMS, routes) as fleet:
        await fleet.wait_until_ready()
        workers = [
            LeavingWorker(f"i-{n}", daemon, WORK_S)
            for n, daemon in enumerate(fleet.daemons)
        ]
        for worker in workers:
            await worker.start()
        await asyncio.sleep(4.0)
        start = asyncio.get_running_loop().time()
        leaving = asyncio.create_task(_leave(workers[0], start, record, trouble))
        tasks = []
        # The clients are on the other machines, which nothing disturbs.
        for number in range(int(REQUESTS_PER_S * PLAY_S)):
            daemon = fleet.daemons[1 + number % (VMS - 1)]
            request_id = f"r{number:06d}"
            record.add(f"sent {request_id} to {daemon.name}")
            request = send_request(daemon, request_id, "GET", "/browse/x")
            tasks.append((daemon.name, asyncio.create_task(request)))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        outcomes = [(name, await task) for name, task in tasks]
        await leaving
        for worker in workers[1:]:
            worker.stop()
    return _check(record, outcomes, workers[0])


async def _leave(worker, start, record, trouble):
    """Play what happens to the worker and to its daemon."""

    async def until(second):
        await asyncio.sleep(start + second - asyncio.get_running_loop().time())

    await until(LEAVES_AT_S)
    late_heartbeat = worker.heartbeat()
    worker.stop_heartbeats()
    worker.state = "leaving"
    status = await worker.send_leave()
    record.add(f"{worker.instance} says that it leaves: acknowledged with {status}")
    if trouble:
        await until(KILLED_AT_S)
        worker.daemon.kill()
        record.add(f"{worker.daemon.name} is killed")
        await until(RESTARTED_AT_S)
        worker.daemon.start()
        record.add(f"{worker.daemon.name} is started again")
    await until(LATE_HEARTBEAT_AT_S)
    status = await worker.send_heartbeat(late_heartbeat)
    record.add(f"a heartbeat from before arrives late: answered with {status}")
    await until(EXITS_AT_S)
    worker.stop()
    record.add(f"{worker.instance} exits")


def _check(record, outcomes, worker):
    reached = {run.request_id for run in worker.runs}
    for run in worker.runs:
        record.add(f"run of {run.request_id} at {run.worker}", run.started_at)
    # When each machine first passed on an answer that says that the worker leaves.
    told_at = {}
    for name, out in outcomes:
        record.add(
            f"{out.request_id} at {name}: {out.status} {out.error}", out.ended_at
        )
        if "server-leaving" in out.headers:
            told_at[name] = min(out.ended_at, told_at.get(name, out.ended_at))
    if not told_at:
        raise CannotRunError("no answer said that the worker leaves")
    broken = []
    for name, out in outcomes:
        if out.request_id not in reached or name not in told_at:
            continue
        after_s = out.sent_at - told_at[name]
        if after_s > DRAIN_S:
            broken.append(
                f"{out.request_id}: sent to {name} {after_s:.1f} s after that machine"
                f" had passed on Server-Leaving, and reached {worker.instance}"
            )
    record.add(f"{len(broken)} requests reached the leaving worker too late")
    return broken


if __name__ == "__main__":
    main(case, Path(__file__).parent)
