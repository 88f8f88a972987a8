"""Distributes which requests make servers end, between replicas and to entries.

A run of a request has ended if its server ended during it. Each replica counts the
ended runs that all entries saw: its own entries report theirs, and the other replicas
forward those of their entries. So each replica decides by itself, also without a
leader, which requests are refused.
"""

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import anyio

from cinderway._clock import monotonic_ms
from cinderway._ids import Address, RequestDigest
from cinderway.catalog import CATALOG, CatalogMachine
from cinderway.control._commands import ReplicaCalls
from cinderway.control._follower import Follower
from cinderway.control._tellings import BestEffortSender
from cinderway.poison import (
    EndedRun,
    PoisonTally,
    RequestRuling,
    RequestRulings,
    RequestRuns,
    Ruling,
)
from cinderway.wire import Message

logger = logging.getLogger(__name__)

# All requests in flight at a server end with it at the same moment; reports of them are
# sent together.
BATCH_DELAY_S = 0.005
# A replica that was partitioned or has restarted learns within this time which requests
# are refused and which are no longer refused.
RESEND_PERIOD_S = 2.0
REPLICA_SEND_TIMEOUT_S = 1.0
# Per message; the newest are sent.
MAX_LINES_PER_MESSAGE = 256


@dataclass
class PoisonGossip:
    """Counts ended runs by request, and sends the rulings on requests to entries."""

    own_address: Address
    machine: CatalogMachine
    calls: ReplicaCalls
    followers: Callable[[], set[Follower]]
    tally: PoisonTally = field(default_factory=PoisonTally)
    # Reported by entries that follow this replica, not yet sent to other replicas.
    _pending_ended: list[EndedRun] = field(default_factory=list)
    _pending_good: list[RequestDigest] = field(default_factory=list)
    _pending_rulings: dict[RequestDigest, Ruling] = field(default_factory=dict)
    _update_pending: anyio.Event = field(default_factory=anyio.Event)
    _sender: BestEffortSender = field(init=False)

    def __post_init__(self):
        self._sender = BestEffortSender(self.calls, REPLICA_SEND_TIMEOUT_S)

    async def run(self) -> None:
        """Forward runs and rulings until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._sender.start(tasks)
            tasks.start_soon(self._resend_rulings)
            while True:
                await self._update_pending.wait()
                await anyio.sleep(BATCH_DELAY_S)
                self._update_pending = anyio.Event()
                self._send_pending()

    def receive_entry_runs(self, runs: RequestRuns) -> None:
        """Receive runs from an entry; they are forwarded to the other replicas."""
        self._pending_ended += runs.ended
        self._pending_good += runs.good
        self.receive_replica_runs(runs)

    def receive_replica_runs(self, runs: RequestRuns) -> None:
        """Receive runs that another replica's entries saw."""
        for ruling in self.tally.record_runs(runs, monotonic_ms()):
            self._queue_ruling(ruling)
        self._update_pending.set()

    def receive_rulings(self, rulings: RequestRulings) -> None:
        """Receive rulings of an entry or another replica; keep those that are newer."""
        for ruling in self.tally.apply_rulings(rulings, monotonic_ms()):
            self._queue_ruling(ruling)

    def apply_stored_rulings(self, rulings: Iterable[Ruling]) -> None:
        """Apply the rulings that are newer than those known here."""
        now_ms = monotonic_ms()
        for ruling in rulings:
            if self.tally.apply_ruling(ruling, now_ms):
                self._queue_ruling(ruling)

    def bar(self, digest: RequestDigest) -> None:
        """Refuse a request by an operator's command."""
        self._apply_operator_ruling(self.tally.bar(digest, monotonic_ms()))

    def lift(self, digest: RequestDigest) -> None:
        """Allow a request again by an operator's command."""
        self._apply_operator_ruling(self.tally.lift(digest, monotonic_ms()))

    def _apply_operator_ruling(self, ruling: Ruling) -> None:
        self._queue_ruling(ruling)
        self._send_to_replicas(_build_message([ruling]))

    def rulings(self) -> RequestRulings:
        """Return the rulings in force, for an entry that begins to follow."""
        return _build_message(self.tally.rulings(monotonic_ms()))

    def _queue_ruling(self, ruling: Ruling) -> None:
        self._pending_rulings[ruling.digest] = ruling
        self._update_pending.set()
        logger.info("%s", ruling)

    def _send_pending(self) -> None:
        rulings, self._pending_rulings = self._pending_rulings, {}
        if rulings:
            frame = CATALOG.encode(_build_message(list(rulings.values())))
            for follower in self.followers():
                follower.queue_frames([frame])
        ended, self._pending_ended = self._pending_ended[-MAX_LINES_PER_MESSAGE:], []
        good, self._pending_good = self._pending_good[-MAX_LINES_PER_MESSAGE:], []
        if ended or good:
            self._send_to_replicas(RequestRuns(ended, good))

    async def _resend_rulings(self) -> None:
        while True:
            await anyio.sleep(RESEND_PERIOD_S)
            rulings = self.rulings()
            if rulings.lines:
                self._send_to_replicas(rulings)

    def _send_to_replicas(self, message: Message) -> None:
        other_replicas = [a for a in self.machine.replicas if a != self.own_address]
        self._sender.send(other_replicas, message)


def _build_message(rulings: list[Ruling]) -> RequestRulings:
    now_ms = monotonic_ms()
    lines = [
        RequestRuling.from_ruling(ruling, now_ms)
        for ruling in rulings[-MAX_LINES_PER_MESSAGE:]
    ]
    return RequestRulings(lines)
