"""What a daemon knows of VMs and endpoints, whoever told it."""

import dataclasses

from dandelionarch.core.world import EndpointState, VmState


class Directory:
    """VMs and endpoints by id; a lower incarnation never replaces a higher one."""

    def __init__(self):
        self.vms = {}
        self.endpoints = {}
        self._by_service = {}
        self._by_vm = {}
        self._listeners = []
        self._use_listeners = []

    def on_change(self, listener):
        """Call `listener(thing)` with each `Vm` or `Endpoint` that has changed."""
        self._listeners.append(listener)

    def on_use(self, listener):
        """Call `listener(service)` whenever the endpoints of a service are read."""
        self._use_listeners.append(listener)

    def _changed(self, item):
        for listener in self._listeners:
            listener(item)

    def put_vm(self, vm):
        """Record a VM; return True if this changed anything."""
        known = self.vms.get(vm.vm_id)
        if known is not None and known.incarnation > vm.incarnation:
            return False
        if known is not None and known.incarnation < vm.incarnation:
            self.drop_endpoints(vm.vm_id)
        self.vms[vm.vm_id] = vm
        if known != vm:
            self._changed(vm)
        return known != vm

    def put_endpoint(self, endpoint):
        """Record an endpoint; return True if this changed anything."""
        known = self.endpoints.get(endpoint.endpoint_id)
        if known is not None and known.incarnation > endpoint.incarnation:
            return False
        if endpoint.state is EndpointState.GONE:
            self.drop_endpoint(endpoint.endpoint_id)
            if known is not None:
                self._changed(endpoint)
            return known is not None
        if known is not None and known.service != endpoint.service:
            self.drop_endpoint(endpoint.endpoint_id)
        self.endpoints[endpoint.endpoint_id] = endpoint
        self._by_vm.setdefault(endpoint.vm_id, {})[endpoint.endpoint_id] = True
        self._by_service.setdefault(endpoint.service, {})[endpoint.endpoint_id] = True
        if known != endpoint:
            self._changed(endpoint)
        return known != endpoint

    def drop_endpoint(self, endpoint_id):
        """Forget one endpoint."""
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
        """Forget a VM and its endpoints."""
        self.drop_endpoints(vm_id)
        self.vms.pop(vm_id, None)

    def set_health(self, endpoint_id, health):
        """Record what an endpoint's agent says of its health; no listener is called."""
        known = self.endpoints.get(endpoint_id)
        if known is not None and known.health is not health:
            self.endpoints[endpoint_id] = dataclasses.replace(known, health=health)

    def set_endpoint_state(self, endpoint_id, incarnation, state):
        """Record the state of an endpoint incarnation, if it is a known one."""
        known = self.endpoints.get(endpoint_id)
        if known is not None and known.incarnation == incarnation:
            self.put_endpoint(dataclasses.replace(known, state=state))

    def drop_endpoints(self, vm_id):
        """Forget all endpoints beside one VM's daemon."""
        for endpoint in self.endpoints_of_vm(vm_id):
            self.drop_endpoint(endpoint.endpoint_id)

    def endpoints_of_vm(self, vm_id):
        """Return the endpoints beside one VM's daemon."""
        return [self.endpoints[e] for e in self._by_vm.get(vm_id, ())]

    def endpoints_of(self, service):
        """Return the endpoints of a service in the order in which they were learnt."""
        for listener in self._use_listeners:
            listener(service)
        return [self.endpoints[e] for e in self._by_service.get(service, ())]

    def live_vms(self):
        """Return the VMs that are neither dead nor leaving."""
        states = (VmState.ALIVE, VmState.SUSPECT)
        return [vm for vm in self.vms.values() if vm.state in states]
