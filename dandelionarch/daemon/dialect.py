"""How requests and refusals are spelled towards endpoints."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from dandelionarch.core.messages.request import Header
from dandelionarch.errors import BrokenAnswerError
from dandelionarch.ids import EndpointId


@dataclass(frozen=True, slots=True)
class EndpointIdentity:
    """Who an endpoint is, and how many requests it serves at once."""

    endpoint_id: EndpointId
    slots: int


class EndpointDialect(ABC):
    """Header fields by which a daemon and an endpoint understand each other.

    `request_id_field` is the response's field that repeats the request's id. With
    `close_ends_body` a body without length may end with an orderly close.
    """

    request_id_field = ""
    close_ends_body = False

    @abstractmethod
    def request_fields(self, endpoint, head, budget_ms):
        """Return the daemon's own `Header` fields of a request.

        `budget_ms` is the time that is left for it.
        """

    @abstractmethod
    def refused(self, status, fields):
        """Return True if a response states that the request was not run."""

    def identity(self, fields):
        """Return the `EndpointIdentity` in a status response, or None."""
        return None

    def check(self, status, fields, head):
        """Raise `BrokenAnswerError` if a response can't belong to the request."""
        echoed = fields.get(self.request_id_field, head.request_id)
        if echoed != head.request_id:
            raise BrokenAnswerError(f"answer belongs to request {echoed!r}")


class DandelionDialect(EndpointDialect):
    """The product's own fields."""

    request_id_field = "Dandelion-Request-Id"

    def request_fields(self, endpoint, head, budget_ms):
        return (
            Header("Dandelion-Request-Id", head.request_id),
            Header("Dandelion-Time-Budget", str(budget_ms)),
        )

    def refused(self, status, fields):
        return status == 503 and fields.get("Dandelion-Not-Run") == "1"
