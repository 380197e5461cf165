"""HTTP handlers for the platform's endpoint reports and readiness checks."""

import logging

from sanic.response import empty, json

from dandelionarch.core.endpoint_reports import EndpointReport
from dandelionarch.core.world import EndpointState
from dandelionarch.daemon.runtime import ERROR_FORMAT, new_app
from dandelionarch.ids import EndpointId, Incarnation, ServiceName
from dandelionarch.logs import event
from dandelionarch.platform.json_fields import (
    InvalidBodyError,
    get_field,
    get_number,
    parse_object,
)

log = logging.getLogger(__name__)

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
    host, _, port = get_field(body, "address", str).rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) <= 65_535:
        raise InvalidBodyError("'address' is not HOST:PORT")
    slots = get_field(info, "slots", int)
    if slots < 1:
        raise InvalidBodyError("'slots' is less than 1")
    return EndpointReport(
        endpoint_id,
        ServiceName(get_field(info, "service", str)),
        host,
        int(port),
        slots,
        # Start of the endpoint in milliseconds since the Unix epoch.
        Incarnation(get_field(body, "born", int)),
        get_field(status, "sequence", int),
        state,
        get_number(status, "cold_left_ms") / 1000,
    )
