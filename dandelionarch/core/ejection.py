"""Ejection of one endpoint: claims within the floor, hold times and readmission.

An endpoint is ejected only with a claim in the fleet stream (the log), which keeps the
number of endpoints of the service above its floor. After a hold time it is tested by
trials: here these are idempotent requests, one at a time. They are independent of the
trials of a closed gate (`core.gate`).
"""

from dataclasses import dataclass
from enum import Enum

MIN_HOLD_S = 5.0
MAX_HOLD_S = 300.0
HOLD_GROWTH = 2.0
HOLD_HALF_LIFE_S = 600.0
SUCCESSES_TO_RESTORE = 10
# About 1% of all runs are slow; one must not fail the trial of a recovered endpoint.
MAX_TRIAL_FAILURES = 3


class State(Enum):
    """State of the endpoint at its agent."""

    HEALTHY = "healthy"
    DEMOTED = "demoted"
    EJECTED = "ejected"
    TRIAL = "trial"


class Pending(Enum):
    """Record of this endpoint that the log may hold and the agent has not read back."""

    NOTHING = "nothing"
    CLAIM = "claim"
    RELEASE = "release"


@dataclass(frozen=True, slots=True)
class Demote:
    """Command: report the state demoted in replies."""


@dataclass(frozen=True, slots=True)
class Eject:
    """Command: refuse all requests but trials from now on."""


@dataclass(frozen=True, slots=True)
class Restore:
    """Command: report the state healthy in replies, and restart the detection."""


@dataclass(frozen=True, slots=True)
class ClaimEjection:
    """Command: append a claim to the fleet stream."""

    endpoint_id: str
    incarnation: int
    score: float


@dataclass(frozen=True, slots=True)
class ReleaseEjection:
    """Command: append the release of a claim; the endpoint is no longer ejected.

    The owner repeats it until it has been read back. A release that arrived after a
    later claim would leave the endpoint ejected without a claim.
    """

    endpoint_id: str
    incarnation: int


