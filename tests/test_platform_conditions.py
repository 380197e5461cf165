"""What endpoints of the platform say in their answers of the work that they take."""

import asyncio
import itertools

from tests.support.platform.fleet import ask, platform_test
from tests.support.platform.worker import answer

LIMIT_PER_S = 4.0
CALLS = 60
SECONDS = 2.0
# An endpoint gets at most one and a half times its limit, and 5 requests.
SLACK_FACTOR = 1.5
SLACK = 5


def answer_with(*fields, delay_s=0.0):
    """Return a handler whose answers have further header fields."""

    async def handle(req, writer):
        await asyncio.sleep(delay_s)
        writer.write(answer(req, extra=fields))

    return handle


async def call_often(fleet, session, vm, calls=CALLS, seconds=SECONDS, prefix="r"):
    """Send requests at a steady rate; return the statuses."""

    async def call(number):
        await asyncio.sleep(number * seconds / calls)
        status, _, _ = await ask(
            session, fleet, vm, request_id=f"{prefix}-{number}", deadline_ms=500
        )
        return status

    return await asyncio.gather(*map(call, range(calls)))


class TestRateLimit:
    """An endpoint gets no more requests than it takes."""

    async def statuses(self, fleet, session, fields):
        """Return the statuses of 20 requests to a worker.

        Each of its answers has the next of some header fields.
        """

        async def handle(req, writer):
            writer.write(answer(req, extra=(next(fields),)))

        await fleet.daemon("vm-a")
        await fleet.configure()
        await fleet.worker("vm-a", handle, session=session)
        return set(await call_often(fleet, session, "vm-a", calls=20))

    @platform_test
    async def test_named_limit_is_kept(self, fleet, session):
        """Guards against overloading an endpoint that has named its limit."""
        await fleet.daemon("vm-a")
        await fleet.configure()
        handle = answer_with(f"Server-Limit: {LIMIT_PER_S}")
        worker = await fleet.worker("vm-a", handle, session=session)
        statuses = await call_often(fleet, session, "vm-a")
        assert set(statuses) == {200, 503}
        received = len(worker.received)
        assert received <= SLACK_FACTOR * LIMIT_PER_S * SECONDS + SLACK
        assert received >= LIMIT_PER_S * SECONDS

    @platform_test
    async def test_limit_ends_with_an_answer_that_does_not_name_it(
        self, fleet, session
    ):
        """Guards against a limit that outlasts the endpoint's need."""
        fields = itertools.chain(["Server-Limit: 1"], itertools.repeat("X-None: 1"))
        assert await self.statuses(fleet, session, fields) == {200}

    @platform_test
    async def test_unreadable_limit_is_ignored(self, fleet, session):
        """Guards against an error or a stop at a limit that is no number."""
        values = itertools.cycle(["-1", "1e9", "nan", "inf", "", "0x1", "1" * 400])
        fields = (f"Server-Limit: {value}" for value in values)
        assert await self.statuses(fleet, session, fields) == {200}

    @platform_test
    async def test_restarted_daemon_keeps_the_limit(self, fleet, session):
        """Guards against an overload after a restart of the endpoint's own daemon.

        Its peers know the limit, and the endpoint's first answer takes a while.
        """
        for vm in ("vm-a", "vm-b"):
            await fleet.daemon(vm)
        await fleet.configure()
        handle = answer_with("Server-Limit: 1", delay_s=0.4)
        worker = await fleet.worker("vm-b", handle, session=session)
        await fleet.wait_for_links()
        await call_often(fleet, session, "vm-a", calls=2, seconds=0.5)
        await fleet.daemons["vm-b"].stop()
        await fleet.daemon("vm-b")
        await fleet.report(session, "vm-b", worker, sequence=2)
        await fleet.wait_for_links()
        before = len(worker.received)
        await call_often(
            fleet, session, "vm-a", calls=CALLS, seconds=0.3, prefix="after"
        )
        # Two requests may follow one another at once.
        assert 1 <= len(worker.received) - before <= 2


class TestLeaving:
    """An endpoint that says in an answer that it leaves gets nothing more."""

    @platform_test
    async def test_no_request_after_the_answer(self, fleet, session):
        """Guards against sending work to an endpoint that has not yet reported it."""
        for vm in ("vm-a", "vm-b"):
            await fleet.daemon(vm)
        await fleet.configure()
        worker = await fleet.worker(
            "vm-b", answer_with("Server-Leaving: 1"), session=session
        )
        await fleet.wait_for_links()
        assert (await ask(session, fleet, "vm-a"))[0] == 200
        # A report that was sent before the endpoint began to leave.
        await fleet.report(session, "vm-b", worker, sequence=2)
        statuses = await call_often(fleet, session, "vm-a", calls=5, prefix="late")
        assert set(statuses) == {503}
        assert len(worker.received) == 1
