"""Limit on the idle time of connections that endpoints drop silently.

An endpoint drops connections that were idle for 0.1 to 1 s and gets two requests per
second.
"""

import random

import pytest

from dandelionarch.core.idle_limit import LIMIT_LIFETIME_S, MIN_IDLE_S, IdleLimit

MAX_IDLE_S = 5.0


class TestDroppedConnections:
    """Few requests are sent on a connection that the endpoint has dropped."""

    @pytest.mark.parametrize("dropped_after_s", [0.1, 0.3, 1.0])
    def test_few_requests_are_lost(self, dropped_after_s):
        """Guards against losing each request that follows an idle time."""
        rng, limit = random.Random(1), IdleLimit(MAX_IDLE_S)
        now, used_at, lost = 0.0, 0.0, 0
        while now < LIMIT_LIFETIME_S:
            now += rng.expovariate(2.0)
            idle_s = now - used_at
            if limit.allows(idle_s, now) and idle_s > dropped_after_s:
                limit.on_break(idle_s, now)
                lost += 1
            used_at = now
        # The limit halves with each reset until it is below the endpoint's limit.
        assert lost <= 4

    def test_limit_is_restored_after_the_hold(self):
        """Guards against a low limit that is permanent after a single reset."""
        limit = IdleLimit(MAX_IDLE_S)
        limit.on_break(0.4, now=1.0)
        assert not limit.allows(0.3, now=2.0)
        assert limit.allows(0.3, now=1.0 + LIMIT_LIFETIME_S)

    def test_busy_connections_are_kept(self):
        """Guards against a new connection per request to a busy endpoint."""
        limit = IdleLimit(MAX_IDLE_S)
        for _ in range(20):
            limit.on_break(0.0, now=1.0)
        assert limit.allows(MIN_IDLE_S, now=1.1)
