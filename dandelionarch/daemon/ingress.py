"""Ingress: carries out the decisions of `RequestLifecycle` for each request."""

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
    is_inline,
)
from dandelionarch.daemon.attempts import Attempts
from dandelionarch.daemon.decision_log import DecisionLog
from dandelionarch.daemon.endpoint_views import EndpointViews, IngressRules
from dandelionarch.daemon.endpoint_watch import SERVER_ERROR
from dandelionarch.daemon.replies import draws_on_budget, reason_of
from dandelionarch.daemon.retry_loans import RetryLoans
from dandelionarch.daemon.second_attempts import SecondAttempts
from dandelionarch.errors import CallerBodyError, LinkError
from dandelionarch.logs import event

log = logging.getLogger(__name__)

ANSWER_BUFFER_BYTES = 256 << 10
FETCH_TIMEOUT_S = 0.5
# Agents report the opening of a gate; other changes, such as a link that is up again,
# are found by polling.
PARK_CHECK_PERIOD_S = 0.25
# Selection stages that are skipped if their mechanism is switched off.
STAGE_OF_MECHANISM = {
    Mechanism.NEAR_FIRST: "near_first",
    Mechanism.FREE_SLOTS: "not_full",
}


class Ingress:
    """Routes requests to agents and returns their answers or refusals.

    Parameters
    ----------
    network : PeerNetwork
    directory : Directory
    agent : Agent
        The agent of the same daemon.
    rng : random.Random, optional
    rules : IngressRules, optional

    Attributes
    ----------
    fetch_endpoints : callable or None
        Coroutine function; `fetch_endpoints(service, timeout_s)` waits for the details
        of a service's endpoints.
    """

    def __init__(self, network, directory, agent, rng=None, rules=None):
        self._rules = rules or IngressRules()
        self._network = network
        self._directory = directory
        self._agent = agent
        self._rng = rng or random.Random()
        self._policy = TwoChoices()
        self._budgets = {}
        self._return_schedule = RetryAfterSchedule()
        self._hedging = HedgeDelays()
        self._skipped_stages = frozenset(
            stage
            for mechanism, stage in STAGE_OF_MECHANISM.items()
            if not self._rules.uses(mechanism)
        )
        self._views = EndpointViews(network, directory, self._rules)
        self._attempts = Attempts(network, self._views)
        self._loans = None
        if self._rules.lends_retries:
            self._loans = RetryLoans(network, self._budget, self._rng)
        self.decisions = DecisionLog()
        self._second_attempts = SecondAttempts(
            network, self._attempts, self._hedging, self.decisions, self._replenish
        )
        self.fetch_endpoints = None
        self._has_stopped = False
        network.subscribe(msgs.Credit, self._on_credit)
        network.subscribe(
            msgs.LoadNotice, lambda link, msg: self._views.on_load_report(msg.load)
        )
        network.subscribe(
            msgs.TrialInvite, lambda link, msg: self._views.on_invited(msg)
        )

    async def run(self, work, req, deadline):
        """Run one request to its end.

        Parameters
        ----------
        work : Work
            The request with the properties of its route.
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
        lifecycle = RequestLifecycle(
            work,
            self._choose,
            deadline,
            self._rng,
            lambda reason, proven_not_run: self._may_retry(
                budget, reason, proven_not_run
            ),
            self.retry_after_s,
            req.replayable,
            lambda: self._reserve_redirect(budget, req),
            self._hedge_reservation(budget),
            self._rules.max_busy_redirects,
            self._rules.parks_requests,
        )
        budget.on_first_attempt(loop.time())
        budget.on_call(loop.time(), self._agent.repeats_share)
        await self._ensure_endpoints(work.service, deadline)
        command = lifecycle.start(loop.time())
        while isinstance(command, Dispatch | Park):
            if self._has_stopped:
                command = lifecycle.on_abandoned(Reason.STOPPING)
            elif isinstance(command, Park):
                await self._wait_parked(work, command)
                command = lifecycle.resume(command.reason, loop.time())
            else:
                command = await self._attempt(lifecycle, work, req, command)
        if isinstance(command, Deliver) or lifecycle.answer is not None:
            # An endpoint's error answer is delivered if no later attempt did better.
            self._return_schedule.on_answer(loop.time())
            return lifecycle.answer
        if command.reason is Reason.CALLER_BODY:
            raise CallerBodyError(command.outcome, lifecycle.caller_error)
        return command

    def stop(self):
        """Send no further attempts; requests end with those that are in flight."""
        self._has_stopped = True

    async def _wait_parked(self, work, command):
        """Wait until an endpoint may be available again."""
        event(
            log,
            "request_parked",
            request=work.request_id,
            service=work.service,
            reason=command.reason.value,
        )
        await self._views.wait_until_opened(
            PARK_CHECK_PERIOD_S * self._rng.uniform(0.8, 1.2)
        )

    async def _ensure_endpoints(self, service, deadline):
        """Wait for the endpoints of a service that this ingress has not used before."""
        if self.fetch_endpoints is None or any(self._directory.endpoints_of(service)):
            return
        left_s = deadline - asyncio.get_running_loop().time()
        await self.fetch_endpoints(service, max(0.0, min(FETCH_TIMEOUT_S, left_s)))

    def _may_retry(self, budget, reason, proven_not_run):
        if not proven_not_run and not self._rules.uses(Mechanism.RETRIES):
            return False
        return budget.take_retry(
            asyncio.get_running_loop().time(), reason, proven_not_run
        )

    def _reserve_redirect(self, budget, req):
        """Reserve a redirect for a request that is sent to its agent in one message.

        Returns
        -------
        callable or None
            Gives the reservation back; None if there is none.
        """
        if not is_inline(req) or not self._rules.uses(Mechanism.BUSY_MOVES):
            return None
        if budget.redirects_are_free:
            return lambda: None
        return budget.reserve(asyncio.get_running_loop().time())

    def _hedge_reservation(self, budget):
        """Return a function that reserves a second attempt.

        It is None where a reserved redirect serves for the second attempt.
        """
        if not budget.redirects_are_free:
            return None
        return lambda: budget.reserve(asyncio.get_running_loop().time())

    def _budget(self, service):
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = self._rules.make_budget()
        return budget

    def likely_time_s(self, work):
        """Return the time in seconds within which most such requests are answered."""
        return self._hedging.likely_s(work.service, work.route, work.objective_s)

    def longest_time_s(self, work):
        """Return the longest time in seconds of recent answers, inf if unknown."""
        return self._hedging.longest_s(work.service, work.route)

    def retry_after_s(self, min_s=0.0):
        """Return the `Retry-After` of a refusal given now, in seconds."""
        now = asyncio.get_running_loop().time()
        return self._return_schedule.retry_after_s(now, self._rng, min_s)

    def _choose(self, work, tried, only=None):
        # Work that is not idempotent can't be repeated after a failed trial, so it is
        # used for trials only where an agent invites any work.
        trial_share = self._rules.trial_share if work.idempotent else 0.0
        return select(
            self._views.candidates(work.service, work.idempotent),
            self._policy,
            self._rng,
            tried,
            trial_share=trial_share,
            skip=self._skipped_stages,
            only_healthy=self._rules.gates_broadcast and not work.idempotent,
            prefer_invited=not tried,
            only=only,
        )

    async def _attempt(self, lifecycle, work, req, command):
        loop = asyncio.get_running_loop()
        endpoint = command.endpoint
        self.decisions.log_choice(work, command)
        stream = None
        dispatch, command, ended = command, None, False
        try:
            async with asyncio.timeout_at(lifecycle.deadline):
                link = await self._network.connect(endpoint.vm_id)
                stream = self._attempts.open(endpoint, link)
                confirms = not work.idempotent and is_inline(req)
                if confirms:
                    stream.require_confirmation(lifecycle.on_sent)
                self._attempts.send(stream, work, req, dispatch, lifecycle.deadline)
                if not confirms:
                    lifecycle.on_sent()
                stream, msg = await self._first_reply(lifecycle, req, stream)
                command, ended = await self._await_answer(lifecycle, stream, msg)
            if isinstance(command, Deliver):
                delay_s = loop.time() - stream.started_s
                self._hedging.observe(work.service, work.route, delay_s)
            return command
        except TimeoutError:
            return lifecycle.on_deadline()
        except LinkError:
            # Raised on connecting or on sending the head: nothing has been sent.
            self._views.on_link_failed(endpoint.vm_id)
            return lifecycle.on_not_run(Reason.LINK_DOWN, loop.time())
        finally:
            streaming = isinstance(command, Deliver) and not lifecycle.answer.whole
            if stream is not None and not streaming:
                self._attempts.close(stream, cancel=not ended)

    async def _first_reply(self, lifecycle, req, stream):
        """Return the attempt that is answered first, and its first message."""
        hedges = self._rules.uses(Mechanism.SECOND_ATTEMPTS)
        if lifecycle.work.idempotent and hedges:
            return await self._second_attempts.first_reply(lifecycle, req, stream)
        return stream, await stream.next_reply()

    async def _await_answer(self, lifecycle, stream, msg):
        """Return the next command, and True if the agent has ended the attempt."""
        loop = asyncio.get_running_loop()
        if draws_on_budget(msg):
            await self._replenish(lifecycle, isinstance(msg, msgs.Refusal))
        if isinstance(msg, msgs.Refusal):
            wait_s = msg.retry_after_ms / 1000
            return lifecycle.on_not_run(reason_of(msg), loop.time(), wait_s), True
        if isinstance(msg, msgs.Failure):
            return lifecycle.on_failed(reason_of(msg), loop.time()), True
        if isinstance(msg, LinkLost):
            if not stream.may_run:
                return lifecycle.on_not_run(Reason.LINK_LOST, loop.time()), True
            return lifecycle.on_failed(Reason.LINK_LOST, loop.time()), True
        if isinstance(msg, CallerFault):
            lifecycle.caller_error = msg.error
            return lifecycle.on_abandoned(Reason.CALLER_BODY), False
        if not isinstance(msg, msgs.ResponseHead):
            return lifecycle.on_failed(Reason.TRUNCATED, loop.time()), False
        return await self._buffer_answer(lifecycle, stream, msg)

    async def _buffer_answer(self, lifecycle, stream, head):
        loop = asyncio.get_running_loop()
        body, last, buffered = [head.data], head.last, len(head.data)
        if not last:
            stream.send_credit(buffered)
        while not last and buffered < ANSWER_BUFFER_BYTES:
            msg = await stream.mailbox.get()
            if isinstance(msg, CallerFault):
                continue
            if not isinstance(msg, msgs.ResponseChunk):
                ended = isinstance(msg, msgs.Failure | LinkLost)
                return lifecycle.on_failed(Reason.TRUNCATED, loop.time()), ended
            body.append(msg.data)
            buffered += len(msg.data)
            last = msg.last
            if not last:
                stream.send_credit(len(msg.data))
        lifecycle.answer = Answer(head, stream, b"".join(body), last)
        if last and lifecycle.answer.status >= SERVER_ERROR:
            await self._replenish(lifecycle, proven_not_run=False)
            return lifecycle.on_error_answer(loop.time()), last
        return lifecycle.on_answer(), last

    async def _replenish(self, lifecycle, proven_not_run, hedge=False):
        """Borrow a further attempt from a peer if this request may need one."""
        if self._loans is not None and lifecycle.can_go_on(proven_not_run):
            await self._loans.replenish(lifecycle.work.service, hedge)

    def close_stream(self, answer):
        """End the attempt of an answer that was streamed."""
        self._attempts.close(answer.stream, cancel=True)

    def subscribe_load(self, handler):
        """Have `handler(report)` called with each `LoadReport`."""
        self._views.on_load = handler

    def _on_credit(self, link, msg):
        # The ingress and the agent of a daemon send bodies over the same link.
        self._attempts.on_credit(link, msg)
        self._agent.on_credit(link, msg)
