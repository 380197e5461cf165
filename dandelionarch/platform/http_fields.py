"""HTTP header fields of the platform's callers and endpoints."""

import logging
import re

from dandelionarch.core.messages.request import Header
from dandelionarch.daemon.callers import (
    CallerProtocol,
    Customer,
    problem_json,
)
from dandelionarch.daemon.endpoint_dialect import (
    EndpointConditions,
    EndpointDialect,
    EndpointIdentity,
)
from dandelionarch.daemon.headers import end_to_end
from dandelionarch.errors import BadRequestError, BrokenAnswerError
from dandelionarch.ids import EndpointId
from dandelionarch.logs import event

log = logging.getLogger(__name__)

REQUEST_ID = "X-Request-Id"
# Time in ms for which the caller waits, counted from the arrival of the request.
DEADLINE = "X-Request-Deadline"
CALLER_SERVICE = "X-Caller-Service"
# Id of the intended endpoint; any other one refuses the request with status 421.
EXPECT_INSTANCE = "X-Expect-Instance"
NOT_EXECUTED = "X-Not-Executed"
# Id of the endpoint that answers a status check.
INSTANCE_ID = "X-Instance-Id"
# Numbers of running requests, waiting requests and slots, separated by commas.
SERVER_LOAD = "X-Server-Load"
# Requests per second that the endpoint takes from all daemons together.
SERVER_LIMIT = "Server-Limit"
# "1" in the answers of an endpoint that is about to leave.
SERVER_LEAVING = "Server-Leaving"
# Signature of the endpoint, without which an answer is not valid.
RESPONSE_STAMP = "X-Response-Stamp"
STATUS_MISDIRECTED = 421
SLOTS = re.compile(r"[1-9]\d{0,3}", re.ASCII)
DECIMAL = re.compile(r"\d{1,9}(\.\d{1,9})?", re.ASCII)
# One day; a field with a longer time is malformed.
MAX_DEADLINE_MS = 86_400_000

# The platform's callers have no accounts; priorities are set by route.
NO_CUSTOMER = Customer("-", 0)
# Not copied from the request: the daemon or the HTTP client sets them.
DROPPED_FIELDS = frozenset(
    name.lower()
    for name in (
        REQUEST_ID,
        DEADLINE,
        CALLER_SERVICE,
        EXPECT_INSTANCE,
        "Content-Length",
    )
)
# Forwarded although `end_to_end` omits them by default.
KEPT_FIELDS = frozenset({"host", "authorization"})


class PlatformCallers(CallerProtocol):
    """Protocol of the callers on this VM, which are clients and the endpoint itself.

    Parameters
    ----------
    service : str
        Service of this VM's endpoint, sent to endpoints as the name of the caller.
    """

    def __init__(self, service):
        self._caller = Header(CALLER_SERVICE, service)

    def request_id(self, request):
        return request.headers.get(REQUEST_ID, "-")

    def customer(self, request):
        return NO_CUSTOMER

    def budget_ms(self, request):
        deadline = request.headers.get(DEADLINE)
        return None if deadline is None else _parse_deadline_ms(deadline)

    def forwarded_fields(self, request):
        fields = end_to_end(
            request.headers.items(), drop=DROPPED_FIELDS, keep=KEPT_FIELDS
        )
        return (*fields, self._caller)

    def problem(self, status, title, request_id, outcome, retry_after_s=None):
        headers = {REQUEST_ID: request_id}
        if retry_after_s is not None:
            headers["Retry-After"] = f"{retry_after_s:.3f}"
        return problem_json(status, title, request_id, outcome, headers)


def _parse_deadline_ms(text):
    """Return whole milliseconds, at least 1; the field may hold a fraction."""
    try:
        value = float(text)
    except ValueError as exc:
        raise BadRequestError(f"invalid header {DEADLINE!r}") from exc
    if not 0 <= value < MAX_DEADLINE_MS:
        raise BadRequestError(f"invalid header {DEADLINE!r}")
    return max(1, int(value))


class PlatformDialect(EndpointDialect):
    """Protocol of the platform's endpoints."""

    request_id_field = REQUEST_ID
    names_request = True
    close_ends_body = True

    def request_fields(self, endpoint, head, budget_ms):
        return (
            Header(REQUEST_ID, head.request_id),
            Header(DEADLINE, str(budget_ms)),
            Header(EXPECT_INSTANCE, endpoint.endpoint_id),
        )

    def is_refusal(self, status, fields):
        return NOT_EXECUTED in fields or status == STATUS_MISDIRECTED

    def identity(self, fields):
        endpoint_id = fields.get(INSTANCE_ID)
        _, _, slots = fields.get(SERVER_LOAD, "").rpartition(",")
        if not endpoint_id or not SLOTS.fullmatch(slots):
            return None
        return EndpointIdentity(EndpointId(endpoint_id), int(slots))

    def conditions(self, fields):
        is_leaving = fields.get(SERVER_LEAVING) == "1"
        text = fields.get(SERVER_LIMIT)
        if text is None:
            return EndpointConditions(None, is_leaving)
        if not DECIMAL.fullmatch(text):
            event(log, "rate_limit_unreadable", logging.WARNING, value=text)
            return None
        return EndpointConditions(float(text), is_leaving)

    def check_response(self, status, fields, head):
        super().check_response(status, fields, head)
        if status < 300 and RESPONSE_STAMP not in fields:
            raise BrokenAnswerError("answer has no X-Response-Stamp of the endpoint")
