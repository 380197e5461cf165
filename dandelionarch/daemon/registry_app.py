"""The daemon of a fleet whose configuration and registry are topics of a store.

It is made of the same request path as `daemon.app.Daemon`. Who is alive is told by
the registry and by the daemon's own links; configuration comes as a whole from the
operator; one gate per endpoint stands for ejection.
"""

import asyncio
import contextlib
import dataclasses
import logging
import math
import random
from collections.abc import Callable

from sanic.response import raw

from dandelionarch.core.keyed_log import KeyedLog
from dandelionarch.core.mechanisms import Mechanism, named
from dandelionarch.core.messages import request as msgs
from dandelionarch.core.neighbours import Neighbours
from dandelionarch.core.placement import is_follower
from dandelionarch.core.retries import FleetBudget, FleetShareBudget
from dandelionarch.core.routing_config import ActiveRouting, ConfigFormat
from dandelionarch.core.world import Vm, VmState
from dandelionarch.daemon.agent import Agent
from dandelionarch.daemon.caller_connections import IngressProtocol
from dandelionarch.daemon.callers import CallerProtocol
from dandelionarch.daemon.config_keeper import ConfigKeeper
from dandelionarch.daemon.dialect import EndpointDialect
from dandelionarch.daemon.endpoint_probe import EndpointProbe
from dandelionarch.daemon.endpoint_views import IngressRules
from dandelionarch.daemon.ingress import Ingress
from dandelionarch.daemon.ingress_http import IngressHttp
from dandelionarch.daemon.lifecycle import (
    STOP_POLL_S,
    DaemonLifecycle,
    new_incarnation,
)
from dandelionarch.daemon.link import PeerNetwork
from dandelionarch.daemon.link_keeper import LinkKeeper
from dandelionarch.daemon.local_endpoints import LocalEndpoints
from dandelionarch.daemon.parts import ERROR_FORMAT, new_app
from dandelionarch.daemon.registry import RegistryService
from dandelionarch.daemon.settings import split_address
from dandelionarch.daemon.state_copy import StateCopies
from dandelionarch.daemon.watch import GateWatch
from dandelionarch.errors import LinkError
from dandelionarch.ids import DataCentreId, RegionId, VmId
from dandelionarch.logs import event
from dandelionarch.metrics import PageMetrics
from dandelionarch.wire.codec import Channel, Codec

log = logging.getLogger(__name__)

# Agents ask for trials of closed gates. This share of idempotent requests tries one
# unasked, in case what an agent asks for does not arrive.
GATE_TRIAL_SHARE = 0.02
# What an ingress knows of others' load is old by the time of its next request, so it
# asks. A hop takes a millisecond or two, the wait for a slot hundreds.
BUSY_MOVES = 3
IDLE_PING_S = 2.0
CHANNELS = (Channel.REQUEST, Channel.REGISTRY, Channel.LOANS)


@dataclasses.dataclass(frozen=True)
class Platform:
    """What a fleet's surroundings provide, behind the product's own interfaces.

    `make_apps(daemon)` yields the HTTP applications beside the callers' one, each
    with its address.
    """

    config_topic: KeyedLog
    config_format: ConfigFormat
    registry_topic: KeyedLog
    callers: CallerProtocol
    dialect: EndpointDialect
    make_apps: Callable


