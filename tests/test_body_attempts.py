"""Attempts of one request whose body is too long to be kept.

Pattern: an attempt waits at an agent, so a second one is sent; then both endpoints read
on. The caller's body can be read only once.
"""

import asyncio
import math
import os
import random

from hypothesis import given, settings
from hypothesis import strategies as st

from dandelionarch.core.directory import Directory
from dandelionarch.core.hedging import MIN_SAMPLES
from dandelionarch.core.ingress import Work
from dandelionarch.core.messages import request as msgs
from dandelionarch.core.outcome import Outcome
from dandelionarch.core.retries import FleetBudget, FleetShareBudget
from dandelionarch.core.world import Endpoint, Vm
from dandelionarch.daemon.agent_run import CHUNK_BYTES
from dandelionarch.daemon.attempt import (
    REPLAY_LIMIT_BYTES,
    BodyRemainder,
    CallerRequest,
)
from dandelionarch.daemon.endpoint_views import IngressRules
from dandelionarch.daemon.ingress import Ingress
from dandelionarch.errors import BodyTooLargeError, CallerBodyError
from tests.support.path import until

WORK = Work("r", "c", "s", "route", "kind", True, 0)
BODY = os.urandom(REPLAY_LIMIT_BYTES + 5 * CHUNK_BYTES + 7)
START = BODY[: REPLAY_LIMIT_BYTES + 3]
MAX_STEPS = 100


class AgentLink:
    """Link to an agent whose endpoint reads the body when it is told to."""

    def __init__(self, network, vm_id):
        self.network, self.vm_id = network, vm_id
        self.attempt_id, self.load = None, None
        self.received, self.unread = b"", []
        self.has_ended = self.is_cancelled = False
        self.begin_request = self.end_request = lambda: None

    async def writable(self):
        """Return at once."""

    def send(self, msg):
        if isinstance(msg, msgs.RequestHead):
            self.attempt_id = msg.attempt_id
            self.load = msgs.LoadReport(msg.endpoint_id, 1, 0, 1, "healthy", 1.0)
            self.network.attempted.append(self)
        elif isinstance(msg, msgs.Cancel):
            self.is_cancelled = True
        elif isinstance(msg, msgs.RequestChunk):
            self.unread.append(msg)

    def read_part(self):
        """Read a part of the body; answer after the last one."""
        if self.is_cancelled or not self.unread:
            return
        part = self.unread.pop(0)
        self.received += part.data
        self.has_ended = part.last
        reply = msgs.Credit(self.attempt_id, len(part.data))
        if part.last:
            answer = (self.attempt_id, 200, (), b"done", True, self.load)
            reply = msgs.ResponseHead(*answer)
        self.reply(reply)

    def refuse(self):
        """Refuse the attempt as one that was not run."""
        self.reply(msgs.Refusal(self.attempt_id, "worker_refused", 0, self.load))

    def reply(self, msg):
        self.network.handlers[type(msg)](self, msg)


class Network:
    """Links to the agents of two VMs."""

    vm_id = "vm-9"

    def __init__(self):
        self.handlers, self.attempted = {}, []
        self.links = {f"vm-{i}": AgentLink(self, f"vm-{i}") for i in range(2)}
        self.subscribe_link_lost = lambda callback: None
        self.subscribe = self.handlers.__setitem__
        self.is_up = lambda vm_id: True

    def spawn(self, coro):
        return asyncio.get_running_loop().create_task(coro)

    async def connect(self, vm_id):
        return self.links[vm_id]


def caller_request(error=None):
    """Return a request with `BODY`; reading its end raises `error`, if given."""
    rest = BODY[len(START) :]
    parts = [rest[i : i + 50_000] for i in range(0, len(rest), 50_000)]

    async def read():
        await asyncio.sleep(0)
        if parts:
            return parts.pop(0)
        if error is not None:
            raise error
        return None

    remainder = BodyRemainder(read, len(START), len(BODY))
    return CallerRequest("POST", "/", (), START, remainder)


