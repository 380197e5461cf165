"""The call of an endpoint for one run, and the relay of its answer."""

import asyncio
import logging

import aiohttp

from dandelionarch.core.messages import request as msgs
from dandelionarch.core.outcome import Reason
from dandelionarch.daemon.agent_run import CHUNK_BYTES
from dandelionarch.daemon.endpoint_watch import SERVER_ERROR
from dandelionarch.daemon.headers import end_to_end
from dandelionarch.errors import (
    BrokenAnswerError,
    LinkError,
    WorkerConnectionLostError,
    WorkerUnreachableError,
)
from dandelionarch.logs import event

log = logging.getLogger(__name__)


class EndpointExchange:
    """Calls endpoints and relays their answers to the ingresses.

    Parameters
    ----------
    pool : EndpointPool
    watch : Watch
    suspects : SuspectRequests
    on_conditions : callable
        `on_conditions(local, conditions, sent_at)` is called with what an answer says
        of the work that its endpoint takes, and the time in seconds at which its
        request was sent.
    """

    def __init__(self, pool, watch, suspects, on_conditions):
        self._pool = pool
        self._watch = watch
        self._suspects = suspects
        self._on_conditions = on_conditions

    async def run(self, run, local, deadline):
        """Call the endpoint and relay its answer.

        Returns
        -------
        Reason or None
            The reason of a failure.
        """
        try:
            async with asyncio.timeout_at(deadline):
                return await self._relay(run, local, deadline)
        except WorkerUnreachableError:
            return Reason.WORKER_UNREACHABLE
        except TimeoutError:
            silent = run.call.reused and not run.call.answered
            return Reason.WORKER_SILENT if silent else Reason.DEADLINE
        except WorkerConnectionLostError:
            return Reason.WORKER_LINK if run.call.reused else Reason.WORKER_FAILED
        except (aiohttp.ClientPayloadError, BrokenAnswerError) as exc:
            event(
                log,
                "answer_broken",
                logging.WARNING,
                request=run.head.request_id,
                detail=str(exc),
            )
            return Reason.TRUNCATED
        except (aiohttp.ClientError, OSError):
            return Reason.WORKER_FAILED
        except LinkError:
            return Reason.LINK_LOST
        except Exception:
            log.exception("internal_error", extra={"request": run.head.request_id})
            return Reason.INTERNAL_ERROR

    async def _relay(self, run, local, deadline):
        head = run.head
        loop = asyncio.get_running_loop()
        data = head.data if head.last else run.body_chunks()
        sent_at = run.sent_at = loop.time()
        run.deadline = deadline
        budget_ms = max(1, int((deadline - sent_at) * 1000))
        answer = await self._pool.open(run.call, local.endpoint, head, data, budget_ms)
        is_complete = False
        try:
            conditions = self._pool.conditions(answer)
            if conditions is not None:
                self._on_conditions(local, conditions, sent_at)
            if self._pool.is_refusal(answer):
                return Reason.WORKER_REFUSED
            await self._relay_answer(run, local, answer)
            is_complete = run.body_sent
            return None
        finally:
            # Only a connection whose exchange is complete may be reused.
            answer.end(reusable=is_complete)

    async def _relay_answer(self, run, local, answer):
        attempt_id = run.head.attempt_id
        first, last = await answer.read(CHUNK_BYTES)
        self._watch.on_run_answered(local.endpoint, run, answer.status)
        if answer.status < SERVER_ERROR:
            self._suspects.on_answered(run.head.fingerprint)
        headers = end_to_end(answer.headers.items())
        await run.send_part(
            msgs.ResponseHead(
                attempt_id, answer.status, headers, first, last, local.load()
            )
        )
        while not last:
            data, last = await answer.read(CHUNK_BYTES)
            await run.send_part(msgs.ResponseChunk(attempt_id, data, last))
        run.answer_sent = True
