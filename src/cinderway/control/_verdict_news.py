"""Which verdicts entries are told: ejections at once, shares from time to time.

Pure: time is passed in.
"""

from dataclasses import dataclass, field

from cinderway._ids import DataHall, ServerName
from cinderway.catalog import CATALOG, VerdictBatch

# Shares of slow and recovering servers move all the time; told at each look they would
# keep entries busy.
SHARES_PAUSE_MS = 500


@dataclass
class VerdictNews:
    """The batch that each hall's entries were told last, encoded once for all."""

    _told: dict[DataHall, "_Told"] = field(default_factory=dict)

    def take(self, verdicts: dict[DataHall, VerdictBatch], now_ms: int) -> None:
        """Take what is judged now; it replaces what was told before where it is due."""
        for hall, batch in verdicts.items():
            ejected = frozenset(x.server for x in batch.lines if x.is_ejected)
            told = self._told.get(hall)
            is_urgent = told is None or told.ejected != ejected
            if is_urgent or now_ms - told.at_ms >= SHARES_PAUSE_MS:
                self._told[hall] = _Told(CATALOG.encode(batch), ejected, now_ms)
        for hall in self._told.keys() - verdicts.keys():
            del self._told[hall]

    def frame_for(self, hall: DataHall) -> bytes | None:
        """Return the encoded batch for a hall's entries; None if there is none."""
        told = self._told.get(hall)
        return told.frame if told else None


@dataclass(frozen=True)
class _Told:
    frame: bytes
    ejected: frozenset[ServerName]
    at_ms: int
