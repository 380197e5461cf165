"""Details of the endpoints of services in use, fetched from the endpoints' daemons."""

import dataclasses

from dandelionarch.core import members as member_table
from dandelionarch.core.endpoint_records import decode_endpoint
from dandelionarch.core.messages.members import (
    EndpointDetail,
    EndpointQuery,
    EndpointStateRecord,
    ServiceSlots,
)
from dandelionarch.core.world import EndpointState

# While the fleet has at most this many endpoints, the details of all are kept, so that
# the first request for a service does not wait for a fetch. They take about 1 MB.
MAX_EAGER_ENDPOINTS = 1000
# Time after its last request for which a service counts as in use.
SERVICE_USE_RETENTION_S = 600.0
QUERY_RETRY_S = 1.0
QUERIES_PER_TICK = 32
ENDPOINTS_PER_PART = 5


def detail_messages(record, endpoints, services):
    """Return the `EndpointDetail` messages that answer a query.

    Parameters
    ----------
    record : MemberRecord
        This daemon's own record.
    endpoints : iterable of EndpointRecord
    services : iterable of str
    """
    messages = []
    for service in services:
        matching = [e for e in endpoints if e.service == service]
        parts = [
            tuple(matching[i : i + ENDPOINTS_PER_PART])
            for i in range(0, max(1, len(matching)), ENDPOINTS_PER_PART)
        ]
        messages += [
            EndpointDetail(
                record.vm_id,
                record.incarnation,
                record.endpoints_version,
                service,
                index,
                len(parts),
                part,
            )
            for index, part in enumerate(parts)
        ]
    return messages


class EndpointDetails:
    """Endpoint details that are known, and queries for those that are missing.

    Parameters
    ----------
    table : MemberTable
    own_id : str
        This daemon's VM, whose endpoints need no fetch.
    """

    def __init__(self, table, own_id):
        self._table = table
        self._own_id = own_id
        self._last_requests = {}
        self._known_versions = {}
        # Time of the last query to each VM whose details are incomplete here.
        self._last_queries = {}
        self._parts_received = {}
        self._total_endpoints = 0
        self._endpoint_counts = {}

    def mark_used(self, service, now):
        """Record a request for a service; return True if it was not in use."""
        is_new = service not in self._last_requests and not self.keeps_all
        self._last_requests[service] = now
        if is_new:
            for vm_id in self._table.living:
                self.on_member_changed(self._table.records[vm_id])
        return is_new

    @property
    def keeps_all(self):
        """Return True while details of all services are kept."""
        return self._total_endpoints <= MAX_EAGER_ENDPOINTS

    def is_complete(self, service):
        """Return True if details of all endpoints of a service are known."""
        return all(
            self._is_known(record, service)
            for record in map(self._table.records.get, self._table.living)
            if any(s.service == service for s in record.services)
        )

    def on_member_changed(self, record):
        """Handle a new record of a member; return services that it no longer has."""
        if record.vm_id == self._own_id:
            return ()
        alive = record.state != member_table.DEAD
        count = sum(s.endpoints for s in record.services) if alive else 0
        self._total_endpoints += count - self._endpoint_counts.pop(record.vm_id, 0)
        if count:
            self._endpoint_counts[record.vm_id] = count
        offered = {s.service for s in record.services} if alive else set()
        known = self._known_versions.get(record.vm_id, {})
        removed = [service for service in known if service not in offered]
        for service in removed:
            del known[service]
        if not known:
            self._known_versions.pop(record.vm_id, None)
        if self._missing_services(record):
            self._last_queries.setdefault(record.vm_id, float("-inf"))
        return removed

    def forget(self, vm_id):
        """Drop the state of a member that was removed."""
        self._known_versions.pop(vm_id, None)
        self._last_queries.pop(vm_id, None)
        self._total_endpoints -= self._endpoint_counts.pop(vm_id, 0)

    def _is_known(self, record, service):
        version = (record.incarnation, record.endpoints_version)
        return (
            self._known_versions.get(record.vm_id, {}).get(service, (0, 0)) >= version
        )

    def _missing_services(self, record):
        if record.state == member_table.DEAD:
            return []
        return [
            s.service
            for s in record.services
            if (self.keeps_all or s.service in self._last_requests)
            and not self._is_known(record, s.service)
        ]

    def due_queries(self, now):
        """Return (address, query) pairs to send now."""
        self._expire(now)
        queries = []
        for vm_id, queried_at in list(self._last_queries.items()):
            record = self._table.records.get(vm_id)
            services = self._missing_services(record) if record is not None else []
            if not services:
                del self._last_queries[vm_id]
            elif now - queried_at >= QUERY_RETRY_S and len(queries) < QUERIES_PER_TICK:
                self._last_queries[vm_id] = now
                query = EndpointQuery(tuple(services))
                queries.append((member_table.address_of(record), query))
        return queries

    def _expire(self, now):
        for service, requested_at in list(self._last_requests.items()):
            if now - requested_at > SERVICE_USE_RETENTION_S:
                del self._last_requests[service]

    def on_detail(self, msg):
        """Return the endpoints of a service if all parts have arrived, else None."""
        key = (msg.vm_id, msg.service)
        version = (msg.incarnation, msg.version)
        known = self._known_versions.get(msg.vm_id, {}).get(msg.service, (0, 0))
        if known > version or not 0 <= msg.part < msg.parts:
            return None
        received_version, parts = self._parts_received.get(key, (version, {}))
        if received_version != version:
            parts = {}
        parts[msg.part] = msg.endpoints
        if len(parts) < msg.parts:
            self._parts_received[key] = (version, parts)
            return None
        self._parts_received.pop(key, None)
        endpoints = tuple(decode_endpoint(e) for i in sorted(parts) for e in parts[i])
        self._known_versions.setdefault(msg.vm_id, {})[msg.service] = version
        return endpoints


def without_health(endpoints):
    """Return endpoint records without health, which agents report in their replies."""
    return [dataclasses.replace(e, health="") for e in endpoints]


def service_slots(endpoints):
    """Return the `ServiceSlots` of a daemon's endpoints."""
    services = {}
    for e in endpoints:
        count, slots = services.get(e.service, (0, 0))
        services[e.service] = (count + 1, slots + e.slots)
    return tuple(ServiceSlots(s, *n) for s, n in sorted(services.items()))


def ended_states(before, endpoints):
    """Return the states of endpoints that have begun to drain or are gone."""
    serving = {EndpointState.READY.value, EndpointState.STARTING.value}
    current = {e.endpoint_id: e for e in endpoints}
    ended = []
    for endpoint_id, old in before.items():
        new = current.get(endpoint_id)
        state = EndpointState.GONE.value if new is None else new.state
        if old.state in serving and state not in serving:
            incarnation = (new or old).incarnation
            ended.append(EndpointStateRecord(endpoint_id, incarnation, state))
    return tuple(ended)
