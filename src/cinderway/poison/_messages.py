"""What processes tell each other of requests under which servers ended."""

from cinderway._ids import RequestDigest, ServerName
from cinderway.poison._ruling import Ruling, Standing
from cinderway.wire import PackedMessage, PackedRow


class EndedRun(PackedRow, frozen=True):
    """One start of a server that ended while it had a request."""

    digest: RequestDigest
    server: ServerName


class RequestRuns(PackedMessage, frozen=True):
    """What an entry saw of requests under which servers end.

    `good` are those that a server answered well although others ended under them.
    """

    ended: list[EndedRun]
    good: list[RequestDigest]


class RequestRuling(PackedRow, frozen=True):
    """How one request stands, and for how long; see `Ruling`."""

    digest: RequestDigest
    standing: Standing
    round_number: int
    left_ms: int
    since_ago_ms: int
    servers: list[ServerName]
    refusals: int

    @classmethod
    def of(cls, ruling: Ruling, now_ms: int) -> "RequestRuling":
        """Return the line that brings a ruling to another process."""
        return cls(
            ruling.digest,
            ruling.standing,
            ruling.round_number,
            ruling.until_ms - now_ms,
            now_ms - ruling.since_ms,
            list(ruling.servers),
            ruling.refusals,
        )

    def ruling(self, now_ms: int) -> Ruling:
        """Return the ruling that `of` made this line from, by the clock here."""
        return Ruling(
            self.digest,
            self.standing,
            self.round_number,
            now_ms + self.left_ms,
            now_ms - self.since_ago_ms,
            tuple(self.servers),
            self.refusals,
        )


class RequestRulings(PackedMessage, frozen=True):
    """Which requests are watched, refused or cleared again."""

    lines: list[RequestRuling]
