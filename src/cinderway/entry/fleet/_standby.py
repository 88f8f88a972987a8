"""A second control replica that an entry keeps a connection to.

It tells twice a second how new the catalog is there. An entry whose own replica has not
told it of that is served the change from here at once, whatever has become of the other
one; and when it loses its replica, it turns to this one within a round trip.

An entry that had only one replica was without the change for as long as it took to
notice the loss and to open a connection: 3.4 s where its link was busy.
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
from cinderway.entry.fleet._replica_choice import ReplicaChoice
from cinderway.entry.fleet._sent_times import SentTimes
from cinderway.wire import Connection, Envelope, Failure

logger = logging.getLogger(__name__)

# Three heartbeats of the replica.
SILENT_LIMIT_S = 1.6
# A replica that hears a leader has a change a quarter of a second after the leader at
# most, with its heartbeat; what is fetched before would come twice.
OWN_REPLICA_FIRST_MS = 400
# Between two questions which replicas there are. An entry that asked once, while the
# fleet started, did not know the second replica of its own hall, and turned to other
# halls when it lost the first.
REVIEW_MS = 5_000
RETRY_PAUSE_S = 0.5
# Of the calls on a standby's connection, which others may follow on.
FIND_CALL_ID, FETCH_CALL_ID = 1, 2


@dataclass
class Standby:
    """Keeps one session besides the one that is followed.

    `known_revision` returns the catalog's revision here, `is_being_told` whether the
    followed replica is in the midst of a message. `install` takes an update, `note_age`
    how old what is held may be, if it is as new as the replica's, and when that was.
    """

    entry: EntryName
    sessions: ControlSessions
    choice: ReplicaChoice
    known_revision: Callable[[], int]
    is_being_told: Callable[[], bool]
    install: Callable[[CatalogUpdate], None]
    note_age: Callable[[int, int], None]
    age_limit_ms: int
    fetches: int = 0
    _session: ControlSession | None = None
    # When what the replica here knows was new, by its last word.
    _known_at_ms: int | None = None
    _sent_times: SentTimes = field(default_factory=SentTimes)
    _revision: int = 0
    _behind_since_ms: int | None = None
    _is_fetching: bool = False
    _watching: anyio.CancelScope | None = None
    _released: anyio.Event = field(default_factory=anyio.Event)

    async def run(self) -> None:
        """Keep a session until cancelled."""
        while True:
            session = await self.sessions.open_first(
                self.choice.standbys(monotonic_ms())
            )
            if session is not None:
                await self._watch(session)
            else:
                await anyio.sleep(RETRY_PAUSE_S)

    @property
    def is_current(self) -> bool:
        """Whether the replica here was heard lately, and what it knows was new then."""
        if self._known_at_ms is None:
            return False
        return monotonic_ms() - self._known_at_ms <= self.age_limit_ms

    @property
    def is_current_at_home(self) -> bool:
        """Whether a replica of the own data hall stands by, and is current."""
        session = self._session
        if session is None or not self.is_current:
            return False
        return self.choice.is_home(session.address)

    async def take(self) -> ControlSession | None:
        """Return the session, for whoever follows it from now on; None if unfit."""
        session = self._session
        if session is None or not self.is_current:
            return None
        if self.choice.has_better(session.address, monotonic_ms()):
            return None
        self._session = None
        # Before the next standby is looked for: it must be another replica.
        self.choice.followed = session.address
        self._watching.cancel()
        await self._released.wait()
        return session

    async def _watch(self, session: ControlSession) -> None:
        self._session = session
        self._known_at_ms = self._behind_since_ms = None
        self._sent_times = SentTimes()
        self._is_fetching = False
        self._released = anyio.Event()
        self._watching = anyio.CancelScope()
        try:
            with self._watching:
                logger.info("control replica %s stands by", session.address)
                await session.connection.send(StandBy(self.entry))
                await self._listen(session)
        except (CinderwayError, TimeoutError) as error:
            self.choice.avoid(session.address, monotonic_ms())
            logger.info(
                "control replica %s no longer stands by: %s",
                session.address,
                str(error) or "silent",
            )
        finally:
            if self._session is session:
                self._session = None
                await session.connection.aclose()
            self._released.set()

    async def _listen(self, session: ControlSession) -> None:
        """Hear the replica until a better one may be there; raise when it is silent."""
        review_at_ms = monotonic_ms()
        while session.address != self.choice.followed:
            now_ms = monotonic_ms()
            if now_ms >= review_at_ms:
                review_at_ms = now_ms + REVIEW_MS
                await session.connection.send(FindReplicas(), FIND_CALL_ID)
            envelope = await self._next_message(session.connection)
            self._take(envelope)
            if self._is_other_better(envelope, session.address):
                return

    def _is_other_better(self, envelope: Envelope, address: Address) -> bool:
        """Whether a list of replicas has just come that names a better one."""
        if not isinstance(envelope.message, ReplicasAnswer):
            return False
        return self.choice.standbys(monotonic_ms())[:1] != [address]

    async def _next_message(self, connection: Connection) -> Envelope:
        """Return what comes next; meanwhile, fetch what the own replica does not tell.

        Raises TimeoutError when nothing comes for too long.
        """
        silent_at_ms = monotonic_ms() + round(SILENT_LIMIT_S * 1000)
        if self._behind_since_ms is not None and not self._is_fetching:
            fetch_at_ms = self._behind_since_ms + OWN_REPLICA_FIRST_MS
            with anyio.move_on_after(_left_s(fetch_at_ms)):
                return await connection.receive()
            await self._fetch_if_behind(connection)
        with anyio.fail_after(_left_s(silent_at_ms)):
            return await connection.receive()

    def _take(self, envelope: Envelope) -> None:
        match envelope.message:
            case CatalogUpdate() as update:
                self._is_fetching = False
                self.install(update)
            case ReplicasAnswer(replicas=replicas):
                self.choice.learn(replicas)
            case Failure(detail=detail):
                self._is_fetching = False
                logger.info("the replica that stands by has nothing newer: %s", detail)
            case CatalogHeartbeat(knowledge_age_ms=age_ms, revision=revision):
                sent_at_ms = self._sent_times.heard(monotonic_ms())
                self._known_at_ms = sent_at_ms - age_ms
                self._revision = revision
                self._compare(age_ms, sent_at_ms)

    def _compare(self, age_ms: int, sent_at_ms: int) -> None:
        if self._revision <= self.known_revision():
            self._behind_since_ms = None
            self.note_age(age_ms, sent_at_ms)
        elif self._behind_since_ms is None:
            self._behind_since_ms = monotonic_ms()

    async def _fetch_if_behind(self, connection: Connection) -> None:
        known_revision = self.known_revision()
        if self._revision <= known_revision:
            self._behind_since_ms = None
            return
        # A large change takes its time on a slow link; twice, it would take longer.
        if self.is_being_told():
            return
        self._is_fetching = True
        self.fetches += 1
        logger.info(
            "catalog %d is behind %d of %s for %d ms: fetching that",
            known_revision,
            self._revision,
            connection.peer,
            monotonic_ms() - self._behind_since_ms,
        )
        await connection.send(FetchCatalog(known_revision), FETCH_CALL_ID)


def _left_s(at_ms: int) -> float:
    return max(at_ms - monotonic_ms(), 0) / 1000
