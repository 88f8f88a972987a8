"""Estimate of a server's current load from its last known load."""

# The time of two or three requests, within which a queue without new requests is empty.
LOAD_DECAY_MS = 1_000


def decayed_load(load: float, age_ms: int) -> float:
    """Return a load, as a share of slots, decayed linearly by its age."""
    return load * max(1 - max(age_ms, 0) / LOAD_DECAY_MS, 0.0)
