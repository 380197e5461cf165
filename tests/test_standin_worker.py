"""Behaviour of the worker stand-in, on which other tests rely."""

import asyncio
import contextlib
from unittest.mock import patch

import aiohttp
import pytest

from dandelionarch.standin.faults import Faults
from tests.support.path import fleet_test, until


async def send_direct(fleet, session, options=(), path="/orders/1", **kwargs):
    """Send a request straight to the worker; return (status, headers, body)."""
    if "w1" not in fleet.workers:
        await fleet.worker("w1", "vm-a", **dict(options))
    url = f"http://127.0.0.1:{fleet.ports['w1']}{path}"
    method = "POST" if "json" in kwargs else "GET"
    async with session.request(method, url, **kwargs) as resp:
        return resp.status, resp.headers, await resp.read()


class TestWorkerStandin:
    """Slots, limits and failures are as set by options and faults."""

    @fleet_test
    async def test_overload_is_refused_as_not_run(self, fleet, session):
        """Guards against accepting more requests than slots and backlog allow."""
        options = {"slots": 1, "backlog": 1, "work_ms": 300}
        await fleet.worker("w1", "vm-a", **options)
        results = await asyncio.gather(*(send_direct(fleet, session) for _ in range(4)))
        assert sorted(status for status, _, _ in results) == [200, 200, 503, 503]
        refusal_headers = [headers for status, headers, _ in results if status == 503]
        assert all(headers["Dandelion-Not-Run"] == "1" for headers in refusal_headers)

    @fleet_test
    async def test_connection_limit(self, fleet, session):
        """Guards against accepting requests beyond the connection limit."""
        await fleet.worker("w1", "vm-a", connections=2, work_ms=100)
        results = await asyncio.gather(*(send_direct(fleet, session) for _ in range(3)))
        assert sorted(status for status, _, _ in results) == [200, 200, 503]

    @fleet_test
    async def test_deadline_and_cancellation_are_recorded(self, fleet, session):
        """Guards against wrong records, on which audits of cancellation rely."""
        worker = await fleet.worker("w1", "vm-a", work_ms=5000)
        headers = {"Dandelion-Time-Budget": "50", "Idempotency-Key": "k1"}
        status, _, _ = await send_direct(fleet, session, headers=headers)
        assert (status, worker.runs[0]["result"]) == (504, "deadline")
        assert worker.runs[0]["key"] == "k1"
        with contextlib.suppress(TimeoutError):
            timeout = aiohttp.ClientTimeout(total=0.1)
            await send_direct(fleet, session, timeout=timeout)
        await until(lambda: worker.runs[1]["end"], "run ends")
        assert worker.runs[1]["result"] == "cancelled"

    @fleet_test
    async def test_faults_of_a_path_prefix(self, fleet, session):
        """Guards against faults that affect other paths or can't be removed."""
        options = {"work_ms": 1}
        fault = {"prefix": "/orders/bad", "errors": 1.0, "healthy_probes": False}
        status, _, _ = await send_direct(
            fleet, session, options, "/standin/faults", json=fault
        )
        assert status == 200
        assert (await send_direct(fleet, session, path="/orders/good"))[0] == 200
        assert (await send_direct(fleet, session, path="/orders/bad"))[0] == 500
        assert (await send_direct(fleet, session, path="/standin/probe"))[0] == 500
        await send_direct(fleet, session, path="/standin/faults", json={})
        assert (await send_direct(fleet, session, path="/orders/bad"))[0] == 200
        assert (await send_direct(fleet, session, path="/standin/probe"))[0] == 200
        status, _, body = await send_direct(
            fleet, session, path="/standin/faults", json={"slow": "x"}
        )
        assert status == 400
        assert b"slow" in body

    @fleet_test
    async def test_work_time_while_slow_or_cold(self, fleet, session):
        """Guards against wrong factors on the time of work."""
        worker = await fleet.worker("w1", "vm-a", work_ms=20, cold_s=60, cold_factor=5)
        assert worker.work_ms({}, Faults(slow=2.0)) == 200
        assert worker.work_ms({"ms": "7"}, Faults()) == 35
        warm = await fleet.worker("w2", "vm-a", work_ms=20)
        assert warm.work_ms({}, Faults()) == 20

    def test_flapping(self):
        """Guards against failures that don't start and stop periodically."""
        faults = Faults(hang=True, flap_s=2.0)
        with patch("dandelionarch.standin.faults.time.monotonic") as clock:
            affected = []
            for clock.return_value in (0.0, 1.9, 2.0, 3.9, 4.0):
                affected.append(faults.affects("/"))
        assert affected == [True, True, False, False, True]

    @pytest.mark.parametrize("values", [{"typo": 1}, {"hang": 1}, {"prefix": 3}])
    def test_invalid_faults(self, values):
        """Guards against a fault that is silently not injected."""
        with pytest.raises(ValueError, match=next(iter(values))):
            Faults.from_dict(values)
