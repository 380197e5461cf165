"""Reports of the endpoints of this VM, and the announcement of their changes."""

import logging
import time

from dandelionarch.core.endpoint_reports import EndpointReports
from dandelionarch.core.outcome import Reason
from dandelionarch.core.world import EndpointState
from dandelionarch.logs import event

log = logging.getLogger(__name__)

# Without a limit in the service's options, only the endpoint's slots limit it.
UNLIMITED_CONNECTIONS = 1_000_000


class LocalEndpoints:
    """Accepts endpoints' reports and passes changes to the registry and the peers.

    Parameters
    ----------
    directory : Directory
    vm_id : VmId
    routing : ActiveRouting
    watch : GateWatch
    agent : Agent
    registry : RegistryService
    """

    def __init__(self, directory, vm_id, routing, watch, agent, registry):
        self._directory = directory
        self._vm_id = vm_id
        self._routing = routing
        self._watch = watch
        self._agent = agent
        self._registry = registry
        self._reports = EndpointReports(vm_id, self._max_connections)

    def has_reported(self):
        """Return True once an endpoint of this VM has reported itself."""
        return bool(self._directory.endpoints_of_vm(self._vm_id))

    def on_report(self, report):
        """Handle an `EndpointReport`."""
        for endpoint in self._reports.accept(report):
            self._on_change(endpoint)

    def on_leave(self, endpoint_id):
        """Handle the notice of an endpoint that it leaves."""
        endpoint = self._reports.mark_draining(endpoint_id, time.time_ns() // 1_000_000)
        if endpoint is not None:
            self._on_change(endpoint)

    def _max_connections(self, service):
        options = self._routing.options(service)
        if options is None:
            return UNLIMITED_CONNECTIONS
        return min(UNLIMITED_CONNECTIONS, options.max_connections)

    def _on_change(self, endpoint):
        current = self._watch.with_current_health(endpoint)
        if not self._directory.put_endpoint(current):
            return
        event(
            log,
            "endpoint_announced",
            endpoint=endpoint.endpoint_id,
            service=endpoint.service,
            incarnation=endpoint.incarnation,
            state=endpoint.state.value,
        )
        self._registry.announce()
        if endpoint.state is EndpointState.READY:
            self._agent.broadcast_load(current)
        elif endpoint.state is not EndpointState.STARTING:
            self._agent.refuse_queued(endpoint.endpoint_id, Reason.DRAINING)
