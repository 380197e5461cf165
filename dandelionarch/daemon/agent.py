"""Agent: admits requests to the endpoints beside this daemon and runs them."""

import asyncio
import contextlib
import functools
import logging
import math

from dandelionarch.core.mechanisms import Mechanism
from dandelionarch.core.messages import request as msgs
from dandelionarch.core.outcome import Reason
from dandelionarch.core.world import EndpointState, same_start
from dandelionarch.daemon.agent_endpoint import LocalEndpoint
from dandelionarch.daemon.agent_run import Run
from dandelionarch.daemon.crash_detector import CrashDetector
from dandelionarch.daemon.endpoint_connections import EndpointPool
from dandelionarch.daemon.endpoint_dialect import DandelionDialect
from dandelionarch.daemon.endpoint_exchange import EndpointExchange
from dandelionarch.daemon.suspect_requests import SuspectRequests
from dandelionarch.errors import LinkError
from dandelionarch.logs import event

log = logging.getLogger(__name__)

# The agent times out a little before the ingress; otherwise the ingress's cancellation
# arrives first, and the run is no evidence of the endpoint's health.
DEADLINE_MARGIN_S = 0.02

# The slot is idle during this time; a reply over a link takes milliseconds.
CONFIRM_TIMEOUT_S = 0.5

# Endpoints and the network round and delay what is left of a request's time.
CALL_EXPIRY_TOLERANCE_S = 0.05

# The connection to the endpoint broke before an answer began.
BROKEN_REASONS = frozenset({Reason.WORKER_FAILED, Reason.WORKER_LINK})
REASON_OF_VERDICT = {"busy": Reason.BUSY, "refuse": Reason.QUEUE_FULL}


