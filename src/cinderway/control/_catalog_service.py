"""Serves the catalog protocol from one control replica.

Entries follow the catalog here, send their observations and ask for retries and
allowances; other replicas send commands for the leader and updates on servers, such as
those that have just failed.
"""

import logging
from dataclasses import dataclass

import anyio

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway.catalog import (
    CATALOG,
    AnnounceReplica,
    AskAllowances,
    CatalogHeartbeat,
    CatalogMachine,
    EvidenceBatch,
    FetchCatalog,
    FindReplicas,
    FollowCatalog,
    GrantAllowances,
    ReplicasAnswer,
    ServerLoads,
    StandBy,
    SubmitCommand,
    SuspectServers,
    TakeRetry,
)
from cinderway.control._allowances import Allowances
from cinderway.control._commands import Commands, ReplicaCalls
from cinderway.control._follower import HEARTBEAT_S, SEND_TIMEOUT_S, Follower
from cinderway.control._hall_service import HallService
from cinderway.control._poison_store import PoisonStore
from cinderway.poison import RequestRulings, RequestRuns
from cinderway.pushback import ServerLimits
from cinderway.replication import Node
from cinderway.wire import (
    Connection,
    Done,
    Message,
    Route,
    failure_from,
)

logger = logging.getLogger(__name__)

# Delay between two attempts to announce this replica.
ANNOUNCE_RETRY_S = 0.5
# Also stands for an unknown age; the heartbeat's field has 32 bits.
MAX_AGE_MS = 2**31


