"""How operators see and name requests during which backend servers failed."""

import msgspec

from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import RequestDigest, ServerName
from cinderway.poison import DIGEST_BYTES, Ruling

# The HTTP path at which control lists these requests.
REFUSALS_PATH = "/v1/refusals"


class RefusalRow(msgspec.Struct, frozen=True):
    """The standing of one request, as a replica knows it.

    `digest` is the request's digest in hexadecimal digits, as in log lines. `left_ms`
    is how long the standing lasts. `refusals` counts how often the request was refused;
    between two refusals it was allowed to run again.
    """

    digest: str
    standing: str
    left_ms: int
    refusals: int
    servers: list[ServerName]

    @classmethod
    def from_ruling(cls, ruling: Ruling, now_ms: int) -> "RefusalRow":
        """Return the row that shows a ruling to an operator."""
        return cls(
            ruling.digest.hex(),
            ruling.standing.name.lower(),
            ruling.until_ms - now_ms,
            ruling.refusals,
            list(ruling.servers),
        )


def parse_digest(text: str) -> RequestDigest:
    """Return the digest that an operator gave in hexadecimal digits.

    Raises CinderwayError with DIGEST_INVALID.
    """
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
