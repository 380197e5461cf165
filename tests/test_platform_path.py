"""Requests through daemons that run on stand-ins of the platform."""

import asyncio
import json
import time

from dandelionarch.core.hedging import MIN_SAMPLES, MIN_SAMPLES_OF_LONGEST
from dandelionarch.core.world import Health
from tests.support.path import until
from tests.support.platform.fleet import (
    ROUTES,
    ask,
    platform_test,
    route,
)
from tests.support.platform.worker import (
    STAMP,
    answer,
    not_executed,
    reset_connection,
)


async def reset(req, writer):
    """Handle a request by resetting its connection."""
    reset_connection(writer)


class TestForwarding:
    """Requests and answers are forwarded between a caller and a worker."""

    @platform_test
    async def test_request_reaches_worker_unchanged(self, fleet, session):
        """Guards against changes to targets, bodies, hosts or header fields."""
        await fleet.daemon("vm-a", service="stock")
        await fleet.daemon("vm-b")
        await fleet.configure()
        worker = await fleet.worker("vm-b", session=session)
        await fleet.wait_for_links()
        status, fields, body = await ask(
            session,
            fleet,
            "vm-a",
            "/orders/a%20b/?x=%2F&y",
            method="PUT",
            data=b"lamp",
            fields={"X-Caller-Service": "forged", "X-Other": "kept"},
        )
        assert (status, body) == (200, b"done")
        assert fields["X-Response-Stamp"] == STAMP
        assert fields["X-Request-Id"] == "r-1"
        req = worker.received[0]
        assert (req.method, req.target) == ("PUT", "/orders/a%20b/?x=%2F&y")
        assert req.body == b"lamp"
        assert req.headers["host"] == "shop.example"
        assert req.headers["x-caller-service"] == "stock"
        assert req.headers["x-other"] == "kept"
        assert 0 < int(req.headers["x-request-deadline"]) <= 2000

    @platform_test
    async def test_status_without_route_or_configuration(self, fleet, session):
        """Guards against status 404 while the configuration is still unknown."""
        await fleet.daemon("vm-a")
        status, fields, _ = await ask(session, fleet, "vm-a")
        assert status == 503
        assert float(fields["Retry-After"]) > 0
        await fleet.configure()
        for path in ("/orders", "/none/1"):
            status, _, _ = await ask(session, fleet, "vm-a", path)
            assert status == 404, path

    @platform_test
    async def test_deadline_with_a_fraction_is_accepted(self, fleet, session):
        """Guards against rejecting a deadline that isn't a whole number."""
        await fleet.daemon("vm-a")
        await fleet.configure()
        await fleet.worker("vm-a", session=session)
        for deadline, expected in (("1500.5", 200), ("x", 400), ("-1", 400)):
            status, _, _ = await ask(session, fleet, "vm-a", deadline_ms=deadline)
            assert status == expected, deadline

    @platform_test
    async def test_body_without_length_is_delivered_if_closed(self, fleet, session):
        """Guards against rejecting an answer that ends when the connection closes."""

        async def close_after(req, writer):
            writer.write(answer(req, b"whole", length=False))
            writer.close()

        await fleet.daemon("vm-a")
        await fleet.configure()
        await fleet.worker("vm-a", close_after, session=session)
        status, _, body = await ask(session, fleet, "vm-a", "/place/1", method="POST")
        assert (status, body) == (200, b"whole")

    @platform_test
    async def test_body_without_length_is_incomplete_if_reset(self, fleet, session):
        """Guards against delivering an answer truncated by a reset as complete."""

        async def reset_after(req, writer):
            writer.write(answer(req, b"ha", length=False))
            await writer.drain()
            await asyncio.sleep(0.05)
            reset_connection(writer)

        await fleet.daemon("vm-a")
        await fleet.configure()
        await fleet.worker("vm-a", reset_after, session=session)
        status, _, _ = await ask(session, fleet, "vm-a", "/place/1", method="POST")
        assert status == 502

    @platform_test
    async def test_extra_answer_is_dropped(self, fleet, session):
        """Guards against using an extra answer as that to the next request."""

        async def answer_previous_first(req, writer):
            if worker.received[1:]:
                writer.write(answer(worker.received[0], b"extra"))
            writer.write(answer(req, req.request_id.encode()))

        await fleet.daemon("vm-a")
        await fleet.configure()
        worker = await fleet.worker("vm-a", answer_previous_first, session=session)
        for request_id in ("r-1", "r-2"):
            status, _, body = await ask(
                session, fleet, "vm-a", "/place/1", request_id, method="POST"
            )
            assert (status, body) == (200, request_id.encode())

    @platform_test
    async def test_answer_without_stamp_is_rejected(self, fleet, session):
        """Guards against delivering an answer that no worker has signed."""

        async def unsigned(req, writer):
            writer.write(answer(req, stamp=False))

        await fleet.daemon("vm-a")
        await fleet.configure()
        await fleet.worker("vm-a", unsigned, session=session)
        status, _, _ = await ask(session, fleet, "vm-a", "/place/1", method="POST")
        assert status == 502


