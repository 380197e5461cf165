"""Mechanisms of routing and admission that settings can switch off by name.

An operator can measure the effect of a mechanism by running the same load with and
without it.
"""

from enum import Enum


class Mechanism(Enum):
    """A mechanism; the value is its name in the settings."""

    # Refuse ordinary requests to an endpoint after failures.
    GATES = "gates"
    # Treat an endpoint that stops answering as failed before the first deadline.
    HANGS = "hangs"
    # Keep a gate open while most other endpoints of the service fail too.
    SHARED_CAUSES = "shared_causes"
    # Let agents invite ingresses to send trials of closed gates.
    TRIAL_INVITES = "trial_invites"
    # Send a slow idempotent request to a second endpoint (hedging).
    SECOND_ATTEMPTS = "second_attempts"
    # Retry idempotent requests that failed.
    RETRIES = "retries"
    # Let ingresses borrow extra attempts from each other.
    RETRY_LOANS = "retry_loans"
    # Redirect a request from busy endpoints before it waits at one.
    BUSY_MOVES = "busy_moves"
    # Let requests wait at the ingress while no endpoint is available.
    PARKING = "parking"
    # Send requests that are not idempotent to endpoints that have answered recently.
    FRESH_ENDPOINTS = "fresh_endpoints"
    # Prefer the endpoints of the ingress's data centre.
    NEAR_FIRST = "near_first"
    # Exclude endpoints whose slots are known to be taken.
    FREE_SLOTS = "free_slots"
    # Order an endpoint's queue by cost, the cheapest request first.
    SHORTEST_FIRST = "shortest_first"
    # Reserve a slot of each endpoint for short work.
    SHORT_SLOT = "short_slot"
    # Refuse at once requests that would end after their deadlines.
    LATE_REFUSALS = "late_refusals"
    # Evict waiting requests in favour of those with a higher priority.
    PRIORITIES = "priorities"
    # Count fewer slots for an endpoint that has just started.
    WARM_UP = "warm_up"
    # Refuse requests that have crashed the endpoints that ran them.
    QUARANTINE = "quarantine"


MECHANISM_NAMES = tuple(mechanism.value for mechanism in Mechanism)


def parse_mechanisms(names):
    """Return the set of mechanisms whose names a comma-separated text lists.

    Raises
    ------
    ValueError
        If a name is unknown.
    """
    return frozenset(Mechanism(name.strip()) for name in names.split(",") if name)
