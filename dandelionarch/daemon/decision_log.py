"""Routing decisions: logged, and the latest kept in memory for `explain`."""

import logging

from dandelionarch.logs import event

log = logging.getLogger(__name__)

MAX_REQUESTS = 10_000


class DecisionLog:
    """The events of the latest requests of one ingress."""

    def __init__(self):
        self._events = {}

    def events_of(self, request_id):
        """Return the (name, fields) pairs of a request's events, oldest first."""
        return self._events.get(request_id, [])

    def add_event(self, request_id, name, fields):
        """Add an event to those of a request."""
        self._events.setdefault(request_id, []).append((name, fields))
        while len(self._events) > MAX_REQUESTS:
            self._events.pop(next(iter(self._events)))

    def log_choice(self, work, command):
        """Log and keep the choice of an endpoint for a request.

        Parameters
        ----------
        work : Work
        command : Dispatch
        """
        decision = command.decision
        drops = ";".join(
            f"{d.endpoint_id}:{d.stage}:{d.reason}" for d in decision.drops
        )
        loads = ";".join(
            f"{c.endpoint.endpoint_id}:{c.load:.2f}" for c in decision.kept
        )
        fields = {
            "request": work.request_id,
            "service": work.service,
            "route": work.route,
            "revision": work.revision,
            "chosen": command.endpoint.endpoint_id,
            "candidates": ",".join(decision.candidates),
            "drops": drops or "-",
            "loads": loads,
        }
        event(log, "routing", **fields)
        self.add_event(work.request_id, "routing", fields)
