"""Decodes the operator's configuration from the platform's format."""

from dandelionarch.core.routes import Route, ServiceShare
from dandelionarch.core.routing_config import (
    CallerBounds,
    ConfigFormat,
    RoutingConfig,
    ServiceOptions,
)
from dandelionarch.errors import ConfigError
from dandelionarch.ids import Revision, RouteName, ServiceName
from dandelionarch.platform.json_fields import (
    InvalidBodyError,
    get_field,
    get_number,
    parse_object,
)

# One day and the lowest rank, which fit into the messages between daemons.
MAX_TIMEOUT_MS = 86_400_000
MAX_PRIORITY = 255
# Types of routes whose requests may run more than once.
IDEMPOTENT_TYPES = frozenset({"safe", "download"})


class OperatorConfig(ConfigFormat):
    """Format of the record `config` in the operator's topic."""

    key = "config"

    def decode(self, value):
        try:
            body = parse_object(value)
            routes = get_field(body, "routes", dict)
            services = get_field(body, "services", dict)
            return RoutingConfig(
                Revision(get_field(body, "version", int)),
                tuple(_decode_route(name, fields) for name, fields in routes.items()),
                {
                    ServiceName(name): _decode_service(fields)
                    for name, fields in services.items()
                },
                _decode_bounds(get_field(body, "limits", dict)),
            )
        except InvalidBodyError as exc:
            raise ConfigError(f"configuration: {exc}") from exc


def _decode_route(name, fields):
    return Route(
        RouteName(name),
        _decode_shares(fields),
        get_field(fields, "path_prefix", str),
        frozenset(),
        name,
        get_field(fields, "route_type", str) in IDEMPOTENT_TYPES,
        # Maximum time for which a caller waits, over all attempts.
        min(MAX_TIMEOUT_MS, get_field(fields, "timeout_ms", int)),
        get_field(fields, "host", str).lower(),
        get_field(fields, "max_attempts", int),
        min(MAX_PRIORITY, get_field(fields, "priority", int)),
        get_number(fields, "target_latency_ms"),
    )


def _decode_shares(fields):
    service = get_field(fields, "service", str, "")
    if service:
        return (ServiceShare(ServiceName(service), 1),)
    shares = get_field(fields, "traffic_split", list)
    return tuple(
        ServiceShare(
            ServiceName(get_field(share, "service", str)), get_number(share, "weight")
        )
        for share in shares
    )


def _decode_service(fields):
    return ServiceOptions(
        get_field(fields, "health_path", str, ""),
        get_field(fields, "max_connections", int),
    )


def _decode_bounds(fields):
    return CallerBounds(
        get_field(fields, "max_header_bytes", int),
        get_field(fields, "max_body_bytes", int),
        get_number(fields, "header_timeout_ms") / 1000,
        get_number(fields, "idle_timeout_ms") / 1000,
    )
