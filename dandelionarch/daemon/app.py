"""The daemon: builds its parts, starts and stops them."""

import asyncio
import dataclasses
import logging
import random
import time

from dandelionarch.core.checkpoints import Retention
from dandelionarch.core.config import CONFIG_STREAM, ConfigFold, Verdict
from dandelionarch.core.directory import Directory
from dandelionarch.core.issued_keys import KeyIssuer
from dandelionarch.core.lists import CustomerKeys, RouteTable
from dandelionarch.core.messages import request as msgs
from dandelionarch.core.world import EndpointState, Vm
from dandelionarch.daemon.admin import Admin
from dandelionarch.daemon.agent import Agent
from dandelionarch.daemon.gossip import DirectoryExchange
from dandelionarch.daemon.ingress import Ingress
from dandelionarch.daemon.ingress_http import IngressHttp
from dandelionarch.daemon.limits import Limits
from dandelionarch.daemon.link import PeerNetwork
from dandelionarch.daemon.logclient import LogClient
from dandelionarch.daemon.order_home import OrderHomes
from dandelionarch.daemon.orders import OrderGate
from dandelionarch.daemon.streams import StreamService
from dandelionarch.ids import DataCentreId, Incarnation, RegionId, VmId
from dandelionarch.logs import event

log = logging.getLogger(__name__)

STOP_POLL_S = 0.02


class ActiveConfig:
    """The accepted configuration with its lookup tables."""

    def __init__(self):
        self.lists = None
        self.routes = None
        self.keys = None

    def use(self, lists):
        """Put new lists in force; tables of unchanged kinds are kept."""
        old = self.lists
        if old is None or old.routes is not lists.routes:
            self.routes = RouteTable(lists)
        if old is None or old.customers is not lists.customers:
            self.keys = CustomerKeys(lists)
        self.lists = lists


class Daemon:
    """All parts of one daemon in one process and loop."""

    def __init__(self, settings):
        cfg = settings.daemon
        self.settings = settings
        self.vm_id = VmId(cfg.vm)
        self.vm = Vm(
            self.vm_id,
            DataCentreId(cfg.data_centre),
            RegionId(cfg.region),
            cfg.host,
            cfg.ingress_port,
            cfg.peer_port,
            cfg.gossip_port,
            cfg.admin_port,
            Incarnation(time.time_ns() // 1_000_000),
        )
        self.directory = Directory()
        self.directory.put_vm(self.vm)
        self.active = ActiveConfig()
        self.client = LogClient(cfg.log_url)
        self.network = PeerNetwork(self.vm_id, cfg.shared_key.encode(), self._address)
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
        self.streams.on_applied(CONFIG_STREAM, self._on_publication)
        self.streams.on_restored(CONFIG_STREAM, self._use_config)
        self.streams.on_ready(self._use_config)
        self.agent = Agent(self.network, self.directory, self.vm_id)
        self.ingress = Ingress(self.network, self.directory, self.agent)
        self.order_homes = OrderHomes(
            self.client,
            self.network,
            self.directory,
            self.vm,
            settings.orders.window_s,
        )
        self.orders = OrderGate(
            self.network,
            self.directory,
            self.order_homes,
            KeyIssuer(cfg.shared_key.encode()),
            self.vm,
            random.Random(),
        )
        self.limits = Limits(self.network, self.directory, self.active, random.Random())
        self.ingress.on_load = self.limits.load_told
        self.http = IngressHttp(
            self.ingress, self.orders, self.limits, self.active, settings.limits
        )
        self.admin = Admin(self)
        self.exchange = DirectoryExchange(
            self.network, self.directory, self.vm, cfg.seed_addresses
        )
        self._servers = []
        self._tasks = []
        self._stop_requested = None
        self._drained = {}

    async def run(self, stop):
        """Serve until the `stop` event is set, then shut down gracefully."""
        self._stop_requested = stop
        await self._start()
        event(log, "daemon_started", vm=self.vm_id, incarnation=self.vm.incarnation)
        await stop.wait()
        await self._drain()
        await self._stop()
        event(log, "daemon_stopped", vm=self.vm_id)

    async def _start(self):
        cfg = self.settings.daemon
        await self.client.start()
        await self.agent.start()
        await self.network.start(cfg.host, cfg.peer_port)
        for app, port in (
            (self.admin.app, cfg.admin_port),
            (self.http.app, cfg.ingress_port),
        ):
            server = await app.create_server(
                cfg.host, port, return_asyncio_server=True, access_log=False
            )
            await server.startup()
            await server.start_serving()
            self._servers.append(server)
        for coro in (
            self.streams.run(),
            self.exchange.run(),
            self.order_homes.run(),
            self.limits.run(),
        ):
            self._tasks.append(asyncio.create_task(coro))

    async def _drain(self):
        """Refuse new work, tell the peers, and finish what is in flight."""
        event(log, "daemon_stopping", vm=self.vm_id, in_flight=self.agent.in_flight)
        self.http.stopping = True
        self.agent.stopping = True
        for link in self.network.all_links():
            link.send(msgs.Leaving(self.vm_id))
        loop = asyncio.get_running_loop()
        limit = loop.time() + self.settings.limits.stop_timeout_s
        while (self.agent.in_flight or self.http.in_flight) and loop.time() < limit:
            await asyncio.sleep(STOP_POLL_S)

    async def _stop(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for server in self._servers:
            server.close()
        await self.network.stop()
        await self.agent.stop()
        await self.client.stop()

    def announced(self, endpoint):
        """Take note of an endpoint beside this daemon."""
        if self._drained.get(endpoint.endpoint_id) == endpoint.incarnation and (
            endpoint.state is not EndpointState.GONE
        ):
            endpoint = dataclasses.replace(endpoint, state=EndpointState.DRAINING)
        if self.directory.put_endpoint(endpoint):
            event(
                log,
                "endpoint_announced",
                endpoint=endpoint.endpoint_id,
                service=endpoint.service,
                state=endpoint.state.value,
            )

    def leave(self):
        """Begin a graceful stop, as on SIGTERM."""
        event(log, "drain_requested", vm=self.vm_id)
        self._stop_requested.set()

    def drain_endpoint(self, endpoint_id):
        """Give an endpoint beside this daemon no new work; return False if unknown.

        It holds for the endpoint's present incarnation.
        """
        endpoint = self.directory.endpoints.get(endpoint_id)
        if endpoint is None or endpoint.vm_id != self.vm_id:
            return False
        self._drained[endpoint_id] = endpoint.incarnation
        self.announced(endpoint)
        return True

    def status(self):
        """Return what `dandelionctl status` shows."""
        return {
            "vm": self.vm_id,
            "data_centre": self.vm.data_centre,
            "incarnation": self.vm.incarnation,
            "revision": self.config.state.revision,
            "offsets": self.streams.offsets(),
            "ready": self.streams.ready,
            "log_available": self.streams.available,
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
            self._use_config()

    def _use_config(self):
        # Until the state is recent, a replaced VM would serve an older revision
        # than its predecessor.
        if self.streams.ready and self.config.state.revision:
            self.active.use(self.config.state.lists)

    def _address(self, vm_id):
        vm = self.directory.vms.get(vm_id)
        return None if vm is None else (vm.host, vm.peer_port)
