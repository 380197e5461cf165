"""The operator's configuration as the platform writes it."""

from dandelionarch.core.routes import Route, ServiceShare
from dandelionarch.core.routing_config import (
    CallerBounds,
    ConfigFormat,
    RoutingConfig,
    ServiceOptions,
)
from dandelionarch.errors import ConfigError
from dandelionarch.ids import Revision, RouteName, ServiceName
from dandelionarch.platform.json_forms import FormError, field, number, parse

# Route types whose requests may run more than once.
IDEMPOTENT_TYPES = frozenset({"safe", "download"})


class OperatorConfig(ConfigFormat):
    """The record `config` of the operator's topic."""

    key = "config"

    def decode(self, value):
        try:
            body = parse(value)
            routes = field(body, "routes", dict)
            services = field(body, "services", dict)
            return RoutingConfig(
                Revision(field(body, "version", int)),
                tuple(_route(name, said) for name, said in routes.items()),
                {ServiceName(name): _service(said) for name, said in services.items()},
                _bounds(field(body, "limits", dict)),
            )
        except FormError as exc:
            raise ConfigError(f"configuration: {exc}") from exc


def _route(name, said):
    return Route(
        RouteName(name),
        _shares(said),
        field(said, "path_prefix", str),
        frozenset(),
        name,
        field(said, "route_type", str) in IDEMPOTENT_TYPES,
        # The longest time that a caller is kept waiting, over all attempts.
        field(said, "timeout_ms", int),
        field(said, "host", str).lower(),
        field(said, "max_attempts", int),
        field(said, "priority", int),
        number(said, "target_latency_ms"),
    )


def _shares(said):
    service = field(said, "service", str, "")
    if service:
        return (ServiceShare(ServiceName(service), 1),)
    shares = field(said, "traffic_split", list)
    return tuple(
        ServiceShare(ServiceName(field(share, "service", str)), number(share, "weight"))
        for share in shares
    )


def _service(said):
    return ServiceOptions(
        field(said, "health_path", str, ""), field(said, "max_connections", int)
    )


def _bounds(said):
    return CallerBounds(
        field(said, "max_header_bytes", int),
        field(said, "max_body_bytes", int),
        number(said, "header_timeout_ms") / 1000,
        number(said, "idle_timeout_ms") / 1000,
    )
