"""Task that detects and ejects failing endpoints of this VM."""

import asyncio
import dataclasses
import logging
import random
import time

from dandelionarch.core.detection import QueryPeers, RunEnd
from dandelionarch.core.ejection import ClaimEjection, Eject, ReleaseEjection
from dandelionarch.core.evidence import Summary
from dandelionarch.core.health import EndpointHealth
from dandelionarch.core.messages import evidence as msgs
from dandelionarch.core.outcome import Reason
from dandelionarch.core.selection import warmup_ramp
from dandelionarch.core.world import EndpointState
from dandelionarch.daemon.endpoint_watch import SERVER_ERROR, Watch
from dandelionarch.errors import LinkError, PlatformError
from dandelionarch.logs import event

log = logging.getLogger(__name__)

TICK_PERIOD_S = 0.1
QUERY_TIMEOUT_S = 0.5
RELEASE_RETRY_S = 1.0
# The endpoint sheds load, or the time budget that it was given has expired.
END_OF_STATUS = {503: RunEnd.REFUSED, 504: RunEnd.CUT_SHORT}

END_OF_REASON = {
    Reason.WORKER_FAILED: RunEnd.FAILED,
    Reason.TRUNCATED: RunEnd.FAILED,
    Reason.WORKER_UNREACHABLE: RunEnd.FAILED,
    # These show load or a fault of this daemon, not of the endpoint.
    Reason.WORKER_REFUSED: RunEnd.REFUSED,
    Reason.INTERNAL_ERROR: RunEnd.REFUSED,
}
# After the response has begun, only these failures are caused by the endpoint.
LATE_FAILURES = (Reason.TRUNCATED, Reason.WORKER_FAILED)


