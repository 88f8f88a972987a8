"""Serves the catalog's conversation from one control replica.

Entries follow the catalog here, bring their observations and ask for retries; other
replicas pass on commands for the leader and servers that have just failed.
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
    RetryAnswer,
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

# Between two tries to announce this replica.
ANNOUNCE_PAUSE_S = 0.5
# Stands also for an unknown age; the heartbeat's field has 32 bits.
MAXIMUM_AGE_MS = 2**31


@dataclass
class CatalogService:
    """Hands out the catalog, and brings what entries say to the hall's service."""

    node: Node
    machine: CatalogMachine
    own: AnnounceReplica
    calls: ReplicaCalls
    commands: Commands
    hall: HallService
    allowances: Allowances

    @property
    def route(self) -> Route:
        """What serves the catalog's connections."""
        return Route(CATALOG, self._serve)

    async def run(self) -> None:
        """Run until cancelled."""
        async with anyio.create_task_group() as tasks:
            self.calls.start(tasks)
            tasks.start_soon(self._announce)
            tasks.start_soon(self.hall.run)
            tasks.start_soon(self.allowances.run)
            store = PoisonStore(
                self.node, self.machine, self.commands, self.hall.poison
            )
            tasks.start_soon(store.run)
            await self._wake_followers(store)

    def knowledge_age_ms(self) -> int:
        """How old what this replica hands out may be."""
        age_ms = self.node.knowledge_age_ms(monotonic_ms())
        return MAXIMUM_AGE_MS if age_ms is None else min(age_ms, MAXIMUM_AGE_MS)

    async def _serve(self, connection: Connection, name: str) -> None:
        standing_by = anyio.CancelScope()
        async with anyio.create_task_group() as tasks:
            try:
                while True:
                    envelope = await connection.receive()
                    if not envelope.call_id and self._hear(
                        connection, envelope.message
                    ):
                        continue
                    match envelope.message:
                        case StandBy():
                            tasks.start_soon(self._stand_by, connection, standing_by)
                        case FollowCatalog() as request:
                            standing_by.cancel()
                            tasks.start_soon(self._feed, connection, request)
                        case ServerLoads(servers=loads):
                            self.hall.news.hear_loads(connection, loads)
                            await connection.send(Done(), envelope.call_id)
                        case AskAllowances() as asked:
                            # In the order in which a holder spoke.
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
                logger.debug("a conversation with %s ended: %s", name, error)
                tasks.cancel_scope.cancel()
            finally:
                self.hall.news.forget(connection)

    def _hear(self, connection: Connection, told: Message) -> bool:
        """Take what an entry tells without waiting for an answer; False if it asks."""
        match told:
            case EvidenceBatch():
                self.hall.take_evidence(told)
            case ServerLoads(servers=loads):
                self.hall.news.take_loads(connection, loads)
            case RequestRuns():
                self.hall.poison.take_runs(told)
            case RequestRulings():
                self.hall.poison.learn(told)
            case ServerLimits():
                self.hall.limits.take(told)
            case _:
                return False
        return True

    async def _answer(
        self, connection: Connection, call_id: int, message: Message
    ) -> None:
        try:
            await connection.send(await self._handle(message), call_id)
        except CinderwayError as error:
            logger.debug("an answer was not sent: %s", error)
            await connection.aclose()

    async def _answer_allowances(
        self,
        connection: Connection,
        call_id: int,
        asked: AskAllowances,
        granted: GrantAllowances,
    ) -> None:
        answer = await self.allowances.complete(connection, asked, granted)
        try:
            await connection.send(answer, call_id)
        except CinderwayError as error:
            logger.debug("an answer on allowances was not sent: %s", error)
            await connection.aclose()

    async def _handle(self, message: Message) -> Message:
        try:
            match message:
                case FindReplicas():
                    return ReplicasAnswer(self.machine.replica_addresses())
                case FetchCatalog(known_revision=known_revision):
                    return self._update_since(known_revision)
                case SubmitCommand(data=data):
                    await self.commands.propose(data)
                    return Done()
                case SuspectServers() as suspects:
                    self.hall.news.hear_suspects(suspects)
                    return Done()
                case RequestRuns() as runs:
                    self.hall.poison.hear_runs(runs)
                    return Done()
                case RequestRulings() as rulings:
                    self.hall.poison.learn(rulings)
                    return Done()
                case ServerLimits() as limits:
                    self.hall.limits.hear(limits)
                    return Done()
                case TakeRetry() as asked:
                    return RetryAnswer(self.hall.take_retry(asked))
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

    async def _stand_by(self, connection: Connection, scope: anyio.CancelScope) -> None:
        """Tell an entry that follows elsewhere how new the catalog is here."""
        with scope:
            try:
                while True:
                    with anyio.fail_after(SEND_TIMEOUT_S):
                        await connection.send(self._heartbeat())
                    await anyio.sleep(HEARTBEAT_S)
            except (CinderwayError, TimeoutError) as error:
                logger.debug("no longer standing by for an entry: %s", error)
                await connection.aclose()

    async def _feed(self, connection: Connection, request: FollowCatalog) -> None:
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
        rulings = self.hall.poison.rulings()
        if rulings.lines:
            follower.tell_news([CATALOG.encode(rulings)])
        limits = self.hall.limits.limits()
        if limits.lines:
            follower.tell_news([CATALOG.encode(limits)])
        logger.info(
            "entry %s follows from revision %d", request.entry, request.known_revision
        )
        try:
            await follower.feed()
        except (CinderwayError, TimeoutError) as error:
            logger.info("entry %s no longer follows: %s", request.entry, error)
            await connection.aclose()
        finally:
            self.hall.followers.discard(follower)

    def _heartbeat(self) -> CatalogHeartbeat:
        return CatalogHeartbeat(
            self.knowledge_age_ms(), self.machine.revision, len(self.hall.followers)
        )

    async def _wake_followers(self, store: PoisonStore) -> None:
        """Let followers look for updates whenever an entry of the log is applied.

        An entry that starts with the fleet gets its first sheet so, and with it which
        requests are refused.
        """
        while True:
            await self.node.wait_applied()
            store.take_over()
            for follower in self.hall.followers:
                follower.wake()

    async def _announce(self) -> None:
        """Tell the fleet where this replica is, once it is a member of the group."""
        while self.machine.replicas.get(self.own.address) != self.own:
            await anyio.sleep(ANNOUNCE_PAUSE_S)
            if self.node.core.replica_id not in self.node.core.membership.voters:
                continue
            try:
                await self.commands.submit(self.own)
            except CinderwayError as error:
                logger.debug("not announced yet: %s", error)
