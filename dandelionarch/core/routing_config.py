"""Routing configuration: routes, service options and limits for callers."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from dandelionarch.core.routes import Route, RouteTable
from dandelionarch.ids import Revision, ServiceName


@dataclass(frozen=True, slots=True)
class ServiceOptions:
    """Operator's settings for the endpoints of a service."""

    health_path: str
    max_connections: int


@dataclass(frozen=True, slots=True)
class CallerBounds:
    """Limits on callers' requests and connections."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass(frozen=True)
class RoutingConfig:
    """One revision of the routing configuration."""

    revision: Revision
    routes: tuple[Route, ...]
    services: dict[ServiceName, ServiceOptions]
    bounds: CallerBounds


class ConfigFormat(ABC):
    """A format in which the operator writes the configuration."""

    key = ""

    @abstractmethod
    def decode(self, value):
        """Return a `RoutingConfig`, or raise `ConfigError`."""


class ActiveRouting:
    """The configuration in force and its route table; its revision only rises."""

    def __init__(self):
        self.config = None
        self.routes = None

    def options(self, service):
        """Return the `ServiceOptions` of a service, or None."""
        return None if self.config is None else self.config.services.get(service)

    @property
    def revision(self):
        """Return the revision in force, 0 while none is known."""
        return self.config.revision if self.config is not None else Revision(0)

    @property
    def ready(self):
        """Return True once a configuration is known."""
        return self.config is not None

    def activate(self, config):
        """Put a configuration in force; return False if it is not newer."""
        if config.revision <= self.revision:
            return False
        if self.config is None or self.config.routes != config.routes:
            self.routes = RouteTable(config.routes)
        self.config = config
        return True
