"""What the platform's endpoints and its readiness checks call on a daemon."""

import logging

from sanic.response import empty, json

from dandelionarch.core.endpoint_reports import EndpointReport
from dandelionarch.core.world import EndpointState
from dandelionarch.daemon.parts import ERROR_FORMAT, new_app
from dandelionarch.ids import EndpointId, Incarnation, ServiceName
from dandelionarch.logs import event
from dandelionarch.platform.json_forms import FormError, field, number, parse

log = logging.getLogger(__name__)

STATES = {"ready": EndpointState.READY, "draining": EndpointState.DRAINING}


def make_apps(daemon):
    """Yield (application, address) for reports of endpoints and for readiness."""
    listen = daemon.settings.listen
    yield EndpointReportsApp(daemon).app, listen.reports_address
    yield readiness_app(daemon), listen.readiness_address


def readiness_app(daemon):
    """Return the application that says whether callers may send work here."""
    app = new_app("readiness")

    async def readiness(request):
        return empty(status=200 if daemon.ready else 503)

    app.add_route(readiness, "/-/readiness", error_format=ERROR_FORMAT)
    return app


class EndpointReportsApp:
    """Takes the reports of the endpoint beside a daemon."""

    def __init__(self, daemon):
        self._daemon = daemon
        self.app = new_app("reports")
        path = "/-/instances/<endpoint_id:str>"
        for handler, method in ((self._report, "PUT"), (self._leave, "DELETE")):
            self.app.add_route(
                handler,
                path,
                methods=[method],
                name=method.lower(),
                error_format=ERROR_FORMAT,
            )

    async def _report(self, request, endpoint_id):
        try:
            report = decode_report(EndpointId(endpoint_id), request.body)
        except FormError as exc:
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

    async def _leave(self, request, endpoint_id):
        self._daemon.endpoints.on_leave(EndpointId(endpoint_id))
        return json({})


def decode_report(endpoint_id, data):
    """Return the `EndpointReport` in a body, or raise `FormError`."""
    body = parse(data)
    info = field(body, "info", dict)
    status = field(body, "status", dict)
    state = STATES.get(field(status, "state", str))
    if state is None:
        raise FormError("unknown state")
    host, _, port = field(body, "address", str).rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) <= 65_535:
        raise FormError("'address' is not HOST:PORT")
    slots = field(info, "slots", int)
    if slots < 1:
        raise FormError("'slots' is under 1")
    return EndpointReport(
        endpoint_id,
        ServiceName(field(info, "service", str)),
        host,
        int(port),
        slots,
        # The Unix millisecond of the endpoint's start.
        Incarnation(field(body, "born", int)),
        field(status, "sequence", int),
        state,
        number(status, "cold_left_ms") / 1000,
    )
