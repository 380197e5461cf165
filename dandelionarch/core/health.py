"""Health of one endpoint, from failure detection and ejection."""

from dandelionarch.core.detection import Detector, Purpose, UnhealthyVerdict
from dandelionarch.core.ejection import Demote, Eject, Ejection, Restore, State
from dandelionarch.core.world import Health


class EndpointHealth:
    """Judge the health of one endpoint incarnation.

    Its events return commands for the owner to run: `QueryPeers`, `ClaimEjection`,
    `ReleaseEjection`, and `Demote`, `Eject`, `Restore` after a change of `health`.

    Parameters
    ----------
    endpoint_id : str
    incarnation : int
    now : float
        Time in seconds.
    """

    def __init__(self, endpoint_id, incarnation, now):
        self.detector = Detector(now)
        self.ejection = Ejection(endpoint_id, incarnation)

    @property
    def health(self):
        """Return the `Health` that replies report."""
        return Health(self.ejection.state.value)

    def admits(self, idempotent):
        """Return True if a request may be admitted now."""
        return self.ejection.admits(idempotent)

    def on_run_admitted(self, run_id):
        """Record a request that was admitted."""
        self.ejection.on_run_admitted(run_id)

    def on_run_started(self, run_id, kind, warm, now):
        """Record a run that has got a slot."""
        self.detector.on_run_started(run_id, kind, warm, now)

    def on_run_ended(self, run_id, end, now):
        """Handle the end of a run, or of a request that never got a slot."""
        succeeded = self.detector.is_good(run_id, end, now)
        commands = self.detector.on_run_ended(run_id, end, now)
        return self._handle(commands, now) + self._restart_on_change(
            self.ejection.on_run_ended(run_id, succeeded, now)
        )

    def tick(self, now):
        """Handle the passing of time; call it about every 0.1 s."""
        commands = self._handle(self.detector.tick(now), now)
        return commands + self._restart_on_change(self.ejection.tick(now))

    def on_peer_replies(self, query, replies, now):
        """Handle the replies to `QueryPeers`, without those that are missing."""
        return self._handle(self.detector.on_peer_replies(query, replies, now), now)

    def summary(self, kind, cap_log, window_s, now):
        """Return the evidence for a peer."""
        return self.detector.summary(kind, cap_log, window_s, now)

    def on_claim_accepted(self, now):
        """Handle the accepted claim, as read back from the fleet stream."""
        return self._restart_on_change(self.ejection.on_claim_accepted(now))

    def on_claim_refused(self, now):
        """Handle a refused or failed claim."""
        return self.ejection.on_claim_refused(now)

    def on_claim_revoked(self, now):
        """Handle the revocation of the claim."""
        return self._restart_on_change(self.ejection.on_claim_revoked(now))

    def on_released(self, now):
        """Handle the release, as read back from the fleet stream."""
        return self.ejection.on_released(now)

    def on_below_floor(self, now):
        """Handle a number of live members below the floor."""
        return self._restart_on_change(self.ejection.on_below_floor(now))

    def _handle(self, commands, now):
        """Pass verdicts to the ejection; return its commands and the queries."""
        out = []
        for command in commands:
            if isinstance(command, UnhealthyVerdict):
                verdict = (
                    command.score,
                    command.confirmed_by_peers,
                    command.claim_at_once,
                )
                out += self._restart_on_change(self.ejection.on_verdict(*verdict, now))
            elif self._should_query(command):
                out.append(command)
        return out

    def _should_query(self, command):
        judged = self.ejection.state in (State.HEALTHY, State.DEMOTED)
        return judged or command.purpose is Purpose.BASELINE

    def _restart_on_change(self, commands):
        """Return the commands; restart the detection if one changes the health."""
        if any(isinstance(c, Demote | Eject | Restore) for c in commands):
            self.detector.restart()
        return commands
