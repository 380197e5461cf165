"""Messages that carry one request from an ingress to an agent and back."""

from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, slots=True)
class Header:
    """One HTTP header field."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Start of a request; `data` is the first part of its body.

    `budget_ms` is the remaining time, counted from receipt. If `may_wait` is not set,
    the agent may refuse the request as busy because the ingress will try another
    endpoint. `repeats` means that another endpoint may have received the request
    before, `last_resort` that the ingress knows no endpoint with an open gate. If
    `confirms` is set, the agent announces a slot by `SlotReady` and runs the request
    only after `Start`. `rate_per_s` is the limit that the endpoint is known to name on
    the requests per second, or 0 if there is none. `fingerprint` is the digest of the
    request's content, or empty if the ingress tells none.
    """

    attempt_id: int
    request_id: str
    endpoint_id: str
    service: str
    route: str
    kind: str
    idempotent: bool
    priority: int
    budget_ms: int
    method: str
    target: str
    headers: tuple[Header, ...]
    data: bytes
    last: bool
    may_wait: bool
    repeats: bool = False
    last_resort: bool = False
    confirms: bool = False
    rate_per_s: float = 0.0
    fingerprint: bytes = b""


@dataclass(frozen=True, slots=True)
class RequestChunk:
    """A further part of a request's body."""

    attempt_id: int
    data: bytes
    last: bool


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of an endpoint as measured by its agent, attached to every reply.

    `warmup` is the share of its slots that the endpoint can use, and `rate_per_s` the
    limit that it names on the requests per second: infinite if there is none, and 0 as
    long as the agent does not know.
    """

    endpoint_id: str
    running: int
    queued: int
    slots: int
    health: str
    warmup: float
    rate_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class LoadNotice:
    """Load of an endpoint, sent without a request when its health changes."""

    load: LoadReport


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Start of an endpoint's answer; `data` is the first part of its body."""

    attempt_id: int
    status: int
    headers: tuple[Header, ...]
    data: bytes
    last: bool
    load: LoadReport


@dataclass(frozen=True, slots=True)
class ResponseChunk:
    """A further part of an answer's body."""

    attempt_id: int
    data: bytes
    last: bool


class CreditedBody(Enum):
    """Body for which a `Credit` is given."""

    REQUEST = "request"
    ANSWER = "answer"


@dataclass(frozen=True, slots=True)
class Credit:
    """Flow control: allow the peer to send `size` more bytes of an attempt's body.

    `body` is the value of a `CreditedBody`. Attempts of both directions of a link may
    have the same id, so a credit that doesn't name its body, as older daemons send it,
    is taken by both sides.
    """

    attempt_id: int
    size: int
    body: str = ""

    def is_for(self, body):
        """Return True if the credit is, or may be, for a `CreditedBody`."""
        return self.body in ("", body.value)


@dataclass(frozen=True, slots=True)
class Refusal:
    """Guarantee by the agent that an attempt has not run and will not run."""

    attempt_id: int
    reason: str
    retry_after_ms: int
    load: LoadReport


@dataclass(frozen=True, slots=True)
class Failure:
    """Failure of an attempt that the endpoint may have received."""

    attempt_id: int
    reason: str
    load: LoadReport


@dataclass(frozen=True, slots=True)
class Cancel:
    """Sent by the ingress when it abandons an attempt."""

    attempt_id: int


@dataclass(frozen=True, slots=True)
class TrialInvite:
    """Ask an ingress for a trial request to an endpoint whose gate is closed.

    The request must be idempotent unless `any_work` is set.
    """

    endpoint_id: str
    any_work: bool = False


@dataclass(frozen=True, slots=True)
class Leaving:
    """Announce that the sender takes no new work and is about to stop."""

    vm_id: str


@dataclass(frozen=True, slots=True)
class Ping:
    """Liveness check of a connection."""

    nonce: int


@dataclass(frozen=True, slots=True)
class Pong:
    """Reply to `Ping`."""

    nonce: int


@dataclass(frozen=True, slots=True)
class Straggling:
    """Report that an attempt has probably hung; the agent continues to wait for it."""

    attempt_id: int


@dataclass(frozen=True, slots=True)
class SlotReady:
    """Report that the agent holds a slot for an attempt and waits for `Start`."""

    attempt_id: int


@dataclass(frozen=True, slots=True)
class Start:
    """Permission of the ingress to run an attempt, which has not run before."""

    attempt_id: int


@dataclass(frozen=True, slots=True)
class Suspicion:
    """What an agent knows of a request that ran on endpoints as they crashed.

    `crashes` and `excused` are ids of crashes; an answer to the request has excused it
    from the latter. `age_ms` is the time since the latest crash.
    """

    fingerprint: bytes
    service: str
    crashes: tuple[bytes, ...]
    excused: tuple[bytes, ...]
    age_ms: int


@dataclass(frozen=True, slots=True)
class Suspicions:
    """Tell an agent of suspects."""

    suspicions: tuple[Suspicion, ...]


MESSAGES = (
    RequestHead,
    RequestChunk,
    ResponseHead,
    ResponseChunk,
    Credit,
    Refusal,
    Failure,
    Cancel,
    Leaving,
    Ping,
    Pong,
    LoadNotice,
    TrialInvite,
    Straggling,
    SlotReady,
    Start,
    Suspicions,
)
