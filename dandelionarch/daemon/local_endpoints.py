"""The endpoints beside a daemon: what they say of themselves, and who learns of it."""

import logging
import time

from dandelionarch.core.endpoint_reports import EndpointReports
from dandelionarch.core.outcome import Reason
from dandelionarch.core.world import EndpointState
from dandelionarch.logs import event

log = logging.getLogger(__name__)

# Where a service states no bound, the endpoint's slots are the only one.
NO_BOUND = 1_000_000


class LocalEndpoints:
    """Takes in reports and passes changes on to the registry and the peers.

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

    def are_known(self):
        """Return True once an endpoint has said who it is."""
        return bool(self._directory.endpoints_of_vm(self._vm_id))

    def reported(self, report):
        """Take in an `EndpointReport`."""
        for endpoint in self._reports.accept(report):
            self._changed(endpoint)

    def left(self, endpoint_id):
        """Take note that an endpoint has said that it leaves."""
        endpoint = self._reports.leave(endpoint_id, time.time_ns() // 1_000_000)
        if endpoint is not None:
            self._changed(endpoint)

    def _max_connections(self, service):
        options = self._routing.options(service)
        return NO_BOUND if options is None else options.max_connections

    def _changed(self, endpoint):
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
