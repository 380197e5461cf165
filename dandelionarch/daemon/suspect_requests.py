"""Requests that are suspected of crashing endpoints, shared among the agents."""

import asyncio
import contextlib
import logging
import uuid

from dandelionarch.core.messages import request as msgs
from dandelionarch.core.quarantine import Quarantine
from dandelionarch.core.world import EndpointState
from dandelionarch.errors import LinkError
from dandelionarch.logs import event

log = logging.getLogger(__name__)

# All connections to an endpoint that ends break at the same moment.
SETTLE_S = 0.01
PROBE_TIMEOUT_S = 1.0
CRASH_ID_BYTES = 8


class SuspectRequests:
    """Finds out which requests run on endpoints that crash, and tells other agents.

    A request may break off for many reasons. An endpoint has crashed if all its earlier
    requests have broken off and it refuses connections. Crashes and excuses are sent to
    the agents of the same service, which forward what is news to them, and over each
    link that opens.

    Parameters
    ----------
    network : PeerNetwork
    directory : Directory
    has_older_run : callable
        `has_older_run(endpoint_id, time)` returns True if the endpoint still runs a
        request that it got before a time in seconds.
    """

    def __init__(self, network, directory, has_older_run):
        self._network = network
        self._directory = directory
        self._has_older_run = has_older_run
        self._quarantine = Quarantine()
        self._broken = {}
        network.subscribe(msgs.Suspicions, self._on_suspicions)
        network.subscribe_link_opened(self._send_all)

    def remaining_s(self, head):
        """Return the seconds for which a request is refused, 0 if it is admitted."""
        if not head.fingerprint:
            return 0.0
        return self._quarantine.remaining_s(head.fingerprint, self._network.now())

    def on_answered(self, head):
        """Handle an answer to a request that is not an error of the endpoint."""
        if head.fingerprint:
            news = self._quarantine.on_answered(head.fingerprint, self._network.now())
            self._spread(news)

    def on_broken(self, endpoint, head):
        """Handle a request whose connection broke before an answer began."""
        if endpoint.state not in (EndpointState.READY, EndpointState.STARTING):
            # Requests may break off at a planned end.
            return
        broken = self._broken.get(endpoint.endpoint_id)
        if broken is None:
            broken = self._broken[endpoint.endpoint_id] = set()
            self._network.spawn(self._check(endpoint, self._network.now()))
        if head.fingerprint:
            broken.add(head.fingerprint)

    async def _check(self, endpoint, broken_at):
        """Report a crash if the endpoint has ended."""
        await asyncio.sleep(SETTLE_S)
        fingerprints = self._broken.pop(endpoint.endpoint_id)
        if self._has_older_run(endpoint.endpoint_id, broken_at):
            return
        if not fingerprints or not await refuses_connections(endpoint):
            return
        event(
            log,
            "endpoint_crashed",
            logging.WARNING,
            endpoint=endpoint.endpoint_id,
            requests=",".join(sorted(f.hex() for f in fingerprints)),
        )
        crash_id = uuid.uuid4().bytes[:CRASH_ID_BYTES]
        now = self._network.now()
        self._spread(
            self._quarantine.on_crash(crash_id, endpoint.service, fingerprints, now)
        )

    def _on_suspicions(self, link, msg):
        now = self._network.now()
        for suspicion in msg.suspicions:
            self._spread(self._quarantine.merge(suspicion, now), link)

    def _send_all(self, link):
        suspicions = self._quarantine.suspicions(self._network.now())
        if suspicions:
            with contextlib.suppress(LinkError):
                link.send(msgs.Suspicions(tuple(suspicions)))

    def _spread(self, news, source=None):
        """Log news, and send it to the agents of its service that have a link."""
        for suspicion in news:
            self._log_suspicion(suspicion)
            vms = {e.vm_id for e in self._directory.endpoints_of(suspicion.service)}
            if source is not None and self._network.vm_id not in vms:
                continue
            links = {link.vm_id: link for link in self._network.all_links()}
            for vm_id in vms & links.keys():
                if source is None or vm_id != source.vm_id:
                    with contextlib.suppress(LinkError):
                        links[vm_id].send(msgs.Suspicions((suspicion,)))

    def _log_suspicion(self, suspicion):
        remaining_s = self._quarantine.remaining_s(
            suspicion.fingerprint, self._network.now()
        )
        event(
            log,
            "request_suspected",
            logging.WARNING if remaining_s else logging.INFO,
            fingerprint=suspicion.fingerprint.hex(),
            service=suspicion.service,
            crashes=self._quarantine.crash_count(suspicion.fingerprint),
            quarantine_s=round(remaining_s, 1),
        )


async def refuses_connections(endpoint):
    """Return True if nothing listens at an endpoint's address."""
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(endpoint.host, endpoint.port)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    return False
