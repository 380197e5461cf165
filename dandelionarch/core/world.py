"""The things that exist: VMs, data centres and endpoints."""

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

# Of an endpoint that has not reported its start yet; any report supersedes it.
UNKNOWN_START = Incarnation(0)


def same_start(one, other):
    """Return True unless two incarnations are known to differ."""
    return one == other or UNKNOWN_START in (one, other)


class VmState(Enum):
    """What a daemon believes about another daemon."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


class EndpointState(Enum):
    """What an endpoint says of itself through its daemon."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Health(Enum):
    """The judgement of the agent beside an endpoint."""

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
    """An endpoint VM and the addresses of its daemon."""

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
