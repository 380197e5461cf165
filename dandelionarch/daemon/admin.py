"""Admin port: announcements of endpoints and requests of operators."""

import logging

import pydantic
from sanic.response import json

from dandelionarch.core.world import Endpoint, EndpointState
from dandelionarch.daemon.runtime import new_app
from dandelionarch.ids import EndpointId, Incarnation, ServiceName
from dandelionarch.logs import event

log = logging.getLogger(__name__)


class Announcement(pydantic.BaseModel):
    """Body that an endpoint posts to its daemon every two seconds."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    endpoint: str = pydantic.Field(pattern=r"^[A-Za-z0-9_.-]{1,63}$")
    service: str = pydantic.Field(pattern=r"^[A-Za-z0-9_.-]{1,63}$")
    host: str = "127.0.0.1"
    port: int = pydantic.Field(ge=1, le=65_535)
    slots: int = pydantic.Field(ge=1, le=10_000)
    connections: int = pydantic.Field(default=330, ge=1, le=1_000_000)
    incarnation: int = pydantic.Field(ge=0)
    state: EndpointState = EndpointState.READY
    load: float = pydantic.Field(default=0.0, ge=0)


class FaultRequest(pydantic.BaseModel):
    """Link faults to inject from now on; they replace the present ones.

    Attributes
    ----------
    cut : frozenset of str
        VMs to which nothing is sent; their messages still arrive.
    mute : frozenset of str
        VMs whose open connections go silent; new ones work.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    cut: frozenset[str] = frozenset()
    mute: frozenset[str] = frozenset()


class Admin:
    """The HTTP application on the admin port.

    Parameters
    ----------
    daemon : Daemon
    """

    def __init__(self, daemon):
        self._daemon = daemon
        self.app = new_app("admin")
        self.app.add_route(self._announce, "/announce", methods=["POST"])
        self.app.add_route(self._status, "/status")
        self.app.add_route(self._drain, "/drain", methods=["POST"])
        self.app.add_route(
            self._drain_endpoint, "/drain/<endpoint:str>", methods=["POST"]
        )
        self.app.add_route(self._explain, "/explain/<request_id:str>")
        if daemon.settings.faults.enabled:
            self.app.add_route(self._faults, "/faults", methods=["POST"])

    async def _announce(self, request):
        try:
            announcement = Announcement.model_validate_json(request.body)
        except pydantic.ValidationError as exc:
            event(log, "announcement_refused", logging.WARNING, detail=str(exc))
            return json({"error": exc.errors(include_url=False)}, status=400)
        endpoint = Endpoint(
            EndpointId(announcement.endpoint),
            self._daemon.vm_id,
            ServiceName(announcement.service),
            announcement.host,
            announcement.port,
            announcement.slots,
            announcement.connections,
            Incarnation(announcement.incarnation),
            announcement.state,
        )
        self._daemon.apply_announcement(endpoint)
        return json({"vm": self._daemon.vm_id})

    async def _status(self, request):
        return json(self._daemon.status())

    async def _drain(self, request):
        self._daemon.request_stop()
        return json({"vm": self._daemon.vm_id}, status=202)

    async def _drain_endpoint(self, request, endpoint):
        if not self._daemon.drain_endpoint(EndpointId(endpoint)):
            problem = f"no endpoint {endpoint!r} beside this daemon"
            return json({"error": problem}, status=404)
        return json({"vm": self._daemon.vm_id, "endpoint": endpoint}, status=202)

    async def _faults(self, request):
        try:
            faults = FaultRequest.model_validate_json(request.body)
        except pydantic.ValidationError as exc:
            return json({"error": exc.errors(include_url=False)}, status=400)
        network = self._daemon.network
        network.faults.apply(faults, network.all_links())
        return json({})

    async def _explain(self, request, request_id):
        decisions = self._daemon.ingress.decisions.events_of(request_id)
        return json([{"event": name, **fields} for name, fields in decisions])
