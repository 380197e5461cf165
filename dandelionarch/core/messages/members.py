"""Messages by which daemons learn of each other and of endpoints."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class VmRecord:
    """A daemon as told by another; fields as in `core.world.Vm`."""

    vm_id: str
    data_centre: str
    region: str
    host: str
    ingress_port: int
    peer_port: int
    gossip_port: int
    admin_port: int
    incarnation: int
    state: str


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    """An endpoint as told by its own daemon; fields as in `core.world.Endpoint`."""

    endpoint_id: str
    vm_id: str
    service: str
    host: str
    port: int
    slots: int
    connections: int
    incarnation: int
    state: str
    health: str


@dataclass(frozen=True, slots=True)
class DirectoryQuery:
    """Ask a daemon for its VMs and for the endpoints beside it."""

    sender: VmRecord


@dataclass(frozen=True, slots=True)
class DirectoryReply:
    """The VMs that the sender knows and the endpoints beside it."""

    sender: VmRecord
    vms: tuple[VmRecord, ...]
    endpoints: tuple[EndpointRecord, ...]


MESSAGES = (DirectoryQuery, DirectoryReply)
