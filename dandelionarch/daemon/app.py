"""Daemon with gossip membership and a log service: builds and connects its parts."""

import asyncio
import contextlib
import dataclasses
import logging
import random

from dandelionarch.core.announcements import CHECK_PERIOD_S, Announcements
from dandelionarch.core.checkpoints import Retention
from dandelionarch.core.config import CONFIG_STREAM, ConfigFold, Verdict
from dandelionarch.core.issued_keys import KeyIssuer
from dandelionarch.core.lists import CustomerKeys, routes_of
from dandelionarch.core.messages import request as msgs
from dandelionarch.core.routes import RouteTable
from dandelionarch.core.world import EndpointState, Vm
from dandelionarch.daemon.admin import Admin
from dandelionarch.daemon.agent import Agent
from dandelionarch.daemon.bearer_callers import DandelionCallers
from dandelionarch.daemon.caller_connections import IngressProtocol
from dandelionarch.daemon.fleet import FleetService
from dandelionarch.daemon.gossip import Gossip
from dandelionarch.daemon.health import HealthWatch
from dandelionarch.daemon.ingress import Ingress
from dandelionarch.daemon.ingress_http import IngressHttp
from dandelionarch.daemon.lifecycle import DaemonLifecycle, new_incarnation
from dandelionarch.daemon.limits import Limits
from dandelionarch.daemon.link import PeerNetwork
from dandelionarch.daemon.logclient import LogClient
from dandelionarch.daemon.order_home import OrderHomes
from dandelionarch.daemon.orders import OrderDispatcher
from dandelionarch.daemon.streams import StreamService
from dandelionarch.errors import LinkError
from dandelionarch.ids import DataCentreId, RegionId, Revision, VmId
from dandelionarch.logs import event
from dandelionarch.metrics import statsd_metrics

log = logging.getLogger(__name__)


class ActiveConfig:
    """Lists of the active configuration, with lookup tables."""

    def __init__(self):
        self.lists = None
        self.routes = None
        self.keys = None
        self.revision = Revision(0)

    @property
    def ready(self):
        """Return True once lists are active."""
        return self.lists is not None

    def use(self, lists, revision):
        """Activate new lists; lookup tables of unchanged kinds are kept."""
        old = self.lists
        if old is None or old.routes is not lists.routes:
            self.routes = RouteTable(routes_of(lists))
        if old is None or old.customers is not lists.customers:
            self.keys = CustomerKeys(lists)
        self.lists = lists
        self.revision = revision


