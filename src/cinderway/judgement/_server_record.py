"""Per-server state of an assessor: recent observations, standing and ejection time."""

import math
from collections import deque
from dataclasses import dataclass, field

from cinderway._ids import DataHall, EntryName, ServerName
from cinderway.judgement._conversation import ServerStanding
from cinderway.judgement._sequential import Window

TIMELINE_MS = 10_000
RATE_HALF_LIFE_MS = 3_000
TIME_HALF_LIFE_MS = 10_000
# Short, because servers become slow and recover within seconds.
RECENT_TIME_HALF_LIFE_MS = 2_000

FIRST_EJECTION_MS = 2_000
MAX_EJECTION_MS = 30_000
# A server that stays healthy for this long gets the first, shortest ejection time
# again when it next fails.
EJECTION_BACKOFF_RESET_MS = 60_000


def is_withdrawn(standing: ServerStanding) -> bool:
    """Whether a server with this standing gets no callers' requests."""
    return standing in (ServerStanding.EJECTED, ServerStanding.PROBING)


@dataclass
class DecayingSums:
    """A pair of sums that decay exponentially with a half-life."""

    half_life_ms: int
    first: float = 0.0
    second: float = 0.0
    at_ms: int = 0

    def add(self, first: float, second: float, now_ms: int) -> None:
        """Decay both sums to `now_ms`, then add `first` and `second`."""
        factor = 0.5 ** ((now_ms - self.at_ms) / self.half_life_ms)
        self.first = self.first * factor + first
        self.second = self.second * factor + second
        self.at_ms = now_ms


@dataclass(frozen=True)
class ObservationBatch:
    """The observations of the server in one report."""

    at_ms: int
    reporter: EntryName
    hall: DataHall
    good: int
    bad: int


@dataclass(frozen=True)
class Tally:
    """Counts of good and bad observations."""

    good: int = 0
    bad: int = 0

    @property
    def count(self) -> int:
        """Number of all observations."""
        return self.good + self.bad

    @property
    def bad_share(self) -> float:
        """Share of bad observations; 0 if there are no observations."""
        return self.bad / self.count if self.count else 0.0

    def __add__(self, other: "Tally") -> "Tally":
        return Tally(self.good + other.good, self.bad + other.bad)


@dataclass
class ServerRecord:
    """An assessor's state of one server.

    It holds one window for all entries and one for each data hall, the recent
    observations, and the standing. `until_ms` is the time at which an ejection ends.

    Of the decaying sums, `recent_outcomes` holds the numbers of good and bad
    observations, `time` and `recent_time` the total and the number of answer times, and
    `caller_observations` the number of observations of callers' requests.
    """

    name: ServerName
    windows: dict[DataHall | None, Window] = field(default_factory=dict)
    recent_outcomes: DecayingSums = field(
        default_factory=lambda: DecayingSums(RATE_HALF_LIFE_MS)
    )
    time: DecayingSums = field(default_factory=lambda: DecayingSums(TIME_HALF_LIFE_MS))
    recent_time: DecayingSums = field(
        default_factory=lambda: DecayingSums(RECENT_TIME_HALF_LIFE_MS)
    )
    caller_observations: DecayingSums = field(
        default_factory=lambda: DecayingSums(RATE_HALF_LIFE_MS)
    )
    timeline: deque[ObservationBatch] = field(default_factory=deque)
    standing: ServerStanding = ServerStanding.HEALTHY
    halls: frozenset[DataHall] = frozenset()
    standing_since_ms: int = 0
    until_ms: int = 0
    ejection_ms: int = FIRST_EJECTION_MS
    healthy_since_ms: int = 0
    score: float = 0.0
    reason: str = ""
    good_since_change: int = 0
    bad_since_change: int = 0
    draining_until_ms: int = 0

    def window(self, hall: DataHall | None) -> Window:
        """Return the window of a hall's entries, or of all entries for None."""
        found = self.windows.get(hall)
        if found is None:
            found = self.windows[hall] = Window()
        return found

    def record_batch(self, observed: ObservationBatch) -> None:
        """Record one report's observations."""
        self.timeline.append(observed)
        while self.timeline[0].at_ms < observed.at_ms - TIMELINE_MS:
            self.timeline.popleft()
        self.recent_outcomes.add(observed.good, observed.bad, observed.at_ms)
        # Entries in other halls keep using a server that is ejected for one hall only.
        # Their observations do not show whether the ejected hall can use it again.
        if not self.halls or observed.hall in self.halls:
            self.good_since_change += observed.good
            self.bad_since_change += observed.bad

    def caller_observations_per_s(self, now_ms: int) -> float:
        """Rate of the observations that come from callers' requests, not probes."""
        self.caller_observations.add(0, 0, now_ms)
        # A steady rate r adds up to r * half-life / ln 2.
        return self.caller_observations.first * math.log(2) / (RATE_HALF_LIFE_MS / 1000)

    def count_observations(
        self,
        since_ms: int,
        *,
        halls: frozenset[DataHall] = frozenset(),
        reporter: EntryName | None = None,
        without: frozenset[EntryName] = frozenset(),
    ) -> Tally:
        """Count the observations since a time, optionally filtered.

        `halls` limits the count to these halls' entries, where empty means all halls;
        `reporter` limits it to one entry; `without` leaves out the entries named.
        """
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

    def observing_halls(self, since_ms: int) -> set[DataHall]:
        """Return the data halls whose entries observed the server since a time."""
        return {o.hall for o in self.timeline if o.at_ms >= since_ms}

    @property
    def suspicion(self) -> float:
        """The highest score of its windows."""
        return max((window.score for window in self.windows.values()), default=0.0)

    def set_standing(
        self, standing: ServerStanding, now_ms: int, until_ms: int = 0
    ) -> None:
        """Change the standing; reset the windows and the counts since the change."""
        self.standing = standing
        self.standing_since_ms = now_ms
        self.until_ms = until_ms
        if standing is ServerStanding.HEALTHY:
            self.halls = frozenset()
        self.good_since_change = 0
        self.bad_since_change = 0
        for window in self.windows.values():
            window.reset()

    def eject(self, halls: frozenset[DataHall], score: float, now_ms: int) -> None:
        """Eject the server for `halls`, where empty means all halls.

        Each ejection lasts twice as long as the one before, up to a maximum, until the
        server has been healthy for `EJECTION_BACKOFF_RESET_MS`.
        """
        if (
            now_ms - self.healthy_since_ms > EJECTION_BACKOFF_RESET_MS
            and self.healthy_since_ms
        ):
            self.ejection_ms = FIRST_EJECTION_MS
        self.healthy_since_ms = 0
        self.halls = halls
        self.score = score
        self.set_standing(ServerStanding.EJECTED, now_ms, now_ms + self.ejection_ms)
        self.ejection_ms = min(self.ejection_ms * 2, MAX_EJECTION_MS)