class Agent:
    """Admits attempts to the endpoints of this VM, runs them and relays the answers.

    Parameters
    ----------
    network : PeerNetwork
    directory : Directory
    vm_id : VmId
    watch : Watch
        Judges the health of the endpoints.
    dialect : EndpointDialect, optional
    off : set of Mechanism, optional
        Mechanisms that are switched off.

    Attributes
    ----------
    suspects : SuspectRequests
    on_leaving : callable
        `on_leaving(endpoint_id)` is called when an endpoint's answer says that it
        takes no new work.
    """

    def __init__(self, network, directory, vm_id, watch, dialect=None, off=frozenset()):
        self._off = off
        self._network = network
        self._directory = directory
        self._watch = watch
        watch.on_eject = functools.partial(self.refuse_queued, reason=Reason.EJECTED)
        self._vm_id = vm_id
        self._local_endpoints = {}
        self._runs = {}
        self._endpoint_pool = EndpointPool(dialect or DandelionDialect())
        self.suspects = SuspectRequests(network, directory)
        self._crash_detector = CrashDetector(
            network, self._has_older_run, self.suspects.on_crash
        )
        self._exchange = EndpointExchange(
            self._endpoint_pool, watch, self.suspects, self._on_conditions
        )
        self.stopping = False
        self.on_leaving = lambda endpoint_id: None
        network.subscribe(msgs.RequestHead, self._on_head)
        network.subscribe(msgs.RequestChunk, self._on_chunk)
        network.subscribe(msgs.Credit, self.on_credit)
        network.subscribe(msgs.Cancel, self._on_cancel)
        network.subscribe(msgs.Start, self._on_start)
        network.subscribe_link_lost(self._on_link_lost)

    async def start(self):
        """Open the connection pool to the endpoints."""
        await self._endpoint_pool.start()

    def broadcast_load(self, endpoint):
        """Send the load and health of an endpoint to all peers."""
        local = self._local_endpoint(endpoint.endpoint_id)
        if local is None:
            return
        self._network.broadcast(msgs.LoadNotice(local.load()))

    def send_loads(self, link):
        """Send the load of every endpoint of this VM over a link that has opened."""
        for endpoint in self._directory.endpoints_of_vm(self._vm_id):
            local = self._local_endpoint(endpoint.endpoint_id)
            with contextlib.suppress(LinkError):
                link.send(msgs.LoadNotice(local.load()))

    def survival(self, endpoint_id, route, age_s):
        """Return the share of a route's runs that take longer than `age_s` seconds.

        It is None while too few runs of the endpoint are known.
        """
        local = self._local_endpoints.get(endpoint_id)
        return None if local is None else local.queue.costs.survival(route, age_s)

    def report_straggler(self, run):
        """Report a run that has most likely hung to its ingress."""
        event(
            log,
            "run_hung",
            logging.WARNING,
            request=run.head.request_id,
            endpoint=run.head.endpoint_id,
        )
        if run.head.idempotent:
            run.send(msgs.Straggling(run.head.attempt_id))

    async def stop(self):
        """Cancel all attempts and close the connection pool."""
        tasks = [run.task for run in self._runs.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._endpoint_pool.stop()

    @property
    def repeats_share(self):
        """Return the share of the attempts here that repeat earlier ones elsewhere.

        Another endpoint may have got the requests of these attempts before.
        """
        if not self._runs:
            return 0.0
        repeats = sum(run.head.repeats for run in self._runs.values())
        return repeats / len(self._runs)

    @property
    def in_flight(self):
        """Return the number of attempts that are queued or running."""
        return len(self._runs)

    def may_have_called(self, expires_at):
        """Return True if a request may be a call made by a run of this VM.

        An endpoint's calls expire with the request that it is running, at the latest.

        Parameters
        ----------
        expires_at : float
            Loop time, in seconds, until which the request's caller waits.
        """
        latest = max((run.deadline for run in self._runs.values()), default=-math.inf)
        return expires_at <= latest + CALL_EXPIRY_TOLERANCE_S

    def _local_endpoint(self, endpoint_id):
        endpoint = self._directory.endpoints.get(endpoint_id)
        if endpoint is None or endpoint.vm_id != self._vm_id:
            return None
        local = self._local_endpoints.get(endpoint_id)
        started = endpoint.incarnation
        if local is None or not same_start(local.endpoint.incarnation, started):
            local = LocalEndpoint(endpoint, self._off)
            local.on_evicted = functools.partial(self._refuse_evicted, local)
            self._local_endpoints[endpoint_id] = local
        local.endpoint = endpoint
        return local

    def _has_older_run(self, endpoint_id, time_s):
        return any(
            run.head.endpoint_id == endpoint_id and run.sent_at < time_s
            for run in self._runs.values()
        )

    def _on_head(self, link, head):
        local = self._local_endpoint(head.endpoint_id)
        if local is not None:
            self._watch.on_request(local.endpoint, link, head.idempotent)
        reason = self._refusal_reason(local, head)
        run = Run(link, head)
        if reason is None:
            verdict = local.offer(run, head)
            reason = REASON_OF_VERDICT.get(verdict)
        if reason is not None:
            self._refuse(run, local, reason)
            return
        self._runs[link, head.attempt_id] = run
        self._watch.on_run_admitted(local.endpoint, run)
        link.begin_request()
        if verdict == "run":
            run.started.set()
        run.task = asyncio.get_running_loop().create_task(self._run(run, local))
        # A task that is cancelled before its first step never runs its `finally`.
        run.task.add_done_callback(lambda _: self._on_run_done(run, local))

    def _refusal_reason(self, local, head):
        if self.stopping:
            return Reason.STOPPING
        if local is None:
            return Reason.UNKNOWN_ENDPOINT
        if local.endpoint.service != head.service:
            return Reason.UNKNOWN_ENDPOINT
        if local.endpoint.state not in (EndpointState.READY, EndpointState.STARTING):
            return Reason.DRAINING
        if self._is_quarantined(head):
            return Reason.QUARANTINED
        admits = self._watch.admits
        if not admits(local.endpoint, head.idempotent, head.last_resort):
            return Reason.EJECTED
        may_redirect = not head.may_wait and not head.idempotent
        if may_redirect and self._watch.should_redirect(local.endpoint):
            return Reason.BUSY
        return None

    def _is_quarantined(self, head):
        if Mechanism.QUARANTINE in self._off:
            return False
        return self.suspects.remaining_s(head.fingerprint) > 0

    def _refuse(self, run, local, reason):
        load = local.load() if local else msgs.LoadReport("", 0, 0, 0, "healthy", 1.0)
        now = asyncio.get_running_loop().time()
        wait_s = local.queue.retry_after_s(now) if local else 0.0
        risk_s = self._watch.risk_s(local.endpoint) if reason is Reason.BUSY else 0.0
        if reason is Reason.QUARANTINED:
            wait_s = self.suspects.remaining_s(run.head.fingerprint)
        retry_after_ms = int((wait_s + risk_s) * 1000)
        event(
            log,
            "placement",
            request=run.head.request_id,
            endpoint=run.head.endpoint_id,
            verdict="refused",
            reason=reason.value,
            running=load.running,
            queued=load.queued,
            risk_ms=int(risk_s * 1000),
        )
        run.send(msgs.Refusal(run.head.attempt_id, reason.value, retry_after_ms, load))

    def _refuse_evicted(self, local, run):
        self._refuse(run, local, Reason.QUEUE_FULL)
        run.task.cancel()

    def refuse_queued(self, endpoint_id, reason):
        """Refuse the queued attempts of an endpoint that takes no more work."""
        local = self._local_endpoints.get(endpoint_id)
        for run in list(self._runs.values()):
            if run.head.endpoint_id == endpoint_id and not run.started.is_set():
                self._refuse(run, local, reason)
                run.task.cancel()

    def _on_chunk(self, link, msg):
        run = self._runs.get((link, msg.attempt_id))
        if run is None or run.task.cancelling() or run.receive(msg.data, msg.last):
            return
        event(log, "window_exceeded", logging.WARNING, vm=link.vm_id)
        # Otherwise the ingress, and its caller, would wait for the rest of the answer.
        local = self._local_endpoints[run.head.endpoint_id]
        reason = Reason.INTERNAL_ERROR.value
        run.send(msgs.Failure(msg.attempt_id, reason, local.load()))
        run.task.cancel()

    def on_credit(self, link, msg):
        """Enlarge the send window of an answer."""
        run = self._runs.get((link, msg.attempt_id))
        if run is not None and msg.is_for(msgs.CreditedBody.ANSWER):
            run.window_bytes += msg.size
            run.window_open.set()

    def _on_cancel(self, link, msg):
        run = self._runs.get((link, msg.attempt_id))
        if run is not None:
            run.task.cancel()

    def _on_start(self, link, msg):
        run = self._runs.get((link, msg.attempt_id))
        if run is not None:
            run.confirmed.set()

    def _on_link_lost(self, link):
        for (owner, _), run in list(self._runs.items()):
            if owner is link:
                run.task.cancel()

    async def _run(self, run, local):
        head = run.head
        loop = asyncio.get_running_loop()
        budget_s = head.budget_ms / 1000
        deadline = loop.time() + budget_s - min(DEADLINE_MARGIN_S, budget_s / 10)
        try:
            async with asyncio.timeout_at(deadline):
                await run.started.wait()
            if head.confirms and not await self._request_start(run):
                self._refuse(run, local, Reason.LINK_DOWN)
            elif self._is_quarantined(head):
                # The verdict came while the request waited.
                self._refuse(run, local, Reason.QUARANTINED)
            else:
                await self._call(run, local, deadline)
        except TimeoutError:
            self._refuse(run, local, Reason.TOO_LATE)
        except asyncio.CancelledError:
            event(log, "run_cancelled", request=head.request_id)

    async def _request_start(self, run):
        """Ask the ingress whether the attempt may start; return True if it may.

        An ingress that has given up the request, or can't be reached, doesn't confirm.
        So work that is not idempotent is known not to have run if the link is lost
        before the confirmation.
        """
        run.send(msgs.SlotReady(run.head.attempt_id))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CONFIRM_TIMEOUT_S):
                await run.confirmed.wait()
        return run.confirmed.is_set()

    def _on_run_done(self, run, local):
        run.link.end_request()
        self._watch.on_run_ended(local.endpoint, run, run.reason, run.head.kind)
        self._runs.pop((run.link, run.head.attempt_id), None)
        if run.reason in BROKEN_REASONS and not run.call.answered:
            self._crash_detector.on_broken(local.endpoint, run.head.fingerprint)
        local.finish(run)

    async def _call(self, run, local, deadline):
        endpoint = local.endpoint
        event(
            log,
            "placement",
            request=run.head.request_id,
            endpoint=endpoint.endpoint_id,
            verdict="run",
            running=local.queue.running,
            queued=local.queue.queued,
        )
        self._watch.on_run_started(endpoint, run, run.head.kind)
        reason = run.reason = await self._exchange.run(run, local, deadline)
        if reason in (Reason.WORKER_REFUSED, Reason.WORKER_UNREACHABLE):
            self._refuse(run, local, reason)
        elif reason is not None:
            event(
                log,
                "run_failed",
                logging.WARNING,
                request=run.head.request_id,
                endpoint=endpoint.endpoint_id,
                reason=reason.value,
            )
            run.send(msgs.Failure(run.head.attempt_id, reason.value, local.load()))

    def _on_conditions(self, local, conditions, sent_at):
        """Apply what an answer says of the work that the endpoint takes."""
        if conditions.is_leaving:
            self.on_leaving(local.endpoint.endpoint_id)
        if local.apply_rate(conditions.rate_per_s, sent_at):
            self.broadcast_load(local.endpoint)
