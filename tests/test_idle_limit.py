"""Load on connections that endpoints forget while they rest.

Pattern: an endpoint forgets connections that have rested for 0.3 s, and gets two
requests a second, most of which can't be repeated.
"""

import random

import pytest

from dandelionarch.core.idle_limit import HOLD_S, MIN_IDLE_S, IdleLimit

MOST_S = 5.0


class TestForgottenConnections:
    """Few requests meet a connection that is no longer there."""

    @pytest.mark.parametrize("forgotten_after_s", [0.1, 0.3, 1.0])
    def test_one_request_shows_it(self, forgotten_after_s):
        """Guards against losing each request that follows a pause."""
        rng, limit = random.Random(1), IdleLimit(MOST_S)
        now, used_at, lost = 0.0, 0.0, 0
        while now < HOLD_S:
            now += rng.expovariate(2.0)
            idle_s = now - used_at
            if limit.allows(idle_s, now) and idle_s > forgotten_after_s:
                limit.on_break(idle_s, now)
                lost += 1
            used_at = now
        # The limit halves with each break until it is below the endpoint's own.
        assert lost <= 4

    def test_limit_returns_after_a_while(self):
        """Guards against new connections for ever after a single reset."""
        limit = IdleLimit(MOST_S)
        limit.on_break(0.4, now=1.0)
        assert not limit.allows(0.3, now=2.0)
        assert limit.allows(0.3, now=1.0 + HOLD_S)

    def test_busy_connections_are_kept(self):
        """Guards against a new connection for every request of a busy endpoint."""
        limit = IdleLimit(MOST_S)
        for _ in range(20):
            limit.on_break(0.0, now=1.0)
        assert limit.allows(MIN_IDLE_S, now=1.1)
