"""Logs when an entry loses its paths to a service's servers, and when it has them."""

import logging

from cinderway._clock import monotonic_ms
from cinderway._ids import ServiceName
from cinderway.reachability import UplinkChange, Uplinks, UplinkState

logger = logging.getLogger(__name__)


class UplinkLog:
    """Writes one line for each loss of an uplink, and one for its end."""

    def __init__(self, uplinks: Uplinks):
        self._uplinks = uplinks
        self._cut_off_at_ms: dict[ServiceName, int] = {}

    def record_change(self, change: UplinkChange) -> None:
        """Log a change of an uplink's state, unless it was only in doubt."""
        if change.after is UplinkState.CUT_OFF:
            self._cut_off_at_ms[change.service] = monotonic_ms()
            self._log_cut_off(change.service)
        elif change.before is UplinkState.CUT_OFF:
            logger.info(
                "servers of %s can be connected to again after %d ms",
                change.service,
                monotonic_ms() - self._cut_off_at_ms.pop(change.service),
            )

    def _log_cut_off(self, service: ServiceName) -> None:
        uplink = self._uplinks.of(service)
        connected_at_ms = uplink.last_connected_at_ms
        logger.warning(
            "no server of %s can be connected to: %s failed in a row, the last "
            "connection was opened %s",
            service,
            ", ".join(sorted(uplink.unreachable)),
            "never"
            if connected_at_ms is None
            else f"{monotonic_ms() - connected_at_ms} ms ago",
        )
