"""Whether an entry reaches backend servers itself."""

from cinderway.reachability._uplink import Uplink, UplinkState

__all__ = ["Uplink", "UplinkState"]
