"""The limits task of a daemon that is the home of its own customers."""

import asyncio
import random

from dandelionarch.core.directory import Directory
from dandelionarch.core.ingress import Work
from dandelionarch.daemon.limits import Limits
from tests.test_limits import ALLOWANCES, CONCURRENCY, PLANS, parse_lists


class FakeNetwork:
    """A network of one daemon; messages arrive in the next loop iteration."""

    vm_id = "vm"

    def __init__(self):
        self.handlers, self.sent = {}, []
        self.subscribe = self.handlers.__setitem__

    def now(self):
        return asyncio.get_running_loop().time()

    def spawn(self, coro):
        return asyncio.get_running_loop().create_task(coro)

    async def send(self, vm_id, msg):
        await asyncio.sleep(0)
        self.deliver(msg)

    def deliver(self, msg):
        self.sent.append(msg)
        link = type("L", (), {"vm_id": "vm", "send": staticmethod(self.deliver)})
        self.handlers[type(msg)](link, msg)


class TestLimitsTask:
    """Simultaneous requests share the exchanges with the home."""

    def test_simultaneous_requests_within_the_limit_are_admitted(self):
        """Guards against refusing requests that wait for the same small grant."""
        admitted, messages = asyncio.run(self._run(CONCURRENCY))
        assert admitted == CONCURRENCY
        assert messages <= 2 * CONCURRENCY

    def test_concurrency_is_not_exceeded(self):
        """Guards against exceeding the limit when many requests arrive together."""
        assert asyncio.run(self._run(3 * CONCURRENCY))[0] == CONCURRENCY

    @staticmethod
    async def _run(count):
        network = FakeNetwork()
        state = type("S", (), {"lists": parse_lists(PLANS, ALLOWANCES)})()
        limits = Limits(network, Directory(), state, random.Random(1))
        work = Work("r", "c", "s", "route", "kind", True, 0)
        results = await asyncio.gather(*(limits.admit(work) for _ in range(count)))
        admitted = sum(reason is None for _, reason, _ in results)
        return admitted, len(network.sent)
