"""Header fields by which the platform's callers and endpoints speak."""

from dandelionarch.core.messages.request import Header
from dandelionarch.daemon.callers import (
    CallerProtocol,
    Customer,
    problem_json,
)
from dandelionarch.daemon.dialect import EndpointDialect, EndpointIdentity
from dandelionarch.daemon.headers import end_to_end
from dandelionarch.errors import BadRequestError, BrokenAnswerError
from dandelionarch.ids import EndpointId

REQUEST_ID = "X-Request-Id"
# Milliseconds that the caller waits, counted from the arrival of the request.
DEADLINE = "X-Request-Deadline"
CALLER_SERVICE = "X-Caller-Service"
# The id of the endpoint that is meant; any other one refuses with status 421.
EXPECT_INSTANCE = "X-Expect-Instance"
NOT_EXECUTED = "X-Not-Executed"
# The id of the endpoint that answers a status check.
INSTANCE_ID = "X-Instance-Id"
# Running requests, waiting requests and slots, separated by commas.
SERVER_LOAD = "X-Server-Load"
# Signature of the endpoint, without which an answer does not count.
STAMP = "X-Response-Stamp"
MISDIRECTED = 421
# A day: more is taken for a malformed field.
MAX_DEADLINE_MS = 86_400_000

# These callers have no accounts; a route states its priority itself.
NO_CUSTOMER = Customer("-", 0)
# Set anew by this daemon or by the HTTP client.
DROPPED = frozenset(
    name.lower()
    for name in (
        REQUEST_ID,
        DEADLINE,
        CALLER_SERVICE,
        EXPECT_INSTANCE,
        "Content-Length",
    )
)
KEPT = frozenset({"host", "authorization"})


class PlatformCallers(CallerProtocol):
    """Callers on this VM: clients and the endpoint itself.

    Parameters
    ----------
    service : str
        The service of this VM's endpoint, which endpoints are told as the caller.
    """

    def __init__(self, service):
        self._caller = Header(CALLER_SERVICE, service)

    def request_id(self, request):
        return request.headers.get(REQUEST_ID, "-")

    def customer(self, request):
        return NO_CUSTOMER

    def budget_ms(self, request):
        given = request.headers.get(DEADLINE)
        return None if given is None else _deadline_ms(given)

    def forwarded_fields(self, request):
        fields = end_to_end(request.headers.items(), drop=DROPPED, keep=KEPT)
        return (*fields, self._caller)

    def problem(self, status, title, request_id, outcome, retry_after_s=None):
        headers = {REQUEST_ID: request_id}
        if retry_after_s is not None:
            headers["Retry-After"] = f"{retry_after_s:.3f}"
        return problem_json(status, title, request_id, outcome, headers)


def _deadline_ms(text):
    """Return whole milliseconds, 1 at least; the field may hold a fraction."""
    try:
        value = float(text)
    except ValueError as exc:
        raise BadRequestError(f"invalid header {DEADLINE!r}") from exc
    if not 0 <= value < MAX_DEADLINE_MS:
        raise BadRequestError(f"invalid header {DEADLINE!r}")
    return max(1, int(value))


class PlatformDialect(EndpointDialect):
    """The platform's endpoints."""

    request_id_field = REQUEST_ID
    close_ends_body = True

    def request_fields(self, endpoint, head, budget_ms):
        return (
            Header(REQUEST_ID, head.request_id),
            Header(DEADLINE, str(budget_ms)),
            Header(EXPECT_INSTANCE, endpoint.endpoint_id),
        )

    def is_refusal(self, status, fields):
        return NOT_EXECUTED in fields or status == MISDIRECTED

    def identity(self, fields):
        endpoint_id = fields.get(INSTANCE_ID)
        _, _, slots = fields.get(SERVER_LOAD, "").rpartition(",")
        if not endpoint_id or not slots.isdecimal() or int(slots) < 1:
            return None
        return EndpointIdentity(EndpointId(endpoint_id), int(slots))

    def check_response(self, status, fields, head):
        super().check_response(status, fields, head)
        if status < 300 and STAMP not in fields:
            raise BrokenAnswerError("answer bears no stamp of the endpoint")