class Daemon(DaemonLifecycle):
    """A daemon with gossip membership: all its parts, in one process and event loop."""

    def __init__(self, settings):
        cfg = settings.daemon
        super().__init__(
            Vm(
                VmId(cfg.vm),
                DataCentreId(cfg.data_centre),
                RegionId(cfg.region),
                cfg.host,
                cfg.ingress_port,
                cfg.peer_port,
                cfg.gossip_port,
                cfg.admin_port,
                new_incarnation(),
            )
        )
        self.settings = settings
        self.active_config = ActiveConfig()
        self.client = LogClient(cfg.log_url)
        self.network = PeerNetwork(
            self.vm_id, cfg.shared_key.encode(), self._peer_address
        )
        self.streams = StreamService(
            self.client,
            self.network,
            self.directory,
            self.vm,
            Retention(settings.log.retention_s, settings.log.retention_records),
            cfg.seed_addresses,
        )
        self.config = ConfigFold()
        self.streams.add_fold(self.config)
        self.streams.subscribe_applied(CONFIG_STREAM, self._on_publication)
        self.streams.subscribe_restored(CONFIG_STREAM, self._activate_config)
        self.streams.subscribe_ready(self._activate_config)
        self.fleet = FleetService(
            self.streams, self.directory, self.vm, self._accepted_lists
        )
        self.health = HealthWatch(self.network, self.directory, self.vm_id, self.fleet)
        self.fleet.subscribe_revoked(self.health.on_claim_revoked)
        self.agent = Agent(self.network, self.directory, self.vm_id, self.health)
        self.ingress = Ingress(self.network, self.directory, self.agent)
        self.order_homes = OrderHomes(
            self.client,
            self.network,
            self.directory,
            self.vm,
            settings.orders.window_s,
        )
        self.orders = OrderDispatcher(
            self.network,
            self.order_homes,
            KeyIssuer(cfg.shared_key.encode()),
            self.ingress,
        )
        self.metrics = statsd_metrics(
            settings.statsd.host, settings.statsd.port, settings.statsd.prefix
        )
        self.limits = Limits(
            self.network, self.directory, self.active_config, random.Random()
        )
        self.ingress.subscribe_load(self.limits.on_load_report)
        self.http = IngressHttp(
            self.ingress,
            DandelionCallers(self.active_config, self.orders),
            self.active_config,
            settings.limits,
            limits=self.limits,
            orders=self.orders,
            metrics=self.metrics,
        )
        self.admin = Admin(self)
        self.gossip = Gossip(
            self.network,
            self.directory,
            self.vm,
            cfg.shared_key.encode(),
            cfg.seed_addresses,
        )
        self.gossip.set_offset_source(self.streams.offsets)
        self.gossip.subscribe_peer_offsets(self.streams.record_peer_offsets)
        self.gossip.subscribe_incarnation(self._on_incarnation_raised)
        self.ingress.fetch_endpoints = self.gossip.wait_for_detail
        self.gossip.set_address_source(self.fleet.fold.addresses)
        self.announcements = Announcements()
        self._drained_incarnations = {}

    def _start_steps(self):
        cfg = self.settings.daemon
        host = cfg.host
        return {
            "log client": self.client.start(),
            "agent": self.agent.start(),
            f"peer port {cfg.peer_port}": self.network.start(host, cfg.peer_port),
            f"gossip port {cfg.gossip_port}": self.gossip.start(host, cfg.gossip_port),
            f"admin port {cfg.admin_port}": self._serve(
                self.admin.app, host, cfg.admin_port
            ),
            f"ingress port {cfg.ingress_port}": self._serve(
                self.http.app, host, cfg.ingress_port, IngressProtocol
            ),
        }

    def _task_functions(self):
        return (
            self.streams.run,
            self.gossip.run,
            self.gossip.run_seeds,
            self._remove_silent_endpoints,
            self.fleet.run,
            self.health.run,
            self.order_homes.run,
            self.limits.run,
        )

    def _stop_steps(self):
        return {
            "gossip": self._stop_gossip(),
            "agent": self.agent.stop(),
            "peer network": self.network.stop(),
            "log client": self.client.stop(),
        }

    def _working_parts(self):
        return (*super()._working_parts(), self.orders)

    @property
    def _stop_timeout_s(self):
        return self.settings.limits.stop_timeout_s

    async def _drain(self, has_time):
        self.gossip.leave()
        for link in self.network.all_links():
            with contextlib.suppress(LinkError):
                link.send(msgs.Leaving(self.vm_id))
        self.http.refuse_new_work()
        self.agent.stopping = True
        await self._finish_work(has_time)
        await self.fleet.leave()
        await self._close_callers(has_time)

    async def _stop_gossip(self):
        self.gossip.stop()

    async def _remove_silent_endpoints(self):
        """Mark endpoints that no longer announce themselves as gone."""
        while True:
            await asyncio.sleep(CHECK_PERIOD_S)
            for endpoint in self.announcements.remove_silent(self.network.now()):
                event(log, "endpoint_silent", endpoint=endpoint.endpoint_id)
                self.directory.put_endpoint(endpoint)

    def _on_incarnation_raised(self, incarnation):
        """Change to an incarnation above the one of a former process on this VM."""
        self.vm = dataclasses.replace(self.vm, incarnation=incarnation)
        self.order_homes.vm = self.vm
        self.fleet.use_incarnation(incarnation)

    def apply_announcement(self, endpoint):
        """Put an endpoint on this VM that has announced itself into the directory."""
        if self._drained_incarnations.get(
            endpoint.endpoint_id
        ) == endpoint.incarnation and (endpoint.state is not EndpointState.GONE):
            endpoint = dataclasses.replace(endpoint, state=EndpointState.DRAINING)
        endpoint = self.health.with_current_health(endpoint)
        self.announcements.on_announcement(endpoint, self.network.now())
        if self.directory.put_endpoint(endpoint):
            event(
                log,
                "endpoint_announced",
                endpoint=endpoint.endpoint_id,
                service=endpoint.service,
                state=endpoint.state.value,
            )

    def request_stop(self):
        """Start a graceful stop, as SIGTERM does."""
        event(log, "drain_requested", vm=self.vm_id)
        self.stop_request.set()

    def drain_endpoint(self, endpoint_id):
        """Stop sending new work to an endpoint on this VM; return False if unknown.

        This applies to the endpoint's present incarnation only.
        """
        endpoint = self.directory.endpoints.get(endpoint_id)
        if endpoint is None or endpoint.vm_id != self.vm_id:
            return False
        self._drained_incarnations[endpoint_id] = endpoint.incarnation
        self.apply_announcement(endpoint)
        return True

    def status(self):
        """Return the state that `dandelionctl status` shows."""
        return {
            "vm": self.vm_id,
            "data_centre": self.vm.data_centre,
            "incarnation": self.vm.incarnation,
            "revision": self.config.state.revision,
            "offsets": self.streams.offsets(),
            "ready": self.streams.ready,
            "log_available": self.streams.available,
            "headroom": self.fleet.headroom(),
            "ejected": self.fleet.ejected_endpoint_ids(),
            "vms": {vm.vm_id: vm.state.value for vm in self.directory.vms.values()},
            "endpoints": {
                e.endpoint_id: {
                    "service": e.service,
                    "vm": e.vm_id,
                    "state": e.state.value,
                    "health": e.health.value,
                }
                for e in self.directory.endpoints.values()
            },
        }

    def _on_publication(self, record, decision):
        event(
            log,
            "publication",
            record=decision.record_id,
            verdict=decision.verdict.value,
            revision=decision.revision,
            changes=decision.changes,
            reason=decision.reason or "-",
        )
        if decision.verdict is Verdict.ACCEPTED:
            self._activate_config()

    def _activate_config(self):
        # Before its state is recent, a replaced VM could activate an older revision
        # than its predecessor used.
        if self.streams.ready and self.config.state.revision:
            self.active_config.use(self.config.state.lists, self.config.state.revision)

    def _accepted_lists(self):
        state = self.config.state
        return (state.revision, state.lists) if state.revision else None
