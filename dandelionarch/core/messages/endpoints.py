"""Endpoints as daemons tell each other of them."""

from dataclasses import dataclass


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
