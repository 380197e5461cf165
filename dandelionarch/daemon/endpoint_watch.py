"""Health of a VM's endpoints, judged by the runs that its agent reports."""

import asyncio
import dataclasses
import functools
import logging
import random
from abc import ABC, abstractmethod

from dandelionarch.core.gate import EndpointGate, RunResult
from dandelionarch.core.mechanisms import Mechanism
from dandelionarch.core.outcome import Reason
from dandelionarch.core.stalls import ABANDONED_MEDIANS, StallDetector
from dandelionarch.core.trials import TrialInviter
from dandelionarch.core.world import EndpointState, Health, same_start
from dandelionarch.logs import event

log = logging.getLogger(__name__)

SERVER_ERROR = 500
GATEWAY_TIMEOUT = 504

RESULT_OF_REASON = {
    Reason.WORKER_FAILED: RunResult.BROKEN,
    Reason.WORKER_LINK: RunResult.BROKEN,
    Reason.WORKER_UNREACHABLE: RunResult.BROKEN,
    Reason.TRUNCATED: RunResult.BROKEN,
    # A single timeout may be a straggler or a full queue; two in a row are a failure.
    Reason.DEADLINE: RunResult.APPLICATION_ERROR,
    Reason.WORKER_SILENT: RunResult.APPLICATION_ERROR,
}
TIMEOUT_REASONS = frozenset({Reason.DEADLINE, Reason.WORKER_SILENT})
# If most endpoints of a service fail, the cause is probably shared, such as a service
# that they all call; closing more gates would only reduce capacity. A third of them may
# well be failing independently.
SHARED_CAUSE_SHARE = 0.5
CHECK_PERIOD_S = 0.1


class Watch(ABC):
    """Judge of the health of one VM's endpoints by the runs of its agent.

    `on_eject(endpoint_id)` is called when an endpoint is to get no more work.
    """

    def __init__(self, directory):
        self._directory = directory
        self.on_eject = lambda endpoint_id: None

    @abstractmethod
    def with_current_health(self, endpoint):
        """Return a copy of an endpoint of this VM with its current health."""

    @abstractmethod
    def admits(self, endpoint, idempotent, last_resort=False):
        """Return True if a request may go to the endpoint.

        `last_resort` is True if the ingress has no better endpoint for it.
        """

    def on_request(self, endpoint, link, idempotent):
        """Handle a request that has arrived over a link, admitted or not."""

    def risk_s(self, endpoint):
        """Return the risk that the endpoint hangs, as a wait in seconds.

        A request that is not idempotent should rather wait up to this long at another
        endpoint than be sent to this one.
        """
        return 0.0

    def should_redirect(self, endpoint):
        """Return True if a request that is not idempotent should go elsewhere."""
        return False

    @abstractmethod
    def on_run_admitted(self, endpoint, run):
        """Record that an attempt was admitted."""

    @abstractmethod
    def on_run_started(self, endpoint, run, kind):
        """Record that an attempt got a slot."""

    @abstractmethod
    def on_run_answered(self, endpoint, run, status):
        """Record that the response to an attempt has begun."""

    @abstractmethod
    def on_run_ended(self, endpoint, run, reason, kind):
        """Record the end of an admitted attempt; `reason` is None on success."""

    def _record_health(self, endpoint, **fields):
        """Store and log an endpoint whose health has changed."""
        self._directory.put_endpoint(endpoint)
        event(
            log,
            "endpoint_health",
            logging.WARNING,
            endpoint=endpoint.endpoint_id,
            health=endpoint.health.value,
            **fields,
        )


