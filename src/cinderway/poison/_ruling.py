"""Rulings on requests under which servers ended, and their precedence."""

from dataclasses import dataclass
from enum import IntEnum

from cinderway._ids import RequestDigest, ServerName


class RequestStanding(IntEnum):
    """The status of a request.

    Of two rulings with the same round number the one with the higher value prevails.
    """

    # There is no ruling on it.
    UNKNOWN = 0
    # Two servers ended under it: entries send it, but do not retry it.
    WATCHED = 1
    # It is not sent to servers.
    REFUSED = 2
    # A server answered it well after others had ended, so it was not the cause.
    CLEARED = 3
    # An operator has refused it, and good answers do not clear it.
    BARRED = 4

    @property
    def is_sent(self) -> bool:
        """Whether requests with this standing are sent to servers."""
        return self not in (RequestStanding.REFUSED, RequestStanding.BARRED)


@dataclass(frozen=True)
class Ruling:
    """A request's standing until a time on the holder's monotonic clock.

    `round_number` grows with each ruling on the request, whoever makes it, so that
    processes whose clocks differ agree on the newest.
    """

    digest: RequestDigest
    standing: RequestStanding
    round_number: int
    until_ms: int
    # When the first of the servers ended on which the ruling is based.
    since_ms: int
    servers: tuple[ServerName, ...] = ()
    # Number of refusals in a row, including this ruling; an expiry in between, after
    # which the request was sent again, does not reset it.
    refusals: int = 0

    def __str__(self) -> str:
        """Return the text of its log line."""
        servers = ",".join(self.servers) or "none"
        return (
            f"request with digest {self.digest.hex()} is "
            f"{self.standing.name.lower()}; servers that ended under it: {servers}"
        )

    @property
    def rank(self) -> tuple[int, RequestStanding]:
        """The precedence of the ruling: that with the highest rank is in force."""
        return (self.round_number, self.standing)


NO_RULING = Ruling(RequestDigest(b""), RequestStanding.UNKNOWN, 0, 0, 0)