class TestFailingWorker:
    """A failing worker makes as few requests fail as possible."""

    @platform_test
    async def test_safe_request_is_retried_on_another_worker(self, fleet, session):
        """Guards against failing a request that may be repeated."""
        await fleet.daemon("vm-a")
        await fleet.daemon("vm-b")
        await fleet.configure()
        await fleet.worker("vm-a", reset, session=session)
        await fleet.worker("vm-b", session=session)
        await fleet.wait_for_links()
        for n in range(4):
            status, _, _ = await ask(session, fleet, "vm-a", request_id=f"r-{n}")
            assert status == 200

    @platform_test
    async def test_error_is_retried_on_another_worker(self, fleet, session):
        """Guards against delivering an error that another worker could avoid."""

        async def fail(req, writer):
            writer.write(answer(req, b"broken", 500))

        await fleet.daemon("vm-a")
        await fleet.daemon("vm-b")
        await fleet.configure()
        await fleet.worker("vm-a", fail, session=session)
        status, _, body = await ask(session, fleet, "vm-a")
        assert (status, body) == (500, b"broken")
        await fleet.worker("vm-b", session=session)
        await fleet.wait_for_links()
        for n in range(4):
            status, _, body = await ask(session, fleet, "vm-a", request_id=f"r-{n}")
            assert (status, body) == (200, b"done")

    @platform_test
    async def test_order_is_not_repeated_after_a_reset(self, fleet, session):
        """Guards against running an order twice or reporting it as not run."""
        await fleet.daemon("vm-a")
        await fleet.configure()
        worker = await fleet.worker("vm-a", reset, session=session)
        status, _, _ = await ask(session, fleet, "vm-a", "/place/1", method="POST")
        assert status == 502
        assert len(worker.received) == 1

    @platform_test
    async def test_closed_gate_sends_orders_to_another_worker(self, fleet, session):
        """Guards against sending orders to a worker that has just failed."""
        await fleet.daemon("vm-a")
        await fleet.daemon("vm-b")
        await fleet.configure()
        bad = await fleet.worker("vm-a", reset, session=session)
        await fleet.worker("vm-b", session=session)
        await fleet.wait_for_links()
        statuses = []
        for n in range(12):
            status, _, _ = await ask(
                session, fleet, "vm-a", "/place/1", f"r-{n}", method="POST"
            )
            statuses.append(status)
        assert len(bad.received) <= 1
        assert statuses.count(200) >= 11

    @platform_test
    async def test_agent_requests_the_trials_that_open_its_gate(self, fleet, session):
        """Guards against a gate that stays closed although its worker has recovered.

        Without an invitation, an ingress sends one request in 50 to a closed gate.
        """
        failing = True

        async def reset_at_first(req, writer):
            if failing:
                reset_connection(writer)
            else:
                writer.write(answer(req))

        await fleet.daemon("vm-a")
        await fleet.daemon("vm-b")
        await fleet.configure()
        worker = await fleet.worker("vm-b", reset_at_first, session=session)
        await fleet.worker("vm-a", session=session)
        await fleet.wait_for_links()
        ingress = fleet.daemons["vm-a"]
        for n in range(40):
            await ask(session, fleet, "vm-a", request_id=f"r-{n}")
            if worker.received:
                break
        failing = False
        closed = ingress.directory.endpoints["i-vm-b"]
        assert closed.health is Health.TRIAL
        for n in range(12):
            await asyncio.sleep(0.15)
            await ask(session, fleet, "vm-a", request_id=f"s-{n}")
        assert ingress.directory.endpoints["i-vm-b"].health is Health.HEALTHY

    @platform_test
    async def test_request_refused_by_a_worker_is_retried(self, fleet, session):
        """Guards against failing a request that the worker stated it has not run."""

        async def full(req, writer):
            writer.write(not_executed(req))

        await fleet.daemon("vm-a")
        await fleet.daemon("vm-b")
        await fleet.configure()
        await fleet.worker("vm-a", full, session=session)
        good = await fleet.worker("vm-b", session=session)
        await fleet.wait_for_links()
        for n in range(4):
            status, _, _ = await ask(
                session, fleet, "vm-a", "/place/1", f"r-{n}", method="POST"
            )
            assert status == 200
        assert len(good.received) == 4


