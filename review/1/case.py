"""Daemons freeze for a second while idempotent requests with long bodies arrive.

All workers are sound. Requests that wait at a frozen daemon get a second attempt at
another one; the frozen daemon then wakes and gets on with the first attempt.
"""

import asyncio
import os
import random
import signal
from pathlib import Path

from review.common.client import send_request
from review.common.fleet import CannotRunError, Fleet, route
from review.common.script import main
from review.common.worker import Worker, digest

SERVICE = "catalogue"
VMS = 10
BODY_BYTES = 1_000_000
REQUESTS_PER_S = 13.0
WORK_S = 0.5
CALM_S = 4.0
FREEZES = 12
FREEZE_S = 1.2
PAUSE_S = 2.0
PLAY_S = CALM_S + FREEZES * (FREEZE_S + PAUSE_S)
MIN_ANSWERED_SHARE = 0.5


async def case(record, trouble):
    """Play the case; return the runs whose body is not what the client sent."""
    routes = {"search": route(SERVICE, "/search/", "safe")}
    async with Fleet([SERVICE] * VMS, routes) as fleet:
        await fleet.wait_until_ready()
        workers = [
            Worker(f"i-{n}", daemon, WORK_S) for n, daemon in enumerate(fleet.daemons)
        ]
        for worker in workers:
            await worker.start()
        await asyncio.sleep(4.0)
        sent, tasks = {}, []
        freezing = asyncio.create_task(_freeze(fleet.daemons, record, trouble))
        loop = asyncio.get_running_loop()
        end = loop.time() + PLAY_S
        while loop.time() < end:
            request_id = f"r{len(tasks):06d}"
            body = os.urandom(BODY_BYTES)
            sent[request_id] = digest(body)
            daemon = random.choice(fleet.daemons)
            record.add(f"sent {request_id} to {daemon.name}: {len(body)} bytes")
            request = send_request(
                daemon, request_id, "POST", "/search/photo", body, deadline_ms=2500
            )
            tasks.append(asyncio.create_task(request))
            await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
        outcomes = await asyncio.gather(*tasks)
        await freezing
        for worker in workers:
            worker.stop()
    return _check(record, sent, outcomes, workers)


async def _freeze(daemons, record, trouble):
    """Stop and continue one daemon after the other."""
    await asyncio.sleep(CALM_S)
    for number in range(FREEZES if trouble else 0):
        daemon = daemons[number % len(daemons)]
        record.add(f"{daemon.name} freezes")
        daemon.signal(signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        daemon.signal(signal.SIGCONT)
        record.add(f"{daemon.name} wakes")
        await asyncio.sleep(PAUSE_S)


def _check(record, sent, outcomes, workers):
    broken = []
    for out in outcomes:
        record.add(f"answered {out.request_id}: {out.status} {out.error}", out.ended_at)
        is_answer = "x-response-stamp" in out.headers and out.status == 200
        if is_answer and out.body.decode() != sent[out.request_id]:
            broken.append(f"{out.request_id}: the answer is for another body")
    for run in (run for worker in workers for run in worker.runs):
        is_same = run.digest == sent.get(run.request_id)
        note = "body as sent" if is_same else "BODY CHANGED"
        record.add(
            f"run of {run.request_id} at {run.worker}: {run.size} bytes, {note}",
            run.started_at,
        )
        if not is_same:
            broken.append(
                f"{run.request_id}: run at {run.worker} with {run.size} bytes"
                f" instead of {BODY_BYTES}"
            )
    answered = sum(out.status == 200 for out in outcomes)
    record.add(f"{answered} of {len(outcomes)} answered; {len(broken)} violations")
    if answered < MIN_ANSWERED_SHARE * len(outcomes):
        raise CannotRunError(f"only {answered} of {len(outcomes)} requests answered")
    return broken


if __name__ == "__main__":
    main(case, Path(__file__).parent)
