"""What an agent tells about the runs at its endpoints, and whom it may admit."""

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

RESULTS = {
    Reason.WORKER_FAILED: RunResult.BROKEN,
    Reason.WORKER_LINK: RunResult.BROKEN,
    Reason.WORKER_UNREACHABLE: RunResult.BROKEN,
    Reason.TRUNCATED: RunResult.BROKEN,
    # One may be a straggler or a full queue; two in a row are not.
    Reason.DEADLINE: RunResult.APPLICATION_ERROR,
    Reason.WORKER_SILENT: RunResult.APPLICATION_ERROR,
}
TIMEOUTS = frozenset({Reason.DEADLINE, Reason.WORKER_SILENT})
# Work that fails at most of a service's endpoints points to a shared cause, such as a
# service that they all call; closing more gates would only take capacity away. A third
# may well be in failing spells of their own.
SHARED_CAUSE_SHARE = 0.5
CHECK_PERIOD_S = 0.1


class Watch(ABC):
    """Judges the endpoints of one VM by the runs that the agent reports."""

    def __init__(self, directory):
        self._directory = directory
        self.on_eject = lambda endpoint_id: None

    @abstractmethod
    def marked(self, endpoint):
        """Return an endpoint of this VM with its present health."""

    @abstractmethod
    def admits(self, endpoint, idempotent, last_resort=False):
        """Return True if a request may go to the endpoint.

        With `last_resort` its ingress knows no better one.
        """

    def asked(self, endpoint, link, idempotent):
        """Take note of a request over a link, whether it is let in or not."""

    def risk_s(self, endpoint):
        """Return the wait elsewhere that is better for work that can't be repeated."""
        return 0.0

    def avoids(self, endpoint):
        """Return True if work that can't be repeated is to be turned away for now."""
        return False

    @abstractmethod
    def admitted(self, endpoint, run):
        """Take note of an attempt that was let in."""

    @abstractmethod
    def started(self, endpoint, run, kind):
        """Take note of an attempt that got a slot."""

    @abstractmethod
    def answered(self, endpoint, run, status):
        """Take note of the start of a response."""

    @abstractmethod
    def ended(self, endpoint, run, reason, kind):
        """Take note of the end of an attempt that was let in."""

    def _record_health(self, endpoint, **fields):
        """Record and log an endpoint whose health has changed."""
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
    """One gate per endpoint.

    Parameters
    ----------
    directory : Directory
    now : callable
        Returns the monotonic time in seconds.
    rng : random.Random, optional
    off : set of Mechanism, optional
        What is switched off.

    `on_change(endpoint)` is called with an endpoint whose health has changed, and
    `on_invite(endpoint_id, link, any_work)` to ask one of the `peers()` for a trial.
    `on_straggler(run)` is called with a run that has most likely hung, judged by
    `survival(endpoint_id, route, age_s)`, the share of runs that take longer.
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
        self.peers = list
        self._stalls = {}

    async def run(self):
        """Look for hangs and invite trials of closed gates until cancelled."""
        while True:
            await asyncio.sleep(CHECK_PERIOD_S)
            if Mechanism.HANGS not in self._off:
                self.check_stalls()
            if Mechanism.TRIAL_INVITES not in self._off:
                self.invite()

    def check_stalls(self):
        """Close the gates of endpoints that have stopped answering."""
        now = self._now()
        for endpoint_id, stalls in list(self._stalls.items()):
            endpoint = self._directory.endpoints.get(endpoint_id)
            if endpoint is None:
                self._forget(endpoint_id)
                continue
            if stalls.is_suspect(now):
                self._stalled(endpoint, stalls, stalls.hung_runs(now))
            trials = self._gate(endpoint).trials
            overdue = [run for run in trials if stalls.is_overdue(run, now)]
            if overdue:
                self._gate(endpoint).on_runs_hung(overdue, now)
                self._tell(stalls, overdue)

    def _stalled(self, endpoint, stalls, hung):
        if not self._is_shared(endpoint):
            self._gate(endpoint).on_runs_hung(hung, self._now())
            self._show(endpoint, hung[0] if hung else None, RunResult.HUNG)
        self._tell(stalls, hung)

    def _tell(self, stalls, hung):
        for run in stalls.take_unreported(hung):
            self.on_straggler(run)

    def risk_s(self, endpoint):
        if Mechanism.FRESH_ENDPOINTS in self._off:
            return 0.0
        return self._stalls_of(endpoint).risk_s(self._now())

    def avoids(self, endpoint):
        if Mechanism.FRESH_ENDPOINTS in self._off:
            return False
        if self.marked(endpoint).health is not Health.HEALTHY:
            # What a closed gate lets in is a trial.
            return False
        return self._stalls_of(endpoint).should_redirect(self._now())

    def _stalls_of(self, endpoint):
        stalls = self._stalls.get(endpoint.endpoint_id)
        if stalls is None:
            survival = functools.partial(self.survival, endpoint.endpoint_id)
            stalls = self._stalls[endpoint.endpoint_id] = StallDetector(survival)
        return stalls

    def invite(self):
        """Ask for the trials that are due."""
        now = self._now()
        for endpoint_id, inviter in list(self._inviters.items()):
            endpoint = self._directory.endpoints.get(endpoint_id)
            if endpoint is None:
                self._forget(endpoint_id)
                continue
            if endpoint.state is not EndpointState.READY:
                continue
            gate = self._gate(endpoint)
            for link in inviter.choose_ingresses(gate, now, self.peers):
                self.on_invite(endpoint_id, link, gate.accepts_any_trial(now))

    def link_lost(self, link):
        """Forget an ingress whose link has ended."""
        for inviter in self._inviters.values():
            inviter.forget(link)

    def asked(self, endpoint, link, idempotent):
        if idempotent:
            self._inviter(endpoint).on_idempotent_request(link)

    def _inviter(self, endpoint):
        inviter = self._inviters.get(endpoint.endpoint_id)
        if inviter is None:
            inviter = self._inviters[endpoint.endpoint_id] = TrialInviter(self._rng)
        return inviter

    def marked(self, endpoint):
        if Mechanism.GATES in self._off:
            return dataclasses.replace(endpoint, health=Health.HEALTHY)
        return dataclasses.replace(endpoint, health=self._gate(endpoint).health)

    def admits(self, endpoint, idempotent, last_resort=False):
        if Mechanism.GATES in self._off:
            return True
        return self._gate(endpoint).admits(idempotent, self._now(), last_resort)

    def admitted(self, endpoint, run):
        self._gate(endpoint).on_run_admitted(run, self._now())

    def started(self, endpoint, run, kind):
        head = run.head
        self._stalls_of(endpoint).on_run_started(
            run, head.route, self._now(), head.budget_ms / 1000
        )

    def answered(self, endpoint, run, status):
        self._statuses[run] = status
        stalls = self._stalls.get(endpoint.endpoint_id)
        if stalls is not None:
            # A hung run ends with a 504 at its deadline; any other answer is a sign of
            # life.
            stalls.on_run_ended(run, status != GATEWAY_TIMEOUT, self._now())

    def ended(self, endpoint, run, reason, kind):
        now = self._now()
        gate, stalls = self._gate(endpoint), self._stalls_of(endpoint)
        if reason is Reason.CANCELLED and self._has_failed(gate, stalls, run):
            gate.on_runs_hung([run], now)
        result = self._result(run, reason)
        if reason in TIMEOUTS and stalls.was_cut_short(run, now):
            result = RunResult.INCONCLUSIVE
        if result is RunResult.APPLICATION_ERROR and self._is_shared(endpoint):
            result = RunResult.INCONCLUSIVE
        stalls.on_run_ended(run, answered=False, now=now)
        gate.on_run_ended(run, result, now)
        self._inviter(endpoint).on_trial_ended()
        self._show(endpoint, run, result)

    def _has_failed(self, gate, stalls, run):
        """Return True if a trial was late when another endpoint overtook it."""
        late = stalls.is_overdue(run, self._now(), ABANDONED_MEDIANS)
        return late and run in gate.trials

    def _result(self, run, reason):
        status = self._statuses.pop(run, None)
        if reason is not None:
            return RESULTS.get(reason, RunResult.INCONCLUSIVE)
        if status is None or status == GATEWAY_TIMEOUT:
            return RunResult.INCONCLUSIVE
        if status >= SERVER_ERROR:
            return RunResult.APPLICATION_ERROR
        return RunResult.SERVED

    def _is_shared(self, endpoint):
        """Return True if many other endpoints of the service are unhealthy too."""
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
        # A start that was unknown is the lowest number there is.
        self._gates[endpoint.endpoint_id] = (max(known, started), gate)
        return gate

    def _forget(self, endpoint_id):
        self._gates.pop(endpoint_id, None)
        self._inviters.pop(endpoint_id, None)
        self._stalls.pop(endpoint_id, None)

    def _show(self, endpoint, run, result):
        """Log and pass on a change of health; forget endpoints that are gone."""
        known = self._directory.endpoints.get(endpoint.endpoint_id)
        if known is None or not same_start(known.incarnation, endpoint.incarnation):
            self._forget(endpoint.endpoint_id)
            return
        marked = self.marked(known)
        if marked.health is known.health:
            return
        # The runs that showed a hang may all have been given up before.
        request = "-" if run is None else run.head.request_id
        self._record_health(marked, request=request, result=result.value)
        if marked.health is Health.HEALTHY:
            self._stalls_of(endpoint).forget_abandoned()
        else:
            self.on_eject(endpoint.endpoint_id)
        self.on_change(marked)
