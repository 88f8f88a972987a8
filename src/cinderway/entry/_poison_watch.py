"""What an entry knows of requests that end servers, and what it has to tell of them.

Part of the blackboard: callers' requests note how their runs ended and ask whether they
may be sent; what others tell comes in here, too.
"""

import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from cinderway._clock import monotonic_ms
from cinderway._ids import RequestDigest, ServerName
from cinderway.poison import (
    EndedRun,
    PoisonTally,
    RequestRuling,
    RequestRulings,
    RequestRuns,
    Ruling,
    Standing,
)

logger = logging.getLogger(__name__)

# Good answers that are remembered: those of 13 s at the 79 requests/s that an entry is
# to bear one day.
ANSWERED_LIMIT = 1_024
# That wait to be told, and of one telling; the newest are kept.
TOLD_LIMIT = 256


@dataclass
class PoisonWatch:
    """Requests under which servers ended, as this entry knows them."""

    tally: PoisonTally = field(default_factory=PoisonTally)
    # Told of each request that is refused from now on.
    on_refusal: Callable[[], None] | None = None
    has_news: anyio.Event = field(default_factory=anyio.Event)
    _ended: deque[EndedRun] = field(default_factory=lambda: deque(maxlen=TOLD_LIMIT))
    _good: dict[RequestDigest, None] = field(default_factory=dict)
    # When each request was answered well here last, oldest first.
    _answered_at_ms: dict[RequestDigest, int] = field(default_factory=dict)

    def refusal_of(self, digest: RequestDigest) -> Ruling | None:
        """Return why a request is not sent; None if it may be."""
        ruling = self.tally.ruling_of(digest, monotonic_ms())
        return None if ruling.standing.is_sent else ruling

    def may_be_repeated(self, digest: RequestDigest) -> bool:
        """Whether this entry may send a request that may have run once more.

        So one that may end servers costs one fewer of them.
        """
        standing = self.tally.standing_of(digest, monotonic_ms())
        return standing.is_sent and standing is not Standing.WATCHED

    def note_broken(self, digest: RequestDigest, server: ServerName) -> None:
        """Note that a server ended while it had a request."""
        self._ended.append(EndedRun(digest, server))
        self._note_ruling(self.tally.note_end(digest, server, monotonic_ms()))
        self.has_news.set()

    def note_good(self, digest: RequestDigest) -> None:
        """Note that a server answered a request well."""
        now_ms = monotonic_ms()
        self._answered_at_ms.pop(digest, None)
        if len(self._answered_at_ms) >= ANSWERED_LIMIT:
            self._answered_at_ms.pop(next(iter(self._answered_at_ms)))
        self._answered_at_ms[digest] = now_ms
        if self.tally.is_known(digest):
            self._tell_good(digest, now_ms)

    def take_runs(self) -> RequestRuns:
        """Return what is to be told since the last call."""
        ended = list(self._ended)
        self._ended.clear()
        good, self._good = list(self._good)[-TOLD_LIMIT:], {}
        # One that is not set yet may be waited for by another task: it must stay.
        if self.has_news.is_set():
            self.has_news = anyio.Event()
        return RequestRuns(ended, good)

    def put_back(self, runs: RequestRuns) -> None:
        """Tell later what could not be told now."""
        since = list(self._ended)
        self._ended.clear()
        self._ended.extend(runs.ended + since)
        self._good = dict.fromkeys(runs.good) | self._good
        self.has_news.set()

    def rulings(self) -> RequestRulings:
        """Return what a replica that is followed anew may not know."""
        now_ms = monotonic_ms()
        held = self.tally.rulings(now_ms)[-TOLD_LIMIT:]
        return RequestRulings([RequestRuling.of(ruling, now_ms) for ruling in held])

    def hear_runs(self, runs: RequestRuns) -> None:
        """Take over what another entry saw."""
        for ruling in self.tally.note_runs(runs, monotonic_ms()):
            self._note_ruling(ruling)

    def hear_rulings(self, told: RequestRulings) -> None:
        """Take over what a replica or another entry holds of requests."""
        for ruling in self.tally.learn_all(told, monotonic_ms()):
            self._note_ruling(ruling)

    def _note_ruling(self, ruling: Ruling | None) -> None:
        """Object to a ruling that a good answer here contradicts."""
        if ruling is None:
            return
        answered_at_ms = self._answered_at_ms.get(ruling.digest)
        is_accused = ruling.standing in (Standing.WATCHED, Standing.REFUSED)
        if is_accused and answered_at_ms is not None:
            # Reads that are asked for all the time are on each server that ends: they
            # would be refused with the request that ends it.
            if answered_at_ms >= ruling.since_ms:
                self._tell_good(ruling.digest, monotonic_ms())
                return
        logger.info("%s", ruling)
        if not ruling.standing.is_sent and self.on_refusal is not None:
            self.on_refusal()

    def _tell_good(self, digest: RequestDigest, now_ms: int) -> None:
        self.tally.note_good(digest, now_ms)
        self._good[digest] = None
        self.has_news.set()
