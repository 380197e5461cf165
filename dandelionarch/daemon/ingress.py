"""Ingress: drives the life of each request and owns its attempts."""

import asyncio
import logging
import random

from dandelionarch.core.hedging import HedgeDelays
from dandelionarch.core.ingress import Deliver, Dispatch, Park, RequestLifecycle
from dandelionarch.core.mechanisms import Mechanism
from dandelionarch.core.messages import request as msgs
from dandelionarch.core.outcome import Reason
from dandelionarch.core.retries import RetryAfterSchedule
from dandelionarch.core.selection import TwoChoices, select
from dandelionarch.daemon.attempt import (
    Answer,
    CallerFault,
    LinkLost,
    goes_inline,
)
from dandelionarch.daemon.attempts import Attempts
from dandelionarch.daemon.decision_log import DecisionLog
from dandelionarch.daemon.endpoint_views import EndpointViews, IngressRules
from dandelionarch.daemon.replies import draws_on_budget, reason_of
from dandelionarch.daemon.retry_loans import RetryLoans
from dandelionarch.daemon.second_attempts import SecondAttempts
from dandelionarch.daemon.watch import SERVER_ERROR
from dandelionarch.errors import CallerBodyError, LinkError
from dandelionarch.logs import event

log = logging.getLogger(__name__)

HOLD_BYTES = 256 << 10
FETCH_TIMEOUT_S = 0.5
# Agents tell when a gate opens; what else may come back, such as a link, is looked for.
PARK_CHECK_S = 0.25
# Stages of the choice that a mechanism stands for.
STAGES = {Mechanism.NEAR_FIRST: "near_first", Mechanism.FREE_SLOTS: "not_full"}


