"""Messages about requests under which servers ended, and the rulings on them."""

from cinderway._ids import RequestDigest, ServerName
from cinderway.poison._ruling import RequestStanding, Ruling
from cinderway.wire import PackedMessage, PackedRow


class EndedRun(PackedRow, frozen=True):
    """A server run, from one start of the server, that ended while it ran a request."""

    digest: RequestDigest
    server: ServerName


class RequestRuns(PackedMessage, frozen=True):
    """An entry's observations of requests under which servers ended.

    `good` holds the requests that a server answered well although other servers ended
    under them.
    """

    ended: list[EndedRun]
    good: list[RequestDigest]


class RequestRuling(PackedRow, frozen=True):
    """A ruling in a form independent of the sender's clock; see `Ruling`."""

    digest: RequestDigest
    standing: RequestStanding
    round_number: int
    left_ms: int
    since_ago_ms: int
    servers: list[ServerName]
    refusals: int

    @classmethod
    def from_ruling(cls, ruling: Ruling, now_ms: int) -> "RequestRuling":
        """Return the row that carries a ruling to another process."""
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
        """Return the ruling given to `from_ruling`, with times by the local clock."""
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
    """The sender's rulings: requests that are watched, refused, barred or cleared."""

    lines: list[RequestRuling]
