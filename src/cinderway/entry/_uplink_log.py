"""Logs when an entry loses its paths to all backend servers, and when it has them."""

import logging

from cinderway._clock import monotonic_ms
from cinderway.reachability import Uplink, UplinkState

logger = logging.getLogger(__name__)


class UplinkLog:
    """Writes one line for each loss of the uplink, and one for its end."""

    def __init__(self, uplink: Uplink):
        self._uplink = uplink
        self._cut_off_at_ms = 0

    def record_change(self, before: UplinkState, after: UplinkState) -> None:
        """Log a change of the uplink's state, unless it was only in doubt."""
        if after is UplinkState.CUT_OFF:
            self._cut_off_at_ms = monotonic_ms()
            self._log_cut_off()
        elif before is UplinkState.CUT_OFF:
            logger.info(
                "backend servers can be connected to again after %d ms",
                monotonic_ms() - self._cut_off_at_ms,
            )

    def _log_cut_off(self) -> None:
        connected_at_ms = self._uplink.last_connected_at_ms
        logger.warning(
            "no backend server can be connected to: %s failed in a row, the last "
            "connection was opened %s",
            ", ".join(sorted(self._uplink.unreachable)),
            "never"
            if connected_at_ms is None
            else f"{monotonic_ms() - connected_at_ms} ms ago",
        )
