"""Conversion of endpoints to and from their message form."""

from dandelionarch.core.messages.endpoints import EndpointRecord
from dandelionarch.core.world import Endpoint, EndpointState, Health


def encode_endpoint(endpoint):
    """Return the message form of an endpoint."""
    return EndpointRecord(
        endpoint.endpoint_id,
        endpoint.vm_id,
        endpoint.service,
        endpoint.host,
        endpoint.port,
        endpoint.slots,
        endpoint.connections,
        endpoint.incarnation,
        endpoint.state.value,
        endpoint.health.value,
    )


def decode_endpoint(record):
    """Return the endpoint that a message form describes."""
    return Endpoint(
        record.endpoint_id,
        record.vm_id,
        record.service,
        record.host,
        record.port,
        record.slots,
        record.connections,
        record.incarnation,
        EndpointState(record.state),
        Health(record.health),
    )
