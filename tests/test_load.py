"""Schedule, report and requests of the load generator."""

import argparse
import asyncio
import datetime
import io
import json
import random

import pytest
from aiohttp import web

from dandelionarch.load.generator import Generator, Workload
from dandelionarch.load.main import build_parser
from dandelionarch.load.report import Report
from dandelionarch.load.schedule import Crest, Step, start_times
from tests.support.path import fleet_test


class TestSchedule:
    """Start times are determined by the options and the seed."""

    def test_steps_and_crests_in_order(self):
        """Guards against a wrong rate of a step or a wrong start of a crest."""
        steps = [Step.parse("10:1"), Step.parse("0:1"), Step.parse("20:1")]
        times = list(start_times(steps, [Crest.parse("1.5,4,0")], 1000))
        assert times == sorted(times)
        assert len([t for t in times if t < 1]) == 10
        assert [t for t in times if 1 <= t < 2] == [1.5] * 4
        assert len([t for t in times if t >= 2]) == 20

    def test_limit_and_seed(self):
        """Guards against too many requests, and runs that can't be reproduced."""
        first_times = list(start_times([Step(1e6, 1e6)], [], 50, random.Random(7)))
        second_times = list(start_times([Step(1e6, 1e6)], [], 50, random.Random(7)))
        assert first_times == second_times
        assert len(first_times) == 50

    def test_time_of_day(self):
        """Guards against a crest on the wrong day."""
        now = datetime.datetime(2026, 1, 1, 12, 0, 0, tzinfo=datetime.UTC)
        assert Crest.parse("12:00:10,5,1", now).start_s == 10
        assert Crest.parse("11:59:50,5,1", now).start_s == 86_390

    @pytest.mark.parametrize("text", ["1", "-1:5", "1:0", "x:1"])
    def test_bad_step(self, text):
        """Guards against an endless or meaningless load."""
        parser = build_parser()
        with pytest.raises((SystemExit, argparse.ArgumentError)):
            parser.parse_args(["--target", "x", "--customer", "a=b", "--step", text])


class TestReport:
    """Latencies are measured from the time at which a request was due."""

    def test_coordinated_omission(self):
        """Guards against omitting the time before a request was sent."""
        report = Report()
        report.add(0.0, 0.5, 0.6, {"outcome": "answer", "status": 200})
        result = report.to_dict()
        assert result["latency_ms"]["answer"]["50"] == pytest.approx(600, rel=0.01)
        assert result["service_ms"]["50"] == pytest.approx(100, rel=0.01)


class TestGenerator:
    """Every request that is due is counted once with its outcome."""

    @fleet_test
    async def test_outcomes_and_records(self, fleet, session):
        """Guards against wrong counts or records, and too many requests in flight."""
        daemon = await fleet.daemon("vm-a")
        worker = await fleet.worker("w1", "vm-a", work_ms=1)
        records = io.StringIO()
        report = Report(records)
        url = f"http://127.0.0.1:{daemon.settings.daemon.ingress_port}"
        workload = Workload(
            (url,),
            (("shop", "key-of-shop"), ("stranger", "wrong")),
            (("POST", "/orders/{n}", 1.0),),
            keys=True,
            max_in_flight=60,
        )
        # The first run ends before the burst of the second one starts.
        for times in ([i / 100 for i in range(40)], [0.1] * 100):
            await Generator(workload, report, random.Random(3)).run(iter(times))
        lines = [json.loads(line) for line in records.getvalue().splitlines()]
        assert len(lines) == sum(report.outcomes.values()) == 140
        assert report.outcomes["not-sent"] == 40
        answered_keys = {
            line["key"] for line in lines if line.get("outcome") == "answer"
        }
        assert answered_keys == {
            run["key"] for run in worker.runs if run["result"] == "done"
        }
        assert report.statuses["not-run 401"]

    @fleet_test
    async def test_open_loop(self, fleet, session):
        """Guards against waiting for a reply before the next request is sent."""
        started = 0

        async def hang(request):
            nonlocal started
            started += 1
            await asyncio.sleep(60)

        app = web.Application()
        app.router.add_get("/", hang)
        runner = web.AppRunner(app, shutdown_timeout=0.1)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        url = f"http://127.0.0.1:{site._server.sockets[0].getsockname()[1]}"
        report = Report()
        workload = Workload((url,), (("a", "b"),), (("GET", "/", 1.0),), timeout_s=0.5)
        await Generator(workload, report, random.Random(1)).run(iter([0.0] * 20))
        assert started == report.outcomes["timeout"] == 20
        await runner.cleanup()
