"""How full a server probably is, from its last known load. Pure."""

# Two or three requests' time: a queue that nobody adds to is worked off by then.
LOAD_FADES_MS = 1_000


def faded_load(load: float, age_ms: int) -> float:
    """Return what is left of a load, as a share of slots, after `age_ms`."""
    return load * max(1 - max(age_ms, 0) / LOAD_FADES_MS, 0.0)
