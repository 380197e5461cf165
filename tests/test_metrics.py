"""Metrics of the request path."""

import asyncio
import socket

from dandelionarch.metrics import PrometheusMetrics, StatsdMetrics
from tests.support.path import fleet_test


class TestPathMetrics:
    """Outcomes, latencies and requests in flight are sent to statsd."""

    @fleet_test
    async def test_names(self, fleet, session):
        """Guards against renamed metrics, on which dashboards and alarms depend."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(("127.0.0.1", 0))
        sock.setblocking(False)
        daemon = await fleet.daemon("vm-a")
        daemon.http.metrics = StatsdMetrics("127.0.0.1", sock.getsockname()[1], "d")
        worker = await fleet.worker("w1", "vm-a")
        for refuse in (False, True):
            worker.faults.refuse = refuse
            async with session.post(fleet.url("vm-a")) as resp:
                await resp.read()
        async with session.get(fleet.url("vm-a", "/nowhere")) as resp:
            await resp.read()
        await asyncio.sleep(0.05)
        metrics = set()
        while True:
            try:
                name, _, value = sock.recv(1024).decode().partition(":")
            except BlockingIOError:
                break
            metrics.add((name, value.rpartition("|")[2]))
        sock.close()
        assert metrics == {
            ("d.in_flight", "g"),
            ("d.latency", "ms"),
            ("d.outcome.answer", "c"),
            ("d.outcome.not-run", "c"),
            ("d.refused.404", "c"),
        }


class TestPrometheusMetrics:
    """The page that a monitoring system scrapes."""

    def test_page_has_counters_gauges_and_histograms(self):
        """Guards against a metric that is recorded but not rendered."""
        metrics = PrometheusMetrics()
        metrics.incr("outcome.answer")
        metrics.gauge("in_flight", 3)
        metrics.timing("latency", 250)
        page = metrics.render().decode()
        assert 'dandelion_events_total{name="outcome.answer"} 1.0' in page
        assert 'dandelion_level{name="in_flight"} 3.0' in page
        assert 'dandelion_duration_ms_bucket{le="300.0",name="latency"} 1.0' in page
        assert 'dandelion_duration_ms_bucket{le="200.0",name="latency"} 0.0' in page
