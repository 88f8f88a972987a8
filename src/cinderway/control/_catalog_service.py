"""Serves the catalog's conversation from one control replica.

Entries follow the catalog here, bring their observations and ask for retries; other
replicas pass on commands for the leader and servers that have just failed.
"""

import logging
from dataclasses import dataclass, field

import anyio

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError
from cinderway._ids import Address, EntryName, ServerName, ServiceName
from cinderway.catalog import (
    CATALOG,
    AnnounceReplica,
    CatalogHeartbeat,
    CatalogMachine,
    EvidenceBatch,
    FindReplicas,
    FollowCatalog,
    ReplicasAnswer,
    RetryAnswer,
    ServerLoad,
    ServerLoads,
    SubmitCommand,
    SuspectServers,
    TakeRetry,
)
from cinderway.control._commands import Commands, ReplicaCalls
from cinderway.control._follower import Follower
from cinderway.control._hall_assessor import HallAssessor
from cinderway.control._retry_pools import RetryPools
from cinderway.judgement import FADES_MS
from cinderway.replication import Node
from cinderway.wire import (
    Connection,
    Done,
    Message,
    Route,
    failure_from,
)

logger = logging.getLogger(__name__)

# A suspicion fades from its first moment on; told much later it is worth little.
TELL_TIMEOUT_S = 0.3
# Between two tries to announce this replica.
ANNOUNCE_PAUSE_S = 0.5
# Between two looks for observations to judge.
ASSESS_PAUSE_S = 0.1
# Loads that entries tell within this time are passed on together: well below the time
# of a request, and at most fifty messages a second to an entry, however many there are.
LOAD_PAUSE_S = 0.02
# Stands also for a leader never heard from; the heartbeat's field has 32 bits.
MAXIMUM_LEADER_AGE_MS = 2**31


