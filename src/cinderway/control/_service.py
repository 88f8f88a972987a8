"""Serves the service table's protocol from one control replica."""

import random

import anyio

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import ReplicaId
from cinderway.membership import Fleet
from cinderway.replication import Node
from cinderway.table import (
    COLUMNS,
    TABLE,
    Action,
    Edit,
    EntryStatus,
    FollowTable,
    ReadStatus,
    ReadTable,
    RemoveReplica,
    ReplicaStatus,
    StatusAnswer,
    SubmitEdit,
    TableAnswer,
    TableMachine,
)
from cinderway.wire import (
    Connection,
    Done,
    Message,
    Route,
    failure_from,
    serve_calls,
)

PROPOSE_TIMEOUT_S = 3.0
LOWEST_TABLE_LEVEL = 1
BARRIER_TIMEOUT_S = 1.0
# Entries listed in each answer: enough for a new entry to find its peers, and small
# compared with the table.
PEER_SAMPLE_SIZE = 48


class ControlService:
    """Answers operators and entries.

    Any replica serves the table that it has applied; only the leader, confirmed by a
    quorum, accepts edits and answers reads as current.
    """

    def __init__(self, node: Node, machine: TableMachine, fleet: Fleet):
        self._node = node
        self._machine = machine
        self._fleet = fleet
        self._rng = random.Random()

    @property
    def route(self) -> Route:
        """The route for connections that use the table's protocol."""
        return Route(TABLE, self._serve)

    async def _serve(self, connection: Connection, name: str) -> None:
        await serve_calls(connection, name, self._answer)

    async def _answer(self, name: str, request: Message) -> Message:
        try:
            return await self._handle(request)
        except CinderwayError as error:
            return failure_from(error, self._node.leader_address)

    async def _handle(self, request: Message) -> Message:
        match request:
            case FollowTable():
                return await self._follow(request)
            case ReadTable():
                await self._node.read_barrier(BARRIER_TIMEOUT_S)
                return self._build_table_answer(0, is_current=True)
            case SubmitEdit(edit=edit):
                self._require_fleet_supports(edit)
                return await self._node.propose(edit.encode(), PROPOSE_TIMEOUT_S)
            case ReadStatus():
                return await self._status()
            case RemoveReplica(replica_id=replica_id):
                await self._node.remove_member(ReplicaId(replica_id))
                return Done()

    async def _follow(self, request: FollowTable) -> TableAnswer:
        own_revision = self._fleet.record_report(request.report, monotonic_ms())
        if request.must_be_current:
            await self._node.read_barrier(BARRIER_TIMEOUT_S)
        else:
            await self._wait_for_revision_after(request.known_revision, request.wait_ms)
        return self._build_table_answer(
            request.known_revision,
            is_current=request.must_be_current,
            own_revision=own_revision,
        )

    async def _wait_for_revision_after(self, revision: int, wait_ms: int) -> None:
        with anyio.move_on_after(wait_ms / 1000):
            while self._machine.table.revision <= revision:
                await self._node.wait_applied()

    def _build_table_answer(
        self, known_revision: int, *, is_current: bool, own_revision: int = 0
    ) -> TableAnswer:
        now_ms = monotonic_ms()
        return TableAnswer(
            delta=self._machine.table.delta_since(known_revision),
            sequence=self._machine.sequence,
            is_current=is_current,
            is_trusted=False,
            own_revision=own_revision,
            heard=self._fleet.sample(PEER_SAMPLE_SIZE, now_ms, self._rng),
        )

    async def _is_confirmed(self) -> bool:
        try:
            await self._node.read_barrier(BARRIER_TIMEOUT_S)
        except CinderwayError:
            return False
        return True

    def _require_fleet_supports(self, edit: Edit) -> None:
        # A leader that has no report of any entry yet assumes the lowest table level.
        lowest = self._fleet.lowest_table_level(monotonic_ms()) or LOWEST_TABLE_LEVEL
        for change in edit.changes:
            declared = COLUMNS[change.sheet].get(change.column)
            if change.action is Action.SET and declared and declared.level > lowest:
                raise CinderwayError(
                    ErrorCode.ENTRY_CANNOT_TAKE_EDIT,
                    f"column {change.column} needs table level {declared.level}; "
                    f"an entry that may be serving is at {lowest}",
                    step=Step.CHECK_EDIT,
                )

    async def _status(self) -> StatusAnswer:
        is_current = await self._is_confirmed()
        core = self._node.core
        silent = set(core.silent_members())
        replicas = [
            ReplicaStatus(
                replica_id,
                member.address,
                member.is_voter,
                replica_id in silent,
                core.progress[replica_id].match_index if core.is_leader else 0,
            )
            for replica_id, member in core.membership.members.items()
        ]
        return StatusAnswer(
            core.replica_id,
            core.role.value,
            core.term,
            self._node.leader_address or "",
            is_current,
            self._machine.table.revision,
            core.commit_index,
            replicas,
            self._entry_statuses(),
        )

    def _entry_statuses(self) -> list[EntryStatus]:
        now_ms = monotonic_ms()
        return [
            EntryStatus(
                heard.report.name,
                heard.report.data_hall,
                heard.report.address,
                heard.report.revision,
                now_ms - heard.received_at_ms,
                self._fleet.state_of(heard.report.name, now_ms).value,
            )
            for heard in self._fleet.entries()
        ]
