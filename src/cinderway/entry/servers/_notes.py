"""What an entry notes of a request on its way: on the board, in figures and in the log.

What a server's answer says of the server itself is taken over here, whatever becomes of
the request.
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
from cinderway.pushback import NO_WORDS, ServerWords, Turn

logger = logging.getLogger(__name__)

SERVER_ERROR = 500


@dataclass(frozen=True)
class Sending:
    """One request on its way to the server that was chosen for it."""

    service: ServiceState
    server: ServerState
    attempt: Attempt
    attempt_id: AttemptId
    turn: Turn

    def __str__(self) -> str:
        """Return the server as log lines name it."""
        return f"backend server {self.server.row.name} of {self.service.row.name}"


@dataclass
class Notes:
    """Takes note for one entry."""

    board: Blackboard
    evidence: EvidenceLog
    metrics: Metrics

    def send(self, server: ServerState, now_ms: int) -> None:
        """Count a request at once, before the server's next answer tells of it."""
        if server.tells_load:
            load = server.told_load_at(now_ms) + 1 / server.row.slots
            server.note_load(load, now_ms)
        server.begin_request()
        self._tell_load(server)

    def end(self, server: ServerState) -> None:
        """Count a request that is over, however it ended."""
        server.end_request()
        self._tell_load(server)

    def head(self, sending: Sending, answer: BackendAnswer, now_ms: int) -> None:
        """Take over what an answer's head says of its server."""
        server = sending.server
        words = answer.words(wall_clock_ms())
        if words is not NO_WORDS:
            self._words(sending, words, now_ms)
        is_good = answer.status < SERVER_ERROR and not answer.is_shed
        # What failed or was not run may leave out what the server would say.
        self.board.limits.note(
            server.row.name, server.pushback, words, now_ms, ends_without=is_good
        )
        if is_good and self.board.on_good_answer is not None:
            self.board.on_good_answer(server.row.name)
        reported = parse_load(answer.header(answer.names.load))
        if reported is not None:
            server.note_load(reported, now_ms)
            self._tell_load(server)

    def shed(self, sending: Sending, answer: BackendAnswer, now_ms: int) -> None:
        """Note that a server turned a request away, and let the hall know."""
        server = sending.server
        self.metrics.count("sheds_total", {"service": sending.service.row.name})
        logger.info(
            "%s turned request %s away: status %d, %d requests of this entry there; "
            "nothing goes there for %d ms",
            sending,
            sending.attempt_id,
            answer.status,
            server.in_flight,
            max(server.pause_until_ms, server.pushback.backoff_until_ms) - now_ms,
        )
        if self.board.on_turned_away is not None:
            self.board.on_turned_away(server.row.name)

    def held_back(self, sending: Sending, error: CinderwayError) -> None:
        """Note that a request was not written to the server chosen for it."""
        labels = {"service": sending.service.row.name, "reason": error.code.value}
        self.metrics.count("held_back_total", labels)
        logger.info(
            "request %s was not written to %s: %s",
            sending.attempt_id,
            sending,
            error.detail,
        )

    def _words(self, sending: Sending, words: ServerWords, now_ms: int) -> None:
        """Take over what a server asked for, and log it where it is new."""
        server = sending.server
        if words.is_leaving and not server.pushback.leaves(now_ms):
            logger.info("%s says that it leaves", sending)
        if words.backoff_ms is not None:
            labels = {"service": sending.service.row.name}
            self.metrics.count("rests_total", labels)
            self.metrics.observe("rest_seconds", words.backoff_ms / 1000, labels)
            logger.info(
                "%s asked this entry for %d ms of rest", sending, words.backoff_ms
            )
        self.board.pushback.note(server.row.name, server.pushback, words, now_ms)
        if words.is_leaving:
            self.evidence.drain_seen(sending.attempt)

    def _tell_load(self, server: ServerState) -> None:
        if self.board.on_load is not None:
            self.board.on_load(server.row.name)
