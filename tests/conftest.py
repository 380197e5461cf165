"""Settings of all tests."""

from hypothesis import HealthCheck, settings

# Seeds are fixed, and no verdict depends on how fast the machine is.
settings.register_profile(
    "fixed",
    derandomize=True,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("fixed")
