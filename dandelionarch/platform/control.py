"""HTTP handlers for the platform's endpoint reports and readiness checks."""

import ipaddress
import logging
import re

from sanic.response import empty, json

from dandelionarch.core.endpoint_reports import EndpointReport
from dandelionarch.core.world import EndpointState
from dandelionarch.daemon.runtime import ERROR_FORMAT, new_app
from dandelionarch.ids import EndpointId, Incarnation, ServiceName
from dandelionarch.logs import event
from dandelionarch.platform.json_fields import (
    InvalidBodyError,
    check_text,
    get_field,
    get_int,
    get_number,
    get_text,
    parse_object,
)

log = logging.getLogger(__name__)

PORT = re.compile(r"\d{1,5}", re.ASCII)
MAX_PORT = 65_535
MAX_SLOTS = 10_000
ENDPOINT_STATES = {"ready": EndpointState.READY, "draining": EndpointState.DRAINING}


def make_apps(daemon):
    """Yield (application, address) for endpoint reports and readiness checks."""
    listen = daemon.settings.listen
    yield EndpointReportsApp(daemon).app, listen.reports_address
    yield make_readiness_app(daemon), listen.readiness_address


def make_readiness_app(daemon):
    """Return the application that answers whether the daemon accepts requests."""
    app = new_app("readiness")

    async def readiness(request):
        return empty(status=200 if daemon.ready else 503)

    app.add_route(readiness, "/-/readiness", error_format=ERROR_FORMAT)
    return app


class EndpointReportsApp:
    """Receives the reports of the endpoint on the daemon's VM."""

    def __init__(self, daemon):
        self._daemon = daemon
        self.app = new_app("reports")
        path = "/-/instances/<endpoint_id:str>"
        for handler, method in ((self._on_report, "PUT"), (self._on_leave, "DELETE")):
            self.app.add_route(
                handler,
                path,
                methods=[method],
                name=method.lower(),
                error_format=ERROR_FORMAT,
            )

    async def _on_report(self, request, endpoint_id):
        try:
            report = decode_report(EndpointId(endpoint_id), request.body)
        except InvalidBodyError as exc:
            event(
                log,
                "report_unreadable",
                logging.WARNING,
                endpoint=endpoint_id,
                detail=exc,
            )
            return json({}, status=400)
        self._daemon.endpoints.on_report(report)
        return json({})

    async def _on_leave(self, request, endpoint_id):
        self._daemon.endpoints.on_leave(EndpointId(endpoint_id))
        return json({})


def decode_report(endpoint_id, data):
    """Return the `EndpointReport` in a body, or raise `InvalidBodyError`."""
    body = parse_object(data)
    info = get_field(body, "info", dict)
    status = get_field(body, "status", dict)
    state = ENDPOINT_STATES.get(get_field(status, "state", str))
    if state is None:
        raise InvalidBodyError("'state' is not one of the known states")
    host, port = _decode_address(get_text(body, "address"))
    return EndpointReport(
        EndpointId(check_text(endpoint_id, "id")),
        ServiceName(get_text(info, "service")),
        host,
        port,
        get_int(info, "slots", low=1, high=MAX_SLOTS),
        # Start of the endpoint in milliseconds since the Unix epoch.
        Incarnation(get_int(body, "born")),
        get_int(status, "sequence"),
        state,
        get_number(status, "cold_left_ms") / 1000,
    )


def _decode_address(text):
    """Return the host, an IP address, and the port in HOST:PORT."""
    host, _, port = text.rpartition(":")
    try:
        host = str(ipaddress.ip_address(host))
    except ValueError as exc:
        raise InvalidBodyError(f"'address': {exc}") from exc
    if not PORT.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        raise InvalidBodyError("'address' has no valid port")
    return host, int(port)
