"""What an entry tells the control replica that it follows: observations and loads."""

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
from cinderway.judgement import EvidenceLog, evidence_from
from cinderway.wire import Connection, Message

logger = logging.getLogger(__name__)

# Between two looks for observations to send, and the time that sending may take.
REPORT_PAUSE_S = 0.1
# Good observations are gathered for this long; bad ones go out at the next look.
GATHER_MS = 500
# Loads that change within this time are told together.
LOAD_PAUSE_S = 0.01


class CatalogReports:
    """Sends what the entry came to know; what cannot be sent in time is lost.

    `first_requests` counts requests by service since the last batch: the shared retry
    budget grows with them.
    """

    def __init__(self, entry: EntryName, data_hall: DataHall, state: CatalogBoard):
        self._entry = entry
        self._data_hall = data_hall
        self._state = state
        self.first_requests: Counter[ServiceName] = Counter()

    async def send_evidence(self, connection: Connection) -> None:
        """Report what requests showed of servers, as long as there are requests."""
        evidence = self._state.evidence
        reported_at_ms = 0
        while True:
            await self._state.activity.wait()
            with anyio.move_on_after(self._pause_s(evidence)):
                await self._state.bad_news.wait()
            self._state.bad_news = anyio.Event()
            now_ms = monotonic_ms()
            evidence.sweep(now_ms)
            is_due = now_ms - reported_at_ms >= GATHER_MS
            if not evidence.has_urgent and not is_due:
                continue
            counts = evidence.take()
            if counts:
                reported_at_ms = now_ms
                await self._send_batch(connection, counts)
            elif not self._state.board.in_flight:
                self._state.activity = anyio.Event()

    @staticmethod
    def _pause_s(evidence: EvidenceLog) -> float:
        """Return the time until the next look: sooner if a request will be late."""
        late_in_s = (evidence.next_late_at_ms() - monotonic_ms()) / 1000
        return min(max(late_in_s, 0.0), REPORT_PAUSE_S)

    async def send_loads(self, connection: Connection) -> None:
        """Tell the hall how full servers are, whenever that changes."""
        while True:
            await self._state.loads_changed.wait()
            told = self._state.take_loads(monotonic_ms())
            await _tell(connection, told, "loads of servers")
            await anyio.sleep(LOAD_PAUSE_S)

    async def send_turned_away(self, connection: Connection) -> None:
        """Tell the hall at once which servers turn requests away."""
        while True:
            await self._state.turned_away.wait()
            told = self._state.take_turned_away(monotonic_ms())
            await _tell(connection, told, "servers that turn requests away")
            await anyio.sleep(LOAD_PAUSE_S)

    async def send_runs(self, connection: Connection) -> None:
        """Tell at once under which requests servers ended."""
        watch = self._state.poison
        while True:
            await watch.has_news.wait()
            runs = watch.take_runs()
            put_back = partial(watch.put_back, runs)
            await _tell(connection, runs, "ends of servers", put_back)
            await anyio.sleep(LOAD_PAUSE_S)

    async def send_limits(self, connection: Connection) -> None:
        """Tell at once which servers name a rate, or none any more."""
        watch = self._state.board.limits
        while True:
            await watch.has_news.wait()
            told = watch.take_news(monotonic_ms())
            await _tell(
                connection, told, "limits of servers", partial(watch.put_back, told)
            )
            await anyio.sleep(LOAD_PAUSE_S)

    async def _send_batch(self, connection: Connection, counts: dict) -> None:
        found = [
            evidence_from(service, server, seen)
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
        await _tell(connection, batch, f"observations of {len(found)} servers")


async def _tell(
    connection: Connection,
    message: Message,
    what: str,
    put_back: Callable[[], None] | None = None,
) -> None:
    """Send a message in time, or give the connection up.

    `put_back` keeps what was not sent. It is called first: the caller may be cancelled
    as soon as the connection is closed.
    """
    try:
        with anyio.fail_after(REPORT_PAUSE_S):
            await connection.send(message)
    except (CinderwayError, TimeoutError) as error:
        if put_back is not None:
            put_back()
        logger.info("%s were not told: %s", what, str(error) or "slow")
        await connection.aclose()
