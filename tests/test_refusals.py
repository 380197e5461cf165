"""Back-off from endpoints that refuse requests."""

from dandelionarch.core.refusals import FIRST_BACKOFF_S, MAX_BACKOFF_S, RefusalBackoff


class TestRefusalBackoff:
    """A refusal excludes an endpoint for some time, longer after each."""

    def test_backoff_doubles_up_to_its_limit(self):
        """Guards against an endpoint that attracts requests by refusing them."""
        backoff, now, durations_s = RefusalBackoff(), 0.0, []
        for _ in range(8):
            backoff.on_refused("w", now)
            start = now
            while backoff.is_excluded("w", now):
                now += 0.01
            durations_s.append(now - start)
        assert abs(durations_s[0] - FIRST_BACKOFF_S) < 0.02
        assert abs(durations_s[1] - 2 * FIRST_BACKOFF_S) < 0.02
        assert abs(durations_s[-1] - MAX_BACKOFF_S) < 0.02

    def test_refusals_of_requests_sent_together_count_once(self):
        """Guards against a long back-off after one short overload."""
        backoff = RefusalBackoff()
        for _ in range(10):
            backoff.on_refused("w", 1.0)
        assert not backoff.is_excluded("w", 1.0 + FIRST_BACKOFF_S)

    def test_answer_ends_the_backoff(self):
        """Guards against excluding an endpoint that accepts requests again."""
        backoff = RefusalBackoff()
        backoff.on_refused("w", 1.0)
        backoff.on_accepted("w")
        assert not backoff.is_excluded("w", 1.0)
