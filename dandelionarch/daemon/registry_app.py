"""Daemon of a fleet whose configuration and registry are topics of a store.

It shares the request path with `daemon.app.Daemon`. Liveness of VMs comes from the
registry and the daemon's own links, the operator publishes the configuration as a
whole, and a circuit breaker (gate) per endpoint takes the place of ejection.
"""

import asyncio
import contextlib
import dataclasses
import functools
import logging
import math
import random
from collections.abc import Callable

from sanic.response import raw

from dandelionarch.core.keyed_log import KeyedLog
from dandelionarch.core.mechanisms import Mechanism, parse_mechanisms
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
from dandelionarch.daemon.endpoint_dialect import EndpointDialect
from dandelionarch.daemon.endpoint_probe import EndpointProbe
from dandelionarch.daemon.endpoint_views import IngressRules
from dandelionarch.daemon.endpoint_watch import GateWatch
from dandelionarch.daemon.ingress import Ingress
from dandelionarch.daemon.ingress_http import IngressHttp
from dandelionarch.daemon.lifecycle import (
    STOP_POLL_PERIOD_S,
    DaemonLifecycle,
    new_incarnation,
)
from dandelionarch.daemon.link import PeerNetwork
from dandelionarch.daemon.link_keeper import LinkKeeper
from dandelionarch.daemon.local_endpoints import LocalEndpoints
from dandelionarch.daemon.registry import RegistryService
from dandelionarch.daemon.runtime import ERROR_FORMAT, new_app
from dandelionarch.daemon.settings import split_address
from dandelionarch.daemon.state_copy import StateCopier
from dandelionarch.errors import LinkError
from dandelionarch.ids import DataCentreId, RegionId, VmId
from dandelionarch.logs import event
from dandelionarch.metrics import PrometheusMetrics
from dandelionarch.wire.codec import Channel, Codec

log = logging.getLogger(__name__)

# Agents invite trial requests to endpoints whose gate is closed. This share of
# idempotent requests tries one without an invitation, as invitations may be lost.
GATE_TRIAL_SHARE = 0.02
# An ingress's load figures of other VMs are outdated by its next request, so it asks
# the endpoints: this many busy ones in a row may redirect a request. A hop takes 1 to
# 2 ms, the wait for a slot hundreds.
MAX_BUSY_REDIRECTS = 3
IDLE_PING_S = 2.0
CHANNELS = (Channel.REQUEST, Channel.REGISTRY, Channel.LOANS)


@dataclasses.dataclass(frozen=True)
class Platform:
    """Platform-specific parts of a daemon, behind the package's own interfaces.

    Attributes
    ----------
    config_topic : KeyedLog
    config_format : ConfigFormat
    registry_topic : KeyedLog
    callers : CallerProtocol
    dialect : EndpointDialect
    make_apps : callable
        `make_apps(daemon)` yields (application, address) for each HTTP application
        other than the one for callers.
    """

    config_topic: KeyedLog
    config_format: ConfigFormat
    registry_topic: KeyedLog
    callers: CallerProtocol
    dialect: EndpointDialect
    make_apps: Callable


