"""Hedging: second attempts of idempotent requests that take long."""

import asyncio
import contextlib
import logging

from dandelionarch.core.messages import request as msgs
from dandelionarch.daemon.attempt import CallerFault
from dandelionarch.daemon.endpoint_watch import SERVER_ERROR
from dandelionarch.daemon.replies import draws_on_budget, ends_run, is_quarantined
from dandelionarch.errors import LinkError
from dandelionarch.logs import event

log = logging.getLogger(__name__)


class SecondAttempts:
    """Waits for an attempt's reply and sends a second attempt if it takes long.

    Parameters
    ----------
    network : PeerNetwork
    attempts : Attempts
    delays : HedgeDelays
    decisions : DecisionLog
    replenish : callable
        Coroutine function; `replenish(lifecycle, proven_not_run, hedge)` borrows a
        further attempt if this ingress has none left.
    """

    def __init__(self, network, attempts, delays, decisions, replenish):
        self._network = network
        self._attempts = attempts
        self._delays = delays
        self._decisions = decisions
        self._replenish = replenish

    async def first_reply(self, lifecycle, req, stream):
        """Return the attempt that is answered first, and its first message.

        A second attempt is sent once the hedge delay has passed or the agent has
        reported a straggler. The attempt that isn't returned is cancelled.
        """
        work, msg = lifecycle.work, None
        delay_s = self._delays.delay_s(work.service, work.route, work.objective_s)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(delay_s):
                msg = await stream.mailbox.get()
        if msg is not None and not isinstance(msg, msgs.Straggling):
            return stream, msg
        second = await self._second_attempt(lifecycle, req)
        if second is None:
            return stream, await stream.next_reply()
        return await self._race(lifecycle, req, stream, second)

    async def _second_attempt(self, lifecycle, req):
        """Send a further attempt to another endpoint; return it, or None."""
        loop, work = asyncio.get_running_loop(), lifecycle.work
        await self._replenish(lifecycle, proven_not_run=False, hedge=True)
        command = lifecycle.hedge(loop.time())
        if command is None:
            event(
                log,
                "second_attempt_refused",
                request=work.request_id,
                service=work.service,
                attempts=lifecycle.attempts,
            )
            return None
        self._decisions.log_choice(work, command)
        endpoint = command.endpoint
        stream = None
        try:
            if not self._network.is_up(endpoint.vm_id):
                return None
            stream = self._attempts.open(
                endpoint, await self._network.connect(endpoint.vm_id)
            )
            self._attempts.send(stream, work, req, command, lifecycle.deadline)
        except LinkError:
            if stream is not None:
                self._attempts.close(stream, cancel=False)
            return None
        return stream

    async def _race(self, lifecycle, req, first, second):
        """Return the attempt that succeeds first, or else fails last, and its message.

        The other one is closed. An attempt can't succeed once the other one has taken
        the part of the body that is not kept.
        """
        pending = {
            asyncio.ensure_future(stream.next_reply()): stream
            for stream in (first, second)
        }
        replied = first
        try:
            while True:
                done, _ = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                fut = done.pop()
                replied, msg = pending.pop(fut), fut.result()
                if not pending:
                    return replied, msg
                is_success = (
                    isinstance(msg, msgs.ResponseHead) and msg.status < SERVER_ERROR
                )
                if is_success or isinstance(msg, CallerFault):
                    lifecycle.on_attempt_discarded()
                    return replied, msg
                # An error answer is dropped in favour of an attempt that still runs.
                self._attempts.close(replied, cancel=not ends_run(msg))
                if not isinstance(msg, msgs.Refusal) or draws_on_budget(msg):
                    lifecycle.on_attempt_discarded()
                elif replied is not first and not is_quarantined(msg):
                    another = await self._replace_refused(lifecycle, req)
                    if another is not None:
                        pending[asyncio.ensure_future(another.next_reply())] = another
        finally:
            for fut, stream in pending.items():
                fut.cancel()
                self._attempts.close(stream, cancel=True)

    async def _replace_refused(self, lifecycle, req):
        """Send a second attempt in place of one that was not run.

        Returns
        -------
        AttemptStream or None
        """
        lifecycle.on_hedge_refused()
        return await self._second_attempt(lifecycle, req)
