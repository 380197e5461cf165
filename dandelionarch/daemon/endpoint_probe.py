"""Task that identifies the local endpoint after a daemon's start.

An endpoint reports itself about every 1.5 s. Without the probe a daemon that restarts
beside a running endpoint would refuse its work until the next report.
"""

import asyncio
import logging

import aiohttp

from dandelionarch.core.endpoint_reports import EndpointReport
from dandelionarch.core.world import UNKNOWN_START, EndpointState
from dandelionarch.daemon.endpoint_connections import open_session
from dandelionarch.daemon.settings import split_address
from dandelionarch.errors import BrokenAnswerError
from dandelionarch.ids import ServiceName
from dandelionarch.logs import event

log = logging.getLogger(__name__)

MAX_ATTEMPTS = 8
RETRY_DELAY_S = 0.25
TIMEOUT_S = 1.0
PROBE_ERRORS = (aiohttp.ClientError, BrokenAnswerError, OSError, TimeoutError)


class EndpointProbe:
    """Probes the endpoint until it has answered or reported itself.

    Parameters
    ----------
    section : EndpointSection
        Address and service of the endpoint.
    routing : ActiveRouting
        Provides the service's status path once a configuration is known.
    dialect : EndpointDialect
    has_reported : callable
        Returns True once the endpoint has reported itself.
    on_report : callable
        Takes the `EndpointReport` made of the answer.
    """

    def __init__(self, section, routing, dialect, has_reported, on_report):
        self._section = section
        self._routing = routing
        self._dialect = dialect
        self._has_reported = has_reported
        self._on_report = on_report

    async def run(self):
        """Probe the endpoint at most `MAX_ATTEMPTS` times."""
        if not self._section.address:
            return
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        async with open_session(self._dialect, timeout=timeout) as session:
            for _ in range(MAX_ATTEMPTS):
                if self._has_reported() or await self._probe_once(session):
                    return
                await asyncio.sleep(RETRY_DELAY_S)

    async def _probe_once(self, session):
        """Return True if the endpoint has answered the probe and identified itself."""
        options = self._routing.options(ServiceName(self._section.service))
        if options is None or not options.health_path:
            return False
        url = f"http://{self._section.address}{options.health_path}"
        try:
            async with session.get(url, allow_redirects=False) as resp:
                status, identity = resp.status, self._dialect.identity(resp.headers)
        except PROBE_ERRORS as exc:
            event(log, "endpoint_probe_failed", error=type(exc).__name__, detail=exc)
            return False
        endpoint_id = identity.endpoint_id if identity is not None else "-"
        event(log, "endpoint_probe", endpoint=endpoint_id, status=status)
        if status != 200 or identity is None or self._has_reported():
            return False
        self._on_report(self._report(identity))
        return True

    def _report(self, identity):
        host, port = split_address(self._section.address)
        return EndpointReport(
            identity.endpoint_id,
            ServiceName(self._section.service),
            host,
            port,
            identity.slots,
            UNKNOWN_START,
            0,
            EndpointState.READY,
        )
