"""Gossip messages by which daemons discover each other and their endpoints."""

from dataclasses import dataclass

from dandelionarch.core.messages.endpoints import EndpointRecord


@dataclass(frozen=True, slots=True)
class ServiceSlots:
    """Number of endpoints and slots of one service on a daemon's VM."""

    service: str
    endpoints: int
    slots: int


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """Description of a daemon by itself.

    `incarnation` identifies the process. `edition` counts the changes that the
    process itself has made to the record; by raising it, a daemon refutes what others
    say of an earlier edition. `endpoints_version` counts changes to the endpoints on
    the daemon's VM, which are fetched separately.
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
    """State that a daemon assigns to an edition of another daemon's record."""

    vm_id: str
    incarnation: int
    edition: int
    state: str


@dataclass(frozen=True, slots=True)
class StreamOffset:
    """Offset up to which the sender has applied a stream."""

    stream: str
    offset: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a daemon for a `ProbeAck`; membership updates are piggybacked."""

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
    """Reply to `Probe`, sent directly or relayed by a third daemon."""

    vm_id: str
    incarnation: int
    endpoints_version: int
    number: int
    records: tuple[MemberRecord, ...]
    verdicts: tuple[MemberVerdict, ...]


@dataclass(frozen=True, slots=True)
class ProbeRequest:
    """Ask a daemon to probe `target` and to relay its reply."""

    vm_id: str
    number: int
    target: str


@dataclass(frozen=True, slots=True)
class Join:
    """Introduce the sender and ask for all members."""

    record: MemberRecord


@dataclass(frozen=True, slots=True)
class Members:
    """Records and verdicts, at most as many as fit into one datagram."""

    records: tuple[MemberRecord, ...]
    verdicts: tuple[MemberVerdict, ...]


@dataclass(frozen=True, slots=True)
class TreeNode:
    """Hash of one node of the sender's Merkle tree of members; level 0 is the root."""

    level: int
    index: int
    digest: int


@dataclass(frozen=True, slots=True)
class TreeDigest:
    """Nodes that the receiver compares with those of its own tree."""

    nodes: tuple[TreeNode, ...]


@dataclass(frozen=True, slots=True)
class BucketKeys:
    """All live members in some leaves of the sender's tree."""

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
    """One of the `parts` messages that list a daemon's endpoints of one service."""

    vm_id: str
    incarnation: int
    version: int
    service: str
    part: int
    parts: int
    endpoints: tuple[EndpointRecord, ...]


@dataclass(frozen=True, slots=True)
class EndpointStateRecord:
    """State of one incarnation of an endpoint."""

    endpoint_id: str
    incarnation: int
    state: str


@dataclass(frozen=True, slots=True)
class EndpointStates:
    """Endpoints that take no new work from now on, announced to every member."""

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
