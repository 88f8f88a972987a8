"""All tests. Hypothesis is derandomized, so that all runs have the same result."""

from hypothesis import HealthCheck, settings

settings.register_profile(
    "cinderway",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)
settings.load_profile("cinderway")