@dataclass
class CatalogService:
    """Serves the catalog, and passes entries' messages to the hall's service."""

    node: Node
    machine: CatalogMachine
    own: AnnounceReplica
    calls: ReplicaCalls
    commands: Commands
    hall: HallService
    allowances: Allowances

    @property
    def route(self) -> Route:
        """The route for connections that use the catalog protocol."""
        return Route(CATALOG, self._serve)

    async def run(self) -> None:
        """Run until cancelled."""
        async with anyio.create_task_group() as tasks:
            self.calls.start(tasks)
            tasks.start_soon(self._announce_replica)
            tasks.start_soon(self.hall.run)
            tasks.start_soon(self.allowances.run)
            store = PoisonStore(
                self.node, self.machine, self.commands, self.hall.poison
            )
            tasks.start_soon(store.run)
            await self._wake_followers(store)

    def knowledge_age_ms(self) -> int:
        """Return the maximum age of the catalog that this replica serves."""
        age_ms = self.node.knowledge_age_ms(monotonic_ms())
        return MAX_AGE_MS if age_ms is None else min(age_ms, MAX_AGE_MS)

    async def _serve(self, connection: Connection, name: str) -> None:
        standby_scope = anyio.CancelScope()
        async with anyio.create_task_group() as tasks:
            try:
                while True:
                    envelope = await connection.receive()
                    if not envelope.call_id and self._handle_one_way(
                        connection, envelope.message
                    ):
                        continue
                    match envelope.message:
                        case StandBy():
                            tasks.start_soon(
                                self._send_standby_heartbeats, connection, standby_scope
                            )
                        case FollowCatalog() as request:
                            standby_scope.cancel()
                            tasks.start_soon(self._serve_follower, connection, request)
                        case ServerLoads(servers=loads, relays=relays):
                            self.hall.gossip.receive_replica_loads(connection, loads)
                            if relays is not None:
                                self.hall.gossip.receive_replica_relays(name, relays)
                            await connection.send(Done(), envelope.call_id)
                        case AskAllowances() as asked:
                            # Called here and not in the task, so that a holder's
                            # messages are processed in the order they were sent.
                            granted = self.allowances.grant(
                                connection, asked, monotonic_ms()
                            )
                            tasks.start_soon(
                                self._answer_allowances,
                                connection,
                                envelope.call_id,
                                asked,
                                granted,
                            )
                        case message:
                            tasks.start_soon(
                                self._answer, connection, envelope.call_id, message
                            )
            except CinderwayError as error:
                logger.debug("the connection with %s ended: %s", name, error)
                tasks.cancel_scope.cancel()
            finally:
                self.hall.gossip.remove_source(connection)

    def _handle_one_way(self, connection: Connection, message: Message) -> bool:
        """Handle an entry's one-way message; return False if it is a request."""
        match message:
            case EvidenceBatch():
                self.hall.receive_evidence(message)
            case ServerLoads(servers=loads):
                self.hall.gossip.receive_entry_loads(connection, loads)
            case RequestRuns():
                self.hall.poison.receive_entry_runs(message)
            case RequestRulings():
                self.hall.poison.receive_rulings(message)
            case ServerLimits():
                self.hall.limits.receive_entry_limits(message)
            case _:
                return False
        return True

    async def _answer(
        self, connection: Connection, call_id: int, message: Message
    ) -> None:
        try:
            await connection.send(await self._handle(message), call_id)
        except CinderwayError as error:
            logger.debug("an answer could not be sent: %s", error)
            await connection.aclose()

    async def _answer_allowances(
        self,
        connection: Connection,
        call_id: int,
        asked: AskAllowances,
        granted: GrantAllowances,
    ) -> None:
        answer = await self.allowances.borrow_missing(connection, asked, granted)
        try:
            await connection.send(answer, call_id)
        except CinderwayError as error:
            logger.debug("an answer on allowances could not be sent: %s", error)
            await connection.aclose()

    async def _handle(self, message: Message) -> Message:
        try:
            match message:
                case FindReplicas():
                    return ReplicasAnswer(self.machine.get_replica_addresses())
                case FetchCatalog(known_revision=known_revision):
                    return self._update_since(known_revision)
                case SubmitCommand(data=data):
                    await self.commands.propose(data)
                    return Done()
                case SuspectServers() as suspects:
                    self.hall.gossip.receive_replica_suspects(suspects)
                    return Done()
                case RequestRuns() as runs:
                    self.hall.poison.receive_replica_runs(runs)
                    return Done()
                case RequestRulings() as rulings:
                    self.hall.poison.receive_rulings(rulings)
                    return Done()
                case ServerLimits() as limits:
                    self.hall.limits.receive_replica_limits(limits)
                    return Done()
                case TakeRetry() as asked:
                    return self.hall.answer_retry(asked)
        except CinderwayError as error:
            return failure_from(error, self.node.leader_address)
        raise AssertionError(f"no answer for {type(message).__name__}")

    def _update_since(self, known_revision: int) -> Message:
        if not self.node.has_caught_up:
            raise CinderwayError(
                ErrorCode.NO_QUORUM,
                "this replica has not caught up since its start",
                step=Step.RECEIVE,
            )
        return self.machine.update_since(known_revision)

    async def _send_standby_heartbeats(
        self, connection: Connection, scope: anyio.CancelScope
    ) -> None:
        """Send heartbeats to an entry that follows another replica.

        They tell it how recent the catalog is here.
        """
        with scope:
            try:
                while True:
                    with anyio.fail_after(SEND_TIMEOUT_S):
                        await connection.send(self._heartbeat())
                    await anyio.sleep(HEARTBEAT_S)
            except (CinderwayError, TimeoutError) as error:
                logger.debug("no longer sending standby heartbeats: %s", error)
                await connection.aclose()

    async def _serve_follower(
        self, connection: Connection, request: FollowCatalog
    ) -> None:
        follower = Follower(
            request.entry,
            request.data_hall,
            request.known_revision,
            connection,
            self.machine,
            self._heartbeat,
            lambda: self.node.has_caught_up,
            request.peers_address,
        )
        self.hall.followers.add(follower)
        self.hall.record_followers()
        rulings = self.hall.poison.rulings()
        if rulings.lines:
            follower.queue_frames([CATALOG.encode(rulings)])
        limits = self.hall.limits.limits()
        if limits.lines:
            follower.queue_frames([CATALOG.encode(limits)])
        logger.info(
            "entry %s follows the catalog from revision %d",
            request.entry,
            request.known_revision,
        )
        try:
            await follower.run()
        except (CinderwayError, TimeoutError) as error:
            logger.info(
                "entry %s no longer follows the catalog: %s", request.entry, error
            )
            await connection.aclose()
        finally:
            self.hall.followers.discard(follower)
            self.hall.record_followers()

    def _heartbeat(self) -> CatalogHeartbeat:
        return CatalogHeartbeat(
            self.knowledge_age_ms(), self.machine.revision, len(self.hall.followers)
        )

    async def _wake_followers(self, store: PoisonStore) -> None:
        """Wake all followers whenever a log entry is applied.

        An entry process that starts together with the fleet gets its first route sheet
        this way, and with it the refused requests.
        """
        while True:
            await self.node.wait_for_applied_entry()
            store.apply_stored_rulings()
            for follower in self.hall.followers:
                follower.wake()

    async def _announce_replica(self) -> None:
        """Announce this replica's addresses once it is a voter of the group."""
        while self.machine.replicas.get(self.own.address) != self.own:
            await anyio.sleep(ANNOUNCE_RETRY_S)
            if self.node.core.replica_id not in self.node.core.membership.voters:
                continue
            try:
                await self.commands.submit(self.own)
            except CinderwayError as error:
                logger.debug("this replica is not announced yet: %s", error)
