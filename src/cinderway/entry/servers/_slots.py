"""Wait for a backend server's free slot, and choose among those that have one.

A request is refused as soon as it is known that no slot will be of use to it: the
servers' queues alone would make its answer late, its time is over, or it may no longer
be sent.
"""

from dataclasses import dataclass

import anyio

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import ServerName
from cinderway.entry._blackboard import Blackboard, ServerState, ServiceState
from cinderway.entry.servers._backends import BackendConnections
from cinderway.entry.servers._candidates import (
    all_candidates,
    drawn_candidates,
    free_servers,
)
from cinderway.entry.servers._holds import (
    can_accept,
    next_open_at_ms,
    pushback_refusal,
)
from cinderway.entry.servers._permit import Permit
from cinderway.judgement import EvidenceLog
from cinderway.limits import expected_answer_ms, is_hopeless, plan_connections
from cinderway.routing import Candidate, Penalties, choose, own_subset


@dataclass(frozen=True)
class WantedSlot:
    """What one request needs of a slot.

    Servers in `exclude` come last: they were tried already. Without `objective_at_ms`
    it is no matter how long the answer takes.
    """

    deadline_ms: int
    exclude: set[ServerName]
    penalties: Penalties
    objective_at_ms: int | None
    permit: Permit


@dataclass
class Slots:
    """The slots of all backend servers, as one entry sees them."""

    board: Blackboard
    connections: BackendConnections
    evidence: EvidenceLog

    async def take(self, service: ServiceState, wanted: WantedSlot) -> ServerState:
        """Return a server with a free slot, waiting for one if there is none.

        The caller counts the request there at once. Raises CinderwayError.
        """
        admission = service.admission
        admission.waiting += 1
        # Those that came before are served before: it is no matter who comes later.
        waiting = admission.waiting
        try:
            while True:
                _require_leave(wanted)
                now_ms = monotonic_ms()
                found = self._free_server(service, wanted, now_ms)
                if found is not None:
                    return service.servers[found.name]
                give_up_at_ms = wanted.deadline_ms - admission.service_time_ms
                if now_ms >= give_up_at_ms:
                    raise _no_slot(service)
                until_ms = self._of_use_until_ms(service, wanted, now_ms, give_up_at_ms)
                refusal = pushback_refusal(service, now_ms, until_ms, waiting)
                if refusal is not None:
                    raise refusal
                waiting = 1
                wait_ms = _next_change_ms(service, now_ms, give_up_at_ms)
                with anyio.move_on_after(wait_ms / 1000):
                    await service.slot_freed.wait()
        finally:
            admission.waiting -= 1

    def _of_use_until_ms(
        self,
        service: ServiceState,
        wanted: WantedSlot,
        now_ms: int,
        give_up_at_ms: float,
    ) -> float:
        """Return until when a server that opens again is of use to a request.

        As long as its answer can be in time, that is what counts: a turn that makes
        one answer late is taken from another request whose answer would not be.
        """
        if wanted.objective_at_ms is None:
            return give_up_at_ms
        usual_ms = self.evidence.pace(service.row.name).usual_ms
        in_time_until_ms = wanted.objective_at_ms - usual_ms
        if now_ms >= in_time_until_ms:
            return give_up_at_ms
        return min(in_time_until_ms, give_up_at_ms)

    def _free_server(
        self, service: ServiceState, wanted: WantedSlot, now_ms: int
    ) -> Candidate | None:
        """Return the server to use now; None if none is free.

        Raises CinderwayError if each of the free ones would answer too late.
        """
        subset = self._subset(usable_servers(service))
        free = free_servers(subset, wanted.exclude, now_ms)
        if not free and wanted.exclude:
            # Every other server was tried already: a second try beats none.
            free = free_servers(subset, (), now_ms)
        if not free:
            return None
        own_hall, rng = self.board.data_hall, self.board.rng
        candidates = drawn_candidates(free, own_hall, rng, now_ms)
        # A sound server with a long queue comes before a suspect one without work, and
        # what is drawn may miss the few that are idle. Only where no server at all
        # would answer in time is a request refused.
        timely = self._timely(service, candidates, wanted, now_ms) or self._timely(
            service, all_candidates(free, now_ms), wanted, now_ms
        )
        if not timely:
            raise self._queue_full(service, free, wanted, now_ms)
        return choose(timely, own_hall, rng, penalties=wanted.penalties)

    def _timely(
        self,
        service: ServiceState,
        candidates: list[Candidate],
        wanted: WantedSlot,
        now_ms: int,
    ) -> list[Candidate]:
        """Return the candidates whose queues leave time for an answer."""
        objective_at_ms = wanted.objective_at_ms
        if objective_at_ms is None:
            return candidates
        usual_ms = self.evidence.pace(service.row.name).usual_ms
        return [
            candidate
            for candidate in candidates
            if not is_hopeless(
                candidate.next_load,
                usual_ms,
                now_ms,
                objective_at_ms,
                wanted.deadline_ms,
            )
        ]

    def _queue_full(
        self,
        service: ServiceState,
        free: list[ServerState],
        wanted: WantedSlot,
        now_ms: int,
    ) -> CinderwayError:
        """Return the refusal where even the emptiest server's queue is too long."""
        usual_ms = self.evidence.pace(service.row.name).usual_ms
        load = min(candidate.next_load for candidate in all_candidates(free, now_ms))
        return CinderwayError(
            ErrorCode.QUEUE_FULL,
            f"servers of {service.row.name} have {load:.1f} times the work that their "
            f"slots take, or more: {expected_answer_ms(load, usual_ms):.0f} ms until "
            f"an answer, {wanted.objective_at_ms - now_ms} ms to the objective",
            step=Step.QUEUE,
        )

    def _subset(self, usable: list[ServerState]) -> list[tuple[ServerState, int]]:
        """Return the servers to choose from, each with how many requests it may get.

        As many servers as keep the fleet below their connection limits; all of them
        unless the fleet is large.
        """
        if not usable:
            return []
        limit = min(server.row.connection_limit for server in usable)
        plan = plan_connections(limit, self.board.entry_count, len(usable))
        self.connections.idle_limit = plan.per_entry
        chosen = usable
        if plan.subset_size < len(usable):
            names = {server.row.name for server in usable}
            kept = own_subset(self.board.name, names, plan.subset_size)
            chosen = [server for server in usable if server.row.name in kept]
        return [(server, min(server.row.slots, plan.per_entry)) for server in chosen]


def usable_servers(service: ServiceState) -> list[ServerState]:
    """Return the servers that may get new work."""
    now_ms = monotonic_ms()
    return [
        server
        for server in service.servers.values()
        if can_accept(server, now_ms) and not server.is_ejected
    ]


def _require_leave(wanted: WantedSlot) -> None:
    refusal = wanted.permit.refusal()
    if refusal is not None:
        raise refusal


def _next_change_ms(service: ServiceState, now_ms: int, give_up_at_ms: float) -> float:
    """Return the time until a pause or rest ends, or the request is given up."""
    open_at_ms = next_open_at_ms(service, now_ms)
    until_ms = give_up_at_ms if open_at_ms is None else min(give_up_at_ms, open_at_ms)
    return max(until_ms - now_ms, 1)


def _no_slot(service: ServiceState) -> CinderwayError:
    if not usable_servers(service):
        return CinderwayError(
            ErrorCode.NO_BACKEND_SERVER,
            f"no backend server of {service.row.name} takes work",
            step=Step.ROUTE,
        )
    return CinderwayError(
        ErrorCode.DEADLINE_PASSED,
        f"no slot of {service.row.name} came free in time",
        step=Step.QUEUE,
    )
