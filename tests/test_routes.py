"""Tests that routes are found by host and longest prefix, and split by weight."""

import random
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from dandelionarch.core.routes import Route, RouteTable, ServiceShare, ServiceSplit


def make_route(name, path, host="", shares=(("orders", 1),), methods=()):
    """Return a route with defaults."""
    shares = tuple(ServiceShare(service, weight) for service, weight in shares)
    return Route(name, shares, path, frozenset(methods), name, True, 1000, host)


class TestRouteTable:
    """The route with the longest matching prefix for the request's host is found."""

    def test_longest_prefix_wins(self):
        """Guards against a shorter route that hides a longer one."""
        table = RouteTable([make_route("short", "/a/"), make_route("long", "/a/b/")])
        assert table.find("GET", "/a/b/c").name == "long"
        assert table.find("GET", "/a/c").name == "short"

    def test_prefix_with_slash_needs_the_slash(self):
        """Guards against serving a path that does not begin with the prefix."""
        table = RouteTable([make_route("only", "/a/")])
        assert table.find("GET", "/a") is None
        assert table.find("GET", "/ab/") is None
        assert table.find("GET", "/a/").name == "only"

    def test_other_hosts_routes_do_not_match(self):
        """Guards against a request that reaches another host's service."""
        table = RouteTable([make_route("one", "/a/", "one.example")])
        assert table.find("GET", "/a/x", "two.example") is None
        assert table.find("GET", "/a/x", "one.example").name == "one"

    def test_method_is_checked_where_the_route_has_any(self):
        """Guards against a route for other methods that hides one for any method."""
        routes = [make_route("post", "/a", methods=("POST",)), make_route("any", "/")]
        table = RouteTable(routes)
        assert table.find("GET", "/a/x").name == "any"
        assert table.find("POST", "/a/x").name == "post"


class TestServiceSplit:
    """Shares are met even after few requests."""

    @given(
        st.lists(st.integers(1, 100), min_size=2, max_size=4),
        st.integers(0, 1000),
        st.integers(20, 400),
    )
    def test_counts_follow_the_weights(self, weights, seed, count):
        """Guards against shares that deviate by more than 3 requests."""
        shares = [(f"s{n}", weight) for n, weight in enumerate(weights)]
        route = make_route("split", "/", shares=shares)
        split = ServiceSplit(random.Random(seed))
        counts = Counter(split.choose(route) for _ in range(count))
        for service, weight in shares:
            expected = count * weight / sum(weights)
            assert abs(counts[service] - expected) <= 3

    def test_daemons_start_with_different_services(self):
        """Guards against daemons that all send their first request to one service."""
        route = make_route("split", "/", shares=[("a", 50), ("b", 50)])
        rng = random.Random(3)
        counts = Counter(ServiceSplit(rng).choose(route) for _ in range(200))
        assert 60 <= counts["a"] <= 140
