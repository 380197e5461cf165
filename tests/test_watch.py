"""Gates of one agent under faults that its whole service shares."""

from dataclasses import dataclass

from dandelionarch.core.directory import Directory
from dandelionarch.core.outcome import Reason
from dandelionarch.core.selection import Candidate, TwoChoices, select
from dandelionarch.core.trials import TrialInvites
from dandelionarch.core.world import Endpoint, EndpointState, Health, Vm
from dandelionarch.daemon.watch import GateWatch

SIZE = 8


@dataclass(frozen=True)
class Head:
    """Head of a request."""

    request_id: str = "r"


class Run:
    """A run at an endpoint."""

    head = Head()


class Service:
    """The endpoints of one service; every agent knows the health of all."""

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

    def run(self, n, status=None, reason=None):
        """End one run at an endpoint."""
        watch, endpoint = self.watches[n], self.directory.endpoints[f"i-{n}"]
        run = Run()
        watch.on_run_admitted(endpoint, run)
        if status is not None:
            watch.on_run_answered(endpoint, run, status)
        watch.on_run_ended(endpoint, run, reason, "kind")

    @property
    def open(self):
        """Return how many endpoints take all work."""
        health = [e.health for e in self.directory.endpoints.values()]
        return health.count(Health.HEALTHY)


class TestSharedFaults:
    """A fault of the whole service takes no further capacity away."""

    def test_shedding_endpoints_stay_open(self):
        """Guards against refusing all orders while every endpoint sheds some.

        The pattern: at a crest all endpoints of a service refuse 45% of their
        requests, each refusal a proof that nothing ran.
        """
        service = Service()
        for round_no in range(20):
            for n in range(SIZE):
                if (round_no + n) % 2:
                    service.run(n, reason=Reason.WORKER_REFUSED)
                else:
                    service.run(n, status=200)
        assert service.open == SIZE

    def test_failing_dependency_does_not_close_the_service(self):
        """Guards against a service taken out as the service that it calls fails.

        The pattern: inner calls fail, so that every endpoint answers 500.
        """
        service = Service()
        for _ in range(10):
            for n in range(SIZE):
                service.run(n, status=500)
        assert service.open >= SIZE // 2

    def test_single_failing_endpoint_is_closed(self):
        """Guards against a rule for shared faults that spares a single one."""
        service = Service()
        for _ in range(2):
            service.run(3, status=500)
        assert service.open == SIZE - 1

    def test_fourth_of_eight_in_spells_of_their_own_is_closed(self):
        """Guards against an endpoint that goes on failing as three others do too.

        On sntal-cl quiet-1 three endpoints of eight were closed, each in a spell of its
        own, and two more took work for seven seconds in which they lost most of it.
        """
        service = Service()
        for n in range(4):
            for _ in range(2):
                service.run(n, status=500)
        assert service.open == SIZE - 4

    def test_resets_close_whatever_the_others_do(self):
        """Guards against orders lost at endpoints in a failing spell."""
        service = Service()
        for n in range(SIZE):
            service.run(n, reason=Reason.WORKER_FAILED)
        assert service.open == 0


class TestInvitations:
    """Trials are asked for where there is an endpoint to try."""

    def invited(self, change):
        """Return who is invited after a change to the directory of a closed gate."""
        service, invited = Service(), []
        service.run(0, reason=Reason.WORKER_FAILED)
        watch = service.watches[0]
        watch.all_links = lambda: ["link"]
        watch.on_invite = lambda endpoint_id, *_: invited.append(endpoint_id)
        change(service.directory)
        service.now = 1.0
        watch.invite_trials()
        return invited

    def test_closed_gate_invites(self):
        """Guards against a gate that nobody is asked to try."""
        assert self.invited(lambda directory: None) == ["i-0"]

    def test_endpoints_that_left_or_leave_invite_nobody(self):
        """Guards against messages for ever about an endpoint that has gone."""
        leave = EndpointState.DRAINING
        assert self.invited(lambda d: d.set_endpoint_state("i-0", 1, leave)) == []
        assert self.invited(lambda d: d.drop_endpoint("i-0")) == []

    def test_old_invitations_are_dropped(self):
        """Guards against memory that grows with endpoints that come and go."""
        invites = TrialInvites()
        for n in range(100):
            invites.add(f"i-{n}", now=float(10 * n))
        assert len(invites._invites) == 1
        assert invites.is_invited("i-99", now=990.5)
        assert not invites.is_invited("i-99", now=992.0)


class TestStragglers:
    """Work that is only slow closes no gate."""

    def test_single_timeouts_on_pooled_connections_are_no_resets(self):
        """Guards against gates that close on the slow tail of ordinary work.

        The pattern: 3 in 100 requests take 7 times as long and reach their deadline.
        """
        service = Service()
        for round_no in range(100):
            for n in range(SIZE):
                if (round_no + 13 * n) % 33 == 0:
                    service.run(n, reason=Reason.WORKER_SILENT)
                else:
                    service.run(n, status=200)
        assert service.open == SIZE


class TestSelection:
    """Orders are not offered to endpoints that would refuse them."""

    def candidates(self, closed):
        """Return one candidate per endpoint, the first ones closed."""
        vm = Vm("vm", "dc", "r", "h", 0, 0, 0, 0, 1)
        out = []
        for n in range(SIZE):
            endpoint = Endpoint(f"i-{n}", "vm", "orders", "h", 80, 3, 330, 1)
            health = Health.TRIAL if n < closed else Health.HEALTHY
            out.append(Candidate(endpoint, vm, health=health))
        return out

    def test_closed_gates_are_not_asked(self, seeded_rng):
        """Guards against a round of refusals before an order is refused itself.

        The pattern: every gate of a service is closed; each order was refused eight
        times over the links between data centres before its caller was told.
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

    def test_old_hint_does_not_hide_an_endpoint_for_good(self, seeded_rng):
        """Guards against an endpoint without work whose notice was lost."""
        cands = self.candidates(SIZE)
        for cand in cands:
            cand.health_age_s = 60.0
        decision = select(cands, TwoChoices(), seeded_rng, only_healthy=True)
        assert decision.chosen is not None
