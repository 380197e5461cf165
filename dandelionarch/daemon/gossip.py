"""Exchange of VMs and endpoints between daemons."""

import asyncio
import dataclasses
import logging

from dandelionarch.core.messages import members
from dandelionarch.core.messages.request import Leaving
from dandelionarch.core.world import Endpoint, EndpointState, Health, Vm, VmState
from dandelionarch.errors import LinkError
from dandelionarch.logs import event

log = logging.getLogger(__name__)

EXCHANGE_PERIOD_S = 1.0
ASK_TIMEOUT_S = 1.0


def vm_record(vm):
    """Return the message form of a VM."""
    return members.VmRecord(
        *(getattr(vm, f.name) for f in dataclasses.fields(vm) if f.name != "state"),
        vm.state.value,
    )


def vm_of(record):
    """Return the VM of its message form."""
    values = dataclasses.asdict(record)
    return Vm(**{**values, "state": VmState(record.state)})


def endpoint_record(endpoint):
    """Return the message form of an endpoint."""
    values = dataclasses.asdict(endpoint)
    values.update(state=endpoint.state.value, health=endpoint.health.value)
    return members.EndpointRecord(**values)


def endpoint_of(record):
    """Return the endpoint of its message form."""
    values = dataclasses.asdict(record)
    values.update(state=EndpointState(record.state), health=Health(record.health))
    return Endpoint(**values)


class DirectoryExchange:
    """Task that asks the seeds and all known VMs for what they know."""

    def __init__(self, network, directory, vm, seeds):
        self._network = network
        self._directory = directory
        self._vm = vm
        self._seeds = seeds
        network.subscribe(members.DirectoryQuery, self._on_query)
        network.subscribe(Leaving, self._on_leaving)

    async def run(self):
        """Exchange every period until cancelled."""
        while True:
            await asyncio.gather(
                *(self._ask_seed(*address) for address in self._unknown_seeds()),
                *(self._ask(vm.vm_id) for vm in self._others()),
            )
            await asyncio.sleep(EXCHANGE_PERIOD_S)

    def _others(self):
        return [vm for vm in self._directory.living_vms() if vm.vm_id != self._vm.vm_id]

    def _unknown_seeds(self):
        known = {(vm.host, vm.peer_port) for vm in self._directory.vms.values()}
        return [address for address in self._seeds if address not in known]

    async def _ask_seed(self, host, port):
        try:
            link = await self._network.dial(host, port)
            self._learn(
                await link.ask(
                    members.DirectoryQuery(vm_record(self._vm)), ASK_TIMEOUT_S
                )
            )
        except LinkError as exc:
            event(log, "seed_unreachable", logging.WARNING, detail=str(exc))

    async def _ask(self, vm_id):
        try:
            query = members.DirectoryQuery(vm_record(self._vm))
            self._learn(await self._network.ask(vm_id, query, ASK_TIMEOUT_S))
        except LinkError as exc:
            event(log, "peer_unreachable", logging.WARNING, vm=vm_id, detail=str(exc))

    def _learn(self, reply):
        for record in (reply.sender, *reply.vms):
            self._directory.put_vm(vm_of(record))
        for record in reply.endpoints:
            self._directory.put_endpoint(endpoint_of(record))

    def _on_query(self, link, query):
        self._directory.put_vm(vm_of(query.sender))
        return members.DirectoryReply(
            vm_record(self._vm),
            tuple(vm_record(vm) for vm in self._directory.vms.values()),
            tuple(
                endpoint_record(e)
                for e in self._directory.endpoints_of_vm(self._vm.vm_id)
            ),
        )

    def _on_leaving(self, link, msg):
        vm = self._directory.vms.get(msg.vm_id)
        if vm is not None and link.vm_id == msg.vm_id:
            self._directory.put_vm(dataclasses.replace(vm, state=VmState.LEAVING))
            event(log, "vm_leaving", vm=msg.vm_id)
