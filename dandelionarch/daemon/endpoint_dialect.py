"""Protocol between a daemon and its endpoints: header fields and refusals."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from dandelionarch.core.messages.request import Header
from dandelionarch.errors import BrokenAnswerError
from dandelionarch.ids import EndpointId


@dataclass(frozen=True, slots=True)
class EndpointIdentity:
    """An endpoint's id and the number of requests that it serves at once."""

    endpoint_id: EndpointId
    slots: int


@dataclass(frozen=True, slots=True)
class EndpointConditions:
    """Conditions that an endpoint states in an answer.

    Attributes
    ----------
    rate_per_s : float or None
        Requests per second that the endpoint takes at most; None without a limit.
    is_leaving : bool
        True if the endpoint takes no new work.
    """

    rate_per_s: float | None = None
    is_leaving: bool = False


class EndpointDialect(ABC):
    """Base class for the header fields between a daemon and an endpoint.

    Attributes
    ----------
    request_id_field : str
        Field of the response that repeats the request's id.
    names_request : bool
        True if every response has that field. One without it may belong to any request.
    close_ends_body : bool
        True if an orderly close may end a body without a length.
    """

    request_id_field = ""
    names_request = False
    close_ends_body = False

    @abstractmethod
    def request_fields(self, endpoint, head, budget_ms):
        """Return the `Header` fields that the daemon adds to a request.

        `budget_ms` is the remaining time for it.
        """

    @abstractmethod
    def is_refusal(self, status, fields):
        """Return True if a response states that the request was not run."""

    def identity(self, fields):
        """Return the `EndpointIdentity` in a status response, or None."""
        return None

    def conditions(self, fields):
        """Return the `EndpointConditions` in an answer; None if they are unreadable."""
        return EndpointConditions()

    def check_response(self, status, fields, head):
        """Raise `BrokenAnswerError` if a response can't belong to the request."""
        answered_id = fields.get(self.request_id_field)
        if answered_id is None and not self.names_request:
            return
        if answered_id != head.request_id:
            raise BrokenAnswerError(f"answer belongs to request {answered_id!r}")


class DandelionDialect(EndpointDialect):
    """Dialect with the product's own `Dandelion-` header fields."""

    request_id_field = "Dandelion-Request-Id"

    def request_fields(self, endpoint, head, budget_ms):
        return (
            Header("Dandelion-Request-Id", head.request_id),
            Header("Dandelion-Time-Budget", str(budget_ms)),
        )

    def is_refusal(self, status, fields):
        return status == 503 and fields.get("Dandelion-Not-Run") == "1"
