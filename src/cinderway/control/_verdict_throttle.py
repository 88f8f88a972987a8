"""Decides when verdicts are sent to entries: ejections at once, shares periodically.

Does no I/O; the time is passed in.
"""

from dataclasses import dataclass, field

from cinderway._ids import DataHall, ServerName
from cinderway.catalog import CATALOG, VerdictBatch

# Shares of slow and recovering servers change all the time; sending them at each
# assessment would keep entries busy.
SHARE_UPDATE_PERIOD_MS = 500


@dataclass
class VerdictThrottle:
    """The batch last sent to the entries of each hall, encoded once for all of them."""

    _sent: dict[DataHall, "_SentBatch"] = field(default_factory=dict)

    def update(self, verdicts: dict[DataHall, VerdictBatch], now_ms: int) -> None:
        """Replace a hall's batch by the new one if ejections changed or it is due."""
        for hall, batch in verdicts.items():
            ejected = frozenset(x.server for x in batch.lines if x.is_ejected)
            sent = self._sent.get(hall)
            is_urgent = sent is None or sent.ejected != ejected
            if is_urgent or now_ms - sent.sent_at_ms >= SHARE_UPDATE_PERIOD_MS:
                self._sent[hall] = _SentBatch(CATALOG.encode(batch), ejected, now_ms)
        for hall in self._sent.keys() - verdicts.keys():
            del self._sent[hall]

    def get_frame(self, hall: DataHall) -> bytes | None:
        """Return the encoded batch for a hall's entries; None if there is none."""
        sent = self._sent.get(hall)
        return sent.frame if sent else None


@dataclass(frozen=True)
class _SentBatch:
    frame: bytes
    ejected: frozenset[ServerName]
    sent_at_ms: int
