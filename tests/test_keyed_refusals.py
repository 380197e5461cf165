"""Refusals of requests with an idempotency key."""

from tests.support.path import fleet_test

KEYED = {"Idempotency-Key": "k"}


class TestKeyedRefusals:
    """A keyed request gets `not-run` only after its key was looked up."""

    @fleet_test
    async def test_refusal_before_the_key_lookup_is_unknown(self, fleet, session):
        """Guards against answering `not-run` to the repeat of an order that ran."""
        daemon = await fleet.daemon("vm-a", max_in_flight=1)
        await fleet.worker("w1", "vm-a")
        url = fleet.url("vm-a", "/orders")
        async with session.post(url, headers=KEYED, data=b"lamp") as resp:
            assert resp.status == 200
        daemon.http.in_flight = 1
        async with session.post(url, headers=KEYED, data=b"lamp") as resp:
            assert (resp.status, resp.headers["Dandelion-Outcome"]) == (503, "unknown")
            assert int(resp.headers["Retry-After"]) >= 1
        async with session.post(url, data=b"lamp") as resp:
            assert (resp.status, resp.headers["Dandelion-Outcome"]) == (503, "not-run")
        daemon.http.in_flight = 0
