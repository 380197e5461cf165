"""Entries of the registry, in which each daemon announces itself and its endpoints."""

from dataclasses import dataclass

from dandelionarch.core.messages.endpoints import EndpointRecord


@dataclass(frozen=True, slots=True)
class VmEntry:
    """A daemon as it announces itself.

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
    """Ask a daemon for what it has of the store; `revision` is the asker's.

    The entries of all VMs are a large answer, so that they are asked for.
    """

    revision: int
    entries: bool = False


@dataclass(frozen=True, slots=True)
class StateAnswer:
    """Reply to `StateQuery`.

    `config` is the operator's record as it stands in the store, empty if it is no
    newer than the asker's revision.
    """

    config: bytes
    entries: tuple[VmEntry, ...]


@dataclass(frozen=True, slots=True)
class ConfigNotice:
    """The sender has put this revision of the configuration in force."""

    revision: int


MESSAGES = (VmEntry, StateQuery, StateAnswer, ConfigNotice)
