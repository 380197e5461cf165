"""`GateWatch`: faults of a whole service, invitations of trials, and selection."""

from dataclasses import dataclass

from dandelionarch.core.directory import Directory
from dandelionarch.core.outcome import Reason
from dandelionarch.core.selection import Candidate, TwoChoices, select
from dandelionarch.core.trials import TrialInvites
from dandelionarch.core.world import Endpoint, EndpointState, Health, Vm
from dandelionarch.daemon.endpoint_watch import GateWatch

SIZE = 8


@dataclass(frozen=True)
class Head:
    """Head of a request."""

    request_id: str = "r"


class Run:
    """A run at an endpoint."""

    head = Head()


class Service:
    """The endpoints of one service, each with its own watch and a shared directory."""

    def __init__(self):
        self.directory = Directory()
        self.now = 0.0
        for n in range(SIZE):
            self.directory.put_endpoint(
                Endpoint(f"i-{n}", f"vm-{n}", "orders", "h", 80, 3, 330, 1)
            )
        self.watches = [
            GateWatch(self.directory, lambda: self.now) for _ in range(SIZE)
        ]

    def end_run(self, n, status=None, reason=None):
        """Admit a run at endpoint `n` and end it."""
        watch, endpoint = self.watches[n], self.directory.endpoints[f"i-{n}"]
        run = Run()
        watch.on_run_admitted(endpoint, run)
        if status is not None:
            watch.on_run_answered(endpoint, run, status)
        watch.on_run_ended(endpoint, run, reason, "kind")

    @property
    def open_count(self):
        """Return the number of healthy endpoints."""
        health = [e.health for e in self.directory.endpoints.values()]
        return health.count(Health.HEALTHY)


class TestSharedFaults:
    """Gates don't reduce capacity further when a whole service fails."""

    def test_shedding_endpoints_stay_open(self):
        """Guards against refusing all orders while every endpoint sheds some.

        The pattern: at a crest all endpoints of a service refuse 45% of their
        requests, and each refusal proves that nothing ran.
        """
        service = Service()
        for round_no in range(20):
            for n in range(SIZE):
                if (round_no + n) % 2:
                    service.end_run(n, reason=Reason.WORKER_REFUSED)
                else:
                    service.end_run(n, status=200)
        assert service.open_count == SIZE

    def test_failing_dependency_does_not_close_the_service(self):
        """Guards against closing a whole service when one that it calls fails.

        The pattern: inner calls fail, so that every endpoint answers 500.
        """
        service = Service()
        for _ in range(10):
            for n in range(SIZE):
                service.end_run(n, status=500)
        assert service.open_count >= SIZE // 2

    def test_single_failing_endpoint_is_closed(self):
        """Guards against treating the failure of one endpoint as a shared fault."""
        service = Service()
        for _ in range(2):
            service.end_run(3, status=500)
        assert service.open_count == SIZE - 1

    def test_fourth_of_eight_independent_failures_is_closed(self):
        """Guards against a failing endpoint that stays open as three others are closed.

        On sntal-cl quiet-1 three of eight endpoints were closed for independent
        failures. Two more stayed open for seven seconds and lost most of their work.
        """
        service = Service()
        for n in range(4):
            for _ in range(2):
                service.end_run(n, status=500)
        assert service.open_count == SIZE - 4

    def test_resets_close_every_gate(self):
        """Guards against losing orders at endpoints that reset connections."""
        service = Service()
        for n in range(SIZE):
            service.end_run(n, reason=Reason.WORKER_FAILED)
        assert service.open_count == 0


class TestInvitations:
    """Trials are invited for closed gates of endpoints that are still ready."""

    def invited_after(self, change):
        """Return the endpoint ids of the invitations that follow a directory change.

        The gate of the first endpoint is closed before.
        """
        service, invited = Service(), []
        service.end_run(0, reason=Reason.WORKER_FAILED)
        watch = service.watches[0]
        watch.all_links = lambda: ["link"]
        watch.on_invite = lambda endpoint_id, *_: invited.append(endpoint_id)
        change(service.directory)
        service.now = 1.0
        watch.invite_trials()
        return invited

    def test_closed_gate_invites(self):
        """Guards against a closed gate that gets no trial."""
        assert self.invited_after(lambda directory: None) == ["i-0"]

    def test_removed_and_draining_endpoints_get_no_invitation(self):
        """Guards against endless invitations for an endpoint that is removed."""
        leave = EndpointState.DRAINING
        assert self.invited_after(lambda d: d.set_endpoint_state("i-0", 1, leave)) == []
        assert self.invited_after(lambda d: d.drop_endpoint("i-0")) == []

    def test_old_invitations_are_dropped(self):
        """Guards against a memory leak as endpoints come and go."""
        invites = TrialInvites()
        for n in range(100):
            invites.add(f"i-{n}", now=float(10 * n))
        assert len(invites._invites) == 1
        assert invites.is_invited("i-99", now=990.5)
        assert not invites.is_invited("i-99", now=992.0)


class TestSlowRuns:
    """Slow work alone closes no gate."""

    def test_occasional_timeouts_close_no_gate(self):
        """Guards against closing gates on the slow tail of ordinary work.

        The pattern: 3 in 100 requests take 7 times as long and reach their deadline.
        """
        service = Service()
        for round_no in range(100):
            for n in range(SIZE):
                if (round_no + 13 * n) % 33 == 0:
                    service.end_run(n, reason=Reason.WORKER_SILENT)
                else:
                    service.end_run(n, status=200)
        assert service.open_count == SIZE


class TestSelection:
    """Orders are not sent to endpoints that would refuse them."""

    def candidates(self, closed):
        """Return one candidate per endpoint, the first ones closed."""
        vm = Vm("vm", "dc", "r", "h", 0, 0, 0, 0, 1)
        out = []
        for n in range(SIZE):
            endpoint = Endpoint(f"i-{n}", "vm", "orders", "h", 80, 3, 330, 1)
            health = Health.TRIAL if n < closed else Health.HEALTHY
            out.append(Candidate(endpoint, vm, health=health))
        return out

    def test_closed_gates_are_not_chosen(self, seeded_rng):
        """Guards against a refusal by every endpoint before an order is refused.

        The pattern: every gate of a service is closed. Each order was refused eight
        times over the links between data centres before its caller got the refusal.
        """
        decision = select(
            self.candidates(SIZE), TwoChoices(), seeded_rng, only_healthy=True
        )
        assert decision.chosen is None
        for _ in range(20):
            decision = select(
                self.candidates(5), TwoChoices(), seeded_rng, only_healthy=True
            )
            assert decision.chosen.health is Health.HEALTHY

    def test_stale_health_does_not_exclude_an_endpoint(self, seeded_rng):
        """Guards against permanently excluding an endpoint after a lost notice."""
        cands = self.candidates(SIZE)
        for cand in cands:
            cand.health_age_s = 60.0
        decision = select(cands, TwoChoices(), seeded_rng, only_healthy=True)
        assert decision.chosen is not None