class GateWatch(Watch):
    """Watch with a circuit breaker, an `EndpointGate`, for each endpoint.

    Parameters
    ----------
    directory : Directory
    now : callable
        Returns the monotonic time in seconds.
    rng : random.Random, optional
    off : set of Mechanism, optional
        Mechanisms that are switched off.

    Attributes
    ----------
    on_change : callable
        `on_change(endpoint)` is called with an endpoint whose health has changed.
    on_invite : callable
        `on_invite(endpoint_id, link, any_work)` asks an ingress for a trial request.
    on_straggler : callable
        `on_straggler(run)` is called once for each run that has most likely hung.
    survival : callable
        `survival(endpoint_id, route, age_s)` returns the share of runs that take
        longer, or None while too few runs are known.
    all_links : callable
        Returns the links to all ingresses.
    """

    def __init__(self, directory, now, rng=None, off=frozenset()):
        super().__init__(directory)
        self._off = off
        self._now = now
        self._rng = rng or random.Random()
        self._inviters = {}
        self._gates = {}
        self._statuses = {}
        self.on_change = lambda endpoint: None
        self.on_invite = lambda endpoint_id, link, any_work: None
        self.on_straggler = lambda run: None
        self.survival = lambda endpoint_id, route, age_s: None
        self.all_links = list
        self._stall_detectors = {}

    async def run(self):
        """Detect hangs and invite trials of closed gates until cancelled."""
        while True:
            await asyncio.sleep(CHECK_PERIOD_S)
            if Mechanism.HANGS not in self._off:
                self.check_stalls()
            if Mechanism.TRIAL_INVITES not in self._off:
                self.invite_trials()

    def check_stalls(self):
        """Close the gates of endpoints that have stopped answering."""
        now = self._now()
        for endpoint_id, detector in list(self._stall_detectors.items()):
            endpoint = self._directory.endpoints.get(endpoint_id)
            if endpoint is None:
                self._forget(endpoint_id)
                continue
            if detector.is_suspect(now):
                self._on_stall(endpoint, detector, detector.hung_runs(now))
            trials = self._gate(endpoint).trials
            overdue = [run for run in trials if detector.is_overdue(run, now)]
            if overdue:
                self._gate(endpoint).on_runs_hung(overdue, now)
                self._report_stragglers(detector, overdue)

    def _on_stall(self, endpoint, detector, hung):
        if not self._has_shared_cause(endpoint):
            self._gate(endpoint).on_runs_hung(hung, self._now())
            self._publish_health(endpoint, hung[0] if hung else None, RunResult.HUNG)
        self._report_stragglers(detector, hung)

    def _report_stragglers(self, detector, hung):
        for run in detector.take_unreported(hung):
            self.on_straggler(run)

    def risk_s(self, endpoint):
        if Mechanism.FRESH_ENDPOINTS in self._off:
            return 0.0
        return self._stall_detector(endpoint).risk_s(self._now())

    def should_redirect(self, endpoint):
        if Mechanism.FRESH_ENDPOINTS in self._off:
            return False
        if self.with_current_health(endpoint).health is not Health.HEALTHY:
            # Requests that a closed gate admits are trials.
            return False
        return self._stall_detector(endpoint).should_redirect(self._now())

    def _stall_detector(self, endpoint):
        detector = self._stall_detectors.get(endpoint.endpoint_id)
        if detector is None:
            survival = functools.partial(self.survival, endpoint.endpoint_id)
            detector = self._stall_detectors[endpoint.endpoint_id] = StallDetector(
                survival
            )
        return detector

    def invite_trials(self):
        """Ask ingresses for the trials that are due."""
        now = self._now()
        for endpoint_id, inviter in list(self._inviters.items()):
            endpoint = self._directory.endpoints.get(endpoint_id)
            if endpoint is None:
                self._forget(endpoint_id)
                continue
            if endpoint.state is not EndpointState.READY:
                continue
            gate = self._gate(endpoint)
            for link in inviter.choose_ingresses(gate, now, self.all_links):
                self.on_invite(endpoint_id, link, gate.accepts_any_trial(now))

    def on_link_lost(self, link):
        """Forget an ingress whose link has ended."""
        for inviter in self._inviters.values():
            inviter.forget(link)

    def on_request(self, endpoint, link, idempotent):
        if idempotent:
            self._inviter(endpoint).on_idempotent_request(link)

    def _inviter(self, endpoint):
        inviter = self._inviters.get(endpoint.endpoint_id)
        if inviter is None:
            inviter = self._inviters[endpoint.endpoint_id] = TrialInviter(self._rng)
        return inviter

    def with_current_health(self, endpoint):
        if Mechanism.GATES in self._off:
            return dataclasses.replace(endpoint, health=Health.HEALTHY)
        return dataclasses.replace(endpoint, health=self._gate(endpoint).health)

    def admits(self, endpoint, idempotent, last_resort=False):
        if Mechanism.GATES in self._off:
            return True
        return self._gate(endpoint).admits(idempotent, self._now(), last_resort)

    def on_run_admitted(self, endpoint, run):
        self._gate(endpoint).on_run_admitted(run, self._now())

    def on_run_started(self, endpoint, run, kind):
        head = run.head
        self._stall_detector(endpoint).on_run_started(
            run, head.route, self._now(), head.budget_ms / 1000
        )

    def on_run_answered(self, endpoint, run, status):
        self._statuses[run] = status
        detector = self._stall_detectors.get(endpoint.endpoint_id)
        if detector is not None:
            # A hung run ends with a 504 at its deadline; any other status shows that
            # the endpoint responds.
            detector.on_run_ended(run, status != GATEWAY_TIMEOUT, self._now())

    def on_run_ended(self, endpoint, run, reason, kind):
        now = self._now()
        gate, detector = self._gate(endpoint), self._stall_detector(endpoint)
        if reason is Reason.CANCELLED and self._is_late_trial(gate, detector, run):
            gate.on_runs_hung([run], now)
        result = self._run_result(run, reason)
        if reason in TIMEOUT_REASONS and detector.was_cut_short(run, now):
            result = RunResult.INCONCLUSIVE
        if result is RunResult.APPLICATION_ERROR and self._has_shared_cause(endpoint):
            result = RunResult.INCONCLUSIVE
        detector.on_run_ended(run, answered=False, now=now)
        gate.on_run_ended(run, result, now)
        self._inviter(endpoint).on_trial_ended()
        self._publish_health(endpoint, run, result)

    def _is_late_trial(self, gate, detector, run):
        """Return True if a cancelled run is a trial that was already too slow.

        The ingress cancels an attempt once another endpoint has answered.
        """
        late = detector.is_overdue(run, self._now(), ABANDONED_MEDIANS)
        return late and run in gate.trials

    def _run_result(self, run, reason):
        status = self._statuses.pop(run, None)
        if reason is not None:
            return RESULT_OF_REASON.get(reason, RunResult.INCONCLUSIVE)
        if status is None or status == GATEWAY_TIMEOUT:
            return RunResult.INCONCLUSIVE
        if status >= SERVER_ERROR:
            return RunResult.APPLICATION_ERROR
        return RunResult.SERVED

    def _has_shared_cause(self, endpoint):
        """Return True if most other endpoints of the service are unhealthy too."""
        if Mechanism.SHARED_CAUSES in self._off:
            return False
        others = [
            other
            for other in self._directory.endpoints_of(endpoint.service)
            if other.endpoint_id != endpoint.endpoint_id
        ]
        closed = sum(other.health is not Health.HEALTHY for other in others)
        return closed > SHARED_CAUSE_SHARE * len(others)

    def _gate(self, endpoint):
        started = endpoint.incarnation
        known, gate = self._gates.get(endpoint.endpoint_id, (None, None))
        if gate is None or not same_start(known, started):
            known, gate = started, EndpointGate(endpoint.slots)
        # An unknown start is the lowest number, so the maximum is the known one.
        self._gates[endpoint.endpoint_id] = (max(known, started), gate)
        return gate

    def _forget(self, endpoint_id):
        self._gates.pop(endpoint_id, None)
        self._inviters.pop(endpoint_id, None)
        self._stall_detectors.pop(endpoint_id, None)

    def _publish_health(self, endpoint, run, result):
        """Publish health that has changed; forget an endpoint that is gone."""
        known = self._directory.endpoints.get(endpoint.endpoint_id)
        if known is None or not same_start(known.incarnation, endpoint.incarnation):
            self._forget(endpoint.endpoint_id)
            return
        current = self.with_current_health(known)
        if current.health is known.health:
            return
        # The runs that indicated a hang may all have ended by now.
        request = "-" if run is None else run.head.request_id
        self._record_health(current, request=request, result=result.value)
        if current.health is Health.HEALTHY:
            self._stall_detector(endpoint).forget_abandoned()
        else:
            self.on_eject(endpoint.endpoint_id)
        self.on_change(current)
