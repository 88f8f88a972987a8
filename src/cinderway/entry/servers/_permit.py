"""Permission to send one request to backend servers."""

from cinderway._errors import CinderwayError
from cinderway._ids import RequestDigest, ServerName

# The digest of a request that is not known; no real digest equals it.
UNKNOWN_DIGEST = RequestDigest(b"")


class Permit:
    """Permission to send a request; is informed of the results of its runs.

    This base class permits every request. `digest` is shared by all repeats of the
    request.
    """

    digest: RequestDigest = UNKNOWN_DIGEST

    @property
    def is_valid(self) -> bool:
        """Whether the request may still be sent."""
        return self.refusal() is None

    def refusal(self) -> CinderwayError | None:
        """Return the error if the request may no longer be sent, else None.

        The error's step is QUEUE, because a request that waits for a slot has not
        reached any server.
        """
        return None

    async def acquire_rerun(self) -> bool:
        """Pay for resending a request that may have run; return False if refused."""
        return True

    def record_failed_run(self, server: ServerName, run_ms: int) -> None:
        """Record that a connection broke while the server had the request."""

    def record_successful_run(self) -> None:
        """Record that a server answered the request successfully."""


UNLIMITED = Permit()
