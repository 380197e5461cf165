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
    """An endpoint that takes work, as its VM announces it."""

    endpoint_id: EndpointId
    incarnation: Incarnation
    service: ServiceName


@dataclass(frozen=True, slots=True)
class Announce:
    """All endpoints of one VM incarnation; replaces its earlier announcements.

    `version` counts the announcements of the incarnation. `read_to` is the offset
    after the last record that the VM had read when it wrote this one. The host and
    gossip port let a daemon join when all its seeds are gone.
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
    """A VM incarnation has left or is held dead by the membership."""

    vm_id: VmId
    incarnation: Incarnation


@dataclass(frozen=True, slots=True)
class EjectClaim:
    """The agent of a VM asks to eject one endpoint incarnation beside it.

    `number` counts the claims of the VM incarnation; `score` is higher for an
    endpoint in worse health. `version` is that of the VM's latest announcement: the
    claim isn't valid before this announcement has landed, as an earlier one that is
    still under way could drop the endpoint and with it the claim.
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
    """The agent has stopped the ejection that claim `number` allowed.

    It names the claim, not the endpoint: a late repeat must not release a newer
    claim on the same endpoint.
    """

    vm_id: VmId
    vm_incarnation: Incarnation
    number: int


@dataclass(frozen=True, slots=True)
class Floors:
    """The floors of all services as of a configuration revision.

    `floors` holds (service, amount, unit), with the unit as in `core.lists.Floor`.
    """

    revision: Revision
    floors: tuple[tuple[str, int, str], ...]


RECORD_TYPES = {
    cls.__name__: cls for cls in (Announce, Withdraw, EjectClaim, Readmit, Floors)
}


def to_bytes(record):
    """Return the content of a fleet record."""
    body = asdict(record)
    if isinstance(record, Announce):
        body["endpoints"] = [
            [e.endpoint_id, e.incarnation, e.service] for e in record.endpoints
        ]
    body["type"] = type(record).__name__
    return json.dumps(body, separators=(",", ":")).encode()


def from_bytes(data):
    """Return the fleet record in a log record's content.

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
