"""Fleet membership, from entries' heartbeats and the platform's lagging list."""

from cinderway.membership._fleet import Fleet, KnownEntry, LiveState

__all__ = ["Fleet", "KnownEntry", "LiveState"]
