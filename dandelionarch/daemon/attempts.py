"""The attempts of an ingress in progress, matched to replies by their ids."""

import asyncio
import contextlib
import itertools
import logging

from dandelionarch.core.messages import request as msgs
from dandelionarch.core.outcome import Reason
from dandelionarch.daemon.attempt import AttemptStream, LinkLost, is_inline
from dandelionarch.daemon.replies import REPLIES, reason_of
from dandelionarch.errors import LinkError
from dandelionarch.logs import event

log = logging.getLogger(__name__)

# Refusals that don't keep the endpoint from taking other requests.
BLAMELESS_REASONS = frozenset({Reason.BUSY, Reason.QUARANTINED})


class Attempts:
    """Sends attempts to agents and passes each reply to its attempt.

    Parameters
    ----------
    network : PeerNetwork
    views : EndpointViews
        Updated with what the replies show about endpoints and links.
    """

    def __init__(self, network, views):
        self._network = network
        self._views = views
        self._ids = itertools.count(1)
        self._streams = {}
        for cls in REPLIES:
            network.subscribe(cls, self._on_reply)
        network.subscribe(msgs.SlotReady, self._on_slot_ready)
        network.subscribe_link_lost(self._on_link_lost)

    def open(self, endpoint, link):
        """Return the `AttemptStream` of a new attempt."""
        stream = AttemptStream(next(self._ids), endpoint.endpoint_id, link)
        self._streams[stream.attempt_id] = stream
        self._views.add_in_flight(endpoint.endpoint_id, 1)
        link.begin_request()
        return stream

    def send(self, stream, work, req, command, deadline):
        """Send an attempt's request to its agent.

        Raises
        ------
        LinkError
            If nothing has been sent.
        """
        budget_s = deadline - asyncio.get_running_loop().time()
        inline = is_inline(req)
        stream.link.send(
            msgs.RequestHead(
                stream.attempt_id,
                work.request_id,
                stream.endpoint_id,
                work.service,
                work.route,
                work.kind,
                work.idempotent,
                work.priority,
                max(1, int(budget_s * 1000)),
                req.method,
                req.target,
                req.headers,
                req.body if inline else b"",
                inline,
                command.may_wait,
                command.repeats,
                command.decision.last_resort,
                not stream.may_run,
                self._views.rate_per_s(stream.endpoint_id),
                req.fingerprint,
            )
        )
        if req.remainder is not None:
            req.remainder.add_attempt(stream.mailbox)
        if not inline:
            stream.send_task = self._network.spawn(stream.send_body(req))

    def close(self, stream, cancel):
        """Forget an attempt; later messages for it are dropped."""
        if self._streams.pop(stream.attempt_id, None) is None:
            return
        self._views.add_in_flight(stream.endpoint_id, -1)
        stream.link.end_request()
        if stream.send_task is not None:
            stream.send_task.cancel()
        if cancel:
            with contextlib.suppress(LinkError):
                stream.link.send(msgs.Cancel(stream.attempt_id))

    def on_credit(self, link, msg):
        """Enlarge the send window of an attempt whose body is sent in parts."""
        stream = self._streams.get(msg.attempt_id)
        if stream is None or stream.link is not link:
            return
        if msg.is_for(msgs.CreditedBody.REQUEST):
            stream.window_bytes += msg.size
            stream.window_open.set()

    def _on_reply(self, link, msg):
        stream = self._streams.get(msg.attempt_id)
        if stream is None or stream.link is not link:
            event(log, "late_reply", attempt=msg.attempt_id, type=type(msg).__name__)
            return
        self._views.on_link_worked(link.vm_id)
        load = getattr(msg, "load", None)
        if load is not None and load.endpoint_id:
            self._views.on_load_report(load)
        if isinstance(msg, msgs.Refusal) and reason_of(msg) not in BLAMELESS_REASONS:
            self._views.on_refused(stream.endpoint_id)
        elif isinstance(msg, msgs.ResponseHead):
            self._views.on_accepted(stream.endpoint_id)
        stream.mailbox.put_nowait(msg)

    def _on_slot_ready(self, link, msg):
        """Let the agent run an attempt unless it has been given up."""
        stream = self._streams.get(msg.attempt_id)
        if stream is not None and stream.link is link and not stream.may_run:
            self._views.on_link_worked(link.vm_id)
            stream.send_start()

    def _on_link_lost(self, link):
        lost = [s for s in self._streams.values() if s.link is link]
        for stream in lost:
            stream.mailbox.put_nowait(LinkLost())
        if lost:
            self._views.on_link_failed(link.vm_id)
