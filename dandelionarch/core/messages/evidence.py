"""Messages by which agents compare recent measurements of their endpoints."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EvidenceQuery:
    """Ask an agent for recent measurements of one of its endpoints.

    For each kind of work, `cap_logs` holds the logarithm of the age in seconds from
    which an unfinished run is counted as well.
    """

    endpoint_id: str
    kinds: tuple[str, ...]
    cap_logs: tuple[float, ...]
    window_s: float


@dataclass(frozen=True, slots=True)
class KindSummary:
    """Measurements of one kind of work; fields as in `core.evidence.Summary`."""

    kind: str
    count: int
    failures: int
    timed: int
    median_log: float
    spread_log: float


@dataclass(frozen=True, slots=True)
class EvidenceSummary:
    """Reply to `EvidenceQuery`; no kinds if the agent does not know the endpoint."""

    endpoint_id: str
    kinds: tuple[KindSummary, ...]


MESSAGES = (EvidenceQuery, EvidenceSummary)
