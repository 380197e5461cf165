"""Reports of endpoints to the daemon of their VM."""

from dataclasses import dataclass

from dandelionarch.core.world import UNKNOWN_START, Endpoint, EndpointState
from dandelionarch.ids import EndpointId, Incarnation, ServiceName, VmId

# Departed endpoints are remembered because a delayed report may still name them.
MAX_DEPARTED = 64


@dataclass(frozen=True, slots=True)
class EndpointReport:
    """One report of an endpoint.

    `incarnation` is the endpoint's start in milliseconds since the epoch, `sequence`
    numbers its reports, and `warm_up_s` is the remaining time of its warm-up.
    """

    endpoint_id: EndpointId
    service: ServiceName
    host: str
    port: int
    slots: int
    incarnation: Incarnation
    sequence: int
    state: EndpointState
    warm_up_s: float = 0.0


class EndpointReports:
    """Turn reports, which may be late or out of order, into endpoints.

    An address belongs to the endpoint that started there last. An endpoint that has
    reported that it is draining remains so until it starts again.

    Parameters
    ----------
    vm_id : VmId
    max_connections : callable
        `max_connections(service)` returns the number of connections that an endpoint
        accepts.
    """

    def __init__(self, vm_id: VmId, max_connections):
        self._vm_id = vm_id
        self._max_connections = max_connections
        self._latest = {}
        self._departed = {}

    def accept(self, report):
        """Return the endpoints that the report changes; usually one or none."""
        address = (report.host, report.port)
        latest = self._latest.get(address)
        if latest is not None and not _supersedes(report, latest):
            return []
        self._latest[address] = report
        changed = []
        if latest is not None and latest.endpoint_id != report.endpoint_id:
            changed.append(self._make_endpoint(latest, EndpointState.GONE))
        return [*changed, self._make_endpoint(report, self._current_state(report))]

    def mark_draining(self, endpoint_id, now_ms):
        """Mark an endpoint as draining; return it, or None if it is unknown.

        If its start is unknown, it counts as draining in later reports of a start
        before `now_ms`.
        """
        for report in self._latest.values():
            if report.endpoint_id == endpoint_id:
                is_known = report.incarnation != UNKNOWN_START
                start_ms = report.incarnation if is_known else now_ms
                self._remember_departed(endpoint_id, start_ms)
                return self._make_endpoint(report, EndpointState.DRAINING)
        self._remember_departed(endpoint_id, now_ms)
        return None

    def _current_state(self, report):
        if report.state is EndpointState.DRAINING:
            self._remember_departed(report.endpoint_id, report.incarnation)
        if report.incarnation <= self._departed.get(report.endpoint_id, -1):
            return EndpointState.DRAINING
        return report.state

    def _remember_departed(self, endpoint_id, incarnation):
        self._departed[endpoint_id] = incarnation
        while len(self._departed) > MAX_DEPARTED:
            del self._departed[next(iter(self._departed))]

    def _make_endpoint(self, report, state):
        return Endpoint(
            report.endpoint_id,
            self._vm_id,
            report.service,
            report.host,
            report.port,
            report.slots,
            self._max_connections(report.service),
            report.incarnation,
            state,
        )


def _supersedes(report, latest):
    """Return True if a report is newer than the last one from its address."""
    if report.incarnation != latest.incarnation:
        return report.incarnation > latest.incarnation
    if report.endpoint_id != latest.endpoint_id:
        return True
    return report.sequence > latest.sequence
