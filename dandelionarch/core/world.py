"""VMs, data centres, endpoints and their states."""

from dataclasses import dataclass
from enum import Enum

from dandelionarch.ids import (
    DataCentreId,
    EndpointId,
    Incarnation,
    RegionId,
    ServiceName,
    VmId,
)

# Incarnation of an endpoint that has not reported its start; any report supersedes it.
UNKNOWN_START = Incarnation(0)


def same_start(one, other):
    """Return True unless two incarnations are known to differ."""
    return one == other or UNKNOWN_START in (one, other)


class VmState(Enum):
    """State of a VM's daemon as another daemon sees it."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


class EndpointState(Enum):
    """State that an endpoint reports to its daemon."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Health(Enum):
    """Health of an endpoint as judged by its agent.

    `TRIAL` means that only trials are admitted: through a closed gate (`core.gate`), or
    after an ejection (`core.ejection`).
    """

    HEALTHY = "healthy"
    DEMOTED = "demoted"
    EJECTED = "ejected"
    TRIAL = "trial"


@dataclass(frozen=True, slots=True)
class DataCentre:
    """A data centre within a region."""

    data_centre: DataCentreId
    region: RegionId


@dataclass(frozen=True, slots=True)
class Vm:
    """A VM with endpoints, and the addresses of its daemon."""

    vm_id: VmId
    data_centre: DataCentreId
    region: RegionId
    host: str
    ingress_port: int
    peer_port: int
    gossip_port: int
    admin_port: int
    incarnation: Incarnation
    state: VmState = VmState.ALIVE


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One worker of a service, reached through the daemon of its VM."""

    endpoint_id: EndpointId
    vm_id: VmId
    service: ServiceName
    host: str
    port: int
    slots: int
    connections: int
    incarnation: Incarnation
    state: EndpointState = EndpointState.READY
    health: Health = Health.HEALTHY
