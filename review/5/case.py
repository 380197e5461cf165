"""Two daemons of a zone are stopped as planned while a worker beside one still works.

Clients of that zone go on, as fewer than half of its daemons are ready. Some of their
requests take longer than those before.
"""

import asyncio
import signal
from pathlib import Path

from review.common.client import send_request
from review.common.fleet import CannotRunError, Fleet, route
from review.common.http import read_body
from review.common.script import main
from review.common.worker import Worker

SERVICE = "consultas"
# Of the VMs, numbers 0, 2 and 4 are in the first zone.
ZONES = ("rancagua", "stgo-a")
VMS = 6
WORK_S = 0.4
TIMEOUT_MS = 5000
DEADLINE_MS = 10_000
REQUESTS_PER_S = 20
PLAY_S = 11.0
ORDERS = 10
CALM_S = 6.0
# Seconds after SIGTERM.
GRACE_S = 6.0
LONG_SENT_AT_S = (3.2, 3.4, 3.6, 3.8)
SENT_LATE_S = 3.0
# Work of the few requests that take long, which 3 in 100 may.
LONG_WORK_S = 3.2
ORDER_WORK_S = 4.9


class TailWorker(Worker):
    """Takes long for some requests: by their path, and for all orders if `is_slow`."""

    is_slow = False
    orders = 0

    async def run(self, req, reader, writer):
        path = req.start.split(" ")[1]
        body = await read_body(reader, req.headers)
        run = self.record(req, body)
        work_s = LONG_WORK_S if path == "/estado/long" else WORK_S
        if path == "/pedir/x" and self.is_slow:
            self.orders += 1
            work_s = ORDER_WORK_S
        await asyncio.sleep(work_s)
        writer.write(self.answer(req, b"done"))
        run.answered = True


async def case(record, trouble):
    """Play the case; return the requests that were broken off."""
    routes = {
        "estado": route(
            SERVICE, "/estado/", "safe", timeout_ms=TIMEOUT_MS, target_latency_ms=3000
        ),
        "pedir": route(SERVICE, "/pedir/", "unsafe", timeout_ms=6000),
    }
    async with Fleet([SERVICE] * VMS, routes, ZONES) as fleet:
        await fleet.wait_until_ready()
        workers = [TailWorker(f"i-{n}", d) for n, d in enumerate(fleet.daemons)]
        for worker in workers:
            await worker.start()
        await asyncio.sleep(4.0)
        # Two of the zone's three.
        stopped = [fleet.daemons[0], fleet.daemons[2]]
        daemon = stopped[0]
        workers[0].is_slow = True
        loop = asyncio.get_running_loop()
        start = loop.time()
        tasks = []

        def send(request_id, path, via=daemon):
            record.add(f"sent {request_id} {path} to {via.name}")
            request = send_request(
                via, request_id, "POST", path, b"x", deadline_ms=DEADLINE_MS
            )
            tasks.append(asyncio.create_task(request))

        stop_at = start + CALM_S
        schedule = [
            (n / REQUESTS_PER_S, f"r{n:04d}", "/estado/x")
            for n in range(int(PLAY_S * REQUESTS_PER_S))
        ]
        schedule += [
            (CALM_S + at, f"long-{n}", "/estado/long")
            for n, at in enumerate(LONG_SENT_AT_S)
        ]
        schedule += [(CALM_S - 0.1, f"order-{n}", "/pedir/x") for n in range(ORDERS)]
        stopping = asyncio.create_task(_stop(stopped, stop_at, record, trouble))
        for at, request_id, path in sorted(schedule):
            await asyncio.sleep(start + at - loop.time())
            send(request_id, path, fleet.daemons[1] if path[1] == "p" else daemon)
        outcomes = await asyncio.gather(*tasks)
        await stopping
        for worker in workers:
            worker.stop()
    return _check(record, outcomes, workers, stop_at)


async def _stop(daemons, stop_at, record, trouble):
    """Send SIGTERM to daemons, and SIGKILL after the grace time."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(stop_at - loop.time())
    if not trouble:
        return
    for daemon in daemons:
        daemon.signal(signal.SIGTERM)
        record.add(f"{daemon.name} gets SIGTERM")
    await asyncio.sleep(stop_at + GRACE_S - loop.time())
    for daemon in daemons:
        record.add(f"{daemon.name} has ended with {daemon.process.poll()}")
        daemon.kill()


def _check(record, outcomes, workers, stop_at):
    record.add(f"{workers[0].orders} orders took long beside a stopped daemon")
    if not workers[0].orders:
        raise CannotRunError("the worker beside the stopped daemon ran no order")
    began = {run.request_id for worker in workers for run in worker.runs}
    broken = []
    for out in outcomes:
        record.add(f"{out.request_id}: {out.status} {out.error}", out.ended_at)
        late = out.sent_at - stop_at > SENT_LATE_S
        in_time = out.ended_at - out.sent_at < TIMEOUT_MS / 1000
        ended_whole = out.status == 200 or out.status in (408, 421, 429, 503)
        if late and in_time and out.request_id in began and not ended_whole:
            broken.append(
                f"{out.request_id}: sent {out.sent_at - stop_at:.1f} s after SIGTERM,"
                f" passed on, and ended with {out.status} {out.error}"
            )
    for run in (run for worker in workers for run in worker.runs):
        record.add(f"run of {run.request_id} at {run.worker}", run.started_at)
    if sum(out.status == 200 for out in outcomes) < len(outcomes) / 3:
        raise CannotRunError("too few requests were served")
    return broken


if __name__ == "__main__":
    main(case, Path(__file__).parent)
