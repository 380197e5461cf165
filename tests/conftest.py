"""Settings of all tests."""

import random

import pytest
from hypothesis import HealthCheck, settings

from tests.support.fleet import Fleet

# Seeds are fixed, and no verdict depends on how fast the machine is.
settings.register_profile(
    "fixed",
    derandomize=True,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("fixed")


@pytest.fixture
def fleet(tmp_path):
    """Return a fleet whose processes end with the test."""
    fleet = Fleet(tmp_path)
    yield fleet
    fleet.stop()


@pytest.fixture
def seeded_rng():
    """Return a random generator with a fixed seed."""
    return random.Random(1)
