"""Waits for a free slot at a backend server and chooses among servers that have one.

A request is rejected as soon as it is known that no slot will be of use to it: because
the servers' queues alone would make its response late, because its deadline is too
near, or because it may no longer be sent.
"""

from dataclasses import dataclass, field

import anyio

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import ServerName, ServiceName
from cinderway.entry._blackboard import Blackboard, ServerState, ServiceState
from cinderway.entry.servers._backends import BackendConnections
from cinderway.entry.servers._candidates import (
    ConnectedCheck,
    build_candidates,
    find_free_servers,
    is_never_connected,
    sample_all,
    sample_candidates,
)
from cinderway.entry.servers._class_bounds import (
    HOLD_POLL_MS,
    ClassBounds,
    QueueBoundError,
    build_bound_error,
)
from cinderway.entry.servers._idle_connections import (
    DEFAULT_CONNECTION_LIMIT,
    ReuseTerms,
)
from cinderway.entry.servers._permit import Permit
from cinderway.entry.servers._send_checks import (
    can_accept,
    check_pushback,
    compute_next_accept_at_ms,
)
from cinderway.judgement import EvidenceLog
from cinderway.limits import (
    compute_expected_latency_ms,
    is_queue_too_long,
    plan_connections,
)
from cinderway.routing import Candidate, Penalties, choose_server, connection_subset
from cinderway.scheduling import QueueAdmits, WorkClass


@dataclass(frozen=True)
class SlotRequirements:
    """The requirements of one request for a slot.

    Servers in `exclude` were already tried and are used only if no other is free.
    Without `objective_at_ms`, the expected latency is not checked. Only requests that
    may run more than once are `is_repeatable`. `work` is given if other classes of work
    share the service.
    """

    deadline_ms: int
    exclude: set[ServerName]
    penalties: Penalties
    objective_at_ms: int | None
    permit: Permit
    is_repeatable: bool = True
    work: WorkClass | None = None


