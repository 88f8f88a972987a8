"""Count the servers that ended under each request, and rule on it. Pure.

All that a server has under way ends with it, so one end says little of a request, and
two innocent ones in a row are seen in a bad minute. Three are hardly chance, and a good
answer in between clears a request of all.
"""

from dataclasses import dataclass, field

from cinderway._ids import RequestDigest, ServerName
from cinderway.poison._messages import RequestRulings, RequestRuns
from cinderway.poison._ruling import NO_RULING, Ruling, Standing

ENDS_TO_WATCH = 2
# Source: the users bear three ends, and three sends of the request after them.
ENDS_TO_REFUSE = 3
# Ends further apart are not counted together: callers have long given up by then.
REMEMBERED_MS = 600_000
# Longer than a caller asks again by itself. Each further refusal lasts twice as long,
# and comes with the first server that ends: such a chance costs one.
REFUSED_FOR_MS = 600_000
MAX_DOUBLINGS = 7
# An operator who has forgotten one looks again by then.
BARRED_FOR_MS = 24 * 3_600_000
# News of the ends before is over by then.
CLEARED_FOR_MS = 5_000
# Requests that are held, with and without a ruling: more than a data hall's servers
# have under way when it loses power. The oldest go first.
MAX_TRACKED_REQUESTS = 4_096


@dataclass
class _SuspectRequest:
    """The servers that ended under a request since it was last ruled on for good."""

    ended_at_ms: dict[ServerName, int] = field(default_factory=dict)

    def forget_before(self, at_ms: int) -> None:
        self.ended_at_ms = {
            server: ended_at_ms
            for server, ended_at_ms in self.ended_at_ms.items()
            if ended_at_ms >= at_ms
        }


