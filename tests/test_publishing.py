"""Publishing through a faulty log, with daemons as processes."""

import asyncio
import re

import aiohttp
import pytest

from dandelionarch.core.config import Publication, Verdict
from dandelionarch.core.streams import Record
from dandelionarch.daemon.app import Daemon
from dandelionarch.daemon.settings import read_settings
from dandelionarch.standin.worker import ANNOUNCE_PERIOD_S
from tests.support.fleet import ALLOWANCES, CUSTOMER_KEY, PLANS, Fleet

# A checkpoint is due a quarter of the retention after the first record.
SHORT_RETENTION = "\n[log]\nretention_s = 10\n[orders]\nwindow_s = 5\n"
RETAINED_RECORDS = 8


@pytest.fixture
def fleet(tmp_path):
    """Yield a fleet with a running log; its processes are stopped after the test."""
    fleet = Fleet(tmp_path)
    fleet.start_log()
    yield fleet
    fleet.stop()


def run(fleet, scenario):
    """Run `scenario(fleet, session)` once the log answers."""

    async def start():
        async with aiohttp.ClientSession() as session:
            await wait_until_log_answers(fleet, session)
            await scenario(fleet, session)

    asyncio.run(start())


async def wait_until_log_answers(fleet, session):
    """Wait until the log stand-in answers."""

    async def answers():
        url = f"http://127.0.0.1:{fleet.log_control_port}/standin/counts"
        async with session.get(url) as resp:
            return resp.status == 200

    await fleet.wait_until(answers, "log answers")


class TestPublishing:
    """`dandelionctl` reports the outcome of a change."""

    def test_one_of_two_racing_publishers_wins(self, fleet):
        """Guards against reporting success to two conflicting operators."""
        run(fleet, self._run_race)

    async def _run_race(self, fleet, session):
        assert fleet.publish().returncode == 0
        # Both have read revision 1 before the first append arrives.
        await fleet.set_log_faults(session, slow_ms=400)
        log = ("--base", "1", "--log", fleet.log_url)
        racers = [
            fleet.start_ctl("amend", "--set", f"plan gold:priority={n}", *log)
            for n in (1, 2)
        ]
        ended = [await asyncio.to_thread(racer.communicate) for racer in racers]
        codes = [racer.returncode for racer in racers]
        assert sorted(codes) == [0, 3]
        lost = ended[codes.index(3)][1]
        assert f"change [plan gold] priority={codes.index(0) + 1}" in lost

    def test_lost_reply_counts_once(self, fleet):
        """Guards against a change that is applied twice or reported as failed."""
        run(fleet, self._publish_with_lost_reply)

    async def _publish_with_lost_reply(self, fleet, session):
        await fleet.set_log_faults(session, lost_next=1)
        published = fleet.publish()
        assert published.stdout.startswith("accepted: revision 1"), published.stderr
        history = fleet.ctl("history", "--log", fleet.log_url).stdout.splitlines()
        assert len(history) == 1
        assert "accepted revision=1" in history[0]

    def test_outage_is_reported_truthfully(self, fleet):
        """Guards against reporting `nothing changed` for a change that took effect."""
        run(fleet, self._publish_in_outages)

    async def _publish_in_outages(self, fleet, session):
        await fleet.set_log_faults(session, outage="refuse")
        refused = fleet.publish()
        assert (refused.returncode, "nothing changed" in refused.stderr) == (4, True)
        await fleet.set_log_faults(session, one_way="reads")
        assert "nothing changed" in fleet.publish().stderr
        await fleet.set_log_faults(session)
        assert fleet.publish().returncode == 0
        change = ("amend", "--set", "plan gold:priority=1", "--log", fleet.log_url)
        await fleet.set_log_faults(session, lost_next=1, hang_after_lost=True)
        unknown = fleet.start_ctl(*change, "--timeout", "1.2")
        _, problem = await asyncio.to_thread(unknown.communicate)
        assert unknown.returncode == 4, problem
        record = re.search(r"--record (\w+)", problem)[1]
        await fleet.set_log_faults(session)
        log = ("--log", fleet.log_url)
        found = fleet.ctl("history", "--record", record, *log)
        assert (found.returncode, "accepted revision=2" in found.stdout) == (0, True)
        assert fleet.ctl("history", "--record", "other", *log).returncode == 1


class TestActivation:
    """A daemon activates a configuration once its state is recent."""

    def test_old_revision_is_not_served_while_catching_up(self, tmp_path):
        """Guards against a replaced VM that serves an older revision briefly."""
        fleet = Fleet(tmp_path)
        path = fleet.write_settings("vm-a", "dc-1")
        daemon = Daemon(read_settings(path))
        pub = Publication(0, "ann", (PLANS, ALLOWANCES))
        decision = daemon.config.apply(Record(0, 0.0, "r0", pub.to_bytes()))
        assert decision.verdict is Verdict.ACCEPTED
        daemon._activate_config()
        assert daemon.active_config.lists is None
        daemon.streams._node.ready = True
        daemon._activate_config()
        assert daemon.active_config.lists is daemon.config.state.lists


