"""Leave to send a request by what is known of the servers that ended under it."""

import logging
from dataclasses import dataclass

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError, ErrorCode, RefusedForNowError, Step
from cinderway._ids import AttemptId, RequestDigest, ServerName
from cinderway._operators import Metrics
from cinderway.entry._poison_watch import PoisonWatch
from cinderway.entry.servers._permit import Permit
from cinderway.poison import Ruling

logger = logging.getLogger(__name__)

# Of a request whose body is not there yet: no request has it.
UNKNOWN_DIGEST = RequestDigest(b"")


class PoisonError(RefusedForNowError):
    """A request that is not sent, since servers end under it, and until when."""

    def __init__(self, ruling: Ruling, now_ms: int):
        super().__init__(
            ErrorCode.REQUEST_ENDS_SERVERS,
            f"the request with digest {ruling.digest.hex()} is "
            f"{ruling.standing.name.lower()}: {len(ruling.servers)} servers ended "
            "while they had it",
            ruling.until_ms - now_ms,
            step=Step.QUEUE,
        )


@dataclass(kw_only=True)
class PoisonPermit(Permit):
    """Leave by what the fleet knows of one request, and what tells it of its runs.

    `origin` is what the counter of broken runs is split by: a route or a service.
    """

    watch: PoisonWatch
    metrics: Metrics
    origin: str = ""
    # What its repeats share; known once the body is there.
    digest: RequestDigest = UNKNOWN_DIGEST
    attempt_id: AttemptId | None = None

    def refusal(self) -> CinderwayError | None:
        """Return why the request may not be sent, or not any longer."""
        ruling = self.watch.refusal_of(self.digest)
        return None if ruling is None else PoisonError(ruling, monotonic_ms())

    def require(self) -> None:
        """Raise the refusal, if there is one."""
        refusal = self.refusal()
        if refusal is not None:
            raise refusal

    async def renew(self) -> bool:
        """Say whether one that may have run can be sent once more."""
        return self.holds and self.watch.may_be_repeated(self.digest)

    def note_broken_run(self, server: ServerName, run_ms: int) -> None:
        """Tell under which request a server's connection broke."""
        self.watch.note_broken(self.digest, server)
        self.metrics.count("runs_broken_total", {"route": self.origin})
        logger.info(
            "a run of request %s broke off at %s after %d ms; digest %s",
            self.attempt_id or "unnamed",
            server,
            run_ms,
            self.digest.hex(),
        )

    def note_good_run(self) -> None:
        """Tell that the request does not end servers."""
        self.watch.note_good(self.digest)
