"""A request through caller, ingress, agent and worker as separate processes."""

import asyncio

import aiohttp

from tests.support.fleet import CUSTOMER_KEY

AUTH = {"Authorization": f"Bearer {CUSTOMER_KEY}"}


class TestRequestPath:
    """Requests cross the link between two daemon processes."""

    def test_request_reaches_a_worker_beside_another_daemon(self, fleet):
        """Guards the path from the ingress over a link to a remote agent."""
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
            published = fleet.publish()
            assert published.returncode == 0, published.stderr
            await fleet.wait_until_ready(session, ["orders-1"])
            url = f"http://127.0.0.1:{fleet.daemons['vm-a'].ingress}/orders/7?x=1"
            async with session.get(url) as resp:
                body = await resp.json()
                assert resp.status == 200
                assert resp.headers["Dandelion-Outcome"] == "answer"
            assert body["target"] == "/orders/7?x=1"
            assert body["request"] == resp.headers["Dandelion-Request-Id"]
            async with session.post(url, data=b"x" * 300_000) as resp:
                assert (await resp.json())["size"] == 300_000
            async with session.get(url, headers={"Authorization": "no"}) as resp:
                assert resp.status == 401
