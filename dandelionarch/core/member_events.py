"""Commands and events that the membership returns."""

from dataclasses import dataclass

from dandelionarch.core.world import EndpointState, Vm


@dataclass(frozen=True, slots=True)
class SendDatagram:
    """Command: send a message to a gossip address."""

    address: tuple
    message: object


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """Command: record a VM in the directory."""

    vm: Vm


@dataclass(frozen=True, slots=True)
class MemberForgotten:
    """Command: remove a VM whose retention after its death has ended."""

    vm_id: str


@dataclass(frozen=True, slots=True)
class EndpointsLearnt:
    """Command: replace the known endpoints of a service on a VM."""

    vm_id: str
    service: str
    endpoints: tuple


@dataclass(frozen=True, slots=True)
class EndpointStateLearnt:
    """Command: record a changed state of one endpoint incarnation."""

    vm_id: str
    endpoint_id: str
    incarnation: int
    state: EndpointState


@dataclass(frozen=True, slots=True)
class PeerOffsets:
    """Event for the stream relay: how far a peer has folded its streams."""

    vm_id: str
    offsets: dict


@dataclass(frozen=True, slots=True)
class IncarnationRaised:
    """Event: a former process at this address had a higher incarnation."""

    incarnation: int
