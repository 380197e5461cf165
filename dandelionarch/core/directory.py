"""What a daemon knows of VMs and endpoints, whoever told it."""

from dandelionarch.core.world import EndpointState, VmState


class Directory:
    """VMs and endpoints by id; a lower incarnation never replaces a higher one."""

    def __init__(self):
        self.vms = {}
        self.endpoints = {}
        self._by_service = {}
        self._listeners = []

    def on_change(self, listener):
        """Call `listener(thing)` with each `Vm` or `Endpoint` that has changed."""
        self._listeners.append(listener)

    def _changed(self, thing):
        for listener in self._listeners:
            listener(thing)

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
        self.endpoints[endpoint.endpoint_id] = endpoint
        self._by_service.setdefault(endpoint.service, {})[endpoint.endpoint_id] = True
        if known != endpoint:
            self._changed(endpoint)
        return known != endpoint

    def drop_endpoint(self, endpoint_id):
        """Forget one endpoint."""
        endpoint = self.endpoints.pop(endpoint_id, None)
        if endpoint is not None:
            self._by_service[endpoint.service].pop(endpoint_id, None)

    def drop_endpoints(self, vm_id):
        """Forget all endpoints beside one VM's daemon."""
        for endpoint in self.endpoints_of_vm(vm_id):
            self.drop_endpoint(endpoint.endpoint_id)

    def endpoints_of_vm(self, vm_id):
        """Return the endpoints beside one VM's daemon."""
        return [e for e in self.endpoints.values() if e.vm_id == vm_id]

    def endpoints_of(self, service):
        """Yield the endpoints of a service in the order in which they were learnt."""
        for endpoint_id in self._by_service.get(service, ()):
            yield self.endpoints[endpoint_id]

    def living_vms(self):
        """Return the VMs that are neither dead nor leaving, by id."""
        states = (VmState.ALIVE, VmState.SUSPECT)
        return sorted(
            (vm for vm in self.vms.values() if vm.state in states),
            key=lambda vm: vm.vm_id,
        )