class Ingress:
    """Routes requests to agents and matches what comes back by attempt id."""

    def __init__(self, network, directory, agent, rng=None, rules=None):
        self._rules = rules or IngressRules()
        self._network = network
        self._directory = directory
        self._agent = agent
        self._rng = rng or random.Random()
        self._policy = TwoChoices()
        self._budgets = {}
        self._returns = RetryAfterSchedule()
        self._hedging = HedgeDelays()
        self._skipped = frozenset(
            stage
            for mechanism, stage in STAGES.items()
            if not self._rules.uses(mechanism)
        )
        self._views = EndpointViews(network, directory, self._rules)
        self._attempts = Attempts(network, self._views)
        self._loans = None
        if self._rules.retries_lent:
            self._loans = RetryLoans(network, self._budget, self._rng)
        self.decisions = DecisionLog()
        self._second_attempts = SecondAttempts(
            network, self._attempts, self._hedging, self.decisions, self._replenish
        )
        self.fetch_endpoints = None
        network.subscribe(msgs.Credit, self._on_credit)
        network.subscribe(
            msgs.LoadNotice, lambda link, msg: self._views.note_load(msg.load)
        )
        network.subscribe(msgs.TrialInvite, lambda link, msg: self._views.invited(msg))

    async def run(self, work, req, deadline):
        """Run one request to its end.

        Parameters
        ----------
        work : Work
            What the request asks for.
        req : CallerRequest
            Method, target, headers and body.
        deadline : float
            Loop time in seconds.

        Returns
        -------
        Answer or Refuse

        Raises
        ------
        CallerBodyError
            If the caller's body could not be read to its end.
        """
        loop = asyncio.get_running_loop()
        budget = self._budget(work.service)
        life = RequestLifecycle(
            work,
            self._choose,
            deadline,
            self._rng,
            lambda reason, proven: self._may_retry(budget, reason, proven),
            self.retry_after_s,
            req.replayable,
            lambda: self._reserve_redirect(budget, req),
            self._hedge_reserve(budget),
            self._rules.busy_moves,
            self._rules.parks,
        )
        budget.on_first_attempt(loop.time())
        budget.on_call(loop.time(), self._agent.repeats_share)
        await self._learn_endpoints(work.service, deadline)
        command = life.start(loop.time())
        while isinstance(command, Dispatch | Park):
            if isinstance(command, Park):
                await self._wait_parked(work, command)
                command = life.resume(command.reason, loop.time())
            else:
                command = await self._attempt(life, work, req, command)
        if isinstance(command, Deliver) or life.answer is not None:
            # An endpoint's error that no further attempt has bettered is an answer.
            self._returns.on_answer(loop.time())
            return life.answer
        if command.reason is Reason.CALLER_BODY:
            raise CallerBodyError(command.outcome, life.caller_error)
        return command

    async def _wait_parked(self, work, command):
        """Wait until it is worth looking for an endpoint again."""
        event(
            log,
            "request_parked",
            request=work.request_id,
            service=work.service,
            reason=command.reason.value,
        )
        await self._views.endpoint_opened(PARK_CHECK_S * self._rng.uniform(0.8, 1.2))

    async def _learn_endpoints(self, service, deadline):
        """Wait for the first detail of a service that was not in use here."""
        if self.fetch_endpoints is None or any(self._directory.endpoints_of(service)):
            return
        left_s = deadline - asyncio.get_running_loop().time()
        await self.fetch_endpoints(service, max(0.0, min(FETCH_TIMEOUT_S, left_s)))

    def _may_retry(self, budget, reason, proven):
        if not proven and not self._rules.uses(Mechanism.RETRIES):
            return False
        return budget.take_retry(asyncio.get_running_loop().time(), reason, proven)

    def _reserve_redirect(self, budget, req):
        """Reserve a redirect for a request that goes to its agent in one message."""
        if not goes_inline(req) or not self._rules.uses(Mechanism.BUSY_MOVES):
            return None
        if budget.redirects_are_free:
            return lambda: None
        return budget.reserve(asyncio.get_running_loop().time())

    def _hedge_reserve(self, budget):
        """Return what reserves a second attempt if no redirect was reserved for it."""
        if not budget.redirects_are_free:
            return None
        return lambda: budget.reserve(asyncio.get_running_loop().time())

    def _budget(self, service):
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = self._rules.make_budget()
        return budget

    def retry_after_s(self, least_s=0.0):
        """Return the `Retry-After` of a refusal given now, in seconds."""
        now = asyncio.get_running_loop().time()
        return self._returns.retry_after_s(now, self._rng, least_s)

    def _choose(self, work, tried, only=None):
        # Work that is not idempotent can't be repeated after a failed trial, so that it
        # is one only where an agent asks for any work.
        trial_share = self._rules.trial_share if work.idempotent else 0.0
        return select(
            self._views.candidates(work.service, work.idempotent),
            self._policy,
            self._rng,
            tried,
            trial_share=trial_share,
            skip=self._skipped,
            only_healthy=self._rules.gates_told and not work.idempotent,
            prefer_invited=not tried,
            only=only,
        )

    async def _attempt(self, life, work, req, command):
        loop = asyncio.get_running_loop()
        endpoint = command.endpoint
        self.decisions.chosen(work, command)
        stream = None
        dispatch, command, ended = command, None, False
        try:
            async with asyncio.timeout_at(life.deadline):
                link = await self._network.connect(endpoint.vm_id)
                stream = self._attempts.open(endpoint, link)
                confirms = not work.idempotent and goes_inline(req)
                if confirms:
                    stream.confirm_start(life.on_sent)
                self._attempts.send(stream, work, req, dispatch, life.deadline)
                if not confirms:
                    life.on_sent()
                stream, msg = await self._first_reply(life, req, stream)
                command, ended = await self._await_answer(life, stream, msg)
            if isinstance(command, Deliver):
                delay_s = loop.time() - stream.began_s
                self._hedging.observe(work.service, work.route, delay_s)
            return command
        except TimeoutError:
            return life.on_deadline()
        except LinkError:
            # Raised by connecting or by sending the head: no byte has left.
            self._views.link_failed(endpoint.vm_id)
            return life.on_not_run(Reason.LINK_DOWN, loop.time())
        finally:
            streaming = isinstance(command, Deliver) and not life.answer.whole
            if stream is not None and not streaming:
                self._attempts.close(stream, cancel=not ended)

    async def _first_reply(self, life, req, stream):
        """Return the attempt that is answered first and its first message."""
        uses = self._rules.uses(Mechanism.SECOND_ATTEMPTS)
        if life.work.idempotent and uses:
            return await self._second_attempts.first_reply(life, req, stream)
        return stream, await stream.next_reply()

    async def _await_answer(self, life, stream, msg):
        """Return (command, True if the agent has ended the attempt)."""
        loop = asyncio.get_running_loop()
        if draws_on_budget(msg):
            await self._replenish(life, isinstance(msg, msgs.Refusal))
        if isinstance(msg, msgs.Refusal):
            least_s = msg.retry_after_ms / 1000
            return life.on_not_run(reason_of(msg), loop.time(), least_s), True
        if isinstance(msg, msgs.Failure):
            return life.on_failed(reason_of(msg), loop.time()), True
        if isinstance(msg, LinkLost):
            if not stream.may_run:
                return life.on_not_run(Reason.LINK_LOST, loop.time()), True
            return life.on_failed(Reason.LINK_LOST, loop.time()), True
        if isinstance(msg, CallerFault):
            life.caller_error = msg.error
            return life.on_abandoned(Reason.CALLER_BODY), False
        if not isinstance(msg, msgs.ResponseHead):
            return life.on_failed(Reason.TRUNCATED, loop.time()), False
        return await self._hold_answer(life, stream, msg)

    async def _hold_answer(self, life, stream, head):
        loop = asyncio.get_running_loop()
        body, last, held = [head.data], head.last, len(head.data)
        if not last:
            stream.credit(held)
        while not last and held < HOLD_BYTES:
            msg = await stream.mailbox.get()
            if isinstance(msg, CallerFault):
                continue
            if not isinstance(msg, msgs.ResponseChunk):
                ended = isinstance(msg, msgs.Failure | LinkLost)
                return life.on_failed(Reason.TRUNCATED, loop.time()), ended
            body.append(msg.data)
            held += len(msg.data)
            last = msg.last
            if not last:
                stream.credit(len(msg.data))
        life.answer = Answer(head, stream, b"".join(body), last)
        if last and life.answer.status >= SERVER_ERROR:
            await self._replenish(life, proven=False)
            return life.on_error_answer(loop.time()), last
        return life.on_answer(), last

    async def _replenish(self, life, proven, hedge=False):
        """Borrow a further attempt if this request may need one."""
        if self._loans is not None and life.can_go_on(proven):
            await self._loans.replenish(life.work.service, hedge)

    def finish(self, answer):
        """End the attempt behind an answer that was streamed."""
        self._attempts.close(answer.stream, cancel=True)

    def subscribe_load(self, handler):
        """Have `handler(report)` called with each `LoadReport`."""
        self._views.on_load = handler

    def _on_credit(self, link, msg):
        # Both roles of a daemon send bodies over the same link.
        self._attempts.credit(link, msg)
        self._agent.on_credit(link, msg)
