"""Which servers' queues admit a request's class of work, by what this entry knows.

Without other classes beside it, every queue admits a request, and the service's pace
stands for the class's.
"""

from dataclasses import dataclass

from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway.entry._blackboard import Blackboard, ServiceState
from cinderway.judgement import EvidenceLog, Pace
from cinderway.routing import Candidate, Penalties
from cinderway.scheduling import (
    NO_BOUND,
    QueueAdmits,
    QueueBound,
    QueueRefuses,
    WorkClass,
    WorkMix,
    WorkTime,
)

# A request whose class no queue admits is held for this share of its objective, during
# which a queue may become shorter. Being refused later costs its caller more.
HOLD_SHARE = 1 / 8
# Loads that other entries report do not wake a request that is held.
HOLD_POLL_MS = 20


class QueueBoundError(CinderwayError):
    """No server's queue admits the request's class of work at the moment."""


@dataclass
class ClassBounds:
    """The queue bounds and times of classes of work, for the requests of one entry."""

    board: Blackboard
    evidence: EvidenceLog

    def record_asked(
        self, work: WorkClass | None, now_ms: int, objective_at_ms: int | None
    ) -> int:
        """Record a new request; return until when it is held if no queue admits it.

        The hold counts from the request's arrival, so that the time it has waited for
        its body, for a token or at a server that held it back is part of it.
        """
        mix = self._find_mix(work)
        if mix is None:
            return now_ms
        mix.record_asked(work, now_ms)
        hold_ms = round(work.objective_ms * HOLD_SHARE)
        if objective_at_ms is None:
            return now_ms
        return min(objective_at_ms - work.objective_ms, now_ms) + hold_ms

    def record_served(self, work: WorkClass | None) -> None:
        """Record that a server was found for a new request."""
        mix = self._find_mix(work)
        if mix is not None:
            mix.record_served(work)

    def decide(
        self, service: ServiceState, candidate: Candidate, work: WorkClass | None
    ) -> QueueAdmits | QueueRefuses:
        """Decide whether a server's queue admits one more request of a class."""
        return _decide_on(self._build_bound(service, work), candidate)

    def filter_admitting(
        self,
        service: ServiceState,
        candidates: list[Candidate],
        refused: Candidate,
        work: WorkClass | None,
        penalties: Penalties,
    ) -> list[Candidate]:
        """Return the candidates that can stand in for one whose queue is too long.

        A suspect server is no way out unless it would also have been preferred to the
        refused one: it looks idle because it fails its requests.
        """
        bound = self._build_bound(service, work)
        return [
            candidate
            for candidate in candidates
            if isinstance(_decide_on(bound, candidate), QueueAdmits)
            and _is_no_more_suspect(candidate, refused, penalties)
        ]

    def find_work_time(self, service: ServiceState, work: WorkClass | None) -> WorkTime:
        """Return the time that a request and the queue before it take."""
        mix = self._find_mix(work)
        own = mix.find_work_time(work) if mix is not None else None
        return own or WorkTime(self.evidence.pace(service.row.name).usual_ms)

    def find_pace(self, service: ServiceState, work: WorkClass | None) -> Pace:
        """Return the pace of a class of work, or else of its service."""
        mixed = self.board.find_mixed_class(work)
        return self.evidence.pace(service.row.name, mixed)

    def find_service_time_ms(
        self, service: ServiceState, work: WorkClass | None
    ) -> float:
        """Return how long responses to requests of a class lately took."""
        factor = self.evidence.class_factor(self.board.find_mixed_class(work))
        return service.admission.service_time_ms * factor

    def _build_bound(self, service: ServiceState, work: WorkClass | None) -> QueueBound:
        mix = self._find_mix(work)
        if mix is None:
            return NO_BOUND
        usual_ms = self.evidence.pace(service.row.name).usual_ms
        return mix.build_bound(work, usual_ms)

    def _find_mix(self, work: WorkClass | None) -> WorkMix | None:
        return None if work is None else self.board.mixes.get(work.service)


def build_bound_error(work: WorkClass, decision: QueueRefuses) -> QueueBoundError:
    """Build the rejection of a request that no server's queue admits."""
    inputs = decision.inputs
    return QueueBoundError(
        ErrorCode.QUEUE_FULL,
        f"servers of {work.service} have no room for route {work.route} of priority "
        f"{work.priority}: {decision.reason.value}; the load of the best server is "
        f"{inputs.load:.1f} times its slots, as known {inputs.age_ms} ms ago, up to "
        f"{inputs.limit:.1f} is admitted",
        step=Step.QUEUE,
    )


def _decide_on(bound: QueueBound, candidate: Candidate) -> QueueAdmits | QueueRefuses:
    return bound.decide(candidate.next_load, candidate.slots, candidate.load_age_ms)


def _is_no_more_suspect(
    candidate: Candidate, other: Candidate, penalties: Penalties
) -> bool:
    """Whether a candidate is no more suspect than another, or so idle as to make up."""
    excess = candidate.suspicion - other.suspicion
    loss = penalties.suspect * excess
    return excess <= 0 or candidate.next_load + loss <= other.next_load