@dataclass
class CatalogService:
    """Hands out the catalog, takes evidence, grants retries, passes loads on."""

    node: Node
    machine: CatalogMachine
    own: AnnounceReplica
    calls: ReplicaCalls
    commands: Commands
    assessor: HallAssessor
    retry_pools: RetryPools
    followers: set[Follower] = field(default_factory=set)
    _loads: dict[ServerName, ServerLoad] = field(default_factory=dict)
    _loads_changed: anyio.Event = field(default_factory=anyio.Event)
    _tasks: anyio.abc.TaskGroup | None = None

    @property
    def route(self) -> Route:
        """What serves the catalog's connections."""
        return Route(CATALOG, self._serve)

    async def run(self) -> None:
        """Run until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            self.calls.start(tasks)
            tasks.start_soon(self._announce)
            tasks.start_soon(self._assess)
            tasks.start_soon(self._share_loads)
            await self._wake_followers()

    def leader_age_ms(self) -> int:
        """How old what this replica knows of the group may be."""
        core = self.node.core
        if core.is_leader:
            return 0
        if core.leader_heard_at_ms is None:
            return MAXIMUM_LEADER_AGE_MS
        age_ms = monotonic_ms() - core.leader_heard_at_ms
        return min(max(age_ms, 0), MAXIMUM_LEADER_AGE_MS)

    async def _serve(self, connection: Connection, name: str) -> None:
        async with anyio.create_task_group() as tasks:
            try:
                while True:
                    envelope = await connection.receive()
                    match envelope.message:
                        case FollowCatalog() as request:
                            tasks.start_soon(self._feed, connection, request)
                        case EvidenceBatch() as batch:
                            self._take_evidence(batch)
                        case ServerLoads(servers=loads) if not envelope.call_id:
                            self._take_loads(loads)
                        case message:
                            tasks.start_soon(
                                self._answer, connection, envelope.call_id, message
                            )
            except CinderwayError as error:
                logger.debug("a conversation with %s ended: %s", name, error)
                tasks.cancel_scope.cancel()

    def _take_loads(self, loads: list[ServerLoad]) -> None:
        for load in loads:
            self._loads[load.server] = load.after(self._loads.get(load.server))
        self._loads_changed.set()

    def _take_evidence(self, batch: EvidenceBatch) -> None:
        now_ms = monotonic_ms()
        self.assessor.take(batch, now_ms)
        for service, count in zip(batch.services, batch.first_requests, strict=True):
            self.retry_pools.earn(service, count, len(self.followers), now_ms)
        suspects = self.assessor.new_suspects(now_ms)
        if suspects is not None:
            logger.info(
                "suspect: %s; failed at %s", ",".join(suspects.servers), batch.entry
            )
            # The entry that saw them fail avoids them already.
            self._tell_entries(suspects, without=batch.entry)
            self._tell_replicas(_for_other_halls(suspects))

    def _tell_replicas(self, suspects: SuspectServers) -> None:
        for address in self.machine.replicas:
            if address != self.own.address:
                self._tasks.start_soon(self._tell_replica, address, suspects)

    def _tell_entries(self, suspects: SuspectServers, without: EntryName = "") -> None:
        for follower in self.followers:
            if follower.entry != without:
                follower.tell_suspects(suspects)

    async def _tell_replica(
        self, address: Address, news: SuspectServers | ServerLoads
    ) -> None:
        try:
            await self.calls.call(address, news, TELL_TIMEOUT_S)
        except CinderwayError as error:
            logger.debug("a replica was not told of servers: %s", error)

    async def _answer(
        self, connection: Connection, call_id: int, message: Message
    ) -> None:
        try:
            await connection.send(await self._handle(message), call_id)
        except CinderwayError as error:
            logger.debug("an answer was not sent: %s", error)
            await connection.aclose()

    async def _handle(self, message: Message) -> Message:
        try:
            match message:
                case FindReplicas():
                    return ReplicasAnswer(self.machine.replica_addresses())
                case SubmitCommand(data=data):
                    await self.commands.propose(data)
                    return Done()
                case SuspectServers() as suspects:
                    self._tell_entries(suspects)
                    return Done()
                case ServerLoads(servers=loads):
                    self._tell_loads(loads)
                    return Done()
                case TakeRetry(service=service):
                    return RetryAnswer(self._take_retry(service))
        except CinderwayError as error:
            return failure_from(error, self.node.leader_address)
        raise AssertionError(f"no answer for {type(message).__name__}")

    def _take_retry(self, service: ServiceName) -> bool:
        return self.retry_pools.take(service, len(self.followers), monotonic_ms())

    async def _feed(self, connection: Connection, request: FollowCatalog) -> None:
        follower = Follower(
            request.entry,
            request.data_hall,
            request.known_revision,
            connection,
            self.machine,
            self._heartbeat,
            lambda: self.node.core.has_caught_up,
        )
        self.followers.add(follower)
        logger.info(
            "entry %s follows from revision %d", request.entry, request.known_revision
        )
        try:
            await follower.feed()
        except (CinderwayError, TimeoutError) as error:
            logger.info("entry %s no longer follows: %s", request.entry, error)
            await connection.aclose()
        finally:
            self.followers.discard(follower)

    def _heartbeat(self) -> CatalogHeartbeat:
        return CatalogHeartbeat(
            self.leader_age_ms(), self.machine.revision, len(self.followers)
        )

    async def _wake_followers(self) -> None:
        """Let followers look for updates whenever an entry of the log is applied."""
        while True:
            await self.node.wait_applied()
            for follower in self.followers:
                follower.wake()

    async def _assess(self) -> None:
        """Tell the entries of each hall its verdicts, as observations come in."""
        while True:
            await anyio.sleep(ASSESS_PAUSE_S)
            if not self.assessor.has_news(monotonic_ms()):
                continue
            views = self.assessor.decide(self.machine, monotonic_ms())
            for follower in self.followers:
                verdicts = views.get(follower.data_hall)
                if verdicts is not None:
                    follower.tell_verdicts(verdicts)

    async def _share_loads(self) -> None:
        """Pass loads on to the entries of the own hall; none cross halls."""
        while True:
            await self._loads_changed.wait()
            self._loads_changed = anyio.Event()
            loads, self._loads = list(self._loads.values()), {}
            self._tell_loads(loads)
            for address in self._hall_replicas():
                self._tasks.start_soon(self._tell_replica, address, ServerLoads(loads))
            await anyio.sleep(LOAD_PAUSE_S)

    def _tell_loads(self, loads: list[ServerLoad]) -> None:
        for follower in self.followers:
            if follower.data_hall == self.own.data_hall:
                follower.tell_loads(loads)

    def _hall_replicas(self) -> list[Address]:
        """Return the other replicas of the own hall.

        After a cut the hall's entries may follow different ones; each would know only
        a part of what the hall sends to its servers.
        """
        return [
            address
            for address, replica in self.machine.replicas.items()
            if replica.data_hall == self.own.data_hall and address != self.own.address
        ]

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


def _for_other_halls(suspects: SuspectServers) -> SuspectServers:
    """Return what other halls are to avoid: not for long what only this one misses."""
    for_ms = [min(left_ms, FADES_MS) for left_ms in suspects.for_ms]
    return SuspectServers(suspects.servers, for_ms)