class PoisonTally:
    """What one process knows of requests under which servers ended."""

    def __init__(self):
        # Both in the order in which they last changed.
        self._suspects: dict[RequestDigest, _SuspectRequest] = {}
        self._rulings: dict[RequestDigest, Ruling] = {}

    def note_end(
        self, digest: RequestDigest, server: ServerName, now_ms: int
    ) -> Ruling | None:
        """Note that a server ended under a request; return the ruling if it is new.

        `server` stands for one start of a server: it counts once.
        """
        held = self._last_ruling(digest, now_ms)
        if not held.standing.is_sent and now_ms < held.until_ms:
            # It was under way there when it was refused.
            return None
        suspect = self._suspects.pop(digest, None) or _SuspectRequest()
        suspect.forget_before(now_ms - REMEMBERED_MS)
        suspect.ended_at_ms.setdefault(server, now_ms)
        _insert_newest(self._suspects, digest, suspect)
        standing = _standing_after(len(suspect.ended_at_ms), held)
        if standing is held.standing and now_ms < held.until_ms:
            return None
        if standing is Standing.UNKNOWN:
            return None
        return self._make_ruling(digest, standing, suspect, held, now_ms)

    def note_good(self, digest: RequestDigest, now_ms: int) -> Ruling | None:
        """Note that a server answered a request well; return the ruling if it is new.

        Without a ruling so far its earlier ends count no longer.
        """
        suspect = self._suspects.pop(digest, None)
        held = self._last_ruling(digest, now_ms)
        if held.standing not in (Standing.WATCHED, Standing.REFUSED):
            return None
        cleared = suspect or _SuspectRequest()
        return self._make_ruling(digest, Standing.CLEARED, cleared, held, now_ms)

    def bar(self, digest: RequestDigest, now_ms: int) -> Ruling:
        """Refuse a request on an operator's word; return the ruling."""
        suspect = self._suspects.get(digest) or _SuspectRequest()
        held = self._last_ruling(digest, now_ms)
        return self._make_ruling(digest, Standing.BARRED, suspect, held, now_ms)

    def lift(self, digest: RequestDigest, now_ms: int) -> Ruling:
        """Clear a request on an operator's word; return the ruling."""
        suspect = self._suspects.pop(digest, None) or _SuspectRequest()
        held = self._last_ruling(digest, now_ms)
        return self._make_ruling(digest, Standing.CLEARED, suspect, held, now_ms)

    def learn(self, ruling: Ruling, now_ms: int) -> bool:
        """Take over another process's ruling if it is newer; say whether it was."""
        held = self._last_ruling(ruling.digest, now_ms)
        if ruling.rank <= held.rank or ruling.until_ms <= now_ms:
            return False
        self._store_ruling(ruling)
        if ruling.standing is Standing.CLEARED:
            self._suspects.pop(ruling.digest, None)
        return True

    def note_runs(self, runs: RequestRuns, now_ms: int) -> list[Ruling]:
        """Note what an entry saw; return the rulings that are new."""
        found = [self.note_end(run.digest, run.server, now_ms) for run in runs.ended]
        found += [self.note_good(digest, now_ms) for digest in runs.good]
        return [ruling for ruling in found if ruling is not None]

    def learn_all(self, told: RequestRulings, now_ms: int) -> list[Ruling]:
        """Take over another process's rulings; return those that were newer."""
        rulings = [line.ruling(now_ms) for line in told.lines]
        return [ruling for ruling in rulings if self.learn(ruling, now_ms)]

    def standing_of(self, digest: RequestDigest, now_ms: int) -> Standing:
        """Return how a request stands."""
        return self.ruling_of(digest, now_ms).standing

    def ruling_of(self, digest: RequestDigest, now_ms: int) -> Ruling:
        """Return the ruling in force; NO_RULING without one."""
        held = self._rulings.get(digest, NO_RULING)
        return held if now_ms < held.until_ms else NO_RULING

    def is_known(self, digest: RequestDigest) -> bool:
        """Whether a good answer to the request would say something."""
        return digest in self._suspects or digest in self._rulings

    def rulings(self, now_ms: int) -> list[Ruling]:
        """Return the rulings in force, the newest last."""
        return [r for r in self._rulings.values() if now_ms < r.until_ms]

    def _last_ruling(self, digest: RequestDigest, now_ms: int) -> Ruling:
        """Return the last ruling, also one that is over, as long as it still counts."""
        held = self._rulings.get(digest, NO_RULING)
        if now_ms < held.until_ms:
            return held
        is_retrial = held.standing is Standing.REFUSED
        if is_retrial and now_ms < held.until_ms + REMEMBERED_MS:
            return held
        self._rulings.pop(digest, None)
        return NO_RULING

    def _make_ruling(
        self,
        digest: RequestDigest,
        standing: Standing,
        suspect: _SuspectRequest,
        held: Ruling,
        now_ms: int,
    ) -> Ruling:
        refusals = held.refusals + 1 if standing is Standing.REFUSED else 0
        ruling = Ruling(
            digest,
            standing,
            held.round_number + 1,
            now_ms + _ruling_duration_ms(standing, refusals),
            min(suspect.ended_at_ms.values(), default=now_ms),
            tuple(suspect.ended_at_ms),
            refusals,
        )
        if standing is Standing.REFUSED:
            # After its time one more end is enough.
            self._suspects.pop(digest, None)
        self._store_ruling(ruling)
        return ruling

    def _store_ruling(self, ruling: Ruling) -> None:
        self._rulings.pop(ruling.digest, None)
        _insert_newest(self._rulings, ruling.digest, ruling)


def _standing_after(ends: int, held: Ruling) -> Standing:
    """Return how a request stands after so many ends, by the last ruling on it."""
    if held.refusals or ends >= ENDS_TO_REFUSE:
        return Standing.REFUSED
    return Standing.WATCHED if ends >= ENDS_TO_WATCH else Standing.UNKNOWN


def _ruling_duration_ms(standing: Standing, refusals: int) -> int:
    match standing:
        case Standing.REFUSED:
            return REFUSED_FOR_MS * 2 ** min(refusals - 1, MAX_DOUBLINGS)
        case Standing.BARRED:
            return BARRED_FOR_MS
        case Standing.CLEARED:
            return CLEARED_FOR_MS
    return REMEMBERED_MS


def _insert_newest(held: dict, digest: RequestDigest, value: object) -> None:
    """Add a value as the newest; where there are too many the oldest goes."""
    if len(held) >= MAX_TRACKED_REQUESTS:
        held.pop(next(iter(held)))
    held[digest] = value
