"""An ingress's view of the endpoints it may choose and of its links to them."""

import asyncio
import contextlib
import math
from collections.abc import Callable
from dataclasses import dataclass

from dandelionarch.core.links import LinkBackoff
from dandelionarch.core.refusals import RefusalBackoff
from dandelionarch.core.retries import RetryBudget
from dandelionarch.core.selection import TRIAL_SHARE, Candidate
from dandelionarch.core.trials import TrialInvites
from dandelionarch.core.world import Health
from dandelionarch.ids import VmId


@dataclass(frozen=True, slots=True)
class IngressRules:
    """Rules of an ingress that depend on the kind of fleet.

    Attributes
    ----------
    trial_share : float
        Share of idempotent requests that try unhealthy endpoints.
    links_kept_open : bool
        True if links are opened in advance, so that one that is not open is a fault.
    is_reachable : callable
        `is_reachable(vm_id)` returns True if the endpoints of a VM are candidates.
    make_budget : callable
        Returns the retry budget of one service.
    gates_broadcast : bool
        True if agents report at once when an endpoint takes no more work that is not
        idempotent.
    lends_retries : bool
        True if ingresses lend each other parts of their retry budgets.
    max_busy_redirects : int
        Number of busy endpoints in a row that may redirect a request.
    parks_requests : bool
        True if a request waits, for a part of its time budget, while no endpoint is
        available.
    off : frozenset of Mechanism
        Mechanisms that are switched off.
    """

    trial_share: float = TRIAL_SHARE
    links_kept_open: bool = False
    is_reachable: Callable[[VmId], bool] = lambda vm_id: True
    make_budget: Callable[[], RetryBudget] = RetryBudget
    gates_broadcast: bool = False
    lends_retries: bool = False
    max_busy_redirects: int = 1
    parks_requests: bool = False
    off: frozenset = frozenset()

    def uses(self, mechanism):
        """Return True unless a `Mechanism` is switched off."""
        return mechanism not in self.off


@dataclass(frozen=True, slots=True)
class ReceivedLoad:
    """A `LoadReport` and its time of arrival in seconds on the loop's clock.

    `others` is the number of other ingresses' requests in it.
    """

    received_s: float
    report: object
    others: int


class EndpointViews:
    """Tracks own requests in flight, reported loads, refusals and link faults.

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
        self._rates_per_s = {}
        self._refusals = RefusalBackoff()
        self._link_backoff = LinkBackoff()
        self._invites = TrialInvites()
        self._opened = asyncio.Event()
        self.on_load = lambda report: None
        if rules.links_kept_open:
            # An excluded VM gets no request, so no reply can show that it is back. A
            # completed handshake shows it, as messages have passed both ways.
            network.subscribe_link_opened(lambda link: self.on_link_worked(link.vm_id))

    def candidates(self, service, idempotent=True):
        """Return a `Candidate` for each endpoint of a service that is in reach.

        `idempotent` is True if the request is; invitations for a trial depend on it.
        """
        own_vm = self._directory.vms.get(self._network.vm_id)
        now = asyncio.get_running_loop().time()
        candidates = []
        for endpoint in self._directory.endpoints_of(service):
            if not self._rules.is_reachable(endpoint.vm_id):
                continue
            vm = self._directory.vms.get(endpoint.vm_id)
            cand = Candidate(endpoint, vm)
            cand.in_flight = self._in_flight.get(endpoint.endpoint_id, 0)
            if own_vm is not None and vm is not None:
                cand.near = vm.data_centre == own_vm.data_centre
            self._add_link(cand, now)
            self._add_report(cand, now)
            cand.invited = self._invites.is_invited(
                endpoint.endpoint_id, now, idempotent
            )
            candidates.append(cand)
        return candidates

    def _add_link(self, cand, now):
        vm_id = cand.endpoint.vm_id
        cand.link_up = self._link_backoff.is_up(vm_id, now)
        if self._rules.links_kept_open:
            cand.link_up = cand.link_up and self._network.is_up(vm_id)
        cand.link_faults = self._link_backoff.count(vm_id)

    def _add_report(self, cand, now):
        load = self._loads.get(cand.endpoint.endpoint_id)
        if load is not None:
            cand.age_s = now - load.received_s
            cand.reported = load.others
            cand.warmup = load.report.warmup
            cand.health = Health(load.report.health)
            cand.health_age_s = cand.age_s
        if self._refusals.is_excluded(cand.endpoint.endpoint_id, now):
            # Whatever its load reports say, it has just refused this ingress's work and
            # counts as full.
            cand.age_s, cand.reported = 0.0, cand.endpoint.slots

    def rate_per_s(self, endpoint_id):
        """Return the limit that an endpoint names, 0 if there is none.

        Its agent does not know the limit after a restart.
        """
        return self._rates_per_s.get(endpoint_id, 0.0)

    def add_in_flight(self, endpoint_id, change):
        """Add `change` to the number of own requests in flight at an endpoint."""
        if change > 0:
            self._invites.remove(endpoint_id)
        left = self._in_flight.get(endpoint_id, 0) + change
        if left:
            self._in_flight[endpoint_id] = left
        else:
            self._in_flight.pop(endpoint_id, None)

    def on_load_report(self, report):
        """Store a `LoadReport`."""
        own = self._in_flight.get(report.endpoint_id, 0)
        others = max(0, report.running + report.queued - own)
        received = ReceivedLoad(asyncio.get_running_loop().time(), report, others)
        self._loads[report.endpoint_id] = received
        self._store_rate(report)
        if self._rules.gates_broadcast:
            self._mark_health(report.endpoint_id, Health(report.health))
        self.on_load(report)

    def _store_rate(self, report):
        if math.isinf(report.rate_per_s):
            self._rates_per_s.pop(report.endpoint_id, None)
        elif report.rate_per_s:
            self._rates_per_s[report.endpoint_id] = report.rate_per_s

    def _mark_health(self, endpoint_id, health):
        known = self._directory.endpoints.get(endpoint_id)
        opened = known is not None and known.health is not health is Health.HEALTHY
        self._directory.set_health(endpoint_id, health)
        if opened:
            self._opened.set()
            self._opened = asyncio.Event()

    async def wait_until_opened(self, timeout_s):
        """Wait for at most `timeout_s` seconds until the gate of an endpoint opens."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._opened.wait()

    def on_invited(self, invite):
        """Handle the `TrialInvite` of an agent."""
        now = asyncio.get_running_loop().time()
        self._invites.add(invite.endpoint_id, now, invite.any_work)

    def on_refused(self, endpoint_id):
        """Record that an endpoint has refused work."""
        self._refusals.on_refused(endpoint_id, asyncio.get_running_loop().time())

    def on_accepted(self, endpoint_id):
        """Record that an endpoint has accepted work."""
        self._refusals.on_accepted(endpoint_id)

    def on_link_failed(self, vm_id):
        """Record a refused, lost or silent connection to a VM."""
        self._link_backoff.on_failure(vm_id, asyncio.get_running_loop().time())

    def on_link_worked(self, vm_id):
        """Record that a message or handshake from a VM has arrived."""
        self._link_backoff.on_message(vm_id)