async def start_beside_work(fleet, session, routes):
    """Start a daemon to stop, and another one, each beside a worker.

    The workers take 3 s for a body with "long" in it, otherwise 10 ms. Returns the
    daemon, whose VM has the worker of `stock`, and the worker of `orders`.
    """

    async def work(req, writer):
        await asyncio.sleep(3.0 if b"long" in req.body else 0.01)
        writer.write(answer(req))

    stopping = await fleet.daemon("vm-a", service="stock", kill_after_s=2.4)
    await fleet.daemon("vm-b")
    await fleet.configure(routes=routes)
    worker = await fleet.worker("vm-b", work, session=session)
    await fleet.worker("vm-a", work, service="stock", session=session)
    await fleet.wait_for_links()
    return stopping, worker


class TestLeaving:
    """Workers and daemons leave without losing requests."""

    @platform_test
    async def test_draining_worker_gets_no_requests(self, fleet, session):
        """Guards against new work for a draining worker, also after a late report."""
        await fleet.daemon("vm-a")
        await fleet.daemon("vm-b")
        await fleet.configure()
        worker = await fleet.worker("vm-a", session=session)
        await fleet.worker("vm-b", session=session)
        await fleet.wait_for_links()
        assert await fleet.report(session, "vm-a", worker, state="draining", sequence=3)
        late = await fleet.report(session, "vm-a", worker, state="ready", sequence=2)
        assert late == 200
        for n in range(6):
            status, _, _ = await ask(session, fleet, "vm-b", request_id=f"r-{n}")
            assert status == 200
        assert worker.received == []

    @platform_test
    async def test_deleted_worker_gets_no_requests(self, fleet, session):
        """Guards against new work for a worker that leaves without draining."""
        await fleet.daemon("vm-a")
        await fleet.configure()
        worker = await fleet.worker("vm-a", session=session)
        host, port = fleet.daemons["vm-a"].settings.listen.reports_address
        url = f"http://{host}:{port}/-/instances/{worker.instance}"
        async with session.delete(url) as resp:
            assert resp.status == 200
        status, _, _ = await ask(session, fleet, "vm-a")
        assert status == 503
        assert worker.received == []

    @platform_test
    async def test_stopping_daemon_finishes_requests_and_is_not_ready(
        self, fleet, session
    ):
        """Guards against a planned stop that aborts requests in flight."""

        async def slow(req, writer):
            await asyncio.sleep(0.5)
            writer.write(answer(req))

        await fleet.daemon("vm-a")
        stopping = await fleet.daemon("vm-b")
        await fleet.configure()
        worker = await fleet.worker("vm-b", slow, session=session)
        await fleet.wait_for_links()
        running = asyncio.create_task(ask(session, fleet, "vm-a"))
        await until(lambda: worker.received, "request runs")
        drained = asyncio.create_task(stopping.drain())
        await asyncio.sleep(0)
        host, port = stopping.settings.listen.readiness_address
        async with session.get(f"http://{host}:{port}/-/readiness") as resp:
            assert resp.status == 503
        status, _, _ = await running
        assert status == 200
        await drained
        status, _, _ = await ask(session, fleet, "vm-a", request_id="r-2")
        assert status == 503
        assert len(worker.received) == 1

    @platform_test
    async def test_request_that_would_outlast_the_stop_is_refused(self, fleet, session):
        """Guards against aborting a request that was accepted late in a planned stop.

        While endpoints of a stopping daemon's VM still work, it serves their calls, and
        callers that know nothing of the stop. On sntal-cl with all daemons stopped and
        started, an order sent 4.5 s after SIGTERM ran and was aborted 1 s later.
        """

        async def slow(req, writer):
            await asyncio.sleep(0.4 if req.target.startswith("/orders") else 3.0)
            writer.write(answer(req))

        stopping = await fleet.daemon("vm-a", service="stock", kill_after_s=1.9)
        await fleet.daemon("vm-b")
        routes = ROUTES | {"long": route("stock", prefix="/long/")}
        await fleet.configure(routes=routes)
        worker = await fleet.worker("vm-b", slow, session=session)
        await fleet.worker("vm-a", slow, service="stock", session=session)
        await fleet.wait_for_links()
        for n in range(MIN_SAMPLES):
            await ask(session, fleet, "vm-a", request_id=f"known-{n}")
        long = asyncio.create_task(
            ask(session, fleet, "vm-b", "/long/1", request_id="long")
        )
        await until(lambda: stopping.agent.in_flight, "endpoint of the VM works")
        drained = asyncio.create_task(stopping.drain())
        await asyncio.sleep(0.3)
        status, _, _ = await ask(
            session, fleet, "vm-a", request_id="in time", deadline_ms=700
        )
        assert status == 200
        await until(
            lambda: stopping.http.planned_stop.time_left_s() < 0.35, "little time left"
        )
        received = len(worker.received)
        status, _, body = await ask(session, fleet, "vm-a", request_id="late")
        assert (status, json.loads(body)["title"]) == (503, "stopping")
        assert len(worker.received) == received
        await drained
        await long

    @platform_test
    async def test_order_that_may_outlast_the_stop_is_refused(self, fleet, session):
        """Guards against aborting a straggler that was accepted late in a planned stop.

        Most orders end well within the time that is left, but one in thirty takes
        several times as long and would be told unknown.
        """

        routes = ROUTES | {"long": route("stock", prefix="/long/")}
        stopping, worker = await start_beside_work(fleet, session, routes)

        async def place(request_id, body=b"", **kwargs):
            return await ask(
                session,
                fleet,
                "vm-a",
                "/place/1",
                request_id,
                method="POST",
                data=body,
                **kwargs,
            )

        for n in range(MIN_SAMPLES):
            assert (await place(f"known-{n}"))[0] == 200
        long = asyncio.create_task(
            ask(session, fleet, "vm-b", "/long/1", "long", data=b"long")
        )
        await until(lambda: stopping.agent.in_flight, "endpoint of the VM works")
        drained = asyncio.create_task(stopping.drain())
        await asyncio.sleep(0.3)
        received = len(worker.received)
        status, _, body = await place("late", b"long")
        assert (status, json.loads(body)["title"]) == (503, "stopping")
        assert len(worker.received) == received
        assert (await place("ends in time", deadline_ms=500))[0] == 200
        await drained
        await long

    @platform_test
    async def test_caller_is_told_apart_from_a_call(self, fleet, session):
        """Guards against aborting an idempotent straggler late in a stop (LOST).

        Callers stay if most daemons of their data centre stop. A request that takes
        longer than all recent ones was taken, and aborted at the end of the stop. Only
        a call of the VM's endpoint, which expires with its run, goes by recent times.
        """

        routes = ROUTES | {"long": route("stock", prefix="/long/")}
        stopping, worker = await start_beside_work(fleet, session, routes)
        for n in range(MIN_SAMPLES_OF_LONGEST):
            assert (await ask(session, fleet, "vm-a", request_id=f"known-{n}"))[
                0
            ] == 200
        calling = asyncio.create_task(
            ask(session, fleet, "vm-b", "/long/1", "l", data=b"long", deadline_ms=5000)
        )
        await until(lambda: stopping.agent.in_flight, "endpoint of the VM works")
        drained = asyncio.create_task(stopping.drain())
        await asyncio.sleep(0.3)
        received = len(worker.received)
        status, _, body = await ask(
            session, fleet, "vm-a", request_id="caller", data=b"long", deadline_ms=10000
        )
        assert (status, json.loads(body)["title"]) == (503, "stopping")
        assert len(worker.received) == received
        status, _, _ = await ask(
            session, fleet, "vm-a", request_id="call", deadline_ms=2500
        )
        assert status == 200
        await drained
        await calling

    @platform_test
    async def test_request_that_waits_is_refused_before_the_stop_ends(
        self, fleet, session
    ):
        """Guards against aborting, as unknown, what waits for a slot in a stop (LOST).

        The endpoint's slots are taken by long work. A call that takes a few ms waited
        for one until the daemon of its VM had stopped.
        """

        def start_long(path, request_id):
            options = {"data": b"long", "method": "POST", "deadline_ms": 4000}
            return asyncio.create_task(
                ask(session, fleet, "vm-b", path, request_id, **options)
            )

        routes = {
            "read": route(timeout_ms=4000),
            "long": route("stock", prefix="/long/", timeout_ms=4000),
        }
        stopping, worker = await start_beside_work(fleet, session, routes)
        for n in range(MIN_SAMPLES_OF_LONGEST):
            await ask(session, fleet, "vm-a", request_id=f"known-{n}")
        taken = len(worker.received)
        long = [start_long("/orders/1", f"long-{n}") for n in range(3)]
        long.append(start_long("/long/1", "calls"))
        await until(lambda: stopping.agent.in_flight, "endpoint of the VM works")
        await until(lambda: len(worker.received) == taken + 3, "slots are taken")
        drained = asyncio.create_task(stopping.drain())
        await asyncio.sleep(0.3)
        status, _, _ = await ask(
            session, fleet, "vm-a", request_id="call", deadline_ms=2500
        )
        assert status == 503
        assert not drained.done()
        assert "call" not in [req.request_id for req in worker.received]
        await drained
        await asyncio.gather(*long)

    @platform_test
    async def test_stop_sends_no_attempts_again(self, fleet, session):
        """Guards against runs that a stopped daemon starts and nobody waits for.

        A daemon that stops closes its links, and took that for the failure of each.
        """

        async def hang(req, writer):
            await asyncio.sleep(2.0)

        stopping = await fleet.daemon("vm-a", service="stock", kill_after_s=1.2)
        for vm in ("vm-b", "vm-c", "vm-d"):
            await fleet.daemon(vm)
        # The objective is so long that no second attempt is due.
        await fleet.configure(
            routes={"read": route(max_attempts=3, target_latency_ms=20_000)}
        )
        workers = [
            await fleet.worker(vm, hang, session=session)
            for vm in ("vm-b", "vm-c", "vm-d")
        ]
        await fleet.wait_for_links()

        def received():
            return sum(len(worker.received) for worker in workers)

        asked = asyncio.create_task(ask(session, fleet, "vm-a", deadline_ms=3000))
        await until(received, "request at its endpoint")
        await stopping.drain()
        await stopping.stop()
        await asyncio.sleep(0.2)
        assert received() == 1
        await asyncio.gather(asked, return_exceptions=True)


class TestRouteTimeout:
    """A route limits the time for which a caller waits."""

    @platform_test
    async def test_request_ends_at_the_timeout_of_its_route(self, fleet, session):
        """Guards against waiting longer than the route allows for a hung worker."""

        async def hang(req, writer):
            await asyncio.sleep(30)

        await fleet.daemon("vm-a")
        await fleet.configure(1, {"order": route(kind="unsafe", timeout_ms=300)})
        await fleet.worker("vm-a", hang, session=session)
        began = time.monotonic()
        status, _, _ = await ask(session, fleet, "vm-a", method="POST")
        assert status == 504
        assert time.monotonic() - began < 0.8
