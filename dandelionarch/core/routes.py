"""Routes: they map requests to a kind of work and to the services that run it."""

import math
from dataclasses import dataclass

from dandelionarch.ids import RouteName, ServiceName

DEFAULT_MAX_ATTEMPTS = 3
# Fractional part of the golden ratio. Its multiples modulo 1 are spread more evenly
# than random numbers, so the shares are met even after few requests.
GOLDEN_RATIO = 0.6180339887498949


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Share of a route's requests that goes to one service."""

    service: ServiceName
    weight: int


@dataclass(frozen=True, slots=True)
class Route:
    """A rule that assigns requests to one kind of work.

    Without `methods` any method matches, without `host` any host. A path that ends
    with a slash matches only paths that start with it. `max_attempts` limits the
    number of endpoints that one request may be sent to. Requests of `priority` 0 are
    refused last; with None the customer's plan sets the priority. `objective_ms` is
    the latency objective of an answer.
    """

    name: RouteName
    shares: tuple[ServiceShare, ...]
    path: str
    methods: frozenset
    kind: str
    idempotent: bool
    budget_ms: int
    host: str = ""
    max_attempts: int = DEFAULT_MAX_ATTEMPTS
    priority: int | None = None
    objective_ms: float = math.inf

    def matches(self, method, path):
        """Return True if a request under the route's prefix belongs to it."""
        if self.methods and method not in self.methods:
            return False
        return not self.path.endswith("/") or path.startswith(self.path)


class RouteTable:
    """Finds the route of a request by its host and longest path prefix.

    Parameters
    ----------
    routes : iterable of Route
    """

    def __init__(self, routes):
        self._by_prefix = {}
        for route in routes:
            key = (route.host, route.path.rstrip("/"))
            self._by_prefix.setdefault(key, []).append(route)

    def find(self, method, path, host=""):
        """Return the matching `Route` or None; routes of the host take precedence."""
        route = self._find(method, path, host)
        if route is None and host:
            route = self._find(method, path, "")
        return route

    def _find(self, method, path, host):
        prefix = path.rstrip("/")
        while True:
            for route in self._by_prefix.get((host, prefix), ()):
                if route.matches(method, path):
                    return route
            if not prefix:
                return None
            prefix = prefix.rpartition("/")[0]


class ServiceSplit:
    """Distributes the requests of each route among its services by weight.

    Parameters
    ----------
    rng : random.Random
        Source of each route's starting point, so that daemons don't choose the same
        services in the same order.
    """

    def __init__(self, rng):
        self._rng = rng
        self._positions = {}

    def choose(self, route):
        """Return the service that runs the next request of a route."""
        if len(route.shares) == 1:
            return route.shares[0].service
        point = self._positions.get(route.name)
        if point is None:
            point = self._rng.random()
        self._positions[route.name] = (point + GOLDEN_RATIO) % 1.0
        remaining = point * sum(share.weight for share in route.shares)
        for share in route.shares:
            remaining -= share.weight
            if remaining < 0:
                return share.service
        return route.shares[-1].service
