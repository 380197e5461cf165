"""VMs and endpoints that a daemon knows, whatever the source."""

import dataclasses

from dandelionarch.core.world import EndpointState, VmState


class Directory:
    """VMs and endpoints by id; a lower incarnation never replaces a higher one."""

    def __init__(self):
        self.vms = {}
        self.endpoints = {}
        self._by_service = {}
        self._by_vm = {}
        self._change_callbacks = []
        self._lookup_callbacks = []

    def subscribe_changes(self, callback):
        """Call `callback(item)` after each change of a `Vm` or `Endpoint`."""
        self._change_callbacks.append(callback)

    def subscribe_lookups(self, callback):
        """Call `callback(service)` whenever the endpoints of a service are read."""
        self._lookup_callbacks.append(callback)

    def _notify(self, item):
        for callback in self._change_callbacks:
            callback(item)

    def put_vm(self, vm):
        """Record a VM; return True if this changed anything."""
        current = self.vms.get(vm.vm_id)
        if current is not None and current.incarnation > vm.incarnation:
            return False
        if current is not None and current.incarnation < vm.incarnation:
            self.drop_endpoints(vm.vm_id)
        self.vms[vm.vm_id] = vm
        if current != vm:
            self._notify(vm)
        return current != vm

    def put_endpoint(self, endpoint):
        """Record an endpoint; return True if this changed anything."""
        current = self.endpoints.get(endpoint.endpoint_id)
        if current is not None and current.incarnation > endpoint.incarnation:
            return False
        if endpoint.state is EndpointState.GONE:
            self.drop_endpoint(endpoint.endpoint_id)
            if current is not None:
                self._notify(endpoint)
            return current is not None
        if current is not None and current.service != endpoint.service:
            self.drop_endpoint(endpoint.endpoint_id)
        self.endpoints[endpoint.endpoint_id] = endpoint
        self._by_vm.setdefault(endpoint.vm_id, {})[endpoint.endpoint_id] = True
        self._by_service.setdefault(endpoint.service, {})[endpoint.endpoint_id] = True
        if current != endpoint:
            self._notify(endpoint)
        return current != endpoint

    def drop_endpoint(self, endpoint_id):
        """Remove one endpoint."""
        endpoint = self.endpoints.pop(endpoint_id, None)
        if endpoint is not None:
            for index, key in (
                (self._by_service, endpoint.service),
                (self._by_vm, endpoint.vm_id),
            ):
                index[key].pop(endpoint_id, None)
                if not index[key]:
                    del index[key]

    def drop_vm(self, vm_id):
        """Remove a VM and its endpoints."""
        self.drop_endpoints(vm_id)
        self.vms.pop(vm_id, None)

    def set_health(self, endpoint_id, health):
        """Set the health that an endpoint's agent reports; call no callback."""
        current = self.endpoints.get(endpoint_id)
        if current is not None and current.health is not health:
            self.endpoints[endpoint_id] = dataclasses.replace(current, health=health)

    def set_endpoint_state(self, endpoint_id, incarnation, state):
        """Set the state of an endpoint if the incarnation is the known one."""
        current = self.endpoints.get(endpoint_id)
        if current is not None and current.incarnation == incarnation:
            self.put_endpoint(dataclasses.replace(current, state=state))

    def drop_endpoints(self, vm_id):
        """Remove all endpoints of one VM."""
        for endpoint in self.endpoints_of_vm(vm_id):
            self.drop_endpoint(endpoint.endpoint_id)

    def endpoints_of_vm(self, vm_id):
        """Return the endpoints of one VM."""
        return [self.endpoints[e] for e in self._by_vm.get(vm_id, ())]

    def endpoints_of(self, service):
        """Return the endpoints of a service in the order in which they were added."""
        for callback in self._lookup_callbacks:
            callback(service)
        return [self.endpoints[e] for e in self._by_service.get(service, ())]

    def live_vms(self):
        """Return the VMs that are neither dead nor leaving."""
        states = (VmState.ALIVE, VmState.SUSPECT)
        return [vm for vm in self.vms.values() if vm.state in states]