class HealthWatch(Watch):
    """Watch that compares endpoints with their peers and ejects the outliers.

    Parameters
    ----------
    network : PeerNetwork
    directory : Directory
    vm_id : VmId
    claims : object, optional
        Has `async claim(endpoint_id, incarnation, service, score)`, which returns
        whether the claim was accepted, and `async release(endpoint_id,
        incarnation)`; both may raise `PlatformError`. Without it endpoints are
        demoted, but not ejected.
    rng : random.Random, optional
        Chooses the peers that are asked.

    `on_eject(endpoint_id)` is called when an endpoint becomes ejected.
    """

    def __init__(self, network, directory, vm_id, claims=None, rng=None):
        super().__init__(directory)
        self._network = network
        self._vm_id = vm_id
        self._claims = claims
        self._rng = rng or random.Random()
        self._states = {}
        self._running = set()
        self._revoked = set()
        network.subscribe(msgs.EvidenceQuery, self._on_query)

    async def run(self):
        """Advance the state of every endpoint periodically until cancelled."""
        while True:
            await asyncio.sleep(TICK_PERIOD_S)
            self._forget_removed()
            for endpoint_id, state in list(self._states.items()):
                self._execute(endpoint_id, state.tick(self._network.now()))

    def with_current_health(self, endpoint):
        """Return a copy of an endpoint of this VM with its current health."""
        return dataclasses.replace(endpoint, health=self._state(endpoint).health)

    def admits(self, endpoint, idempotent, last_resort=False):
        """Return False if the endpoint is ejected and this is no trial."""
        return self._state(endpoint).admits(idempotent)

    def on_run_admitted(self, endpoint, run):
        """Record that an attempt was admitted."""
        self._state(endpoint).on_run_admitted(run)

    def on_run_started(self, endpoint, run, kind):
        """Record that an attempt got a slot."""
        age_s = time.time() - endpoint.incarnation / 1000
        warm = endpoint.state is EndpointState.READY and warmup_ramp(age_s) >= 1.0
        self._running.add(run)
        self._state(endpoint).on_run_started(run, kind, warm, self._network.now())

    def on_run_answered(self, endpoint, run, status):
        """Record that the response to an attempt has begun.

        The service time ends here, as the rest depends on how fast the caller reads.
        """
        end = RunEnd.FAILED if status >= SERVER_ERROR else RunEnd.OK
        self._record_end(endpoint, run, END_OF_STATUS.get(status, end))

    def on_run_ended(self, endpoint, run, reason, kind):
        """Record the end of an admitted attempt."""
        if run in self._running or reason not in LATE_FAILURES:
            self._record_end(endpoint, run, END_OF_REASON.get(reason, RunEnd.CUT_SHORT))
            return
        self.on_run_started(endpoint, run, kind)
        self._record_end(endpoint, run, RunEnd.FAILED)

    def on_claim_revoked(self, endpoint_id, incarnation):
        """End the ejection of an endpoint whose claim has been revoked."""
        self._revoked.add((endpoint_id, incarnation))
        self._apply(endpoint_id, incarnation, EndpointHealth.on_claim_revoked)

    def _record_end(self, endpoint, run, end):
        self._running.discard(run)
        state = self._state(endpoint)
        commands = state.on_run_ended(run, end, self._network.now())
        self._execute(endpoint.endpoint_id, commands)

    def _state(self, endpoint):
        state = self._states.get(endpoint.endpoint_id)
        if state is None or state.ejection.incarnation != endpoint.incarnation:
            state = EndpointHealth(
                endpoint.endpoint_id, endpoint.incarnation, self._network.now()
            )
            state.ejection.log_available = self._claims is not None
            self._states[endpoint.endpoint_id] = state
        return state

    def _forget_removed(self):
        known = self._directory.endpoints
        self._states = {e: s for e, s in self._states.items() if e in known}

    def _apply(self, endpoint_id, incarnation, handler):
        state = self._states.get(endpoint_id)
        if state is not None and state.ejection.incarnation == incarnation:
            self._execute(endpoint_id, handler(state, self._network.now()))

    def _execute(self, endpoint_id, commands):
        endpoint = self._directory.endpoints.get(endpoint_id)
        if endpoint is None:
            return
        for command in commands:
            if isinstance(command, QueryPeers):
                self._network.spawn(self._query_peers(endpoint, command))
            elif isinstance(command, ClaimEjection):
                self._network.spawn(self._claim(endpoint, command.score))
            elif isinstance(command, ReleaseEjection):
                self._network.spawn(self._release(endpoint))
            elif isinstance(command, Eject):
                self.on_eject(endpoint_id)
        self._publish_health(endpoint)

    def _publish_health(self, endpoint):
        current = self.with_current_health(endpoint)
        if current.health is not endpoint.health:
            score = self._state(endpoint).ejection.score
            self._record_health(current, score=score)

    async def _claim(self, endpoint, score):
        key = (endpoint.endpoint_id, endpoint.incarnation)
        self._revoked.discard(key)
        try:
            accepted = await self._claims.claim(*key, endpoint.service, score)
        except PlatformError as exc:
            event(log, "claim_failed", logging.WARNING, endpoint=key[0], detail=exc)
            accepted = False
        event(log, "claim_judged", endpoint=key[0], accepted=accepted)
        # The revocation may arrive between the verdict and this task's next step.
        if accepted and key not in self._revoked:
            self._apply(*key, EndpointHealth.on_claim_accepted)
        else:
            self._apply(*key, EndpointHealth.on_claim_refused)

    async def _release(self, endpoint):
        """Append the release; retry until the log has accepted it."""
        key = (endpoint.endpoint_id, endpoint.incarnation)
        while True:
            try:
                await self._claims.release(*key)
                break
            except PlatformError as exc:
                event(
                    log, "release_failed", logging.WARNING, endpoint=key[0], detail=exc
                )
                await asyncio.sleep(RELEASE_RETRY_S)
        self._apply(*key, EndpointHealth.on_released)

    async def _query_peers(self, endpoint, query):
        others = [
            other
            for other in self._directory.endpoints_of(endpoint.service)
            if other.endpoint_id != endpoint.endpoint_id
        ]
        peers = self._rng.sample(others, min(query.count, len(others)))
        answers = await asyncio.gather(*(self._ask_peer(peer, query) for peer in peers))
        replies = [reply for reply in answers if reply is not None]
        state = self._states.get(endpoint.endpoint_id)
        if state is not None and state.ejection.incarnation == endpoint.incarnation:
            commands = state.on_peer_replies(query, replies, self._network.now())
            self._execute(endpoint.endpoint_id, commands)

    async def _ask_peer(self, peer, query):
        msg = msgs.EvidenceQuery(
            peer.endpoint_id, query.kinds, query.cap_logs, query.window_s
        )
        try:
            reply = await self._network.ask(peer.vm_id, msg, QUERY_TIMEOUT_S)
        except LinkError as exc:
            event(log, "evidence_missing", endpoint=peer.endpoint_id, detail=exc)
            return None
        summaries = {s.kind: _summary_of(s) for s in reply.kinds}
        return summaries if summaries.keys() >= set(query.kinds) else None

    def _on_query(self, link, query):
        state = self._states.get(query.endpoint_id)
        summaries, now = [], self._network.now()
        if state is not None:
            for kind, cap_log in zip(query.kinds, query.cap_logs, strict=False):
                summary = state.summary(kind, cap_log, query.window_s, now)
                summaries.append(msgs.KindSummary(kind, *dataclasses.astuple(summary)))
        return msgs.EvidenceSummary(query.endpoint_id, tuple(summaries))


def _summary_of(summary):
    return Summary(
        summary.count,
        summary.failures,
        summary.timed,
        summary.median_log,
        summary.spread_log,
    )
