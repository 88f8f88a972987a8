"""Fleet membership, derived from entries' own heartbeats and the platform's list.

The platform's list lags and is therefore no evidence by itself: an entry is live while
its heartbeats arrive, even if the list omits it. The list only shortens the timeout of
an entry whose heartbeats stop.

Entries gossip heartbeats with their age, so that the clocks of two processes are never
compared.
"""

import random
from dataclasses import dataclass
from enum import Enum

from cinderway._ids import EntryName
from cinderway.table import EntryReport, HeardReport

SILENT_AFTER_MS = 10_000
GONE_AFTER_MS = 60_000
UNLISTED_GONE_AFTER_MS = 15_000
FORGET_AFTER_MS = 600_000
MAX_KEPT_REVISIONS = 20_000


class LiveState(Enum):
    """The state of an entry according to its heartbeats."""

    LIVE = "live"
    LEAVING = "leaving"
    SILENT = "silent"
    GONE = "gone"


@dataclass(frozen=True)
class KnownEntry:
    """An entry's newest report and its time of origin by this process's clock."""

    report: EntryReport
    received_at_ms: int


class Fleet:
    """All known entries, from heartbeats received directly or by gossip.

    Does no I/O; the time is passed in.
    """

    def __init__(self):
        self._entries: dict[EntryName, KnownEntry] = {}
        self._highest_revision: dict[EntryName, int] = {}
        self._listed: frozenset[EntryName] | None = None

    def record_report(self, report: EntryReport, received_at_ms: int) -> int:
        """Record a report; return the highest revision that the entry ever reported."""
        highest = max(self._highest_revision.get(report.name, 0), report.revision)
        self._highest_revision[report.name] = highest
        known = self._entries.get(report.name)
        if known is None or received_at_ms > known.received_at_ms:
            self._entries[report.name] = KnownEntry(report, received_at_ms)
        return highest

    def record_reports(self, reports: list[HeardReport], now_ms: int) -> None:
        """Record reports received by gossip."""
        for gossiped in reports:
            self.record_report(gossiped.report, now_ms - gossiped.ago_ms)

    def sample(self, count: int, now_ms: int, rng: random.Random) -> list[HeardReport]:
        """Return reports of up to `count` entries that are not gone, for gossip."""
        names = [
            name
            for name in self._entries
            if self.state_of(name, now_ms) is not LiveState.GONE
        ]
        if len(names) > count:
            names = rng.sample(names, count)
        known = [self._entries[name] for name in names]
        return [HeardReport(h.report, max(now_ms - h.received_at_ms, 0)) for h in known]

    def apply_platform_list(self, names: frozenset[EntryName] | None) -> None:
        """Set the entries on the platform's list, or None if it is unavailable."""
        self._listed = names

    def state_of(self, name: EntryName, now_ms: int) -> LiveState:
        """Return the state of an entry at `now_ms`."""
        known = self._entries.get(name)
        if known is None:
            return LiveState.GONE
        silent_ms = now_ms - known.received_at_ms
        if silent_ms >= self._gone_after_ms(name):
            return LiveState.GONE
        if silent_ms >= SILENT_AFTER_MS:
            return LiveState.SILENT
        return LiveState.LEAVING if known.report.is_leaving else LiveState.LIVE

    def entries(self) -> list[KnownEntry]:
        """Return all known entries, sorted by name."""
        return sorted(self._entries.values(), key=lambda known: known.report.name)

    def live(self, now_ms: int) -> list[EntryReport]:
        """Return the newest reports of the live entries, sorted by name."""
        return [
            known.report
            for known in self.entries()
            if self.state_of(known.report.name, now_ms) is LiveState.LIVE
        ]

    def lowest_table_level(self, now_ms: int) -> int | None:
        """Return the newest table format that all entries not gone support, if any.

        Silent entries count, as they may still serve requests behind a one-way network
        partition. Returns None if there are no entries.
        """
        levels = [
            known.report.table_level
            for name, known in self._entries.items()
            if self.state_of(name, now_ms) is not LiveState.GONE
        ]
        return min(levels, default=None)

    def drop_gone(self, now_ms: int) -> None:
        """Drop entries that are long gone, so that replaced ones do not accumulate.

        Their highest revisions are kept, as they may return under the same name, until
        there are more than `MAX_KEPT_REVISIONS`.
        """
        for name, known in list(self._entries.items()):
            if now_ms - known.received_at_ms >= FORGET_AFTER_MS:
                del self._entries[name]
        if len(self._highest_revision) > MAX_KEPT_REVISIONS:
            self._highest_revision = {
                name: revision
                for name, revision in self._highest_revision.items()
                if name in self._entries
            }

    def _gone_after_ms(self, name: EntryName) -> int:
        if self._listed is not None and name not in self._listed:
            return UNLISTED_GONE_AFTER_MS
        return GONE_AFTER_MS
