"""The standby: a second control replica that an entry keeps a connection to.

The standby's heartbeat, sent twice a second, says which catalog revision it has. If the
followed replica has not delivered that revision, the entry soon fetches it from the
standby, whatever has happened to the followed replica. When the entry loses that
replica, it fails over to the standby within a round trip.

With only one replica, an entry would miss a change for as long as it takes to notice
the loss and to open a new connection: 3.4 s were seen on a busy link.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError
from cinderway._ids import Address, EntryName
from cinderway.catalog import (
    CatalogHeartbeat,
    CatalogUpdate,
    FetchCatalog,
    FindReplicas,
    ReplicasAnswer,
    StandBy,
)
from cinderway.entry.fleet._control_sessions import ControlSession, ControlSessions
from cinderway.entry.fleet._heartbeat_times import HeartbeatSendTimes
from cinderway.entry.fleet._replica_choice import ReplicaChoice
from cinderway.wire import Connection, Envelope, Failure

logger = logging.getLogger(__name__)

# Three heartbeat intervals of the replica, and some slack.
SILENCE_TIMEOUT_S = 1.6
# Wait this long before fetching a change: a replica with a leader gets it with the
# leader's heartbeat, at most 250 ms after the leader. A change fetched before the
# followed replica has sent it would be transferred twice.
FETCH_DELAY_MS = 400
# Interval between requests for the list of replicas. An entry that asked only once,
# while the fleet was starting, did not know the second replica of its own data hall and
# failed over to another hall when it lost the first.
FIND_REPLICAS_INTERVAL_MS = 5_000
RETRY_PAUSE_S = 0.5
# Call ids on a standby's connection. Calls made after it is followed have other ids.
FIND_CALL_ID, FETCH_CALL_ID = 1, 2


@dataclass
class Standby:
    """Keeps a session with a second replica besides the followed one.

    `known_revision` returns the entry's catalog revision, and `is_update_incoming`
    whether a message from the followed replica has arrived in part. `install` applies
    an update. `record_age` is called when the entry's catalog is as new as the
    standby's: with the age of the standby's knowledge, and the time of that age.
    """

    entry: EntryName
    sessions: ControlSessions
    choice: ReplicaChoice
    known_revision: Callable[[], int]
    is_update_incoming: Callable[[], bool]
    install: Callable[[CatalogUpdate], None]
    record_age: Callable[[int, int], None]
    age_limit_ms: int
    fetches: int = 0
    # When the last heartbeat of a standby arrived.
    received_at_ms: int = 0
    _session: ControlSession | None = None
    # The time at which the standby's knowledge was current, by its last heartbeat.
    _current_at_ms: int | None = None
    _sent_times: HeartbeatSendTimes = field(default_factory=HeartbeatSendTimes)
    _revision: int = 0
    _behind_since_ms: int | None = None
    _is_fetching: bool = False
    _session_scope: anyio.CancelScope | None = None
    _released: anyio.Event = field(default_factory=anyio.Event)

    async def run(self) -> None:
        """Keep a session until cancelled."""
        while True:
            session = await self.sessions.open_first(
                self.choice.standbys(monotonic_ms())
            )
            if session is not None:
                await self._run_session(session)
            else:
                await anyio.sleep(RETRY_PAUSE_S)

    @property
    def is_connected(self) -> bool:
        """Whether there is a session with another replica than the followed one.

        Until its next message, one with a replica that is followed since remains.
        """
        session = self._session
        return session is not None and session.address != self.choice.followed

    @property
    def is_current(self) -> bool:
        """Whether a recent heartbeat shows that the standby's knowledge is current."""
        if self._current_at_ms is None:
            return False
        return monotonic_ms() - self._current_at_ms <= self.age_limit_ms

    @property
    def is_current_at_home(self) -> bool:
        """Whether the standby is current and in the entry's own data hall."""
        session = self._session
        if session is None or not self.is_current:
            return False
        return self.choice.is_home(session.address)

    async def hand_over(self) -> ControlSession | None:
        """Return the session, to be followed from now on; None if none is usable."""
        session = self._session
        if session is None or not self.is_current:
            return None
        if self.choice.has_home_alternative(session.address, monotonic_ms()):
            return None
        self._session = None
        # Set before the next standby is chosen, which must be another replica.
        self.choice.followed = session.address
        self._session_scope.cancel()
        await self._released.wait()
        return session

    async def _run_session(self, session: ControlSession) -> None:
        self._session = session
        self._current_at_ms = self._behind_since_ms = None
        self._sent_times = HeartbeatSendTimes()
        self._is_fetching = False
        self._released = anyio.Event()
        self._session_scope = anyio.CancelScope()
        try:
            with self._session_scope:
                logger.info("control replica %s is the standby", session.address)
                await session.connection.send(StandBy(self.entry))
                await self._receive_messages(session)
        except (CinderwayError, TimeoutError) as error:
            self.choice.avoid(session.address, monotonic_ms())
            logger.info(
                "lost standby control replica %s: %s",
                session.address,
                str(error) or "silent",
            )
        finally:
            if self._session is session:
                self._session = None
                await session.connection.aclose()
            self._released.set()

    async def _receive_messages(self, session: ControlSession) -> None:
        """Receive until a better standby is known; raise TimeoutError on silence."""
        next_find_at_ms = monotonic_ms()
        while session.address != self.choice.followed:
            now_ms = monotonic_ms()
            if now_ms >= next_find_at_ms:
                next_find_at_ms = now_ms + FIND_REPLICAS_INTERVAL_MS
                await session.connection.send(FindReplicas(), FIND_CALL_ID)
            envelope = await self._receive_or_fetch(session.connection)
            self._receive_message(envelope)
            if self._has_better_standby(envelope, session.address):
                return

    def _has_better_standby(self, envelope: Envelope, address: Address) -> bool:
        """Whether the message is a replica list that puts another standby first."""
        if not isinstance(envelope.message, ReplicasAnswer):
            return False
        return self.choice.standbys(monotonic_ms())[:1] != [address]

    async def _receive_or_fetch(self, connection: Connection) -> Envelope:
        """Return the next message; fetch a change that the followed replica lacks.

        Raises TimeoutError when no message arrives in time.
        """
        deadline_ms = monotonic_ms() + round(SILENCE_TIMEOUT_S * 1000)
        if self._behind_since_ms is not None and not self._is_fetching:
            fetch_at_ms = self._behind_since_ms + FETCH_DELAY_MS
            with anyio.move_on_after(_compute_remaining_s(fetch_at_ms)):
                return await connection.receive()
            await self._fetch_if_behind(connection)
        with anyio.fail_after(_compute_remaining_s(deadline_ms)):
            return await connection.receive()

    def _receive_message(self, envelope: Envelope) -> None:
        match envelope.message:
            case CatalogUpdate() as update:
                self._is_fetching = False
                self.install(update)
            case ReplicasAnswer(replicas=replicas):
                self.choice.update_replicas(replicas)
            case Failure(detail=detail):
                self._is_fetching = False
                logger.info("cannot fetch the catalog from the standby: %s", detail)
            case CatalogHeartbeat(knowledge_age_ms=age_ms, revision=revision):
                self.received_at_ms = monotonic_ms()
                sent_at_ms = self._sent_times.record_heartbeat(self.received_at_ms)
                self._current_at_ms = sent_at_ms - age_ms
                self._revision = revision
                self._compare_revisions(age_ms, sent_at_ms)

    def _compare_revisions(self, age_ms: int, sent_at_ms: int) -> None:
        if self._revision <= self.known_revision():
            self._behind_since_ms = None
            self.record_age(age_ms, sent_at_ms)
        elif self._behind_since_ms is None:
            self._behind_since_ms = monotonic_ms()

    async def _fetch_if_behind(self, connection: Connection) -> None:
        known_revision = self.known_revision()
        if self._revision <= known_revision:
            self._behind_since_ms = None
            return
        # The followed replica may be sending the change. A large one takes long on a
        # slow link, and transferring it twice would take longer still.
        if self.is_update_incoming():
            return
        self._is_fetching = True
        self.fetches += 1
        logger.info(
            "catalog %d has been behind %d of %s for %d ms: fetching",
            known_revision,
            self._revision,
            connection.peer,
            monotonic_ms() - self._behind_since_ms,
        )
        await connection.send(FetchCatalog(known_revision), FETCH_CALL_ID)


def _compute_remaining_s(at_ms: int) -> float:
    return max(at_ms - monotonic_ms(), 0) / 1000
