"""Permission to send a request, unless it is known to crash backend servers."""

import logging
from dataclasses import dataclass

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError, ErrorCode, RetryLaterError, Step
from cinderway._ids import AttemptId, RequestDigest, ServerName
from cinderway._operators import Metrics
from cinderway.entry._poison_watch import PoisonWatch
from cinderway.entry.servers._permit import UNKNOWN_DIGEST, Permit
from cinderway.poison import Ruling

logger = logging.getLogger(__name__)


class PoisonError(RetryLaterError):
    """The request is refused for now, because servers end while they run it."""

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
    """Permits a request by the fleet's ruling on it, and records how its runs end.

    `origin` labels the counter of broken runs: the name of a route or a service.
    """

    watch: PoisonWatch
    metrics: Metrics
    origin: str = ""
    # Known once the body is read.
    digest: RequestDigest = UNKNOWN_DIGEST
    attempt_id: AttemptId | None = None

    def refusal(self) -> CinderwayError | None:
        """Return why the request may not be sent, or no longer; None if it may."""
        ruling = self.watch.find_refusal(self.digest)
        return None if ruling is None else PoisonError(ruling, monotonic_ms())

    def raise_if_refused(self) -> None:
        """Raise the refusal, if there is one."""
        refusal = self.refusal()
        if refusal is not None:
            raise refusal

    async def acquire_rerun(self) -> bool:
        """Return whether the request can be sent again after it may have run."""
        return self.is_valid and self.watch.can_be_repeated(self.digest)

    def record_failed_run(self, server: ServerName, run_ms: int) -> None:
        """Record that a server's connection broke while it was running the request."""
        self.watch.record_broken_run(self.digest, server)
        self.metrics.count("runs_broken_total", {"route": self.origin})
        logger.info(
            "a run of request %s broke off at %s after %d ms; digest %s",
            self.attempt_id or "unnamed",
            server,
            run_ms,
            self.digest.hex(),
        )

    def record_successful_run(self) -> None:
        """Record that a server answered the request well and thus did not end."""
        self.watch.record_good_answer(self.digest)
