"""Keep the table up to date from control replicas and from other entries.

Every entry has three sources of a newer table: two control replicas, with long polls,
and one random other entry that it asks each second. Any one of them is enough.
"""

import logging
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import Address
from cinderway._settings import EntrySettings
from cinderway.entry._blackboard import Blackboard
from cinderway.entry.fleet._table_trust import TrustEvidence, can_trust_table
from cinderway.table import (
    TABLE,
    TABLE_LEVEL,
    EntryReport,
    FollowTable,
    Table,
    TableAnswer,
    TableDelta,
)
from cinderway.wire import (
    Connection,
    Failure,
    GroupClient,
    Identity,
    Message,
    Route,
    RpcClient,
    serve_calls,
)

logger = logging.getLogger(__name__)

FOLLOWED_REPLICAS = 2
FOLLOW_WAIT_MS = 2_000
CALL_TIMEOUT_S = 4.0
RETRY_PAUSE_S = 0.2
GOSSIP_INTERVAL_S = 1.0
LEADER_TIMEOUT_MS = 2_000
HEARD_SAMPLE_SIZE = 24


@dataclass
class TableFollower:
    """Installs each newer table that it receives, and never an older one."""

    settings: EntrySettings
    board: Blackboard
    identity: Identity
    tasks: TaskGroup
    installs: int = 0
    _clients: dict[Address, RpcClient] = field(default_factory=dict)
    _trust: TrustEvidence = field(default_factory=TrustEvidence)

    @property
    def route(self) -> Route:
        """The route that serves the table to other entries."""
        return Route(TABLE, self._serve)

    def start(self) -> None:
        """Follow in the background."""
        addresses = list(self.settings.control)
        self.board.rng.shuffle(addresses)
        for position in range(min(FOLLOWED_REPLICAS, len(addresses))):
            self.tasks.start_soon(self._follow, addresses, position)
        self.tasks.start_soon(self._gossip)
        self.tasks.start_soon(self._wait_until_trusted)

    def report(self) -> EntryReport:
        """Return this entry's identity and the revision that it has in force."""
        return EntryReport(
            self.settings.name,
            self.settings.data_hall,
            self.settings.listen,
            self.board.table.revision,
            self.board.table.digest,
            TABLE_LEVEL,
            self.board.is_leaving,
        )

    # Following.

    async def _follow(self, addresses: list[Address], position: int) -> None:
        while True:
            address = addresses[position % len(addresses)]
            try:
                self._receive_answer(await self._call(address, FOLLOW_WAIT_MS))
            except CinderwayError as error:
                logger.debug("cannot follow the table: %s", error)
                # Skip the replica that the other follower uses.
                position += FOLLOWED_REPLICAS - 1
                await anyio.sleep(RETRY_PAUSE_S)

    async def _gossip(self) -> None:
        while True:
            await anyio.sleep(GOSSIP_INTERVAL_S * (0.5 + self.board.rng.random()))
            self.board.fleet.drop_gone(monotonic_ms())
            peers = self._peer_addresses()
            if peers:
                await self._fetch_from_peer(self.board.rng.choice(peers))
            # Also report to a random replica, not only to the two followed ones, so
            # that each replica knows of every entry before it decides which edits all
            # entries can take.
            await self._report_to_replica(self.board.rng.choice(self.settings.control))

    async def _fetch_from_peer(self, address: Address) -> None:
        try:
            answer = await self._call(address, 0)
        except CinderwayError as error:
            logger.debug("cannot fetch the table from a peer: %s", error)
            return
        self._receive_answer(answer)
        if answer.is_trusted:
            self._trust.record_trusted_peer(address)

    async def _report_to_replica(self, address: Address) -> None:
        try:
            self._receive_answer(await self._call(address, 0))
        except CinderwayError as error:
            logger.debug("cannot report to a control replica: %s", error)

    def _peer_addresses(self) -> list[Address]:
        now_ms = monotonic_ms()
        known = {report.address for report in self.board.fleet.live(now_ms)}
        known.update(self.settings.peers)
        known.discard(self.settings.listen)
        return sorted(known)

    async def _call(self, address: Address, wait_ms: int) -> TableAnswer:
        client = self._clients.get(address)
        if client is None:
            client = self._clients[address] = RpcClient(address, TABLE, self.identity)
            self.tasks.start_soon(client.run)
        answer = await client.call(self._build_request(wait_ms), CALL_TIMEOUT_S)
        if isinstance(answer, Failure):
            raise answer.error(address)
        return answer

    def _build_request(
        self, wait_ms: int, must_be_current: bool = False
    ) -> FollowTable:
        known = self.board.table.revision if len(self.board.table) else 0
        return FollowTable(self.report(), known, wait_ms, must_be_current)

    def _receive_answer(self, answer: TableAnswer) -> None:
        self.board.fleet.record_reports(answer.heard, monotonic_ms())
        self._trust.record_own_revision(answer.own_revision)
        self._apply_delta(answer.delta)

    def _apply_delta(self, delta: TableDelta) -> None:
        before_revision = self.board.table.revision
        if delta.revision <= before_revision:
            return
        try:
            is_newer = self.board.table.install(delta)
        except CinderwayError as error:
            # The routes derived from the last valid table stay in use until the next
            # answer brings a complete table.
            logger.warning("cannot install the table: %s", error)
            self.board.table = Table()
            # The revision that was in force may be installed again, but no older one.
            self.board.table.revision = max(before_revision - 1, 0)
            return
        if is_newer:
            self.installs += 1
            logger.info("in force: table revision %d", self.board.table.revision)
            self.board.refresh_from_table(monotonic_ms())

    # Trust.

    async def _wait_until_trusted(self) -> None:
        """Wait after the start until the table is known not to be a step back."""
        control = GroupClient(self.settings.control, TABLE, self.identity, self.tasks)
        started_at_ms = monotonic_ms()
        while not self.board.is_table_trusted:
            await self._fetch_from_leader(control)
            self.board.is_table_trusted = can_trust_table(
                self._trust,
                revision=self.board.table.revision,
                configured_peers=len(self.settings.peers),
                waited_ms=monotonic_ms() - started_at_ms,
            )
            if not self.board.is_table_trusted:
                await anyio.sleep(RETRY_PAUSE_S)
        logger.info("serving by table revision %d", self.board.table.revision)

    async def _fetch_from_leader(self, control: GroupClient) -> None:
        deadline_ms = monotonic_ms() + LEADER_TIMEOUT_MS
        try:
            answer = await control.call(self._build_request(0, True), deadline_ms)
        except CinderwayError as error:
            logger.debug("cannot fetch the table from the leader: %s", error)
            return
        self._receive_answer(answer)
        self._trust.is_confirmed_by_leader = answer.is_current

    # Serving peers.

    async def _serve(self, connection: Connection, name: str) -> None:
        await serve_calls(connection, name, self._answer)

    async def _answer(self, name: str, request: Message) -> Message:
        if not isinstance(request, FollowTable):
            return _build_not_leader(request, self.settings.listen)
        now_ms = monotonic_ms()
        own_revision = self.board.fleet.record_report(request.report, now_ms)
        return TableAnswer(
            delta=self.board.table.delta_since(request.known_revision),
            sequence=0,
            is_current=False,
            is_trusted=self.board.is_table_trusted,
            own_revision=own_revision,
            heard=self.board.fleet.sample(HEARD_SAMPLE_SIZE, now_ms, self.board.rng),
        )


def _build_not_leader(request: Message, address: Address) -> Failure:
    return Failure(
        ErrorCode.NOT_LEADER,
        f"an entry does not take {type(request).__name__}; ask a control replica",
        Step.RECEIVE,
        address,
        Address(""),
    )