class TestStartInOutage:
    """A restarted daemon gets the state from peers while the log is unavailable."""

    def test_restarted_daemon_learns_the_state_from_peers(self, fleet):
        """Guards against a fleet that can't replace VMs during an outage of the log."""
        run(fleet, self._restart_in_outage)

    async def _restart_in_outage(self, fleet, session):
        names = ["vm-a", "vm-b", "vm-c", "vm-d"]
        for name in names:
            fleet.start_daemon(name, seeds=names[: names.index(name)][:2])
        assert fleet.publish().returncode == 0
        await fleet.wait_until_ready(session, [])
        await fleet.set_log_faults(session, outage="refuse")
        former_process = fleet.daemons["vm-d"].process
        former_process.kill()
        former_process.wait()
        fleet.start_daemon("vm-d", seeds=names[:2])

        async def has_revision():
            status = await fleet.status(session, "vm-d")
            return status["ready"] and status["revision"] == 1

        await fleet.wait_until(has_revision, "restarted daemon has the revision")
        status = await fleet.status(session, "vm-d")
        assert not status["log_available"]
        await fleet.set_log_faults(session)
        done = fleet.ctl(
            "amend", "--set", "plan gold:priority=1", "--log", fleet.log_url
        )
        assert done.returncode == 0
        await fleet.wait_until_ready(session, [], revision=2)


class TestCheckpoints:
    """State is restored from a checkpoint after its records were truncated."""

    def test_daemon_and_operator_start_from_a_checkpoint(self, tmp_path):
        """Guards against checkpoints that no reader can use."""
        fleet = Fleet(tmp_path)
        fleet.start_log("--retention-records", str(RETAINED_RECORDS))
        try:
            run(fleet, self._truncate_log)
        finally:
            fleet.stop()

    async def _truncate_log(self, fleet, session):
        assert fleet.publish().returncode == 0
        fleet.start_daemon("vm-a", extra=SHORT_RETENTION)
        url = f"{fleet.log_url}/streams/config/records"

        async def has_checkpoint():
            async with session.get(url, params={"from": 1}) as resp:
                return (await resp.json())["records"]

        await fleet.wait_until(has_checkpoint, "daemon appends a checkpoint")
        for _ in range(RETAINED_RECORDS - 1):
            async with session.post(url, data=b"foreign entry") as resp:
                assert resp.status == 200
        async with session.get(url, params={"from": 0}) as resp:
            assert resp.status == 410
        fleet.start_daemon("vm-b")
        await fleet.wait_until_ready(session, [])
        amended = fleet.ctl(
            "amend", "--set", "plan gold:priority=1", "--log", fleet.log_url
        )
        assert amended.stdout.startswith("accepted: revision 2"), amended.stderr
        await fleet.wait_until_ready(session, [], revision=2)


class TestDrain:
    """Operators drain an endpoint or a daemon through the admin port."""

    def test_drained_worker_and_daemon_take_no_new_work(self, fleet):
        """Guards against a drain that the endpoint's next announcement reverts."""
        run(fleet, self._drain_endpoint_and_daemon)

    async def _drain_endpoint_and_daemon(self, fleet, session):
        daemon = fleet.start_daemon("vm-a")
        await fleet.wait_until(lambda: fleet.status(session, "vm-a"), "daemon serves")
        assert fleet.publish().returncode == 0
        for name in ("orders-1", "orders-2"):
            fleet.start_worker(name, "orders", "vm-a")
        await fleet.wait_until_ready(session, ["orders-1", "orders-2"])
        admin = ("--daemon", f"127.0.0.1:{daemon.admin}")
        drained = fleet.ctl("drain", *admin, "--endpoint", "orders-1")
        assert drained.returncode == 0, drained.stderr
        assert fleet.ctl("drain", *admin, "--endpoint", "none").returncode == 1
        # Longer than the period of announcements.
        await asyncio.sleep(ANNOUNCE_PERIOD_S * 1.2)
        endpoints = (await fleet.status(session, "vm-a"))["endpoints"]
        states = {name: e["state"] for name, e in endpoints.items()}
        assert states == {"orders-1": "draining", "orders-2": "ready"}
        url = f"http://127.0.0.1:{daemon.ingress}/orders/7"
        auth = {"Authorization": f"Bearer {CUSTOMER_KEY}"}
        for _ in range(6):
            async with session.get(url, headers=auth) as resp:
                assert (await resp.json())["endpoint"] == "orders-2"
        assert fleet.ctl("drain", *admin).returncode == 0
        assert await asyncio.to_thread(daemon.process.wait, 20) == 0
