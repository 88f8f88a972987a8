"""Records the progress of attempts on the blackboard, in metrics and in the log.

Load reports and pushback in a server's response are applied here, whatever the outcome
of the request.
"""

import logging
from dataclasses import dataclass

from cinderway._clock import wall_clock_ms
from cinderway._errors import CinderwayError
from cinderway._ids import AttemptId
from cinderway._operators import Metrics
from cinderway.entry._blackboard import Blackboard, ServerState, ServiceState
from cinderway.entry.servers._load_report import parse_load
from cinderway.entry.servers._messages import BackendAnswer
from cinderway.judgement import Attempt, EvidenceLog
from cinderway.pushback import NO_PUSHBACK, PushbackHeaders, RateToken

logger = logging.getLogger(__name__)

SERVER_ERROR = 500


@dataclass(frozen=True)
class OutgoingAttempt:
    """One attempt of a request, with the server that was chosen for it."""

    service: ServiceState
    server: ServerState
    attempt: Attempt
    attempt_id: AttemptId
    token: RateToken

    def __str__(self) -> str:
        """Return the server's description for log lines."""
        return f"backend server {self.server.row.name} of {self.service.row.name}"


@dataclass
class AttemptRecorder:
    """Records the attempts of one entry."""

    board: Blackboard
    evidence: EvidenceLog
    metrics: Metrics

    def record_sent(self, server: ServerState, now_ms: int) -> None:
        """Count a request at once, before the server's next load report includes it."""
        if server.reports_load:
            load = server.reported_load_at(now_ms) + 1 / server.row.slots
            server.record_load(load, now_ms)
        server.begin_request()
        self._announce_load(server)

    def record_end(self, server: ServerState) -> None:
        """Count the end of a request, whatever its outcome."""
        server.end_request()
        self._announce_load(server)

    def record_head(
        self,
        outgoing: OutgoingAttempt,
        answer: BackendAnswer,
        now_ms: int,
        *,
        is_probe: bool = False,
    ) -> None:
        """Apply the pushback and the load report in a response's headers.

        The answer to a probe does not prove that requests are answered well: servers
        fail most requests for some seconds while their probes succeed.
        """
        server = outgoing.server
        pushback = answer.parse_pushback(wall_clock_ms())
        if pushback is not NO_PUSHBACK:
            self._apply_pushback(outgoing, pushback, now_ms)
        is_good = answer.status < SERVER_ERROR and not answer.is_shed
        # A response to a request that failed or did not run may lack the limit header,
        # so only a good response without the header removes a limit.
        self.board.limits.record_headers(
            server.row.name, server.pushback, pushback, now_ms, ends_without=is_good
        )
        if is_good:
            self._record_good_answer(server, now_ms, is_probe=is_probe)
        reported = parse_load(answer.header(answer.names.load))
        if reported is not None:
            server.record_load(reported, now_ms)
            self._announce_load(server)

    def _record_good_answer(
        self, server: ServerState, now_ms: int, *, is_probe: bool
    ) -> None:
        if not is_probe:
            server.answers.record_own(now_ms)
        if self.board.on_good_answer is not None:
            self.board.on_good_answer(server.row.name)

    def record_shed(
        self, outgoing: OutgoingAttempt, answer: BackendAnswer, now_ms: int
    ) -> None:
        """Record that a server shed a request, and inform the data hall."""
        server = outgoing.server
        self.metrics.count("sheds_total", {"service": outgoing.service.row.name})
        logger.info(
            "%s shed request %s: status %d, %d requests of this entry in flight there; "
            "sending nothing there for %d ms",
            outgoing,
            outgoing.attempt_id,
            answer.status,
            server.in_flight,
            max(server.pause_until_ms, server.pushback.backoff_until_ms) - now_ms,
        )
        if self.board.on_rejection is not None:
            self.board.on_rejection(server.row.name)

    def record_held_back(
        self, outgoing: OutgoingAttempt, error: CinderwayError
    ) -> None:
        """Record that a request was not written to the server chosen for it."""
        labels = {"service": outgoing.service.row.name, "reason": error.code.value}
        self.metrics.count("held_back_total", labels)
        logger.info(
            "request %s was not sent to %s: %s",
            outgoing.attempt_id,
            outgoing,
            error.detail,
        )

    def _apply_pushback(
        self, outgoing: OutgoingAttempt, pushback: PushbackHeaders, now_ms: int
    ) -> None:
        """Apply a server's pushback and log what is new in it."""
        server = outgoing.server
        if pushback.is_leaving and not server.pushback.has_announced_leaving(now_ms):
            logger.info("%s announced that it is leaving", outgoing)
        if pushback.backoff_ms is not None:
            labels = {"service": outgoing.service.row.name}
            self.metrics.count("rests_total", labels)
            self.metrics.observe("rest_seconds", pushback.backoff_ms / 1000, labels)
            logger.info(
                "%s requested a backoff of %d ms from this entry",
                outgoing,
                pushback.backoff_ms,
            )
        self.board.pushback.record_headers(
            server.row.name, server.pushback, pushback, now_ms
        )
        if pushback.is_leaving:
            self.evidence.record_draining(outgoing.attempt)

    def _announce_load(self, server: ServerState) -> None:
        if self.board.on_load_change is not None:
            self.board.on_load_change(server.row.name)
