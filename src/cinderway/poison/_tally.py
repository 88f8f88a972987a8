"""Counts of the servers that ended under each request, and the rulings based on them.

When a server ends, all its requests in flight end with it, so a single end is weak
evidence against any of them. Two ends in a row under a harmless request do occur while
many servers fail. Three are unlikely to be chance. A good answer in between clears the
request of all earlier ends.

The module does no I/O; the time is passed in.
"""

from dataclasses import dataclass, field

from cinderway._ids import RequestDigest, ServerName
from cinderway.poison._messages import RequestRulings, RequestRuns
from cinderway.poison._ruling import NO_RULING, RequestStanding, Ruling

WATCH_THRESHOLD = 2
# The users' requirements tolerate three ended servers, and three more sends of the
# request after those.
REFUSAL_THRESHOLD = 3
# Ends further apart are not counted together, as callers have given up by then.
END_MEMORY_MS = 600_000
# Longer than callers retry automatically. After a refusal has expired, the first server
# that ends under the request leads to another refusal, which lasts twice as long: each
# retrial costs one server.
REFUSED_FOR_MS = 600_000
MAX_DOUBLINGS = 7
# Limits the effect of a bar that an operator has forgotten.
BARRED_FOR_MS = 24 * 3_600_000
# Reports of ends before the good answer have arrived by then.
CLEARED_FOR_MS = 5_000
# Maximum number of tracked requests, separately for those with and without a ruling:
# more than the servers of a data hall have in flight when it loses power. The oldest
# are dropped first.
MAX_TRACKED_REQUESTS = 4_096


@dataclass
class _SuspectRequest:
    """The servers that ended under a request since its last refusal or good answer."""

    ended_at_ms: dict[ServerName, int] = field(default_factory=dict)

    def forget_before(self, at_ms: int) -> None:
        self.ended_at_ms = {
            server: ended_at_ms
            for server, ended_at_ms in self.ended_at_ms.items()
            if ended_at_ms >= at_ms
        }


