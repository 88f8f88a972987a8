"""What is held of one request, and whose word counts where two differ. Pure."""

from dataclasses import dataclass
from enum import IntEnum

from cinderway._ids import RequestDigest, ServerName


class Standing(IntEnum):
    """How a request stands; of two rulings of one round the later one here counts."""

    # Nothing speaks against it.
    UNKNOWN = 0
    # Two servers ended under it: it is sent, but not a second time by one entry.
    WATCHED = 1
    # It is not sent.
    REFUSED = 2
    # A server answered it well after others had ended: it was not to blame.
    CLEARED = 3
    # An operator refuses it, whatever is answered.
    BARRED = 4

    @property
    def is_sent(self) -> bool:
        """Whether such a request goes to servers."""
        return self not in (Standing.REFUSED, Standing.BARRED)


@dataclass(frozen=True)
class Ruling:
    """A request's standing until a time on the holder's monotonic clock.

    `round_number` grows with each ruling on the request, whoever makes it, so that
    processes whose clocks differ agree on the newest.
    """

    digest: RequestDigest
    standing: Standing
    round_number: int
    until_ms: int
    # When the first of the servers ended that it was made by.
    since_ms: int
    servers: tuple[ServerName, ...] = ()
    # How often it was refused, this time included; its chances in between count.
    refusals: int = 0

    def __str__(self) -> str:
        """Return the text of its log line."""
        servers = ",".join(self.servers) or "none"
        return (
            f"request with digest {self.digest.hex()} is "
            f"{self.standing.name.lower()}; servers that ended under it: {servers}"
        )

    @property
    def rank(self) -> tuple[int, Standing]:
        """The ruling with the highest is in force."""
        return (self.round_number, self.standing)


NO_RULING = Ruling(RequestDigest(b""), Standing.UNKNOWN, 0, 0, 0)