class Ejection:
    """State machine of one endpoint incarnation.

    `state` is ejected or trial only between an accepted claim and its release or
    revocation. Every event but `on_run_admitted` returns a list of commands, to be run
    in order.

    Parameters
    ----------
    endpoint_id : str
    incarnation : int
    """

    def __init__(self, endpoint_id, incarnation):
        self.endpoint_id = endpoint_id
        self.incarnation = incarnation
        self.state = State.HEALTHY
        self.hold_s = MIN_HOLD_S
        self.log_available = True
        self.score = 0.0
        self._confirmed_by_peers = False
        self._pending = Pending.NOTHING
        self._hold_until = 0.0
        self._next_claim_at = 0.0
        self._healthy_since = None
        self._trial_run = None
        self._successes = 0
        self._failures = 0

    def on_verdict(self, score, confirmed_by_peers, claim_at_once, now):
        """Handle the detector's verdict that the endpoint is unhealthy.

        The endpoint is demoted. A claim follows if the verdict is sure, or with the
        second verdict, which is based on later runs. There is no claim unless peers
        have confirmed the verdict.
        """
        self.score, self._confirmed_by_peers = score, confirmed_by_peers
        if self.state is State.HEALTHY:
            self._decay_hold(now)
            return self._demote(now) + (self._claim(now) if claim_at_once else [])
        if self.state is State.DEMOTED and now >= self._next_claim_at:
            return self._claim(now)
        return []

    def on_claim_accepted(self, now):
        """Handle this incarnation's accepted claim, as read back from the log."""
        if self._pending is Pending.RELEASE:
            # The pending release follows this claim in the log and ends it.
            return []
        self._pending = Pending.NOTHING
        if self.state is State.DEMOTED:
            self.state = State.EJECTED
            self._hold_until = max(self._hold_until, now + MIN_HOLD_S)
            self._reset_counts()
            return [Eject()]
        return self._release() if self.state is State.HEALTHY else []

    def on_claim_refused(self, now):
        """Handle a claim that the floor forbids or whose append has failed.

        An append whose reply was lost may still be accepted later.
        """
        if self._pending is Pending.CLAIM:
            self._pending = Pending.NOTHING
            self._next_claim_at = now + self.hold_s
        return []

    def on_released(self, now):
        """Handle a release, as read back from the log."""
        if self._pending is Pending.RELEASE:
            self._pending = Pending.NOTHING
        return []

    def on_claim_revoked(self, now):
        """Handle the revocation of an accepted claim: end the ejection at once."""
        if self.state not in (State.EJECTED, State.TRIAL):
            return []
        self._next_claim_at = now + self.hold_s
        return self._demote(now)

    def on_below_floor(self, now):
        """Handle too few live members: readmit without waiting for the log."""
        if self.state not in (State.EJECTED, State.TRIAL):
            return []
        self._next_claim_at = now + self.hold_s
        return self._demote(now) + self._release()

    def tick(self, now):
        """Handle the passing of time."""
        if self.state is State.EJECTED and now >= self._hold_until:
            self.state = State.TRIAL
            self._reset_counts()
        return []

    def admits(self, idempotent):
        """Return True if a request may be admitted now."""
        if self.state is State.TRIAL:
            return idempotent and self._trial_run is None
        return self.state is not State.EJECTED

    def on_run_admitted(self, run_id):
        """Record a run that was admitted; on trial it is the one in progress."""
        if self.state is State.TRIAL:
            self._trial_run = run_id

    def on_run_ended(self, run_id, succeeded, now):
        """Handle the end of a run while demoted or on trial.

        `succeeded` is True, False, or None if the run is no evidence.
        """
        if self.state in (State.HEALTHY, State.EJECTED):
            return []
        if self.state is State.TRIAL:
            if run_id != self._trial_run:
                return []
            self._trial_run = None
        if succeeded is None:
            return []
        return self._count_success(now) if succeeded else self._count_failure(now)

    def _count_success(self, now):
        self._successes += 1
        may_restore = self.state is State.TRIAL or now >= self._hold_until
        return (
            self._restore(now)
            if may_restore and self._successes >= SUCCESSES_TO_RESTORE
            else []
        )

    def _count_failure(self, now):
        self._successes = 0
        self._failures += 1
        if self.state is State.TRIAL and self._failures >= MAX_TRIAL_FAILURES:
            self.state = State.EJECTED
            self._lengthen_hold(now)
            return [Eject()]
        return []

    def _demote(self, now):
        self.state = State.DEMOTED
        self._lengthen_hold(now)
        self._reset_counts()
        return [Demote()]

    def _claim(self, now):
        """Return a claim if peers confirmed the verdict and the log is available."""
        if not (self._confirmed_by_peers and self.log_available):
            return []
        if self._pending is not Pending.NOTHING:
            return []
        self._pending = Pending.CLAIM
        return [ClaimEjection(self.endpoint_id, self.incarnation, self.score)]

    def _restore(self, now):
        claimed = self.state is State.TRIAL
        self.state = State.HEALTHY
        self._healthy_since = now
        return [Restore()] + (self._release() if claimed else [])

    def _release(self):
        self._pending = Pending.RELEASE
        return [ReleaseEjection(self.endpoint_id, self.incarnation)]

    def _lengthen_hold(self, now):
        self._hold_until = now + self.hold_s
        self.hold_s = min(MAX_HOLD_S, self.hold_s * HOLD_GROWTH)

    def _decay_hold(self, now):
        if self._healthy_since is not None:
            halvings = (now - self._healthy_since) / HOLD_HALF_LIFE_S
            self.hold_s = max(MIN_HOLD_S, self.hold_s / 2.0**halvings)

    def _reset_counts(self):
        self._trial_run = None
        self._successes = self._failures = 0
