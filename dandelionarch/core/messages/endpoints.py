"""Descriptions of endpoints that daemons exchange."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    """An endpoint as reported by its own daemon; fields as in `core.world.Endpoint`."""

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
