"""Follow the catalog at one control replica, in the own data hall if there is one.

The replica says twice a second how old its own knowledge is. When that grows, or
nothing comes, the replica that stands by is followed in its place; the catalog that is
held stays in force meanwhile and never goes back.
"""

import logging
from dataclasses import dataclass, field

import anyio

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import Address
from cinderway._operators import Metrics
from cinderway._settings import CatalogEntrySettings
from cinderway.catalog import (
    AskAllowances,
    CatalogHeartbeat,
    CatalogUpdate,
    FollowCatalog,
    GrantAllowances,
    HallEntries,
    RetryAnswer,
    ServerLoads,
    SuspectServers,
    TakeRetry,
    VerdictBatch,
)
from cinderway.entry._blackboard import ServiceState
from cinderway.entry._catalog_board import CatalogBoard
from cinderway.entry.fleet._allowances import Allowances
from cinderway.entry.fleet._catalog_reports import CatalogReports
from cinderway.entry.fleet._control_sessions import (
    Connect,
    ControlSession,
    ControlSessions,
)
from cinderway.entry.fleet._questions import Questions
from cinderway.entry.fleet._replica_choice import (
    AVOID_MS,
    LEADERLESS_AVOID_MS,
    ReplicaChoice,
)
from cinderway.entry.fleet._sent_times import SentTimes
from cinderway.entry.fleet._standby import SILENT_LIMIT_S, Standby
from cinderway.poison import RequestRulings
from cinderway.pushback import FleetEntries, ServerLimits
from cinderway.wire import Connection, Envelope, Identity, connect

logger = logging.getLogger(__name__)

# Together with the time in which a leader that is cut off notices it (0.9 s) and with a
# heartbeat's interval, an entry behind a cut leaves the minority's replicas within 3 s.
KNOWLEDGE_AGE_LIMIT_MS = 1_300
# Between two rounds through all replicas.
RECONNECT_PAUSE_S = 0.1
# A replica answers within a few milliseconds; on a busy link, or beside other work, in
# some hundreds: leave that comes late still saves the request. One that is silent for
# longer is left soon after.
RETRY_TIMEOUT_S = 1.0
# Takes all verdicts back that are in force.
NO_VERDICTS = VerdictBatch([], [])


