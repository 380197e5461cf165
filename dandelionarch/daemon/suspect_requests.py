"""Requests that are suspected of crashing endpoints, shared among the agents."""

import contextlib
import logging
import uuid

from dandelionarch.core.messages import request as msgs
from dandelionarch.core.quarantine import CRASHES_TO_QUARANTINE, Quarantine
from dandelionarch.daemon.quarantine_records import QuarantineRecords
from dandelionarch.errors import LinkError
from dandelionarch.logs import event

log = logging.getLogger(__name__)

CRASH_ID_BYTES = 8


class SuspectRequests:
    """Refuses requests that have crashed endpoints, and tells other agents of them.

    Crashes and excuses are sent to the agents of the same service, which forward what
    is news to them, and over each link that opens.

    Parameters
    ----------
    network : PeerNetwork
    directory : Directory

    Attributes
    ----------
    records : QuarantineRecords
        Those of the requests in quarantine that this VM's registry entry keeps.
    """

    def __init__(self, network, directory):
        self._network = network
        self._directory = directory
        self._quarantine = Quarantine()
        self.records = QuarantineRecords(network.vm_id, self._quarantine, network.now)
        network.subscribe(msgs.Suspicions, self._on_suspicions)
        network.subscribe_link_opened(self._send_all)

    def remaining_s(self, fingerprint):
        """Return the seconds for which a request is refused, 0 if it is admitted."""
        return self._quarantine.remaining_s(fingerprint, self._network.now())

    def on_answered(self, fingerprint):
        """Handle an answer to a request that is not an error of the endpoint."""
        if fingerprint:
            news = self._quarantine.on_answered(fingerprint, self._network.now())
            self._on_news(news)

    def on_crash(self, endpoint, fingerprints):
        """Handle the crash of an endpoint of this VM that ran these requests."""
        event(
            log,
            "endpoint_crashed",
            logging.WARNING,
            endpoint=endpoint.endpoint_id,
            requests=",".join(sorted(f.hex() for f in fingerprints)),
        )
        crash_id = uuid.uuid4().bytes[:CRASH_ID_BYTES]
        service, now = endpoint.service, self._network.now()
        self.records.add_suspects(service, fingerprints)
        self._on_news(self._quarantine.on_crash(crash_id, service, fingerprints, now))

    def on_records(self, vm_id, records):
        """Handle the quarantines in a VM's registry entry."""
        self._log_verdicts(self.records.merge(vm_id, records))
        self.records.publish_changes()

    def _on_suspicions(self, link, msg):
        for suspicion in msg.suspicions:
            news = self._quarantine.merge(suspicion, self._network.now())
            self._on_news(news, link)

    def _send_all(self, link):
        suspicions = self._quarantine.suspicions(self._network.now())
        if suspicions:
            with contextlib.suppress(LinkError):
                link.send(msgs.Suspicions(tuple(suspicions)))

    def _on_news(self, news, source=None):
        """Send news to the agents of its service; `source` is the link it came over."""
        if not news:
            return
        self._log_verdicts(news)
        links = {link.vm_id: link for link in self._network.all_links()}
        if source is not None:
            links.pop(source.vm_id, None)
        for suspicion in news:
            vms = {e.vm_id for e in self._directory.endpoints_of(suspicion.service)}
            if source is not None and self._network.vm_id not in vms:
                continue
            for vm_id in vms & links.keys():
                with contextlib.suppress(LinkError):
                    links[vm_id].send(msgs.Suspicions((suspicion,)))
        self.records.publish_changes()

    def _log_verdicts(self, news):
        """Log the verdicts on requests that were present at several crashes."""
        for suspicion in news:
            if len(suspicion.crashes) < CRASHES_TO_QUARANTINE:
                continue
            remaining_s = self.remaining_s(suspicion.fingerprint)
            event(
                log,
                "request_quarantined" if remaining_s else "request_excused",
                logging.WARNING,
                fingerprint=suspicion.fingerprint.hex(),
                service=suspicion.service,
                crashes=len(suspicion.crashes),
                excused=len(suspicion.excused),
                remaining_s=round(remaining_s, 1),
            )
