"""Audit of a chaos run from the workers' own records of their runs."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

# An endpoint that is leaving gets no new work after this time.
LEAVE_BOUND_S = 3.0


@dataclass(frozen=True, slots=True)
class Attempt:
    """One request of the run's client and what it was told.

    `key` is the idempotency key or empty; `order` says that the work is not
    idempotent; `whole` that the answer was complete and to this very request.
    Times are seconds of the machine's clock.
    """

    request_id: str
    key: str
    order: bool
    outcome: str
    whole: bool
    sent: float
    ended: float


@dataclass
class Evidence:
    """All that a chaos run has recorded.

    Attributes
    ----------
    attempts : list of Attempt
    runs : list of dict
        Records of the workers, each with the name of its endpoint.
    drained : dict
        Instant at which each drained endpoint began to leave.
    revisions : dict
        Revisions seen at each VM in order, over all of its incarnations.
    publications : list of (base revision, accepted)
    """

    attempts: list = field(default_factory=list)
    runs: list = field(default_factory=list)
    drained: dict = field(default_factory=dict)
    revisions: dict = field(default_factory=lambda: defaultdict(list))
    publications: list = field(default_factory=list)

    def began(self):
        """Return the runs that the workers began, without their own refusals."""
        return [run for run in self.runs if run["result"] != "refused"]


def audit(evidence):
    """Return the violations of the promises as a list of texts."""
    rules = (
        own_answers,
        orders_run_once,
        not_run_was_not_run,
        drained_not_used,
        revisions_only_rise,
        one_winner_per_revision,
    )
    return [found for rule in rules for found in rule(evidence)]


def own_answers(evidence):
    """Yield answers that were not whole or belonged to another request."""
    for attempt in evidence.attempts:
        if attempt.outcome == "answer" and not attempt.whole:
            yield f"request {attempt.request_id}: answer not whole or not its own"


def orders_run_once(evidence):
    """Yield keys, and orders without a key, that ran more than once."""
    by_key = Counter(run["key"] for run in evidence.began() if run["key"] != "-")
    by_request = Counter(run["request"] for run in evidence.began())
    orders = {a.request_id for a in evidence.attempts if a.order and not a.key}
    for key, count in by_key.items():
        if count > 1:
            yield f"key {key}: ran {count} times"
    for request_id in orders:
        if by_request[request_id] > 1:
            yield f"order {request_id}: ran {by_request[request_id]} times"


def not_run_was_not_run(evidence):
    """Yield requests that were told not-run although they, or their key, had run."""
    requests = {run["request"] for run in evidence.began()}
    first_run = {}
    for run in evidence.began():
        first_run[run["key"]] = min(
            run["start"], first_run.get(run["key"], run["start"])
        )
    for attempt in evidence.attempts:
        if attempt.outcome != "not-run":
            continue
        if attempt.request_id in requests:
            yield f"request {attempt.request_id}: told not-run, but it ran"
        if attempt.key and first_run.get(attempt.key, attempt.ended) < attempt.sent:
            yield f"key {attempt.key}: told not-run after it had run"


def drained_not_used(evidence):
    """Yield runs that began at an endpoint after it had left for too long."""
    for run in evidence.began():
        left = evidence.drained.get(run["endpoint"])
        if left is not None and run["start"] > left + LEAVE_BOUND_S:
            late_s = run["start"] - left
            yield f"endpoint {run['endpoint']}: new work {late_s:.1f} s after leaving"


def revisions_only_rise(evidence):
    """Yield VMs whose configuration went back."""
    for vm, seen in evidence.revisions.items():
        for one, two in zip(seen, seen[1:], strict=False):
            if two < one:
                yield f"vm {vm}: configuration went back from {one} to {two}"


def one_winner_per_revision(evidence):
    """Yield revisions that two publications claim to have amended."""
    wins = Counter(base for base, accepted in evidence.publications if accepted)
    for base, count in wins.items():
        if count > 1:
            yield f"revision {base}: amended by {count} accepted publications"
