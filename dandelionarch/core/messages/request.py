"""Messages that carry one request from an ingress to an agent and back."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Header:
    """One HTTP header field."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Start of a request; `data` is the first part of its body.

    `budget_ms` is the time that remains, counted from receipt. Without `may_wait` the
    agent may refuse the request as busy, as the ingress will try another endpoint.
    `repeats` says that another endpoint may have got the request before, `last_resort`
    that the ingress knows no endpoint whose gate is open. With `confirms` the agent
    announces a slot by `SlotReady` and runs the request only after `Start`.
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


@dataclass(frozen=True, slots=True)
class RequestChunk:
    """A further part of a request's body."""

    attempt_id: int
    data: bytes
    last: bool


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of an endpoint as its agent sees it, attached to every reply."""

    endpoint_id: str
    running: int
    queued: int
    slots: int
    health: str
    warmup: float


@dataclass(frozen=True, slots=True)
class LoadNotice:
    """Load of an endpoint, sent unasked when its health changes."""

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


@dataclass(frozen=True, slots=True)
class Credit:
    """Permission to send `size` more bytes of body for an attempt."""

    attempt_id: int
    size: int


@dataclass(frozen=True, slots=True)
class Refusal:
    """Proof by the agent that an attempt was not run and will not be."""

    attempt_id: int
    reason: str
    retry_after_ms: int
    load: LoadReport


@dataclass(frozen=True, slots=True)
class Failure:
    """The attempt failed after the endpoint may have seen it."""

    attempt_id: int
    reason: str
    load: LoadReport


@dataclass(frozen=True, slots=True)
class Cancel:
    """The ingress has given the attempt up."""

    attempt_id: int


@dataclass(frozen=True, slots=True)
class TrialInvite:
    """An agent asks for a request to an endpoint behind a closed gate.

    It is to be idempotent, unless `any_work` says that any will do.
    """

    endpoint_id: str
    any_work: bool = False


@dataclass(frozen=True, slots=True)
class Leaving:
    """The sender takes no new work and is about to stop."""

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
    """An agent tells that an attempt has most likely hung; it goes on waiting."""

    attempt_id: int


@dataclass(frozen=True, slots=True)
class SlotReady:
    """The agent holds a slot for an attempt and waits for `Start`."""

    attempt_id: int


@dataclass(frozen=True, slots=True)
class Start:
    """The ingress lets an attempt run; before this it has not run."""

    attempt_id: int


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
)
