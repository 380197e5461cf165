"""Callers' connections to the HTTP application of an ingress."""

import logging

from sanic import Sanic
from sanic.http import Stage
from sanic.server import HttpProtocol

from dandelionarch.logs import event

log = logging.getLogger(__name__)


class IngressProtocol(HttpProtocol):
    """A caller's connection; limits the number of connections and the header time."""

    __slots__ = ()

    def connection_made(self, transport):
        if len(self.connections) >= self.app.ctx.max_connections:
            event(log, "caller_refused", logging.WARNING, reason="connections")
            transport.abort()
            return
        super().connection_made(transport)

    def connection_lost(self, exc):
        if self.transport is not None:
            super().connection_lost(exc)

    def data_received(self, data):
        previous_time = self._time
        super().data_received(data)
        if self.http is not None and self.http.stage is Stage.REQUEST:
            # Headers that arrive byte by byte must not restart the timeout.
            self._time = previous_time


class IngressApp(Sanic):
    """Application that omits the signals of each request, which have no receivers."""

    async def dispatch(self, event, **kwargs):
        """Dispatch a signal unless it belongs to one request."""
        if event.startswith("http."):
            return None
        return await super().dispatch(event, **kwargs)
