"""Detection of crashes of endpoints, by the requests that break off."""

import asyncio

from dandelionarch.core.world import EndpointState

# All connections to an endpoint that ends break at the same moment.
SETTLE_S = 0.01
PROBE_TIMEOUT_S = 1.0


class CrashDetector:
    """Tells crashes of endpoints from broken connections.

    A request may break off for many reasons. An endpoint has crashed if all its earlier
    requests have broken off as well and it refuses connections.

    Parameters
    ----------
    network : PeerNetwork
        Provides the time and owns the tasks.
    has_older_run : callable
        `has_older_run(endpoint_id, time)` returns True if the endpoint still runs a
        request that it got before a time in seconds.
    on_crash : callable
        `on_crash(endpoint, fingerprints)` is called with the digests of the requests
        that the endpoint ran.
    """

    def __init__(self, network, has_older_run, on_crash):
        self._network = network
        self._has_older_run = has_older_run
        self._on_crash = on_crash
        self._broken = {}

    def on_broken(self, endpoint, fingerprint):
        """Handle a request whose connection broke before an answer began."""
        if endpoint.state not in (EndpointState.READY, EndpointState.STARTING):
            # Requests may break off at a planned end.
            return
        broken = self._broken.get(endpoint.endpoint_id)
        if broken is None:
            broken = self._broken[endpoint.endpoint_id] = set()
            self._network.spawn(self._check(endpoint, self._network.now()))
        if fingerprint:
            broken.add(fingerprint)

    async def _check(self, endpoint, broken_at):
        await asyncio.sleep(SETTLE_S)
        fingerprints = self._broken.pop(endpoint.endpoint_id)
        if not fingerprints or self._has_older_run(endpoint.endpoint_id, broken_at):
            return
        if await refuses_connections(endpoint):
            self._on_crash(endpoint, fingerprints)


async def refuses_connections(endpoint):
    """Return True if nothing listens at an endpoint's address."""
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            _, writer = await asyncio.open_connection(endpoint.host, endpoint.port)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    return False
