"""Whether an entry reaches backend servers itself, and through whom otherwise."""

from cinderway.reachability._conversation import (
    RELAY,
    RelayAccepted,
    RelayBody,
    RelayedEnd,
    RelayedFailure,
    RelayedHead,
    RelayRefused,
    RelayRequest,
)
from cinderway.reachability._relay_peers import PeerFailure, RelayPeers
from cinderway.reachability._uplink import (
    Observation,
    Uplink,
    UplinkChange,
    Uplinks,
    UplinkState,
)

__all__ = [
    "RELAY",
    "Observation",
    "PeerFailure",
    "RelayAccepted",
    "RelayBody",
    "RelayPeers",
    "RelayRefused",
    "RelayRequest",
    "RelayedEnd",
    "RelayedFailure",
    "RelayedHead",
    "Uplink",
    "UplinkChange",
    "UplinkState",
    "Uplinks",
]
