"""Daemons that stop, die, pause and are replaced, as separate processes."""

import asyncio
import signal

import aiohttp
import pytest

from tests.support.fleet import CUSTOMER_KEY, Fleet

AUTH = {"Authorization": f"Bearer {CUSTOMER_KEY}"}
VMS = ("vm-a", "vm-b", "vm-c")
CLIENTS = 6
MAX_TRIES = 200


@pytest.fixture
def fleet(tmp_path):
    """Yield three daemons with a worker each; all are stopped after the test."""
    fleet = Fleet(tmp_path)
    fleet.start_log()
    for vm in VMS:
        fleet.start_daemon(vm, seeds=[v for v in VMS if v in fleet.daemons])
        fleet.start_worker(f"orders-{vm}", "orders", vm, "--work-ms", "20")
    yield fleet
    fleet.stop()


class Load:
    """Callers that retry at another ingress if the request has not run.

    Attributes
    ----------
    answered : int
        Requests with an answer so far.
    lost_results : list of str
        Outcomes of all other requests.
    """

    def __init__(self, fleet, session, method):
        self._fleet = fleet
        self._session = session
        self._method = method
        self.running = True
        self.answered = 0
        self.lost_results = []
        self._tasks = [asyncio.create_task(self._call(i)) for i in range(CLIENTS)]

    async def stop(self):
        """Wait for the calls in flight and return the lost ones."""
        self.running = False
        await asyncio.gather(*self._tasks)
        return self.lost_results

    async def _call(self, client):
        vm_index = client
        while self.running:
            for _ in range(MAX_TRIES):
                vm_index += 1
                result = await self._try(VMS[vm_index % len(VMS)])
                if result != "not-run":
                    break
                await asyncio.sleep(0.02)
            if result == "answer":
                self.answered += 1
            else:
                self.lost_results.append(result)

    async def _try(self, vm):
        url = f"http://127.0.0.1:{self._fleet.daemons[vm].ingress}/orders"
        try:
            async with self._session.request(self._method, url) as resp:
                await resp.read()
                return resp.headers.get("Dandelion-Outcome")
        except aiohttp.ClientConnectorError:
            return "not-run"
        except aiohttp.ClientError as exc:
            return f"{vm}: {exc!r}"


def new_session():
    """Return a session that opens a connection per request."""
    connector = aiohttp.TCPConnector(force_close=True)
    return aiohttp.ClientSession(headers=AUTH, connector=connector)


async def start(fleet, session):
    """Publish the lists and wait until all daemons know all endpoints."""
    await fleet.wait_until(lambda: fleet.status(session, "vm-c"), "daemons serve")
    assert fleet.publish().returncode == 0
    await fleet.wait_until_ready(session, [f"orders-{vm}" for vm in VMS])


async def wait_for_state(fleet, session, vm, state, observers):
    """Wait until the daemons `observers` see a VM in a state."""

    async def check():
        views = [await fleet.status(session, other) for other in observers]
        return all(view["vms"].get(vm) == state for view in views)

    await fleet.wait_until(check, f"{vm} is {state}")


async def count_runs(fleet, session, vm):
    """Return how many requests the worker on a VM has run."""
    port = fleet.workers[f"orders-{vm}"][0]
    async with session.get(f"http://127.0.0.1:{port}/standin/runs") as resp:
        return len(await resp.json())


async def wait_for_exit(process):
    """Wait for a stopping process to exit; return its exit code."""
    return await asyncio.to_thread(process.wait, 20)


class TestReplacement:
    """Planned stops lose no request; the fleet recovers from crashes and pauses."""

    def test_rolling_replacement_under_load(self, fleet):
        """Guards against requests that a planned stop loses or runs twice."""
        asyncio.run(self._replace_all_vms(fleet))

    async def _replace_all_vms(self, fleet):
        async with new_session() as session:
            await start(fleet, session)
            load = Load(fleet, session, "POST")
            runs = 0
            for vm in VMS:
                process = fleet.daemons[vm].process
                process.send_signal(signal.SIGTERM)
                assert await wait_for_exit(process) == 0
                runs += await count_runs(fleet, session, vm)
                worker = fleet.workers[f"orders-{vm}"][1]
                worker.send_signal(signal.SIGTERM)
                assert await wait_for_exit(worker) == 0
                fleet.start_daemon(vm, seeds=[v for v in VMS if v != vm])
                fleet.start_worker(f"orders-{vm}", "orders", vm, "--work-ms", "20")
                await fleet.wait_until_ready(session, [f"orders-{v}" for v in VMS])
                await wait_for_state(fleet, session, vm, "alive", VMS)
            assert await load.stop() == []
            for vm in VMS:
                runs += await count_runs(fleet, session, vm)
            assert runs == load.answered > 100

    def test_crash_pause_and_replacement_at_the_same_address(self, fleet):
        """Guards against a fleet that does not recover from a crash or a pause.

        Callers must get answers again after a daemon is killed. A daemon that was
        paused must not stay dead to the others or consider the others dead.
        """
        asyncio.run(self._crash_and_pause(fleet))

    async def _crash_and_pause(self, fleet):
        async with new_session() as session:
            await start(fleet, session)
            load = Load(fleet, session, "GET")
            paused = fleet.daemons["vm-b"].process
            paused.send_signal(signal.SIGSTOP)
            fleet.daemons["vm-c"].process.kill()
            await wait_for_state(fleet, session, "vm-b", "dead", ["vm-a"])
            await wait_for_state(fleet, session, "vm-c", "dead", ["vm-a"])
            paused.send_signal(signal.SIGCONT)
            fleet.start_daemon("vm-c", seeds=["vm-a"])
            for vm in VMS:
                await wait_for_state(fleet, session, vm, "alive", VMS)
            await fleet.wait_until_ready(session, [f"orders-{vm}" for vm in VMS])
            answered = load.answered
            await asyncio.sleep(1.0)
            await load.stop()
            assert load.answered > answered > 0
            for line in fleet.log_lines("vm-b"):
                assert "vm=vm-a state=dead" not in line
