"""What an assessor remembers of one backend server."""

import math
from collections import deque
from dataclasses import dataclass, field

from cinderway._ids import DataHall, EntryName, ServerName
from cinderway.judgement._conversation import Standing
from cinderway.judgement._sequential import Window

TIMELINE_MS = 10_000
RATE_HALF_LIFE_MS = 3_000
TIME_HALF_LIFE_MS = 10_000
# Servers turn slow and well again within seconds.
PACE_HALF_LIFE_MS = 2_000

FIRST_BAN_MS = 2_000
LONGEST_BAN_MS = 30_000
# A server that stays well this long starts again with the first ban.
BAN_MEMORY_MS = 60_000


def is_out(standing: Standing) -> bool:
    """Whether a server of this standing gets no callers' work."""
    return standing in (Standing.EJECTED, Standing.PROBING)


@dataclass
class Decayed:
    """A pair of sums that fade with a half-life."""

    half_life_ms: int
    first: float = 0.0
    second: float = 0.0
    at_ms: int = 0

    def add(self, first: float, second: float, now_ms: int) -> None:
        """Fade what is there and add to it."""
        factor = 0.5 ** ((now_ms - self.at_ms) / self.half_life_ms)
        self.first = self.first * factor + first
        self.second = self.second * factor + second
        self.at_ms = now_ms


@dataclass(frozen=True)
class Observed:
    """What one report said of the server."""

    at_ms: int
    reporter: EntryName
    hall: DataHall
    good: int
    bad: int


@dataclass(frozen=True)
class Tally:
    """Good and bad observations."""

    good: int = 0
    bad: int = 0

    @property
    def count(self) -> int:
        """All observations."""
        return self.good + self.bad

    @property
    def bad_share(self) -> float:
        """Share of bad ones; 0 without any."""
        return self.bad / self.count if self.count else 0.0

    def __add__(self, other: "Tally") -> "Tally":
        return Tally(self.good + other.good, self.bad + other.bad)


@dataclass
class ServerRecord:
    """One server: its windows, one for all entries and one a data hall, its recent
    observations, and its standing with the deadline at which that is looked at again.
    """

    name: ServerName
    windows: dict[DataHall | None, Window] = field(default_factory=dict)
    rate: Decayed = field(default_factory=lambda: Decayed(RATE_HALF_LIFE_MS))
    time: Decayed = field(default_factory=lambda: Decayed(TIME_HALF_LIFE_MS))
    pace: Decayed = field(default_factory=lambda: Decayed(PACE_HALF_LIFE_MS))
    callers: Decayed = field(default_factory=lambda: Decayed(RATE_HALF_LIFE_MS))
    timeline: deque[Observed] = field(default_factory=deque)
    standing: Standing = Standing.HEALTHY
    halls: frozenset[DataHall] = frozenset()
    standing_since_ms: int = 0
    until_ms: int = 0
    ban_ms: int = FIRST_BAN_MS
    well_since_ms: int = 0
    score: float = 0.0
    reason: str = ""
    good_since: int = 0
    bad_since: int = 0
    draining_until_ms: int = 0

    def window(self, hall: DataHall | None) -> Window:
        """The window for a hall's entries, or for all with None."""
        found = self.windows.get(hall)
        if found is None:
            found = self.windows[hall] = Window()
        return found

    def note(self, observed: Observed) -> None:
        """Remember a report's observations."""
        self.timeline.append(observed)
        while self.timeline[0].at_ms < observed.at_ms - TIMELINE_MS:
            self.timeline.popleft()
        self.rate.add(observed.good, observed.bad, observed.at_ms)
        # Entries of other halls go on using a server ejected for one hall only;
        # what they see says nothing about the way back there.
        if not self.halls or observed.hall in self.halls:
            self.good_since += observed.good
            self.bad_since += observed.bad

    def callers_per_s(self, now_ms: int) -> float:
        """How many observations a second callers' own requests bring."""
        self.callers.add(0, 0, now_ms)
        # A steady rate r adds up to r * half-life / ln 2.
        return self.callers.first * math.log(2) / (RATE_HALF_LIFE_MS / 1000)

    def tally(
        self,
        since_ms: int,
        *,
        halls: frozenset[DataHall] = frozenset(),
        reporter: EntryName | None = None,
        without: frozenset[EntryName] = frozenset(),
    ) -> Tally:
        """Count the observations since a time; no halls means all halls."""
        good = bad = 0
        for observed in reversed(self.timeline):
            if observed.at_ms < since_ms:
                break
            if halls and observed.hall not in halls:
                continue
            if reporter is not None and observed.reporter != reporter:
                continue
            if observed.reporter not in without:
                good += observed.good
                bad += observed.bad
        return Tally(good, bad)

    def halls_seen(self, since_ms: int) -> set[DataHall]:
        """Data halls whose entries observed the server since a time."""
        return {o.hall for o in self.timeline if o.at_ms >= since_ms}

    @property
    def suspicion(self) -> float:
        """The highest score of its windows."""
        return max((window.score for window in self.windows.values()), default=0.0)

    def move_to(self, standing: Standing, now_ms: int, until_ms: int = 0) -> None:
        """Change the standing and begin counting anew."""
        self.standing = standing
        self.standing_since_ms = now_ms
        self.until_ms = until_ms
        if standing is Standing.HEALTHY:
            self.halls = frozenset()
        self.good_since = 0
        self.bad_since = 0
        for window in self.windows.values():
            window.reset()

    def eject(self, halls: frozenset[DataHall], score: float, now_ms: int) -> None:
        """Eject, each time for twice as long, until it was well for a while."""
        if now_ms - self.well_since_ms > BAN_MEMORY_MS and self.well_since_ms:
            self.ban_ms = FIRST_BAN_MS
        self.well_since_ms = 0
        self.halls = halls
        self.score = score
        self.move_to(Standing.EJECTED, now_ms, now_ms + self.ban_ms)
        self.ban_ms = min(self.ban_ms * 2, LONGEST_BAN_MS)