class RegistryDaemon(DaemonLifecycle):
    """All parts of one daemon in one process and loop.

    Parameters
    ----------
    settings : RegistrySettings
    platform : Platform
    """

    def __init__(self, settings, platform):
        cfg = settings.daemon
        super().__init__(
            Vm(
                VmId(cfg.vm),
                DataCentreId(cfg.data_centre),
                RegionId(cfg.region),
                cfg.host,
                settings.listen.callers_address[1],
                settings.listen.peer_port,
                0,
                0,
                new_incarnation(),
            )
        )
        self.settings = settings
        self.routing = ActiveRouting()
        self._platform = platform
        self._rng = random.Random()
        self._stopping = False
        self._most_vms = 1
        self._started_s = -math.inf
        self._build_path(cfg)
        self._build_state()

    def _build_path(self, cfg):
        self.metrics = PageMetrics()
        self.network = PeerNetwork(
            self.vm_id,
            cfg.shared_key.encode(),
            self._address,
            IDLE_PING_S,
            Codec(CHANNELS),
        )
        self.network.subscribe(msgs.Leaving, self._on_leaving)
        off = named(self.settings.mechanisms.off)
        self.watch = GateWatch(self.directory, self.network.now, off=off)
        self._neighbours = Neighbours(self.vm, self.directory)
        self.agent = Agent(
            self.network,
            self.directory,
            self.vm_id,
            self.watch,
            self._platform.dialect,
            off,
        )
        self.watch.on_change = self._on_health
        self.watch.on_invite = self._invite
        self.watch.on_straggler = self.agent.report_straggler
        self.watch.survival = self.agent.survival
        self.watch.all_links = self.network.all_links
        self.network.on_lost(self.watch.on_link_lost)
        self.network.on_opened(self.agent.send_loads)
        self.ingress = Ingress(
            self.network,
            self.directory,
            self.agent,
            self._rng,
            IngressRules(
                trial_share=GATE_TRIAL_SHARE,
                links_kept_open=True,
                in_reach=self._in_reach,
                make_budget=self._make_budget,
                gates_broadcast=True,
                lends_retries=Mechanism.RETRY_LOANS not in off,
                busy_moves=BUSY_MOVES,
                parks_requests=Mechanism.PARKING not in off,
                off=off,
            ),
        )
        self.http = IngressHttp(
            self.ingress,
            self._platform.callers,
            self.routing,
            self.settings.limits,
            metrics=self.metrics,
        )

    def _make_budget(self):
        cfg = self.settings.retries
        budget = FleetBudget(cfg.ratio, cfg.slack, cfg.window_s)
        return FleetShareBudget(
            budget, self._daemons_known, self._rng.random(), self._started_s
        )

    def _in_reach(self, vm_id):
        return self._neighbours.holds(vm_id) or self.network.is_up(vm_id)

    def _daemons_known(self):
        """Return the greatest number of living VMs that was known at once.

        Those that are cut off from here go on spending their part.
        """
        self._most_vms = max(self._most_vms, len(self.directory.living_vms()))
        return self._most_vms

    def _build_state(self):
        platform = self._platform
        self.registry = RegistryService(
            platform.registry_topic,
            self.directory,
            self.vm,
            self.network,
            self._rng,
        )
        self.endpoints = LocalEndpoints(
            self.directory,
            self.vm_id,
            self.routing,
            self.watch,
            self.agent,
            self.registry,
        )
        self._probe = EndpointProbe(
            self.settings.endpoint,
            self.routing,
            platform.dialect,
            self.endpoints.are_known,
            self.endpoints.on_report,
        )
        self._config = ConfigKeeper(
            platform.config_topic,
            platform.config_format,
            self.routing,
            self._on_config,
            self._rng,
            self._rests,
        )
        self._keeper = LinkKeeper(self.network, self.directory, self._neighbours)
        followers = (self._config.follower, self.registry.follower)
        self._copies = StateCopies(
            self.network, followers, self, self._rng, self._is_near, self._rests
        )

    def _is_near(self, vm_id):
        vm = self.directory.vms.get(vm_id)
        return vm is not None and vm.data_centre == self.vm.data_centre

    def _rests(self):
        """Return True while enough VMs nearby follow the store for this daemon."""
        linked = {link.vm_id for link in self.network.all_links()}
        return not is_follower(self.vm_id, filter(self._is_near, linked))

    @property
    def ready(self):
        """Return True while callers may send new work here."""
        return self.routing.ready and not self._stopping

    def _start_steps(self):
        self._started_s = self.network.now()
        listen = self.settings.listen
        host, port = listen.callers_address
        steps = {
            "agent": self.agent.start(),
            f"peer port {listen.peer_port}": self.network.start(
                self.vm.host, listen.peer_port
            ),
            f"callers' port {port}": self._serve(
                self.http.app, host, port, IngressProtocol
            ),
        }
        if listen.metrics:
            host, port = split_address(listen.metrics)
            app = metrics_app(self.metrics)
            steps[f"metrics port {port}"] = self._serve(app, host, port)
        for app, (host, port) in self._platform.make_apps(self):
            steps[f"port {port}"] = self._serve(app, host, port)
        return steps

    def _task_functions(self):
        return (
            self._config.follower.run,
            self.registry.follower.run,
            self.registry.run,
            self._keeper.run,
            self._copies.run,
            self.watch.run,
            self._probe.run,
        )

    def _stop_steps(self):
        return {"agent": self.agent.stop(), "peer network": self.network.stop()}

    def reload(self):
        """Take note of changed settings; what they hold is read at the next start."""
        event(log, "settings_changed", vm=self.vm_id, applied="at next start")

    def _on_health(self, endpoint):
        self.metrics.incr(f"endpoint_health.{endpoint.health.value}")
        self.agent.broadcast_load(endpoint)

    def _invite(self, endpoint_id, link, any_work):
        with contextlib.suppress(LinkError):
            link.send(msgs.TrialInvite(endpoint_id, any_work))

    @property
    def _stop_s(self):
        return self.settings.stop.timeout_s

    async def _drain(self, has_time):
        # Callers learn by the readiness check that they are to go elsewhere; until
        # then, and while endpoints here still make calls, they are served.
        self._stopping = True
        self.agent.stopping = True
        self.network.broadcast(msgs.Leaving(self.vm_id))
        leave = asyncio.create_task(self.registry.leave(self._stop_s))
        await asyncio.sleep(self.settings.stop.drain_s)
        while self.agent.in_flight and has_time():
            await asyncio.sleep(STOP_POLL_S)
        self.http.refuse_new_work()
        await self._finish_work(has_time)
        await self._close_callers(has_time)
        leave.cancel()
        await asyncio.gather(leave, return_exceptions=True)

    def _on_config(self, config):
        self._copies.config_changed()
        self.http.use_bounds(config.bounds)
        self.metrics.gauge("config_revision", config.revision)

    @property
    def revision(self):
        """Return the revision of the configuration in force."""
        return self.routing.revision

    @property
    def config_value(self):
        """Return the record of the configuration in force, empty without one."""
        return self._config.value

    def entries(self):
        """Return the registry entries that are known here."""
        return self.registry.entries()

    def take_copy(self, answer, vm_id):
        """Take what a peer has of the store."""
        if answer.config:
            self._config.take(answer.config, vm_id)
        for entry in answer.entries:
            self.registry.take(entry)

    def _on_leaving(self, link, msg):
        vm = self.directory.vms.get(VmId(msg.vm_id))
        if vm is not None and link.vm_id == vm.vm_id:
            event(log, "peer_leaving", vm=vm.vm_id)
            self.directory.put_vm(dataclasses.replace(vm, state=VmState.LEAVING))


def metrics_app(metrics):
    """Return the application that serves the page of metrics at any path."""
    app = new_app("metrics")

    async def page(request, path=""):
        return raw(metrics.page(), content_type=metrics.content_type)

    app.add_route(page, "/", name="root", error_format=ERROR_FORMAT)
    app.add_route(page, "/<path:path>", name="any", error_format=ERROR_FORMAT)
    return app
