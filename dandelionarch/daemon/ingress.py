"""Ingress: drives the life of each request and owns its attempts."""

import asyncio
import contextlib
import itertools
import logging
import random

from dandelionarch.core.hedging import HedgeDelays
from dandelionarch.core.ingress import Deliver, Dispatch, Park, RequestLife
from dandelionarch.core.mechanisms import Mechanism
from dandelionarch.core.messages import request as msgs
from dandelionarch.core.outcome import Reason
from dandelionarch.core.retries import ReturnSchedule
from dandelionarch.core.selection import TwoChoices, select
from dandelionarch.daemon.attempt import (
    Answer,
    AttemptStream,
    CallerFault,
    LinkLost,
    goes_inline,
)
from dandelionarch.daemon.decision_log import DecisionLog
from dandelionarch.daemon.endpoint_views import EndpointViews, IngressRules
from dandelionarch.daemon.replies import REPLIES, draws_on_budget, reason_of
from dandelionarch.daemon.retry_loans import RetryLoans
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
        self._returns = ReturnSchedule()
        self._hedging = HedgeDelays()
        self._skipped = frozenset(
            stage
            for mechanism, stage in STAGES.items()
            if not self._rules.uses(mechanism)
        )
        self._attempt_ids = itertools.count(1)
        self._streams = {}
        self._views = EndpointViews(network, directory, self._rules)
        self._loans = None
        if self._rules.retries_lent:
            self._loans = RetryLoans(network, self._budget, self._rng)
        self.decisions = DecisionLog()
        self.on_load = lambda load: None
        self.fetch_endpoints = None
        for cls in REPLIES:
            network.subscribe(cls, self._on_reply)
        network.subscribe(msgs.SlotReady, self._on_slot_ready)
        network.subscribe(
            msgs.Credit,
            self._on_credit,
        )
        network.subscribe(msgs.LoadNotice, lambda link, msg: self._note_load(msg.load))
        network.subscribe(
            msgs.TrialInvite, lambda link, msg: self._views.invited(msg.endpoint_id)
        )
        network.on_lost(self._on_link_lost)

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
        life = RequestLife(
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
        budget.first(loop.time())
        budget.called(loop.time(), self._agent.repeats_share)
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
            self._returns.answered(loop.time())
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
        return budget.may_retry(asyncio.get_running_loop().time(), reason, proven)

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
        # Work that is not idempotent can't be repeated after a failed trial.
        trial_share = self._rules.trial_share if work.idempotent else 0.0
        return select(
            self._views.candidates(work.service),
            self._policy,
            self._rng,
            tried,
            trial_share=trial_share,
            skip=self._skipped,
            only_healthy=self._rules.gates_told and not work.idempotent,
            may_try=work.idempotent and not tried,
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
                link = await self._network.link(endpoint.vm_id)
                stream = self._open(endpoint, link)
                confirms = not work.idempotent and goes_inline(req)
                if confirms:
                    stream.confirm_start(life.sent)
                budget_s = life.deadline - loop.time()
                self._send_request(stream, work, req, dispatch, budget_s)
                if not confirms:
                    life.sent()
                stream, msg = await self._first_reply(life, work, req, stream)
                command, ended = await self._await_answer(life, stream, msg)
            if isinstance(command, Deliver):
                delay_s = loop.time() - stream.began_s
                self._hedging.observe(work.service, work.route, delay_s)
            return command
        except TimeoutError:
            return life.expired()
        except LinkError:
            # Raised by connecting or by sending the head: no byte has left.
            self._views.link_failed(endpoint.vm_id)
            return life.not_run(Reason.LINK_DOWN, loop.time())
        finally:
            streaming = isinstance(command, Deliver) and not life.answer.whole
            if stream is not None and not streaming:
                self.close(stream, cancel=not ended)

    def _open(self, endpoint, link):
        stream = AttemptStream(next(self._attempt_ids), endpoint.endpoint_id, link)
        self._streams[stream.attempt_id] = stream
        self._views.count(endpoint.endpoint_id, 1)
        link.begin()
        return stream

    def _send_request(self, stream, work, req, command, budget_s):
        inline = goes_inline(req)
        stream.link.send(
            msgs.RequestHead(
                stream.attempt_id,
                work.request_id,
                stream.endpoint_id,
                work.service,
                work.route,
                work.kind,
                work.idempotent,
                work.priority,
                max(1, int(budget_s * 1000)),
                req.method,
                req.target,
                req.headers,
                req.body if inline else b"",
                inline,
                command.may_wait,
                command.repeats,
                command.decision.last_resort,
                not stream.may_run,
            )
        )
        if not inline:
            stream.sender = self._network.spawn(stream.send_body(req))

    async def _first_reply(self, life, work, req, stream):
        """Return the attempt that is answered first and its first message.

        An idempotent request that straggles, by its age here or by word of the agent,
        gets a second attempt; the other one is cancelled.
        """
        hedges = work.idempotent and self._rules.uses(Mechanism.SECOND_ATTEMPTS)
        if not hedges:
            return stream, await stream.next_reply()
        msg = None
        delay_s = self._hedging.delay_s(work.service, work.route, work.objective_s)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(delay_s):
                msg = await stream.mailbox.get()
        if msg is not None and not isinstance(msg, msgs.Straggling):
            return stream, msg
        second = await self._second_attempt(life, work, req)
        if second is None:
            return stream, await stream.next_reply()
        return await self._race(life, work, req, stream, second)

    async def _second_attempt(self, life, work, req):
        """Return a further attempt on another endpoint, or None."""
        loop = asyncio.get_running_loop()
        await self._replenish(life, proven=False, hedge=True)
        command = life.hedge(loop.time())
        if command is None:
            event(
                log,
                "second_attempt_refused",
                request=work.request_id,
                service=work.service,
                attempts=life.attempts,
            )
            return None
        self.decisions.chosen(work, command)
        endpoint = command.endpoint
        stream = None
        try:
            if not self._network.is_up(endpoint.vm_id):
                return None
            stream = self._open(endpoint, await self._network.link(endpoint.vm_id))
            budget_s = life.deadline - loop.time()
            self._send_request(stream, work, req, command, budget_s)
        except LinkError:
            if stream is not None:
                self.close(stream, cancel=False)
            return None
        return stream

    async def _race(self, life, work, req, first, second):
        """Return the attempt that is answered, or fails last, and its message."""
        gets = {
            asyncio.ensure_future(stream.next_reply()): stream
            for stream in (first, second)
        }
        kept = first
        try:
            while True:
                done, _ = await asyncio.wait(gets, return_when=asyncio.FIRST_COMPLETED)
                get = done.pop()
                kept, msg = gets.pop(get), get.result()
                if not gets:
                    return kept, msg
                if isinstance(msg, msgs.ResponseHead) and msg.status < SERVER_ERROR:
                    life.one_reached()
                    return kept, msg
                # An error answer gives way to an attempt that still runs.
                streams = isinstance(msg, msgs.ResponseHead) and not msg.last
                self.close(kept, cancel=streams)
                if not isinstance(msg, msgs.Refusal) or draws_on_budget(msg):
                    life.one_reached()
                elif kept is not first:
                    another = await self._after_refusal(life, work, req)
                    if another is not None:
                        gets[asyncio.ensure_future(another.next_reply())] = another
        finally:
            for get, stream in gets.items():
                get.cancel()
                self.close(stream, cancel=True)

    async def _after_refusal(self, life, work, req):
        """Return another second attempt in place of one that was not run, or None."""
        life.hedge_refused()
        return await self._second_attempt(life, work, req)

    async def _await_answer(self, life, stream, msg):
        """Return (command, True if the agent has ended the attempt)."""
        loop = asyncio.get_running_loop()
        if draws_on_budget(msg):
            await self._replenish(life, isinstance(msg, msgs.Refusal))
        if isinstance(msg, msgs.Refusal):
            least_s = msg.retry_after_ms / 1000
            return life.not_run(reason_of(msg), loop.time(), least_s), True
        if isinstance(msg, msgs.Failure):
            return life.failed(reason_of(msg), loop.time()), True
        if isinstance(msg, LinkLost):
            if not stream.may_run:
                return life.not_run(Reason.LINK_LOST, loop.time()), True
            return life.failed(Reason.LINK_LOST, loop.time()), True
        if isinstance(msg, CallerFault):
            life.caller_error = msg.error
            return life.abandoned(Reason.CALLER_BODY), False
        if not isinstance(msg, msgs.ResponseHead):
            return life.failed(Reason.TRUNCATED, loop.time()), False
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
                return life.failed(Reason.TRUNCATED, loop.time()), ended
            body.append(msg.data)
            held += len(msg.data)
            last = msg.last
            if not last:
                stream.credit(len(msg.data))
        life.answer = Answer(head, stream, b"".join(body), last)
        if last and life.answer.status >= SERVER_ERROR:
            await self._replenish(life, proven=False)
            return life.error_answered(loop.time()), last
        return life.answered(), last

    async def _replenish(self, life, proven, hedge=False):
        """Borrow a further attempt if this request may need one."""
        if self._loans is not None and life.may_go_on(proven):
            await self._loans.replenish(life.work.service, hedge)

    def close(self, stream, cancel):
        """Forget an attempt; what still arrives for it is dropped."""
        if self._streams.pop(stream.attempt_id, None) is None:
            return
        self._views.count(stream.endpoint_id, -1)
        stream.link.end()
        if stream.sender is not None:
            stream.sender.cancel()
        if cancel:
            with contextlib.suppress(LinkError):
                stream.link.send(msgs.Cancel(stream.attempt_id))

    def finish(self, answer):
        """End the attempt behind an answer that was streamed."""
        self.close(answer.stream, cancel=True)

    def _on_reply(self, link, msg):
        stream = self._streams.get(msg.attempt_id)
        if stream is None or stream.link is not link:
            event(log, "late_reply", attempt=msg.attempt_id, type=type(msg).__name__)
            return
        self._views.link_worked(link.vm_id)
        load = getattr(msg, "load", None)
        if load is not None and load.endpoint_id:
            self._note_load(load)
        if isinstance(msg, msgs.Refusal) and msg.reason != Reason.BUSY.value:
            self._views.refused(stream.endpoint_id)
        elif isinstance(msg, msgs.ResponseHead):
            self._views.taken(stream.endpoint_id)
        stream.mailbox.put_nowait(msg)

    def _on_slot_ready(self, link, msg):
        """Let an attempt run unless it has been given up."""
        stream = self._streams.get(msg.attempt_id)
        if stream is not None and stream.link is link and not stream.may_run:
            self._views.link_worked(link.vm_id)
            stream.let_run()

    def _note_load(self, load):
        self._views.note_load(load)
        self.on_load(load)

    def _on_credit(self, link, msg):
        stream = self._streams.get(msg.attempt_id)
        if stream is not None and stream.link is link:
            stream.window += msg.size
            stream.window_open.set()
        self._agent.on_credit(link, msg)

    def _on_link_lost(self, link):
        lost = [s for s in self._streams.values() if s.link is link]
        for stream in lost:
            stream.mailbox.put_nowait(LinkLost())
        if lost:
            self._views.link_failed(link.vm_id)
