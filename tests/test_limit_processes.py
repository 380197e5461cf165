"""Limits of a customer with daemons as separate processes."""

import asyncio
from collections import Counter

import aiohttp

from tests.support.fleet import ALLOWANCES, CUSTOMER_KEY

AUTH = {"Authorization": f"Bearer {CUSTOMER_KEY}"}
LOW_ALLOWANCES = ALLOWANCES.replace("rate = 1000", "rate = 2").replace(
    "burst = 1000", "burst = 8"
)


class TestLimitsOverTheFleet:
    """Two daemons, one of them the home of the customer's limit."""

    def test_over_limit_is_refused_as_not_run(self, fleet):
        """Guards against a limit per ingress, and a 429 without Retry-After."""
        fleet.start_log()
        fleet.start_daemon("vm-a")
        fleet.start_daemon("vm-b", seeds=["vm-a"])
        fleet.start_worker("orders-1", "orders", "vm-b")
        asyncio.run(self._run(fleet))

    async def _run(self, fleet):
        async with aiohttp.ClientSession(headers=AUTH) as session:
            await fleet.wait_until(
                lambda: fleet.status(session, "vm-b"), "second daemon serves"
            )
            process = fleet.publish(allowances=LOW_ALLOWANCES)
            assert process.returncode == 0, process.stderr
            await fleet.wait_until_ready(session, ["orders-1"])
            counts = Counter()
            for number in range(60):
                port = fleet.daemons[("vm-a", "vm-b")[number % 2]].ingress
                url = f"http://127.0.0.1:{port}/orders/{number}"
                async with session.get(url) as resp:
                    counts[resp.status] += 1
                    if resp.status == 429:
                        assert resp.headers["Dandelion-Outcome"] == "not-run"
                        assert int(resp.headers["Retry-After"]) >= 1
            assert set(counts) == {200, 429}
            async with session.get(
                f"http://127.0.0.1:{fleet.workers['orders-1'][0]}/standin/runs"
            ) as resp:
                assert len(await resp.json()) == counts[200]