class PoisonTally:
    """One process's state of the requests under which servers ended."""

    def __init__(self):
        # Both are ordered by the time of the last change, the oldest first.
        self._suspects: dict[RequestDigest, _SuspectRequest] = {}
        self._rulings: dict[RequestDigest, Ruling] = {}

    def record_end(
        self, digest: RequestDigest, server: ServerName, now_ms: int
    ) -> Ruling | None:
        """Record that a server ended under a request; return a new ruling, if any.

        `server` identifies one run of a server, which counts only once.
        """
        held = self._last_ruling(digest, now_ms)
        if not held.standing.is_sent and now_ms < held.until_ms:
            # The request was in flight at the server when it was refused.
            return None
        suspect = self._suspects.pop(digest, None) or _SuspectRequest()
        suspect.forget_before(now_ms - END_MEMORY_MS)
        suspect.ended_at_ms.setdefault(server, now_ms)
        _insert_newest(self._suspects, digest, suspect)
        standing = _standing_after(len(suspect.ended_at_ms), held)
        if standing is held.standing and now_ms < held.until_ms:
            return None
        if standing is RequestStanding.UNKNOWN:
            return None
        return self._make_ruling(digest, standing, suspect, held, now_ms)

    def record_good(self, digest: RequestDigest, now_ms: int) -> Ruling | None:
        """Record a good answer to a request; return a new ruling, if any.

        If there was no ruling, the earlier ends are discarded.
        """
        suspect = self._suspects.pop(digest, None)
        held = self._last_ruling(digest, now_ms)
        if held.standing not in (RequestStanding.WATCHED, RequestStanding.REFUSED):
            return None
        cleared = suspect or _SuspectRequest()
        return self._make_ruling(digest, RequestStanding.CLEARED, cleared, held, now_ms)

    def bar(self, digest: RequestDigest, now_ms: int) -> Ruling:
        """Refuse a request at an operator's command; return the ruling."""
        suspect = self._suspects.get(digest) or _SuspectRequest()
        held = self._last_ruling(digest, now_ms)
        return self._make_ruling(digest, RequestStanding.BARRED, suspect, held, now_ms)

    def lift(self, digest: RequestDigest, now_ms: int) -> Ruling:
        """Clear a request at an operator's command; return the ruling."""
        suspect = self._suspects.pop(digest, None) or _SuspectRequest()
        held = self._last_ruling(digest, now_ms)
        return self._make_ruling(digest, RequestStanding.CLEARED, suspect, held, now_ms)

    def apply_ruling(self, ruling: Ruling, now_ms: int) -> bool:
        """Apply another process's ruling if it is newer; return whether it was."""
        held = self._last_ruling(ruling.digest, now_ms)
        if ruling.rank <= held.rank or ruling.until_ms <= now_ms:
            return False
        self._store_ruling(ruling)
        if ruling.standing is RequestStanding.CLEARED:
            self._suspects.pop(ruling.digest, None)
        return True

    def record_runs(self, runs: RequestRuns, now_ms: int) -> list[Ruling]:
        """Record an entry's observations; return the new rulings."""
        found = [self.record_end(run.digest, run.server, now_ms) for run in runs.ended]
        found += [self.record_good(digest, now_ms) for digest in runs.good]
        return [ruling for ruling in found if ruling is not None]

    def apply_rulings(self, message: RequestRulings, now_ms: int) -> list[Ruling]:
        """Apply another process's rulings; return those that were newer."""
        rulings = [line.ruling(now_ms) for line in message.lines]
        return [ruling for ruling in rulings if self.apply_ruling(ruling, now_ms)]

    def standing_of(self, digest: RequestDigest, now_ms: int) -> RequestStanding:
        """Return the standing of a request."""
        return self.ruling_of(digest, now_ms).standing

    def ruling_of(self, digest: RequestDigest, now_ms: int) -> Ruling:
        """Return the ruling in force, or NO_RULING if there is none."""
        held = self._rulings.get(digest, NO_RULING)
        return held if now_ms < held.until_ms else NO_RULING

    def is_tracked(self, digest: RequestDigest) -> bool:
        """Whether the request is tracked, so that a good answer to it is relevant."""
        return digest in self._suspects or digest in self._rulings

    def rulings(self, now_ms: int) -> list[Ruling]:
        """Return the rulings in force, the newest last."""
        return [r for r in self._rulings.values() if now_ms < r.until_ms]

    def _last_ruling(self, digest: RequestDigest, now_ms: int) -> Ruling:
        """Return the last ruling that still counts, or NO_RULING.

        An expired refusal counts for another `END_MEMORY_MS`.
        """
        held = self._rulings.get(digest, NO_RULING)
        if now_ms < held.until_ms:
            return held
        # The refusal has expired: the request is sent again, on trial.
        is_retrial = held.standing is RequestStanding.REFUSED
        if is_retrial and now_ms < held.until_ms + END_MEMORY_MS:
            return held
        self._rulings.pop(digest, None)
        return NO_RULING

    def _make_ruling(
        self,
        digest: RequestDigest,
        standing: RequestStanding,
        suspect: _SuspectRequest,
        held: Ruling,
        now_ms: int,
    ) -> Ruling:
        refusals = held.refusals + 1 if standing is RequestStanding.REFUSED else 0
        ruling = Ruling(
            digest,
            standing,
            held.round_number + 1,
            now_ms + _ruling_duration_ms(standing, refusals),
            min(suspect.ended_at_ms.values(), default=now_ms),
            tuple(suspect.ended_at_ms),
            refusals,
        )
        if standing is RequestStanding.REFUSED:
            # The earlier ends are not needed: after expiry, one more end is enough.
            self._suspects.pop(digest, None)
        self._store_ruling(ruling)
        return ruling

    def _store_ruling(self, ruling: Ruling) -> None:
        self._rulings.pop(ruling.digest, None)
        _insert_newest(self._rulings, ruling.digest, ruling)


def _standing_after(ends: int, held: Ruling) -> RequestStanding:
    """Return a request's standing after a number of ends, given the last ruling."""
    if held.refusals or ends >= REFUSAL_THRESHOLD:
        return RequestStanding.REFUSED
    return (
        RequestStanding.WATCHED if ends >= WATCH_THRESHOLD else RequestStanding.UNKNOWN
    )


def _ruling_duration_ms(standing: RequestStanding, refusals: int) -> int:
    match standing:
        case RequestStanding.REFUSED:
            return REFUSED_FOR_MS * 2 ** min(refusals - 1, MAX_DOUBLINGS)
        case RequestStanding.BARRED:
            return BARRED_FOR_MS
        case RequestStanding.CLEARED:
            return CLEARED_FOR_MS
    return END_MEMORY_MS


def _insert_newest(held: dict, digest: RequestDigest, value: object) -> None:
    """Insert a value as the newest; at the limit, drop the oldest one."""
    if len(held) >= MAX_TRACKED_REQUESTS:
        held.pop(next(iter(held)))
    held[digest] = value
