"""Whether an entry reaches backend servers itself."""

from cinderway.reachability._uplink import Uplink, UplinkChange, Uplinks, UplinkState

__all__ = ["Uplink", "UplinkChange", "UplinkState", "Uplinks"]
