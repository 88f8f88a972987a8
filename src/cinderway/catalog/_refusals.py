"""What operators see of requests under which servers ended."""

import msgspec

from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import RequestDigest, ServerName
from cinderway.poison import DIGEST_BYTES, Ruling

REFUSALS_PATH = "/v1/refusals"


class RefusalRow(msgspec.Struct, frozen=True):
    """One request's standing, as a replica knows it.

    `digest` is the one of the log lines, as hexadecimal digits; `refusals` counts the
    times that it was refused, with chances in between.
    """

    digest: str
    standing: str
    left_ms: int
    refusals: int
    servers: list[ServerName]

    @classmethod
    def of(cls, ruling: Ruling, now_ms: int) -> "RefusalRow":
        """Return the row that tells an operator of a ruling."""
        return cls(
            ruling.digest.hex(),
            ruling.standing.name.lower(),
            ruling.until_ms - now_ms,
            ruling.refusals,
            list(ruling.servers),
        )


def parse_digest(text: str) -> RequestDigest:
    """Return the digest that an operator names; raises CinderwayError."""
    try:
        found = bytes.fromhex(text)
    except ValueError:
        found = b""
    if len(found) != DIGEST_BYTES:
        raise CinderwayError(
            ErrorCode.DIGEST_INVALID,
            f"given {text!r}; allowed: {2 * DIGEST_BYTES} hexadecimal digits",
            step=Step.RECEIVE,
        )
    return RequestDigest(found)