@dataclass
class CatalogFollower:
    """Keeps an entry's copy of the catalog up to date.

    Also its source of retries: they come out of the budget that all entries of the
    replica share, or, without a replica, out of a small one of the entry's own.
    """

    settings: CatalogEntrySettings
    state: CatalogBoard
    identity: Identity
    metrics: Metrics = field(default_factory=Metrics)
    connect: Connect = connect
    updates: int = 0
    _connection: Connection | None = None
    # Set while no replica is followed.
    _is_alone: anyio.Event = field(default_factory=anyio.Event)
    # When the followed replica last said anything.
    _heard_at_ms: int = 0
    _sent_times: SentTimes = field(default_factory=SentTimes)
    _questions: Questions = field(default_factory=Questions)

    def __post_init__(self):
        self._is_alone.set()
        self._choice = ReplicaChoice(
            self.settings.name,
            self.settings.data_hall,
            self.settings.control_port,
            self.settings.seeds,
        )
        self._sessions = ControlSessions(
            self._choice, self.identity, self.metrics, self.connect
        )
        self._standby = Standby(
            self.settings.name,
            self._sessions,
            self._choice,
            known_revision=lambda: self.state.mirror.revision,
            is_being_told=lambda: self._is_being_told,
            install=lambda update: self._install(update, monotonic_ms()),
            note_age=self._note_age,
            age_limit_ms=KNOWLEDGE_AGE_LIMIT_MS,
        )
        self._reports = CatalogReports(
            self.settings.name, self.settings.data_hall, self.state
        )
        self.allowances = Allowances(self._ask_allowances)

    def use_settings(self, settings: CatalogEntrySettings) -> None:
        """Take over what may change while the process runs: the seeds."""
        self._choice.seeds = settings.seeds
        logger.info("seeds are now %s", ", ".join(settings.seeds))

    async def run(self) -> None:
        """Follow until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.allowances.run)
            tasks.start_soon(self._standby.run)
            await self._follow_replicas()

    async def _follow_replicas(self) -> None:
        while True:
            session = await self._next_session()
            if session is None:
                await anyio.sleep(RECONNECT_PAUSE_S)
                continue
            await self._follow_while_it_serves(session)

    async def _next_session(self) -> ControlSession | None:
        """Return a session with the replica to follow; None if none answers."""
        session = await self._standby.take()
        if session is not None:
            return session
        now_ms = monotonic_ms()
        session = await self._sessions.open_first(self._choice.candidates(now_ms))
        if session is None or not session.is_first_contact:
            return session
        if self._choice.has_better(session.address, monotonic_ms()):
            # It has told of one in the own hall: what it would send crosses halls.
            await session.connection.aclose()
            return None
        return session

    @property
    def is_following(self) -> bool:
        """Whether a control replica serves this entry now."""
        return self._connection is not None

    async def wait_alone(self) -> None:
        """Return once no control replica is followed."""
        await self._is_alone.wait()

    @property
    def _is_being_told(self) -> bool:
        """Whether the followed replica is in the midst of a message."""
        return self._connection is not None and self._connection.is_receiving

    # Retries.

    def earn(self, service: ServiceState) -> None:
        """Note a request that came in."""
        if self._connection is None:
            service.budget.earn()
        else:
            self._reports.first_requests[service.row.name] += 1

    async def spend(
        self, service: ServiceState, *, until_ms: float, after_failure: bool = True
    ) -> bool:
        """Take one retry from the shared budget; False if there is none left."""
        if self._connection is None:
            return service.budget.spend()
        question = TakeRetry(service.row.name, after_failure)
        left_s = max(until_ms - monotonic_ms(), 0) / 1000
        answer = await self._questions.ask(question, min(left_s, RETRY_TIMEOUT_S))
        return isinstance(answer, RetryAnswer) and answer.is_granted

    # Allowances.

    async def _ask_allowances(
        self, asked: AskAllowances, timeout_s: float
    ) -> GrantAllowances | None:
        answer = await self._questions.ask(asked, timeout_s)
        return answer if isinstance(answer, GrantAllowances) else None

    # Following.

    async def _follow_while_it_serves(self, session: ControlSession) -> None:
        address = session.address
        self._choice.followed = address
        try:
            await self._follow(session.connection, address)
        except (CinderwayError, TimeoutError) as error:
            self._choice.avoid(address, monotonic_ms(), _avoid_ms(error))
            # Its verdicts end with it; another replica judges anew within seconds.
            self.state.apply(NO_VERDICTS)
            logger.warning(
                "lost control replica %s, last heard %d ms ago: %s; "
                "catalog %d stays in force",
                address,
                monotonic_ms() - self._heard_at_ms,
                str(error) or "silent",
                self.state.mirror.revision,
            )
        finally:
            self._choice.followed = None
            await session.connection.aclose()

    async def _follow(self, connection: Connection, address: Address) -> None:
        name, hall = self.settings.name, self.settings.data_hall
        known_revision = self.state.mirror.revision
        peers_address = self.settings.peers_listen
        await connection.send(FollowCatalog(name, hall, known_revision, peers_address))
        # A replica that has started again knows of no request that is refused, and of
        # no server's limit.
        rulings = self.state.poison.rulings()
        if rulings.lines:
            await connection.send(rulings)
        limits = self.state.board.limits.limits(monotonic_ms())
        if limits.lines:
            await connection.send(limits)
        logger.info(
            "following control replica %s of %s from catalog %d",
            address,
            self._choice.hall_of(address) or "an unknown hall",
            known_revision,
        )
        self.state.follow_anew()
        failure: Exception | None = None
        # What was earned alone must not be spent on top of the shared budget later.
        for service in self.state.board.services.values():
            service.budget.empty()
        self._heard_at_ms = monotonic_ms()
        self._sent_times = SentTimes()
        self._connection = connection
        self._is_alone = anyio.Event()
        self._questions.connect(connection)
        self.allowances.start_anew()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._reports.send_evidence, connection)
            tasks.start_soon(self._reports.send_runs, connection)
            tasks.start_soon(self._reports.send_turned_away, connection)
            tasks.start_soon(self._reports.send_limits, connection)
            try:
                await self._listen(connection, address, tasks)
            except (CinderwayError, TimeoutError) as error:
                failure = error
            self._connection = None
            self._is_alone.set()
            self._questions.disconnect()
            self.state.follow_anew()
            tasks.cancel_scope.cancel()
        if failure is not None:
            raise failure

    async def _listen(
        self, connection: Connection, address: Address, tasks: anyio.abc.TaskGroup
    ) -> None:
        """Take what the replica tells; raise TimeoutError when it is silent.

        Loads are told to a replica of the own hall, from when it is known to be one: it
        may announce itself only after it is followed.
        """
        tells_loads = False
        # One scope whose deadline moves: one for each message costs as much as reading.
        with anyio.fail_after(SILENT_LIMIT_S) as listening:
            while self._choice.is_home(address) or (
                not self._standby.is_current_at_home
            ):
                envelope = await connection.receive()
                listening.deadline = anyio.current_time() + SILENT_LIMIT_S
                self._heard_at_ms = now_ms = monotonic_ms()
                self._take(envelope, address, now_ms)
                if not tells_loads and self._choice.is_home(address):
                    tells_loads = True
                    tasks.start_soon(self._reports.send_loads, connection)

    def _take(self, envelope: Envelope, address: Address, now_ms: int) -> None:
        message = envelope.message
        match message:
            case CatalogUpdate():
                self._install(message, now_ms)
            case SuspectServers() | RequestRulings() | ServerLimits() | FleetEntries():
                self.state.hear(message, now_ms)
            case ServerLoads():
                self.state.hear_fleet_loads(message, now_ms)
            case HallEntries(addresses=addresses):
                self.state.peers = addresses
            case RetryAnswer() | GrantAllowances():
                self._questions.take_answer(envelope.call_id, message)
            case VerdictBatch():
                self.state.apply(message)
            case CatalogHeartbeat(knowledge_age_ms=age_ms):
                self._hear(address, age_ms, now_ms)

    def _install(self, update: CatalogUpdate, now_ms: int) -> None:
        if not self.state.install(update, now_ms):
            return
        self.updates += 1
        sheet = self.state.mirror.sheet
        logger.info(
            "in force: catalog %d, sheet version %s, %d backend servers",
            update.revision,
            sheet.version if sheet else "none",
            len(self.state.mirror.servers),
        )

    def _hear(self, address: Address, age_ms: int, now_ms: int) -> None:
        is_stale = age_ms > KNOWLEDGE_AGE_LIMIT_MS
        # Where all replicas are without a leader, one that is followed is the first to
        # tell of the next; going round them would only keep them busy.
        if is_stale and self._choice.has_other(address, now_ms):
            raise CinderwayError(
                ErrorCode.NO_QUORUM,
                f"what the replica knows is {age_ms} ms old",
                step=Step.RECEIVE,
                peer=address,
            )
        self._note_age(age_ms, self._sent_times.heard(now_ms))

    def _note_age(self, age_ms: int, now_ms: int) -> None:
        self.state.current_at_ms = max(self.state.current_at_ms, now_ms - age_ms)


def _avoid_ms(error: Exception) -> int:
    is_leaderless = (
        isinstance(error, CinderwayError) and error.code is ErrorCode.NO_QUORUM
    )
    return LEADERLESS_AVOID_MS if is_leaderless else AVOID_MS