@dataclass
class Slots:
    """The slots of all backend servers, as known to one entry."""

    board: Blackboard
    connections: BackendConnections
    evidence: EvidenceLog
    # Connections that this entry may have to each server of a service.
    connection_limits: dict[ServiceName, int] = field(default_factory=dict)

    def reuse_terms(
        self,
        service: ServiceState,
        deadline_ms: int,
        now_ms: int,
        *,
        is_repeatable: bool,
    ) -> ReuseTerms:
        """Return the terms on which a request uses a kept connection.

        A request that runs at most once and is lost costs its caller all the time that
        is left.
        """
        name = service.row.name
        return ReuseTerms(
            name,
            None if is_repeatable else max(deadline_ms - now_ms, 0),
            self.connection_limits.get(name, DEFAULT_CONNECTION_LIMIT),
        )

    def __post_init__(self):
        self._bounds = ClassBounds(self.board, self.evidence)

    async def acquire(
        self, service: ServiceState, wanted: SlotRequirements
    ) -> ServerState:
        """Return a server with a free slot, waiting for one if there is none.

        The caller must count the request at that server at once. Raises CinderwayError.
        """
        admission = service.admission
        # A request counts once, however many servers it is sent to.
        counted = None if wanted.exclude else wanted.work
        hold_until_ms = self._bounds.record_asked(
            counted, monotonic_ms(), wanted.objective_at_ms
        )
        admission.waiting += 1
        # Only requests that arrived earlier count, as they are served first.
        waiting = admission.waiting
        try:
            while True:
                _require_permit(wanted)
                now_ms = monotonic_ms()
                try:
                    found = self._find_server(service, wanted, now_ms)
                except QueueBoundError:
                    left_ms = min(hold_until_ms, wanted.deadline_ms) - now_ms
                    if left_ms <= 0:
                        raise
                    with anyio.move_on_after(min(left_ms, HOLD_POLL_MS) / 1000):
                        await service.slot_freed.wait()
                    continue
                if found is not None:
                    self._bounds.record_served(counted)
                    return service.servers[found.name]
                service_time_ms = self._bounds.find_service_time_ms(
                    service, wanted.work
                )
                give_up_at_ms = wanted.deadline_ms - service_time_ms
                if now_ms >= give_up_at_ms:
                    raise _build_no_slot_error(service)
                until_ms = self._compute_useful_until_ms(
                    service, wanted, now_ms, give_up_at_ms
                )
                refusal = check_pushback(service, now_ms, until_ms, waiting)
                if refusal is not None:
                    raise refusal
                waiting = 1
                wait_ms = _compute_wait_ms(service, now_ms, give_up_at_ms)
                with anyio.move_on_after(wait_ms / 1000):
                    await service.slot_freed.wait()
        finally:
            admission.waiting -= 1

    def _compute_useful_until_ms(
        self,
        service: ServiceState,
        wanted: SlotRequirements,
        now_ms: int,
        give_up_at_ms: float,
    ) -> float:
        """Return until when a slot that becomes available is useful to a request.

        While the response can still meet the objective, that is the latest time at
        which it would: a rate limit token spent on a late response is taken from
        another request that would be answered in time. After that it is the deadline.
        """
        if wanted.objective_at_ms is None:
            return give_up_at_ms
        usual_ms = self._bounds.find_pace(service, wanted.work).usual_ms
        timely_until_ms = wanted.objective_at_ms - usual_ms
        if now_ms >= timely_until_ms:
            return give_up_at_ms
        return min(timely_until_ms, give_up_at_ms)

    def _find_server(
        self, service: ServiceState, wanted: SlotRequirements, now_ms: int
    ) -> Candidate | None:
        """Return the server to use now; None if none is free.

        Raises CinderwayError if every free server would respond too late.
        """
        subset = self._choose_subset(find_usable_servers(service))
        free = find_free_servers(subset, wanted.exclude, now_ms)
        if not free and wanted.exclude:
            # Every other server was already tried: a repeated one is better than none.
            free = find_free_servers(subset, (), now_ms)
        if not free:
            return None
        own_hall, rng = self.board.data_hall, self.board.rng
        is_connected = self._build_connected_check(service, wanted, now_ms)
        candidates = sample_candidates(
            free,
            own_hall,
            rng,
            now_ms,
            is_connected,
            prefers_proven=wanted.penalties.unproven > 0,
        )
        # A healthy server with a long queue is chosen before an idle suspect one, and
        # the sample may miss the few idle servers. So a request is rejected only if no
        # free server at all would respond in time.
        timely = self._filter_timely(service, candidates, wanted, now_ms) or sample_all(
            free,
            own_hall,
            rng,
            now_ms,
            lambda found: self._filter_timely(service, found, wanted, now_ms),
            is_connected,
        )
        if not timely:
            raise self._build_queue_full_error(service, free, wanted, now_ms)
        chosen = choose_server(timely, own_hall, rng, penalties=wanted.penalties)
        decision = self._bounds.decide(service, chosen, wanted.work)
        if isinstance(decision, QueueAdmits):
            return chosen
        admitting = sample_all(
            free,
            own_hall,
            rng,
            now_ms,
            lambda found: self._bounds.filter_admitting(
                service,
                self._filter_timely(service, found, wanted, now_ms),
                chosen,
                wanted.work,
                wanted.penalties,
            ),
            is_connected,
        )
        if admitting:
            return choose_server(admitting, own_hall, rng, penalties=wanted.penalties)
        if wanted.objective_at_ms is None:
            # A second attempt is not refused, but prefers a queue that admits it.
            return chosen
        raise build_bound_error(wanted.work, decision)

    def _build_connected_check(
        self, service: ServiceState, wanted: SlotRequirements, now_ms: int
    ) -> ConnectedCheck:
        if not service.reuses_connections:
            return is_never_connected
        terms = self.reuse_terms(
            service, wanted.deadline_ms, now_ms, is_repeatable=wanted.is_repeatable
        )
        return lambda server: self.connections.has_usable(
            server.row.address, terms, now_ms
        )

    def _filter_timely(
        self,
        service: ServiceState,
        candidates: list[Candidate],
        wanted: SlotRequirements,
        now_ms: int,
    ) -> list[Candidate]:
        """Return the candidates whose queues are short enough for a timely response."""
        objective_at_ms = wanted.objective_at_ms
        if objective_at_ms is None:
            return candidates
        work = self._bounds.find_work_time(service, wanted.work)
        return [
            candidate
            for candidate in candidates
            if not is_queue_too_long(
                candidate.next_load,
                work.own_ms,
                now_ms,
                objective_at_ms,
                wanted.deadline_ms,
                work.queued_ms,
            )
        ]

    def _build_queue_full_error(
        self,
        service: ServiceState,
        free: list[ServerState],
        wanted: SlotRequirements,
        now_ms: int,
    ) -> CinderwayError:
        """Build the rejection for the case that even the shortest queue is too long."""
        work = self._bounds.find_work_time(service, wanted.work)
        load = min(candidate.next_load for candidate in build_candidates(free, now_ms))
        return CinderwayError(
            ErrorCode.QUEUE_FULL,
            f"servers of {service.row.name} are overloaded: the lowest load is "
            f"{load:.1f} times their slots, the expected latency "
            f"{compute_expected_latency_ms(load, work.own_ms, work.queued_ms):.0f} ms, "
            f"{wanted.objective_at_ms - now_ms} ms left until the objective",
            step=Step.QUEUE,
        )

    def _choose_subset(
        self, usable: list[ServerState]
    ) -> list[tuple[ServerState, int]]:
        """Return the servers to choose from, each with its concurrent request limit.

        The subset is small enough that the fleet stays within the servers' connection
        limits. It contains all servers unless the fleet is large.
        """
        if not usable:
            return []
        limit = min(server.row.connection_limit for server in usable)
        plan = plan_connections(limit, self.board.entry_count, len(usable))
        self.connection_limits[usable[0].row.service] = plan.per_entry
        chosen = usable
        if plan.subset_size < len(usable):
            names = {server.row.name for server in usable}
            subset_names = connection_subset(self.board.name, names, plan.subset_size)
            chosen = [server for server in usable if server.row.name in subset_names]
        return [(server, min(server.row.slots, plan.per_entry)) for server in chosen]


def find_usable_servers(service: ServiceState) -> list[ServerState]:
    """Return the servers that may be sent new requests."""
    now_ms = monotonic_ms()
    return [
        server
        for server in service.servers.values()
        if can_accept(server, now_ms) and not server.is_ejected
    ]


def _require_permit(wanted: SlotRequirements) -> None:
    refusal = wanted.permit.refusal()
    if refusal is not None:
        raise refusal


def _compute_wait_ms(service: ServiceState, now_ms: int, give_up_at_ms: float) -> float:
    """Return the time until a server may accept a request or this one is given up."""
    accept_at_ms = compute_next_accept_at_ms(service, now_ms)
    until_ms = (
        give_up_at_ms if accept_at_ms is None else min(give_up_at_ms, accept_at_ms)
    )
    return max(until_ms - now_ms, 1)


def _build_no_slot_error(service: ServiceState) -> CinderwayError:
    if not find_usable_servers(service):
        return CinderwayError(
            ErrorCode.NO_BACKEND_SERVER,
            f"no backend server of {service.row.name} accepts requests",
            step=Step.ROUTE,
        )
    return CinderwayError(
        ErrorCode.DEADLINE_PASSED,
        f"no slot of {service.row.name} became free in time",
        step=Step.QUEUE,
    )