async def attempted_twice(network, req):
    """Return the task of a request that two agents have got."""
    directory = Directory()
    for vm_id in network.links:
        directory.put_vm(Vm(vm_id, "dc", "r", "", 0, 0, 0, 0, 1))
        directory.put_endpoint(Endpoint(f"w-{vm_id}", vm_id, "s", "", 9, 1, 9, 1))
    agent = type("A", (), {"repeats_share": 0.0, "on_credit": lambda *_: None})()
    rules = IngressRules(
        make_budget=lambda: FleetShareBudget(
            FleetBudget(1.0, 99, 10.0), lambda: 1, 0.0, -math.inf
        )
    )
    ingress = Ingress(network, directory, agent, random.Random(1), rules)
    for _ in range(MIN_SAMPLES):
        ingress._hedging.observe("s", "route", 0.0)
    deadline = asyncio.get_running_loop().time() + 5.0
    task = network.spawn(ingress.run(WORK, req, deadline))
    await until(lambda: len(network.attempted) == 2, "second attempt", 2.0)
    return task


async def let_endpoints_read(network, task, order):
    """Let the endpoints read in an order, then in turn, until the request has ended."""
    for number in [*order, *[0, 1] * MAX_STEPS]:
        network.attempted[number].read_part()
        for _ in range(5):
            await asyncio.sleep(0)
        if task.done():
            break
    return await task


class TestOneReader:
    """A body that can't be read twice reaches an endpoint whole or visibly cut off."""

    @settings(max_examples=60, deadline=None)
    @given(st.lists(st.integers(0, 1), max_size=40))
    def test_run_gets_the_whole_body_or_no_end(self, order):
        """Guards against a run with a part of its body that looks complete (UNASKED).

        Two attempts shared what was read of the caller's body, and the later one took
        its end for the end of its own part.
        """

        async def play():
            network = Network()
            task = await attempted_twice(network, caller_request())
            return network.attempted, await let_endpoints_read(network, task, order)

        links, answer = asyncio.run(play())
        assert answer.status == 200
        ended = [link for link in links if link.has_ended]
        assert [link.received == BODY for link in ended] == [True]
        assert [link.is_cancelled for link in links if link not in ended] == [True]

    def test_other_attempt_is_cancelled_at_once(self):
        """Guards against a slot held by an attempt that can't get its body any more."""

        async def play():
            network = Network()
            task = await attempted_twice(network, caller_request())
            first, second = network.attempted
            second.read_part()
            for _ in range(20):
                await asyncio.sleep(0)
            assert first.is_cancelled
            assert not second.is_cancelled
            task.cancel()

        asyncio.run(play())

    def test_refusal_after_the_body_was_taken(self):
        """Guards against sending what is left of a body to a third endpoint."""

        async def play():
            network = Network()
            task = await attempted_twice(network, caller_request())
            second = network.attempted[1]
            for _ in range(3):
                second.read_part()
                await asyncio.sleep(0.01)
            second.refuse()
            return network.attempted, await task

        links, refuse = asyncio.run(play())
        # The cancelled attempt may have reached its endpoint.
        assert refuse.outcome is Outcome.UNKNOWN
        assert len(links) == 2
        assert not any(link.has_ended for link in links)

    def test_caller_that_breaks_off_its_body(self):
        """Guards against a body that ends where its caller has broken it off."""

        async def play():
            network = Network()
            req = caller_request(BodyTooLargeError("too large"))
            task = await attempted_twice(network, req)
            try:
                await let_endpoints_read(network, task, [])
            except CallerBodyError as exc:
                return network.attempted, exc
            raise AssertionError("the request did not fail")

        links, exc = asyncio.run(play())
        assert exc.outcome is Outcome.UNKNOWN
        assert not any(link.has_ended for link in links)
        assert all(link.is_cancelled for link in links)
