"""Follow the catalog at one control replica, in the entry's own data hall if possible.

The replica's heartbeat, sent twice a second, says how old the replica's own knowledge
is. When that age passes a limit, or no message arrives, the entry fails over to its
standby replica. Its copy of the catalog stays in force meanwhile and never reverts to
an older revision.
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
from cinderway.entry.fleet._heartbeat_times import HeartbeatSendTimes
from cinderway.entry.fleet._questions import ReplicaRequests
from cinderway.entry.fleet._replica_choice import (
    AVOID_MS,
    LEADERLESS_AVOID_MS,
    ReplicaChoice,
)
from cinderway.entry.fleet._shared_retries import SharedRetries
from cinderway.entry.fleet._standby import SILENCE_TIMEOUT_S, Standby
from cinderway.limits import AllowanceReserve, AllowanceRules, ReserveTerms
from cinderway.poison import RequestRulings
from cinderway.pushback import FleetEntries, ServerLimits
from cinderway.wire import Connection, Envelope, Identity, connect

logger = logging.getLogger(__name__)

# A leader that is partitioned off notices it within 0.9 s. With that, this limit and a
# heartbeat interval, an entry in a partition leaves the minority's replicas within 3 s.
KNOWLEDGE_AGE_LIMIT_MS = 1_300
# Longer than the interval between a replica's heartbeats: one that is asked something
# and sends nothing for this long stands still, and does not only answer slowly.
SILENT_REPLICA_MS = 600
SILENCE_POLL_S = 0.05
# Pause between two attempts that each try all replicas.
RECONNECT_PAUSE_S = 0.1
# Revokes all verdicts that are in force.
NO_VERDICTS = VerdictBatch([], [])


@dataclass
class CatalogFollower:
    """Keeps an entry's copy of the catalog up to date.

    It is also the entry's retry budget. Retries are paid from a budget that all entries
    following the replica share or, without a replica, from a small local budget.
    """

    settings: CatalogEntrySettings
    state: CatalogBoard
    identity: Identity
    metrics: Metrics = field(default_factory=Metrics)
    connect: Connect = connect
    updates: int = 0
    _connection: Connection | None = None
    # Set while no replica is followed.
    _is_disconnected: anyio.Event = field(default_factory=anyio.Event)
    # When the last message from the followed replica arrived.
    _received_at_ms: int = 0
    # Ends when the followed replica is left as silent.
    _silence_scope: anyio.CancelScope | None = None
    _sent_times: HeartbeatSendTimes = field(default_factory=HeartbeatSendTimes)
    _requests: ReplicaRequests = field(default_factory=ReplicaRequests)

    def __post_init__(self):
        self._is_disconnected.set()
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
            is_update_incoming=lambda: self._is_update_incoming,
            install=lambda update: self._apply_update(update, monotonic_ms()),
            record_age=self._record_age,
            age_limit_ms=KNOWLEDGE_AGE_LIMIT_MS,
        )
        self._reports = CatalogReports(
            self.settings.name, self.settings.data_hall, self.state
        )
        self._reserve = AllowanceReserve(self.settings.name, monotonic_ms())
        self.allowances = Allowances(self._request_allowances, reserve=self._reserve)
        self._retries = SharedRetries(self._requests, self._leave_when_silent)

    def apply_settings(self, settings: CatalogEntrySettings) -> None:
        """Apply the settings that may change while the process runs: the seeds."""
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
            session = await self._open_session()
            if session is None:
                await anyio.sleep(RECONNECT_PAUSE_S)
                continue
            await self._follow_until_lost(session)

    async def _open_session(self) -> ControlSession | None:
        """Return a session with the replica to follow; None if none can be opened."""
        session = await self._standby.hand_over()
        if session is not None:
            return session
        now_ms = monotonic_ms()
        session = await self._sessions.open_first(self._choice.candidates(now_ms))
        if session is None or not session.is_first_contact:
            return session
        if self._choice.has_home_alternative(session.address, monotonic_ms()):
            # Its list names a replica in the entry's own data hall. Following this one
            # would send traffic between data halls.
            await session.connection.aclose()
            return None
        return session

    @property
    def is_following(self) -> bool:
        """Whether a control replica serves this entry now."""
        return self._connection is not None

    async def wait_disconnected(self) -> None:
        """Return once no control replica is followed."""
        await self._is_disconnected.wait()

    @property
    def _is_update_incoming(self) -> bool:
        """Whether a message from the followed replica has arrived in part."""
        return self._connection is not None and self._connection.is_receiving

    # Retries.

    def credit(self, service: ServiceState) -> None:
        """Credit the retry budget for a request that came in."""
        if self._connection is None:
            service.budget.credit()
        else:
            self._reports.first_requests[service.row.name] += 1

    async def consume(
        self, service: ServiceState, *, until_ms: float, after_failure: bool = True
    ) -> bool:
        """Consume one retry from the budget; False if none is granted in time."""
        return await self._retries.consume(
            service, until_ms, after_failure=after_failure
        )

    # Allowances.

    async def _request_allowances(
        self, asked: AskAllowances, timeout_s: float
    ) -> GrantAllowances | None:
        answer = await self._requests.call(asked, timeout_s)
        return answer if isinstance(answer, GrantAllowances) else None

    # Following.

    async def _follow_until_lost(self, session: ControlSession) -> None:
        address = session.address
        self._choice.followed = address
        try:
            await self._follow(session.connection, address)
        except (CinderwayError, TimeoutError) as error:
            self._choice.avoid(address, monotonic_ms(), _choose_avoid_ms(error))
            # Its verdicts no longer hold; the next replica decides anew within seconds.
            self.state.apply(NO_VERDICTS)
            logger.warning(
                "lost control replica %s, last message %d ms ago: %s; "
                "catalog %d stays in force",
                address,
                monotonic_ms() - self._received_at_ms,
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
        # A replica that has restarted knows neither which requests are refused nor the
        # servers' rate limits.
        rulings = self.state.poison.rulings()
        if rulings.lines:
            await connection.send(rulings)
        limits = self.state.board.limits.limits(monotonic_ms())
        if limits.lines:
            await connection.send(limits)
        logger.info(
            "following control replica %s of %s from catalog %d",
            address,
            self._choice.find_hall(address) or "an unknown hall",
            known_revision,
        )
        self.state.reset_for_new_replica()
        failure: Exception | None = None
        # Retries credited to the local budget must not be spent on top of the shared
        # budget later.
        for service in self.state.board.services.values():
            service.budget.clear()
        self._received_at_ms = monotonic_ms()
        self._sent_times = HeartbeatSendTimes()
        self._connection = connection
        self._is_disconnected = anyio.Event()
        self._requests.connect(connection)
        self.allowances.switch_replica()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._reports.send_evidence, connection)
            tasks.start_soon(self._reports.send_ended_runs, connection)
            tasks.start_soon(self._reports.send_rejecting_servers, connection)
            tasks.start_soon(self._reports.send_limits, connection)
            try:
                await self._receive_messages(connection, address, tasks)
            except (CinderwayError, TimeoutError) as error:
                failure = error
            self._connection = None
            self._is_disconnected.set()
            self._requests.disconnect()
            self.state.reset_for_new_replica()
            tasks.cancel_scope.cancel()
        if failure is not None:
            raise failure

    async def _receive_messages(
        self, connection: Connection, address: Address, tasks: anyio.abc.TaskGroup
    ) -> None:
        """Process the replica's messages; raise TimeoutError when it is silent.

        Returns when the replica is in another data hall and a current standby is in the
        entry's own.

        Loads are sent only to a replica of the entry's own data hall, as soon as it is
        known to be one: a replica may announce itself only after it is followed.
        """
        is_sending_loads = False
        # A single scope whose deadline is moved: opening a new one for each message
        # would cost as much as reading the message.
        with anyio.fail_after(SILENCE_TIMEOUT_S) as silence_scope:
            self._silence_scope = silence_scope
            while self._choice.is_home(address) or (
                not self._standby.is_current_at_home
            ):
                envelope = await connection.receive()
                silence_scope.deadline = anyio.current_time() + SILENCE_TIMEOUT_S
                self._received_at_ms = now_ms = monotonic_ms()
                self._receive_message(envelope, address, now_ms)
                if not is_sending_loads and self._choice.is_home(address):
                    is_sending_loads = True
                    tasks.start_soon(self._reports.send_loads, connection)

    async def _leave_when_silent(self) -> None:
        """Leave the replica once it is silent, from now on, and another is not."""
        since_ms = monotonic_ms()
        while not self._is_silent_since(since_ms, monotonic_ms()):
            since_ms = max(since_ms, self._received_at_ms)
            await anyio.sleep(SILENCE_POLL_S)
        if self._silence_scope is not None:
            self._silence_scope.deadline = anyio.current_time()

    def _is_silent_since(self, since_ms: int, now_ms: int) -> bool:
        """Whether the followed replica has been silent for long, and it alone."""
        if now_ms < since_ms + SILENT_REPLICA_MS or self._received_at_ms > since_ms:
            return False
        if self._standby.is_connected:
            return self._standby.received_at_ms > since_ms
        # Also if the others have failed a moment ago, as all do while the fleet starts.
        return len(self._choice.candidates(now_ms)) > 1

    def _receive_message(
        self, envelope: Envelope, address: Address, now_ms: int
    ) -> None:
        message = envelope.message
        self._reserve.record_contact(now_ms)
        match message:
            case CatalogUpdate():
                self._apply_update(message, now_ms)
            case SuspectServers() | RequestRulings() | ServerLimits():
                self.state.receive_message(message, now_ms)
            case FleetEntries():
                self.state.receive_message(message, now_ms)
                self._apply_reserve(message, now_ms)
            case ServerLoads():
                self.state.receive_fleet_loads(message, now_ms)
            case HallEntries():
                self.state.receive_hall_entries(message, self.settings.peers_listen)
            case RetryAnswer() | GrantAllowances():
                self._requests.receive_answer(envelope.call_id, message)
            case VerdictBatch():
                self.state.apply(message)
            case CatalogHeartbeat(knowledge_age_ms=age_ms):
                self._receive_heartbeat(address, age_ms, now_ms)

    def _apply_reserve(self, fleet: FleetEntries, now_ms: int) -> None:
        terms = _build_reserve_terms(fleet)
        has_changed = terms is not None and terms != self._reserve.terms
        if has_changed and self.state.accounts is not None:
            logger.info(
                "%d%% of each account's limit are divided among %d entries of group "
                "%s, one of %d",
                fleet.reserve_percent,
                len(terms.entries),
                terms.group,
                len(terms.groups),
            )
        self._reserve.apply(terms, now_ms)

    def _apply_update(self, update: CatalogUpdate, now_ms: int) -> None:
        if not self.state.install(update, now_ms):
            return
        self.updates += 1
        sheet = self.state.mirror.sheet
        logger.info(
            "catalog %d in force, sheet version %s, %d backend servers",
            update.revision,
            sheet.version if sheet else "none",
            len(self.state.mirror.servers),
        )

    def _receive_heartbeat(self, address: Address, age_ms: int, now_ms: int) -> None:
        is_stale = age_ms > KNOWLEDGE_AGE_LIMIT_MS
        # Where no replica has a leader, the followed one reports the next leader as
        # soon as any would; switching between replicas would only add load.
        if is_stale and self._choice.has_alternative(address, now_ms):
            raise CinderwayError(
                ErrorCode.NO_QUORUM,
                f"the replica's knowledge is {age_ms} ms old",
                step=Step.RECEIVE,
                peer=address,
            )
        self._record_age(age_ms, self._sent_times.record_heartbeat(now_ms))

    def _record_age(self, age_ms: int, now_ms: int) -> None:
        self.state.current_at_ms = max(self.state.current_at_ms, now_ms - age_ms)


def _choose_avoid_ms(error: Exception) -> int:
    is_leaderless = (
        isinstance(error, CinderwayError) and error.code is ErrorCode.NO_QUORUM
    )
    return LEADERLESS_AVOID_MS if is_leaderless else AVOID_MS


def _build_reserve_terms(fleet: FleetEntries) -> ReserveTerms | None:
    """Return how accounts' reserves are divided; None if the replica divides none."""
    if not fleet.reserve_percent or not fleet.window_ms:
        return None
    rules = AllowanceRules(fleet.window_ms, fleet.overshoot_ratio, fleet.slack_requests)
    return ReserveTerms(
        rules,
        fleet.reserve_percent / 100,
        fleet.replica,
        frozenset(fleet.replicas),
        frozenset(fleet.entries) | frozenset(fleet.absent),
    )
