"""Log lines of decisions show why an endpoint got no work."""

import asyncio
import dataclasses
import logging
import random

import pytest

from dandelionarch.core.directory import Directory
from dandelionarch.core.ingress import Dispatch, Work
from dandelionarch.core.selection import Candidate, TwoChoices, select
from dandelionarch.core.world import Endpoint, EndpointState, Vm
from dandelionarch.daemon.agent import Agent
from dandelionarch.daemon.decision_log import DecisionLog
from dandelionarch.daemon.endpoint_watch import GateWatch
from dandelionarch.ids import Revision
from tests.test_agent_cancel import FakeNetwork, head

ENDPOINT = Endpoint("w", "vm", "s", "127.0.0.1", 9, 4, 9, 1, state=EndpointState.READY)


class RecordingHandler(logging.Handler):
    """Keeps all log records."""

    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        self.records.append(record)


@pytest.fixture
def records():
    """Return the log records of a test."""
    handler, logger = RecordingHandler(), logging.getLogger("dandelionarch")
    level = logger.level
    logger.setLevel(logging.INFO)
    logger.addHandler(handler)
    yield handler.records
    logger.removeHandler(handler)
    logger.setLevel(level)


class TestPlacementLine:
    """A `busy` refusal shows if slots were full or answers were missing."""

    def test_busy_refusal_of_an_endpoint_without_answers(self, records):
        """Guards against a log line that looks as if all slots were occupied."""
        asyncio.run(self._offer(records))

    async def _offer(self, records):
        network, directory = FakeNetwork(), Directory()
        directory.put_endpoint(ENDPOINT)
        Agent(network, directory, "vm", GateWatch(directory, network.now))
        order = dataclasses.replace(head(1, 0, may_wait=False), idempotent=False)
        network.receive(order)
        line = records[-1]
        assert (line.getMessage(), line.reason) == ("placement", "busy")
        assert (line.running, line.queued) == (0, 0)
        assert line.risk_ms > 0


class TestRoutingLine:
    """The log line of a choice contains the inputs that decided it."""

    def test_loads_and_revision(self):
        """Guards against a choice whose reason the log line doesn't show."""
        vm = Vm("vm", "dc", "r", "h", 0, 0, 0, 0, 1)
        cold = Candidate(ENDPOINT, vm, in_flight=1, warmup=0.25)
        decision = select([cold], TwoChoices(), random.Random(1))
        work = Work("r", "c", "s", "route", "kind", True, 0, revision=Revision(7))
        log = DecisionLog()
        log.log_choice(work, Dispatch(ENDPOINT, decision))
        ((_, fields),) = log.events_of("r")
        assert fields["loads"] == "w:1.00"
        assert fields["revision"] == 7