class RegistryDaemon(DaemonLifecycle):
    """A daemon with a registry: all its parts, in one process and event loop.

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
        self._peak_vm_count = 1
        self._start_time_s = -math.inf
        self._build_request_path(cfg)
        self._build_state()

    def _build_request_path(self, cfg):
        self.metrics = PrometheusMetrics()
        self.network = PeerNetwork(
            self.vm_id,
            cfg.shared_key.encode(),
            self._peer_address,
            IDLE_PING_S,
            Codec(CHANNELS),
        )
        self.network.subscribe(msgs.Leaving, self._on_leaving)
        off = parse_mechanisms(self.settings.mechanisms.off)
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
        self.watch.on_change = self._on_health_change
        self.watch.on_invite = self._send_trial_invite
        self.watch.on_straggler = self.agent.report_straggler
        self.watch.survival = self.agent.survival
        self.watch.all_links = self.network.all_links
        self.network.subscribe_link_lost(self.watch.on_link_lost)
        self.network.subscribe_link_opened(self.agent.send_loads)
        self.ingress = Ingress(
            self.network,
            self.directory,
            self.agent,
            self._rng,
            IngressRules(
                trial_share=GATE_TRIAL_SHARE,
                links_kept_open=True,
                is_reachable=self._is_reachable,
                make_budget=self._make_budget,
                gates_broadcast=True,
                lends_retries=Mechanism.RETRY_LOANS not in off,
                max_busy_redirects=MAX_BUSY_REDIRECTS,
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
            budget, self._known_vm_count, self._rng.random(), self._start_time_s
        )

    def _is_reachable(self, vm_id):
        return self._neighbours.is_chosen(vm_id) or self.network.is_up(vm_id)

    def _known_vm_count(self):
        """Return the greatest number of living VMs that was known at any time.

        VMs that can't be reached from here still spend their share of the budget.
        """
        self._peak_vm_count = max(self._peak_vm_count, len(self.directory.live_vms()))
        return self._peak_vm_count

    def _build_state(self):
        platform = self._platform
        self.registry = RegistryService(
            platform.registry_topic,
            self.directory,
            self.vm,
            self.network,
            self._rng,
            self._on_store_restored,
        )
        self.registry.quarantined = self.agent.suspects.records.records
        self.registry.on_quarantined = self.agent.suspects.on_records
        self.agent.suspects.records.on_change = self.registry.announce
        self.endpoints = LocalEndpoints(
            self.directory,
            self.vm_id,
            self.routing,
            self.watch,
            self.agent,
            self.registry,
        )
        self.agent.on_leaving = self.endpoints.on_leave
        self._endpoint_probe = EndpointProbe(
            self.settings.endpoint,
            self.routing,
            platform.dialect,
            self.endpoints.has_reported,
            self.endpoints.on_report,
        )
        self._config_keeper = ConfigKeeper(
            platform.config_topic,
            platform.config_format,
            self.routing,
            self._on_config,
            self._rng,
            self._can_skip_reads,
            self._on_store_restored,
        )
        self._link_keeper = LinkKeeper(self.network, self.directory, self._neighbours)
        followers = (self._config_keeper.follower, self.registry.follower)
        self._state_copier = StateCopier(
            self.network,
            followers,
            self,
            self._rng,
            self._is_near,
            self._can_skip_reads,
        )

    def _is_near(self, vm_id):
        vm = self.directory.vms.get(vm_id)
        return vm is not None and vm.data_centre == self.vm.data_centre

    def _can_skip_reads(self):
        """Return True while enough other VMs in the data centre follow the store."""
        linked = {link.vm_id for link in self.network.all_links()}
        return not is_follower(self.vm_id, filter(self._is_near, linked))

    @property
    def ready(self):
        """Return True while callers may send new requests to this daemon."""
        return self.routing.ready and not self._stopping

    def _start_steps(self):
        self._start_time_s = self.network.now()
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
            self._config_keeper.follower.run,
            self.registry.follower.run,
            self.registry.run,
            self._link_keeper.run,
            self._state_copier.run,
            self.watch.run,
            self._endpoint_probe.run,
        )

    def _stop_steps(self):
        return {"agent": self.agent.stop(), "peer network": self.network.stop()}

    def reload(self):
        """Log that the settings have changed; they take effect at the next start."""
        event(log, "settings_changed", vm=self.vm_id, applied="at next start")

    def _on_health_change(self, endpoint):
        self.metrics.incr(f"endpoint_health.{endpoint.health.value}")
        self.agent.broadcast_load(endpoint)

    def _send_trial_invite(self, endpoint_id, link, any_work):
        with contextlib.suppress(LinkError):
            link.send(msgs.TrialInvite(endpoint_id, any_work))

    @property
    def _stop_timeout_s(self):
        return self.settings.stop.timeout_s

    async def _drain(self, has_time):
        # Callers move to other VMs once their readiness checks fail. They are served
        # until then, and as long as endpoints on this VM still make calls.
        self._stopping = True
        self.agent.stopping = True
        planned_stop = self.http.planned_stop
        planned_stop.time_left_s = functools.partial(
            self.stop_request.time_left_s, self._stop_timeout_s
        )
        planned_stop.may_be_call = self.agent.may_have_called
        self.network.broadcast(msgs.Leaving(self.vm_id))
        leave = asyncio.create_task(self.registry.leave(self._stop_timeout_s))
        await asyncio.sleep(self.settings.stop.drain_s)
        planned_stop.callers_have_left = True
        while self.agent.in_flight and has_time():
            await asyncio.sleep(STOP_POLL_PERIOD_S)
        self.http.refuse_new_work()
        await self._finish_work(has_time)
        await self._close_callers(has_time)
        leave.cancel()
        await asyncio.gather(leave, return_exceptions=True)

    def _on_store_restored(self):
        self._state_copier.on_store_restored()

    def _on_config(self, config):
        self._state_copier.send_notices()
        self.http.use_bounds(config.bounds)
        self.metrics.gauge("config_revision", config.revision)

    @property
    def revision(self):
        """Return the revision of the active configuration."""
        return self.routing.revision

    @property
    def store_era(self):
        """Return the newest era of the store that its replies have shown."""
        return max(self._config_keeper.follower.era, self.registry.follower.era)

    def check_store(self):
        """Read the registry soon, and with it the era of the store."""
        self.registry.follower.read_soon()

    @property
    def config_history(self):
        """Return the `RecordHistory` of the active configurations."""
        return self._config_keeper.history

    def entries(self):
        """Return the known registry entries."""
        return self.registry.entries()

    def apply_peer_state(self, answer, vm_id):
        """Apply the configuration and registry entries of a peer's `StateAnswer`."""
        if answer.config:
            self._config_keeper.apply_record(answer.config, vm_id)
        if answer.delta.data:
            self._config_keeper.apply_delta(answer.delta, vm_id)
        for entry in answer.entries:
            self.registry.apply_peer_entry(entry)

    def _on_leaving(self, link, msg):
        vm = self.directory.vms.get(VmId(msg.vm_id))
        if vm is not None and link.vm_id == vm.vm_id:
            event(log, "peer_leaving", vm=vm.vm_id)
            self.directory.put_vm(dataclasses.replace(vm, state=VmState.LEAVING))


def metrics_app(metrics):
    """Return the application that serves the metrics page at any path."""
    app = new_app("metrics")

    async def page(request, path=""):
        return raw(metrics.render(), content_type=metrics.content_type)

    app.add_route(page, "/", name="root", error_format=ERROR_FORMAT)
    app.add_route(page, "/<path:path>", name="any", error_format=ERROR_FORMAT)
    return app
