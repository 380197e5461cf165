"""Messages by which agents compare the evidence about their endpoints."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EvidenceQuery:
    """Ask an agent for the recent evidence about one of its endpoints.

    `cap_logs` has, per kind of work, the logarithm of the age in seconds from
    which a current run counts.
    """

    endpoint_id: str
    kinds: tuple[str, ...]
    cap_logs: tuple[float, ...]
    window_s: float


@dataclass(frozen=True, slots=True)
class KindSummary:
    """Evidence of one kind of work; fields as in `core.evidence.Summary`."""

    kind: str
    count: int
    failures: int
    timed: int
    median_log: float
    spread_log: float


@dataclass(frozen=True, slots=True)
class EvidenceSummary:
    """Reply to `EvidenceQuery`; empty if the agent does not know the endpoint."""

    endpoint_id: str
    kinds: tuple[KindSummary, ...]


MESSAGES = (EvidenceQuery, EvidenceSummary)
