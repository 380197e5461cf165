"""Announcements of the endpoints on a daemon's VM."""

import dataclasses

from dandelionarch.core.world import EndpointState

# Endpoints repeat their announcement every 2 s; up to three may be lost.
SILENCE_TIMEOUT_S = 6.0
CHECK_PERIOD_S = 0.5


class Announcements:
    """Time of the last announcement of each local endpoint.

    Time during which the daemon itself was paused does not count as silence.
    """

    def __init__(self):
        self._last_heard = {}
        self._last_check = None

    def on_announcement(self, endpoint, now):
        """Record the time of an announcement."""
        if endpoint.state is EndpointState.GONE:
            self._last_heard.pop(endpoint.endpoint_id, None)
        else:
            self._last_heard[endpoint.endpoint_id] = (now, endpoint)

    def remove_silent(self, now):
        """Remove endpoints that have been silent for too long; return them as gone.

        Call it every `CHECK_PERIOD_S`.
        """
        pause_s = 0.0
        if self._last_check is not None:
            pause_s = max(0.0, now - self._last_check - 2 * CHECK_PERIOD_S)
        self._last_check = now
        removed = []
        for endpoint_id, (last_heard, endpoint) in list(self._last_heard.items()):
            if pause_s:
                last_heard = min(now, last_heard + pause_s)
                self._last_heard[endpoint_id] = (last_heard, endpoint)
            if now - last_heard > SILENCE_TIMEOUT_S:
                del self._last_heard[endpoint_id]
                removed.append(dataclasses.replace(endpoint, state=EndpointState.GONE))
        return removed
