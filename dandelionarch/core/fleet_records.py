"""Records of the `fleet` stream and their encoding."""

import json
from dataclasses import asdict, dataclass

from dandelionarch.ids import (
    EndpointId,
    Incarnation,
    Offset,
    Revision,
    ServiceName,
    VmId,
)


@dataclass(frozen=True, slots=True)
class AnnouncedEndpoint:
    """An endpoint that takes work, as announced by its VM."""

    endpoint_id: EndpointId
    incarnation: Incarnation
    service: ServiceName


@dataclass(frozen=True, slots=True)
class Announce:
    """All endpoints of one VM incarnation; replaces its earlier announcements.

    `version` counts the announcements of the incarnation. `read_to` is the offset
    after the last record that the VM had read when it wrote this one. With the host
    and gossip port, a daemon can join the fleet when none of its seeds is reachable.
    """

    vm_id: VmId
    incarnation: Incarnation
    version: int
    read_to: Offset
    host: str
    gossip_port: int
    endpoints: tuple[AnnouncedEndpoint, ...]


@dataclass(frozen=True, slots=True)
class Withdraw:
    """A VM incarnation has left, or the membership considers it dead."""

    vm_id: VmId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class EjectClaim:
    """Request of a VM's agent to eject one endpoint incarnation on that VM.

    `number` counts the claims of the VM incarnation; `score` is higher for an
    endpoint in worse health. `version` is that of the VM's latest announcement. The
    claim is not valid before that announcement is in the log, because an earlier
    announcement still in flight could drop the endpoint and its claim.
    """

    vm_id: VmId
    vm_incarnation: Incarnation
    version: int
    number: int
    endpoint_id: EndpointId
    incarnation: Incarnation
    service: ServiceName
    score: float


@dataclass(frozen=True, slots=True)
class Readmit:
    """The agent has ended the ejection that claim `number` allowed.

    The record names the claim, not the endpoint, so that a late repeat can't release
    a newer claim on the same endpoint.
    """

    vm_id: VmId
    vm_incarnation: Incarnation
    number: int


@dataclass(frozen=True, slots=True)
class Floors:
    """The floors of all services at a configuration revision.

    `floors` holds (service, amount, unit); see `core.lists.Floor` for the unit.
    """

    revision: Revision
    floors: tuple[tuple[str, int, str], ...]


RECORD_TYPES = {
    cls.__name__: cls for cls in (Announce, Withdraw, EjectClaim, Readmit, Floors)
}


def to_bytes(record):
    """Encode a fleet record as the content of a log record."""
    body = asdict(record)
    if isinstance(record, Announce):
        body["endpoints"] = [
            [e.endpoint_id, e.incarnation, e.service] for e in record.endpoints
        ]
    body["type"] = type(record).__name__
    return json.dumps(body, separators=(",", ":")).encode()


def from_bytes(data):
    """Decode the fleet record in a log record's content.

    Raises
    ------
    ValueError
        If the content is not a fleet record.
    """
    try:
        body = json.loads(data)
        cls = RECORD_TYPES[body.pop("type")]
        if cls is Announce:
            body["endpoints"] = tuple(AnnouncedEndpoint(*e) for e in body["endpoints"])
        elif cls is Floors:
            body["floors"] = tuple(tuple(f) for f in body["floors"])
        return cls(**body)
    except (KeyError, TypeError, AttributeError) as exc:
        raise ValueError(f"not a fleet record: {exc}") from exc
