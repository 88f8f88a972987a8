"""Poison requests, those that crash backend servers, as one entry knows them.

Part of the blackboard: request handling records here how runs ended and asks whether a
request may be sent; what other processes report is applied here too.
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
    RequestStanding,
    Ruling,
)

logger = logging.getLogger(__name__)

# Requests whose last good answer is remembered: those of 13 s at 79 requests/s, the
# rate that an entry is planned to handle in future.
ANSWERED_LIMIT = 1_024
# Runs that wait to be reported, and items in one report; the newest are kept.
REPORT_LIMIT = 256


@dataclass
class PoisonWatch:
    """Tracks requests during which servers ended, and what is still to be reported."""

    tally: PoisonTally = field(default_factory=PoisonTally)
    # Called whenever a request begins to be refused.
    on_refusal: Callable[[], None] | None = None
    # Called with the server and the reporting of a broken run; reports it once the
    # server, and not this entry's own connections, is known to have broken it.
    defer: Callable[[ServerName, Callable[[], None]], None] | None = None
    has_changes: anyio.Event = field(default_factory=anyio.Event)
    _unreported_ends: deque[EndedRun] = field(
        default_factory=lambda: deque(maxlen=REPORT_LIMIT)
    )
    _unreported_good: dict[RequestDigest, None] = field(default_factory=dict)
    # When each request last got a good answer here, oldest first.
    _answered_at_ms: dict[RequestDigest, int] = field(default_factory=dict)

    def find_refusal(self, digest: RequestDigest) -> Ruling | None:
        """Return the ruling that forbids sending a request; None if there is none."""
        ruling = self.tally.ruling_of(digest, monotonic_ms())
        return None if ruling.standing.is_sent else ruling

    def can_be_repeated(self, digest: RequestDigest) -> bool:
        """Whether this entry may send a request again that may have run already.

        It may not while the request is watched, so that a request that crashes servers
        costs one server fewer.
        """
        standing = self.tally.standing_of(digest, monotonic_ms())
        return standing.is_sent and standing is not RequestStanding.WATCHED

    def record_broken_run(self, digest: RequestDigest, server: ServerName) -> None:
        """Record that a server ended while it was running a request."""
        self._handle_ruling(self.tally.record_end(digest, server, monotonic_ms()))
        end = EndedRun(digest, server)
        if self.defer is None:
            self._queue_end(end)
        else:
            self.defer(server, lambda: self._queue_end(end))

    def _queue_end(self, end: EndedRun) -> None:
        self._unreported_ends.append(end)
        self.has_changes.set()

    def record_good_answer(self, digest: RequestDigest) -> None:
        """Record that a server gave a good answer to a request."""
        now_ms = monotonic_ms()
        self._answered_at_ms.pop(digest, None)
        if len(self._answered_at_ms) >= ANSWERED_LIMIT:
            self._answered_at_ms.pop(next(iter(self._answered_at_ms)))
        self._answered_at_ms[digest] = now_ms
        if self.tally.is_tracked(digest):
            self._queue_good_answer(digest, now_ms)

    def pop_runs(self) -> RequestRuns:
        """Return the runs to report since the last call."""
        ended = list(self._unreported_ends)
        self._unreported_ends.clear()
        good, self._unreported_good = list(self._unreported_good)[-REPORT_LIMIT:], {}
        # An event that is not set may have waiters: it must not be replaced.
        if self.has_changes.is_set():
            self.has_changes = anyio.Event()
        return RequestRuns(ended, good)

    def requeue(self, runs: RequestRuns) -> None:
        """Queue runs again whose report could not be sent."""
        since = list(self._unreported_ends)
        self._unreported_ends.clear()
        self._unreported_ends.extend(runs.ended + since)
        self._unreported_good = dict.fromkeys(runs.good) | self._unreported_good
        self.has_changes.set()

    def rulings(self) -> RequestRulings:
        """Return the current rulings, for a replica that may not know them."""
        now_ms = monotonic_ms()
        held = self.tally.rulings(now_ms)[-REPORT_LIMIT:]
        return RequestRulings(
            [RequestRuling.from_ruling(ruling, now_ms) for ruling in held]
        )

    def receive_runs(self, runs: RequestRuns) -> None:
        """Apply the runs that another entry reported."""
        for ruling in self.tally.record_runs(runs, monotonic_ms()):
            self._handle_ruling(ruling)

    def receive_rulings(self, reported: RequestRulings) -> None:
        """Apply the rulings of a replica or of another entry."""
        for ruling in self.tally.apply_rulings(reported, monotonic_ms()):
            self._handle_ruling(ruling)

    def _handle_ruling(self, ruling: Ruling | None) -> None:
        """Log a new ruling, or contradict it if this entry had a good answer since."""
        if ruling is None:
            return
        answered_at_ms = self._answered_at_ms.get(ruling.digest)
        is_restrictive = ruling.standing in (
            RequestStanding.WATCHED,
            RequestStanding.REFUSED,
        )
        if is_restrictive and answered_at_ms is not None:
            # Reads that callers repeat all the time are in flight on every server that
            # ends: they would be refused together with the request that ends it.
            if answered_at_ms >= ruling.since_ms:
                self._queue_good_answer(ruling.digest, monotonic_ms())
                return
        logger.info("%s", ruling)
        if not ruling.standing.is_sent and self.on_refusal is not None:
            self.on_refusal()

    def _queue_good_answer(self, digest: RequestDigest, now_ms: int) -> None:
        self.tally.record_good(digest, now_ms)
        self._unreported_good[digest] = None
        self.has_changes.set()
