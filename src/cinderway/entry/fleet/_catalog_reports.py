"""Reports of an entry to the control replica that it follows: evidence and loads."""

import logging
from collections import Counter
from collections.abc import Callable
from functools import partial

import anyio
import msgspec

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError
from cinderway._ids import DataHall, EntryName, ServiceName
from cinderway.catalog import EvidenceBatch
from cinderway.entry._catalog_board import CatalogBoard
from cinderway.judgement import EvidenceLog, build_evidence
from cinderway.wire import Connection, Message

logger = logging.getLogger(__name__)

# Interval between checks for evidence to send, and the timeout of each send.
REPORT_INTERVAL_S = 0.1
# Good observations are batched for this long; bad ones are sent at the next check.
BATCH_INTERVAL_MS = 500
# Pause after each message: changes within this time are sent together.
SEND_PAUSE_S = 0.01


class CatalogReports:
    """Sends what the entry observed.

    Evidence, loads and rejecting servers that cannot be sent in time are lost; ends of
    servers and rate limits are queued again.

    `first_requests` counts requests by service since the last batch, retries excluded;
    the replica credits the shared retry budget with them.
    """

    def __init__(self, entry: EntryName, data_hall: DataHall, state: CatalogBoard):
        self._entry = entry
        self._data_hall = data_hall
        self._state = state
        self.first_requests: Counter[ServiceName] = Counter()

    async def send_evidence(self, connection: Connection) -> None:
        """Send evidence on backend servers while there are requests."""
        evidence = self._state.evidence
        reported_at_ms = 0
        while True:
            await self._state.activity.wait()
            with anyio.move_on_after(self._compute_pause_s(evidence)):
                await self._state.has_alarms.wait()
            self._state.has_alarms = anyio.Event()
            now_ms = monotonic_ms()
            evidence.record_overdue(now_ms)
            is_due = now_ms - reported_at_ms >= BATCH_INTERVAL_MS
            if not evidence.has_urgent_evidence and not is_due:
                continue
            counts = evidence.pop_counts()
            if counts:
                reported_at_ms = now_ms
                await self._send_evidence_batch(connection, counts)
            elif not self._state.board.in_flight:
                self._state.activity = anyio.Event()

    @staticmethod
    def _compute_pause_s(evidence: EvidenceLog) -> float:
        """Return the time until the next check, earlier if a request will be late."""
        next_late_in_s = (evidence.next_late_at_ms() - monotonic_ms()) / 1000
        return min(max(next_late_in_s, 0.0), REPORT_INTERVAL_S)

    async def send_loads(self, connection: Connection) -> None:
        """Send the data hall the loads of servers whenever they change."""
        while True:
            await self._state.loads_changed.wait()
            loads = self._state.pop_loads(monotonic_ms())
            await _send_or_close(connection, loads, "loads of servers")
            await anyio.sleep(SEND_PAUSE_S)

    async def send_rejecting_servers(self, connection: Connection) -> None:
        """Send the data hall at once the servers that reject requests."""
        while True:
            await self._state.has_rejections.wait()
            suspects = self._state.pop_rejecting_servers(monotonic_ms())
            await _send_or_close(connection, suspects, "servers that reject requests")
            await anyio.sleep(SEND_PAUSE_S)

    async def send_ended_runs(self, connection: Connection) -> None:
        """Send at once the requests during which server processes ended."""
        watch = self._state.poison
        while True:
            await watch.has_changes.wait()
            runs = watch.pop_runs()
            requeue = partial(watch.requeue, runs)
            await _send_or_close(connection, runs, "ends of servers", requeue)
            await anyio.sleep(SEND_PAUSE_S)

    async def send_limits(self, connection: Connection) -> None:
        """Send at once which servers ask for a rate limit, or have lifted it."""
        watch = self._state.board.limits
        while True:
            await watch.has_changes.wait()
            limits = watch.pop_changes(monotonic_ms())
            await _send_or_close(
                connection, limits, "limits of servers", partial(watch.requeue, limits)
            )
            await anyio.sleep(SEND_PAUSE_S)

    async def _send_evidence_batch(self, connection: Connection, counts: dict) -> None:
        found = [
            build_evidence(service, server, seen)
            for (service, server), seen in counts.items()
        ]
        first, self.first_requests = self.first_requests, Counter()
        batch = EvidenceBatch(
            self._entry,
            self._data_hall,
            msgspec.msgpack.encode(found),
            list(first),
            list(first.values()),
        )
        await _send_or_close(connection, batch, f"observations of {len(found)} servers")


async def _send_or_close(
    connection: Connection,
    message: Message,
    what: str,
    requeue: Callable[[], None] | None = None,
) -> None:
    """Send a message, or close the connection if that takes too long.

    `requeue` queues again what was not sent. It runs before the connection is closed,
    because the caller may be cancelled as soon as it is.
    """
    try:
        with anyio.fail_after(REPORT_INTERVAL_S):
            await connection.send(message)
    except (CinderwayError, TimeoutError) as error:
        if requeue is not None:
            requeue()
        logger.info("%s were not sent: %s", what, str(error) or "slow")
        await connection.aclose()
