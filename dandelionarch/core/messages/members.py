"""Messages by which daemons learn of each other and of endpoints."""

from dataclasses import dataclass

from dandelionarch.core.messages.endpoints import EndpointRecord


@dataclass(frozen=True, slots=True)
class ServiceSlots:
    """Endpoints and slots of one service beside a daemon."""

    service: str
    endpoints: int
    slots: int


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """A daemon as it describes itself.

    `incarnation` identifies the process. `edition` counts the process's own changes
    to the record; raising it refutes what others say of an earlier edition.
    `endpoints_version` counts changes to the endpoints beside the daemon, whose
    detail is fetched separately.
    """

    vm_id: str
    data_centre: str
    region: str
    host: str
    ingress_port: int
    peer_port: int
    gossip_port: int
    admin_port: int
    incarnation: int
    edition: int
    state: str
    endpoints_version: int
    services: tuple[ServiceSlots, ...]


@dataclass(frozen=True, slots=True)
class MemberVerdict:
    """What a daemon holds of another one's edition, without its details."""

    vm_id: str
    incarnation: int
    edition: int
    state: str


@dataclass(frozen=True, slots=True)
class StreamOffset:
    """Offset up to which the sender has folded a stream."""

    stream: str
    offset: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a daemon for a `ProbeAck`; updates ride along."""

    vm_id: str
    incarnation: int
    endpoints_version: int
    number: int
    target: str
    offsets: tuple[StreamOffset, ...]
    records: tuple[MemberRecord, ...]
    verdicts: tuple[MemberVerdict, ...]


@dataclass(frozen=True, slots=True)
class ProbeAck:
    """Reply to `Probe`, or one that a third daemon passes on."""

    vm_id: str
    incarnation: int
    endpoints_version: int
    number: int
    records: tuple[MemberRecord, ...]
    verdicts: tuple[MemberVerdict, ...]


@dataclass(frozen=True, slots=True)
class ProbeRequest:
    """Ask a daemon to probe `target` and to pass its reply on."""

    vm_id: str
    number: int
    target: str


@dataclass(frozen=True, slots=True)
class Join:
    """Introduce the sender and ask for all members."""

    record: MemberRecord


@dataclass(frozen=True, slots=True)
class Members:
    """Records and verdicts, as many as fit one datagram."""

    records: tuple[MemberRecord, ...]
    verdicts: tuple[MemberVerdict, ...]


@dataclass(frozen=True, slots=True)
class TreeNode:
    """Hash of one node of the sender's member tree; level 0 is the root."""

    level: int
    index: int
    digest: int


@dataclass(frozen=True, slots=True)
class TreeDigest:
    """Nodes to compare with the receiver's tree."""

    nodes: tuple[TreeNode, ...]


@dataclass(frozen=True, slots=True)
class BucketKeys:
    """All living members that the sender has in some leaves of its tree."""

    buckets: tuple[int, ...]
    keys: tuple[MemberVerdict, ...]


@dataclass(frozen=True, slots=True)
class MemberQuery:
    """Ask for the records of some members."""

    vm_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class EndpointQuery:
    """Ask a daemon for its endpoints of some services."""

    services: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class EndpointDetail:
    """One of `parts` parts of a daemon's endpoints of one service."""

    vm_id: str
    incarnation: int
    version: int
    service: str
    part: int
    parts: int
    endpoints: tuple[EndpointRecord, ...]


@dataclass(frozen=True, slots=True)
class EndpointStateRecord:
    """State of one endpoint incarnation."""

    endpoint_id: str
    incarnation: int
    state: str


@dataclass(frozen=True, slots=True)
class EndpointStates:
    """Endpoints that take no new work from now on, told to every member."""

    vm_id: str
    incarnation: int
    states: tuple[EndpointStateRecord, ...]


MESSAGES = (
    Probe,
    ProbeAck,
    ProbeRequest,
    Join,
    Members,
    TreeDigest,
    BucketKeys,
    MemberQuery,
    EndpointQuery,
    EndpointDetail,
    EndpointStates,
)
