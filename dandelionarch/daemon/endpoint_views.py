"""What an ingress knows of the endpoints it may choose, and of its links to them."""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass

from dandelionarch.core.links import LinkFaults
from dandelionarch.core.refusals import RefusalBackoff
from dandelionarch.core.retries import RetryBudget
from dandelionarch.core.selection import TRIAL_SHARE, Candidate
from dandelionarch.core.trials import TrialInvites
from dandelionarch.core.world import Health
from dandelionarch.ids import VmId


@dataclass(frozen=True, slots=True)
class IngressRules:
    """What differs between ways to run a fleet.

    `trial_share` is the share of idempotent requests that try unhealthy endpoints.
    With `links_kept_open` a link is opened before it is needed, so that one that is
    not open is a fault. `in_reach(vm_id)` says whether endpoints of a VM are
    candidates at all. `make_budget` returns the retry budget of one service. With
    `gates_told` agents tell at once when an endpoint takes no more work that is not
    idempotent. With `retries_lent` ingresses lend each other parts of their budgets.
    `busy_moves` is how many busy endpoints may turn a request away in a row. With
    `parks` a request waits for a part of its time while no endpoint can be had.
    `off` holds what is switched off.
    """

    trial_share: float = TRIAL_SHARE
    links_kept_open: bool = False
    in_reach: Callable[[VmId], bool] = lambda vm_id: True
    make_budget: Callable[[], RetryBudget] = RetryBudget
    gates_told: bool = False
    retries_lent: bool = False
    busy_moves: int = 1
    parks: bool = False
    off: frozenset = frozenset()

    def uses(self, mechanism):
        """Return True unless a `Mechanism` is switched off."""
        return mechanism not in self.off


@dataclass(frozen=True, slots=True)
class ToldLoad:
    """A `LoadReport`, when it came in seconds, and the work of other ingresses."""

    told_s: float
    report: object
    others: int


class EndpointViews:
    """Own requests in flight, reported loads, refusals and link faults.

    Times are in seconds on the loop's clock.

    Parameters
    ----------
    network : PeerNetwork
    directory : Directory
    rules : IngressRules
    """

    def __init__(self, network, directory, rules):
        self._network = network
        self._directory = directory
        self._rules = rules
        self._in_flight = {}
        self._loads = {}
        self._refusals = RefusalBackoff()
        self._link_faults = LinkFaults()
        self._invites = TrialInvites()
        self._opened = asyncio.Event()
        self.on_load = lambda report: None
        if rules.links_kept_open:
            # No request goes to a VM that is left out, so no reply could show that it
            # is back; a handshake has passed both ways.
            network.on_opened(lambda link: self.link_worked(link.vm_id))

    def candidates(self, service, idempotent=True):
        """Return a `Candidate` for each endpoint of a service that is in reach.

        `idempotent` says whether they are for an idempotent request.
        """
        own = self._directory.vms.get(self._network.vm_id)
        now = asyncio.get_running_loop().time()
        candidates = []
        for endpoint in self._directory.endpoints_of(service):
            if not self._rules.in_reach(endpoint.vm_id):
                continue
            vm = self._directory.vms.get(endpoint.vm_id)
            cand = Candidate(endpoint, vm)
            cand.in_flight = self._in_flight.get(endpoint.endpoint_id, 0)
            if own is not None and vm is not None:
                cand.near = vm.data_centre == own.data_centre
            self._add_link(cand, now)
            self._add_report(cand, now)
            cand.invited = self._invites.is_invited(
                endpoint.endpoint_id, now, idempotent
            )
            candidates.append(cand)
        return candidates

    def _add_link(self, cand, now):
        vm_id = cand.endpoint.vm_id
        cand.link_up = self._link_faults.is_up(vm_id, now)
        if self._rules.links_kept_open:
            cand.link_up = cand.link_up and self._network.is_up(vm_id)
        cand.link_faults = self._link_faults.count(vm_id)

    def _add_report(self, cand, now):
        load = self._loads.get(cand.endpoint.endpoint_id)
        if load is not None:
            cand.age_s = now - load.told_s
            cand.reported = load.others
            cand.warmup = load.report.warmup
            cand.health = Health(load.report.health)
            cand.health_age_s = cand.age_s
        if self._refusals.is_held(cand.endpoint.endpoint_id, now):
            # Whatever its reports say, it has no slot for this ingress.
            cand.age_s, cand.reported = 0.0, cand.endpoint.slots

    def count(self, endpoint_id, by):
        """Add to the own requests in flight at an endpoint."""
        if by > 0:
            self._invites.remove(endpoint_id)
        left = self._in_flight.get(endpoint_id, 0) + by
        if left:
            self._in_flight[endpoint_id] = left
        else:
            self._in_flight.pop(endpoint_id, None)

    def note_load(self, report):
        """Take in a `LoadReport`."""
        own = self._in_flight.get(report.endpoint_id, 0)
        others = max(0, report.running + report.queued - own)
        told = ToldLoad(asyncio.get_running_loop().time(), report, others)
        self._loads[report.endpoint_id] = told
        if self._rules.gates_told:
            self._mark_health(report.endpoint_id, Health(report.health))
        self.on_load(report)

    def _mark_health(self, endpoint_id, health):
        known = self._directory.endpoints.get(endpoint_id)
        opened = known is not None and known.health is not health is Health.HEALTHY
        self._directory.set_health(endpoint_id, health)
        if opened:
            self._opened.set()
            self._opened = asyncio.Event()

    async def endpoint_opened(self, timeout_s):
        """Wait until some endpoint takes all work again, or for a time in seconds."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._opened.wait()

    def invited(self, invite):
        """Take note that an agent asks for a trial, by its `TrialInvite`."""
        now = asyncio.get_running_loop().time()
        self._invites.add(invite.endpoint_id, now, invite.any_work)

    def refused(self, endpoint_id):
        """Take note that an endpoint has refused work."""
        self._refusals.on_refused(endpoint_id, asyncio.get_running_loop().time())

    def taken(self, endpoint_id):
        """Take note that an endpoint has taken work."""
        self._refusals.on_accepted(endpoint_id)

    def link_failed(self, vm_id):
        """Take note of a refused, lost or silent connection to a VM."""
        self._link_faults.on_failure(vm_id, asyncio.get_running_loop().time())

    def link_worked(self, vm_id):
        """Take note of a message from a VM."""
        self._link_faults.on_message(vm_id)
