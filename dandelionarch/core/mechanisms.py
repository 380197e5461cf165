"""Mechanisms of routing and admission that can be switched off by name.

An operator who weighs a mechanism runs the same load with and without it.
"""

from enum import Enum


class Mechanism(Enum):
    """A mechanism by the name that settings give it."""

    # Close an endpoint to ordinary work after failures.
    GATES = "gates"
    # Take an endpoint that stops answering for failed before the first deadline.
    HANGS = "hangs"
    # Keep gates open while most other endpoints of the service fail too.
    SHARED_CAUSES = "shared_causes"
    # Agents ask ingresses for trials of closed gates.
    TRIAL_INVITES = "trial_invites"
    # Send an idempotent straggler to a second endpoint.
    SECOND_ATTEMPTS = "second_attempts"
    # Repeat idempotent requests that failed.
    RETRIES = "retries"
    # Ingresses lend each other further attempts.
    RETRY_LOANS = "retry_loans"
    # Busy endpoints turn a request away before it waits.
    BUSY_MOVES = "busy_moves"
    # Requests wait at the ingress while no endpoint can be had.
    PARKING = "parking"
    # Orders go where an answer came from a moment ago.
    FRESH_ENDPOINTS = "fresh_endpoints"
    # Choose among the endpoints of the own data centre.
    NEAR_FIRST = "near_first"
    # Leave out endpoints whose slots are known to be taken.
    FREE_SLOTS = "free_slots"
    # Let cheap work overtake dear work in an endpoint's queue.
    SHORTEST_FIRST = "shortest_first"
    # Keep a slot of each endpoint that long work may not take.
    SHORT_SLOT = "short_slot"
    # Refuse at once what would end after its deadline.
    LATE_REFUSALS = "late_refusals"
    # Give up what waits for work of a higher priority.
    PRIORITIES = "priorities"
    # Count an endpoint that has just started as smaller.
    WARM_UP = "warm_up"


NAMES = tuple(mechanism.value for mechanism in Mechanism)


def parse_mechanisms(names):
    """Return the mechanisms of a text with their names, separated by commas.

    Raises
    ------
    ValueError
        If a name is unknown.
    """
    return frozenset(Mechanism(name.strip()) for name in names.split(",") if name)
