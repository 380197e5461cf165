"""Audit of a chaos run, based on the workers' records of their runs."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

# An endpoint must get no new work later than this after the start of its drain.
DRAIN_LIMIT_S = 3.0


@dataclass(frozen=True, slots=True)
class Attempt:
    """One request of the client, and its outcome.

    `key` is the idempotency key or empty. `order` is set for work that is not
    idempotent, `complete` if the answer was complete and belongs to this request.
    Times are in seconds of the system clock.
    """

    request_id: str
    key: str
    order: bool
    outcome: str
    complete: bool
    sent_s: float
    end_s: float


@dataclass
class Evidence:
    """Records of a chaos run.

    Attributes
    ----------
    attempts : list of Attempt
    runs : list of dict
        Runs recorded by the workers, each with the name of its endpoint.
    drained : dict
        Start of the drain of each drained endpoint, in seconds of the system clock.
    revisions : dict
        Revisions observed at each VM in order, over all incarnations of its daemon.
    publications : list of (base revision, accepted)
        Amendments by operators who publish at the same time; the base is -1 if the
        amendment was not accepted.
    """

    attempts: list = field(default_factory=list)
    runs: list = field(default_factory=list)
    drain_starts: dict = field(default_factory=dict)
    revisions: dict = field(default_factory=lambda: defaultdict(list))
    publications: list = field(default_factory=list)

    def started_runs(self):
        """Return the runs that were started, without those that the workers refused."""
        return [run for run in self.runs if run["result"] != "refused"]


def audit(evidence):
    """Return the violations of the guarantees as a list of texts."""
    rules = (
        wrong_answers,
        repeated_orders,
        false_not_run,
        work_after_drain,
        revision_regressions,
        conflicting_publications,
    )
    return [violation for rule in rules for violation in rule(evidence)]


def wrong_answers(evidence):
    """Yield answers that are incomplete or belong to another request."""
    for attempt in evidence.attempts:
        if attempt.outcome == "answer" and not attempt.complete:
            yield f"request {attempt.request_id}: incomplete or not its own answer"


def repeated_orders(evidence):
    """Yield keys and orders without a key that ran more than once."""
    by_key = Counter(run["key"] for run in evidence.started_runs() if run["key"] != "-")
    by_request = Counter(run["request"] for run in evidence.started_runs())
    orders = {a.request_id for a in evidence.attempts if a.order and not a.key}
    for key, count in by_key.items():
        if count > 1:
            yield f"key {key}: ran {count} times"
    for request_id in orders:
        if by_request[request_id] > 1:
            yield f"order {request_id}: ran {by_request[request_id]} times"


def false_not_run(evidence):
    """Yield requests reported as not-run although they, or their key, had run."""
    requests = {run["request"] for run in evidence.started_runs()}
    first_start = {}
    for run in evidence.started_runs():
        first_start[run["key"]] = min(
            run["start"], first_start.get(run["key"], run["start"])
        )
    for attempt in evidence.attempts:
        if attempt.outcome != "not-run":
            continue
        if attempt.request_id in requests:
            yield f"request {attempt.request_id}: reported as not-run, but it ran"
        if attempt.key and first_start.get(attempt.key, attempt.end_s) < attempt.sent_s:
            yield f"key {attempt.key}: reported as not-run after it had run"


def work_after_drain(evidence):
    """Yield runs started at an endpoint too long after the start of its drain."""
    for run in evidence.started_runs():
        drain_start_s = evidence.drain_starts.get(run["endpoint"])
        if drain_start_s is not None and run["start"] > drain_start_s + DRAIN_LIMIT_S:
            late_s = run["start"] - drain_start_s
            yield f"endpoint {run['endpoint']}: new work {late_s:.1f} s after its drain"


def revision_regressions(evidence):
    """Yield VMs that returned to an older configuration."""
    for vm, revisions in evidence.revisions.items():
        for before, after in zip(revisions, revisions[1:], strict=False):
            if after < before:
                yield f"vm {vm}: configuration changed from {before} back to {after}"


def conflicting_publications(evidence):
    """Yield revisions on which several accepted publications are based."""
    accepted_counts = Counter(
        base for base, accepted in evidence.publications if accepted
    )
    for base, count in accepted_counts.items():
        if count > 1:
            yield f"revision {base}: amended by {count} accepted publications"
