"""Registry entries, by which each daemon announces itself and its endpoints."""

from dataclasses import dataclass

from dandelionarch.core.messages.endpoints import EndpointRecord


@dataclass(frozen=True, slots=True)
class QuarantineRecord:
    """A request in quarantine, kept for daemons that start later.

    `crashes` are the ids of the crashes that count, the latest of which happened at
    `crashed_at_ms`, in Unix time.
    """

    fingerprint: bytes
    service: str
    crashes: tuple[bytes, ...]
    crashed_at_ms: int


@dataclass(frozen=True, slots=True)
class VmEntry:
    """Announcement of a daemon and the endpoints on its VM.

    `incarnation` identifies the process, `edition` counts its changes to the entry.
    `quarantined` are requests that have crashed endpoints of this VM.
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
    quarantined: tuple[QuarantineRecord, ...] = ()


@dataclass(frozen=True, slots=True)
class StateQuery:
    """Ask a daemon for its copy of the store's content.

    `revision` is that of the sender's configuration. The entries of all VMs make a
    large reply, so they are sent only if `entries` is set.
    """

    revision: int
    entries: bool = False
    accepts_delta: bool = False


@dataclass(frozen=True, slots=True)
class RecordDelta:
    """Difference between two revisions of the operator's record, compressed.

    `base` is the revision that `data` is relative to, or 0 for the empty record, and
    `digest` is the BLAKE2b code of the whole record. There is no difference if `data`
    is empty.
    """

    base: int = 0
    data: bytes = b""
    digest: bytes = b""


@dataclass(frozen=True, slots=True)
class StateAnswer:
    """Reply to `StateQuery`.

    If the sender of the query has the newest configuration, `config` and `delta` are
    empty. Otherwise `delta` leads to the operator's record if the query accepts one,
    and `config` is the record as stored if it does not.
    """

    config: bytes
    entries: tuple[VmEntry, ...]
    delta: RecordDelta = RecordDelta()


@dataclass(frozen=True, slots=True)
class ConfigNotice:
    """Announce what the sender has: the active revision and the era of the store.

    The era is that of the latest reply that the sender has had from the store, or 0.
    """

    revision: int
    store_era: int = 0


MESSAGES = (VmEntry, StateQuery, StateAnswer, ConfigNotice)
