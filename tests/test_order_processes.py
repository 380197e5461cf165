"""At-most-once orders with separate processes."""

import asyncio
import contextlib
import signal

import aiohttp
import pytest

from tests.support.fleet import CUSTOMER_KEY, Fleet

AUTH = {"Authorization": f"Bearer {CUSTOMER_KEY}"}


@pytest.fixture
def fleet(tmp_path):
    """Return two daemons with a worker each; their processes end with the test."""
    fleet = Fleet(tmp_path)
    fleet.start_log()
    fleet.start_daemon("vm-a")
    fleet.start_daemon("vm-b", seeds=["vm-a"])
    for vm in ("vm-a", "vm-b"):
        fleet.start_worker(f"orders-{vm}", "orders", vm, "--work-ms", "30")
    yield fleet
    fleet.stop()


def order(fleet, session, vm, key, body=b"lamp"):
    """Return the request context of one order through a daemon."""
    url = f"http://127.0.0.1:{fleet.daemons[vm].ingress}/orders"
    return session.post(url, data=body, headers={"Idempotency-Key": key})


async def send(fleet, session, vm, key, body=b"lamp"):
    """Send an order and return (status, outcome, text)."""
    async with order(fleet, session, vm, key, body) as resp:
        return resp.status, resp.headers["Dandelion-Outcome"], await resp.text()


async def runs_of(fleet, session, key):
    """Return how often the workers ran the order with a key."""
    count = 0
    for port, _ in fleet.workers.values():
        async with session.get(f"http://127.0.0.1:{port}/standin/runs") as resp:
            count += sum(run["key"] == key for run in await resp.json())
    return count


async def start(fleet, session):
    """Publish the lists and wait until the daemons serve."""
    await fleet.wait_until(lambda: fleet.status(session, "vm-b"), "daemon serves")
    assert fleet.publish().returncode == 0
    await fleet.wait_until_ready(session, ["orders-vm-a", "orders-vm-b"])


class TestOrderProcesses:
    """An order that is repeated at any ingress runs once."""

    def test_caller_key(self, fleet):
        """Guards against a second run when an order is repeated at another ingress."""
        asyncio.run(self._caller_key(fleet))

    async def _caller_key(self, fleet):
        async with aiohttp.ClientSession(headers=AUTH) as session:
            await start(fleet, session)
            sent = [send(fleet, session, f"vm-{i}", "key-1") for i in "abab"]
            results = await asyncio.gather(*sent)
            assert [r[:2] for r in results] == [(200, "answer")] * 4
            assert len({r[2] for r in results}) == 1
            again = await send(fleet, session, "vm-a", "key-1")
            assert again[2] == results[0][2]
            other = await send(fleet, session, "vm-b", "key-1", b"other")
            assert other[:2] == (422, "not-run")
            assert await runs_of(fleet, session, "key-1") == 1

    def test_log_outage_and_issued_keys(self, fleet):
        """Guards against a claim that is granted while the log does not answer."""
        asyncio.run(self._outage(fleet))

    async def _outage(self, fleet):
        async with aiohttp.ClientSession(headers=AUTH) as session:
            await start(fleet, session)
            assert (await send(fleet, session, "vm-a", "before"))[0] == 200
            url = f"http://127.0.0.1:{fleet.daemons['vm-a'].ingress}/dandelion/keys"
            async with session.post(url, params={"count": "2"}) as resp:
                issued, spare = (await resp.json())["keys"]
            fleet.log_process.send_signal(signal.SIGSTOP)
            refused = await send(fleet, session, "vm-b", "during")
            assert refused[1] == "unknown"
            assert await runs_of(fleet, session, "during") == 0
            results = [await send(fleet, session, f"vm-{i}", issued) for i in "ba"]
            assert [r[:2] for r in results] == [(200, "answer")] * 2
            assert await runs_of(fleet, session, issued) == 1
            fleet.log_process.send_signal(signal.SIGCONT)

            async def claimed():
                return (await send(fleet, session, "vm-a", "during"))[0] == 200

            await fleet.wait_until(claimed, "claims are granted again")
            assert await runs_of(fleet, session, "during") == 1
            # Only the issuer may grant an issued key, so none is granted after its end.
            fleet.daemons["vm-a"].process.kill()
            lost = await send(fleet, session, "vm-b", spare)
            assert lost[1] == "unknown"
            assert await runs_of(fleet, session, spare) == 0

    def test_order_continues_without_its_caller(self, fleet):
        """Guards against losing an order when its caller disconnects."""
        asyncio.run(self._caller_disconnects(fleet))

    async def _caller_disconnects(self, fleet):
        async with aiohttp.ClientSession(headers=AUTH) as session:
            await start(fleet, session)
            timeout = aiohttp.ClientTimeout(total=0.02)
            url = f"http://127.0.0.1:{fleet.daemons['vm-a'].ingress}/orders"
            headers = {"Idempotency-Key": "left"}
            with contextlib.suppress(TimeoutError):
                await session.post(url, data=b"lamp", headers=headers, timeout=timeout)

            async def answered():
                return (await send(fleet, session, "vm-b", "left"))[0] == 200

            await fleet.wait_until(answered, "the repeat finds the answer")
            assert await runs_of(fleet, session, "left") == 1
