"""Registry entries, by which each daemon announces itself and its endpoints."""

from dataclasses import dataclass

from dandelionarch.core.messages.endpoints import EndpointRecord


@dataclass(frozen=True, slots=True)
class VmEntry:
    """Announcement of a daemon and the endpoints on its VM.

    `incarnation` identifies the process, `edition` counts its changes to the entry.
    """

    vm_id: str
    data_centre: str
    region: str
    host: str
    peer_port: int
    incarnation: int
    edition: int
    state: str
    endpoints: tuple[EndpointRecord, ...]


@dataclass(frozen=True, slots=True)
class StateQuery:
    """Ask a daemon for its copy of the store's content.

    `revision` is that of the sender's configuration. The entries of all VMs make a
    large reply, so they are sent only if `entries` is set.
    """

    revision: int
    entries: bool = False


@dataclass(frozen=True, slots=True)
class StateAnswer:
    """Reply to `StateQuery`.

    `config` is the operator's record as stored, or empty if it is no newer than the
    revision in the query.
    """

    config: bytes
    entries: tuple[VmEntry, ...]


@dataclass(frozen=True, slots=True)
class ConfigNotice:
    """Announce that the sender has activated this revision of the configuration."""

    revision: int


MESSAGES = (VmEntry, StateQuery, StateAnswer, ConfigNotice)
