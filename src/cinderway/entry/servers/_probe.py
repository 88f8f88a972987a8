"""Probes suspect servers with real, repeatable requests that no caller waits for."""

import logging
from dataclasses import dataclass

import anyio
from anyio.abc import TaskGroup

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError
from cinderway._ids import EntryName
from cinderway.entry._blackboard import Blackboard, ServerState, ServiceState
from cinderway.entry.servers._dispatch import Dispatcher
from cinderway.entry.servers._messages import BackendRequest
from cinderway.entry.servers._send_checks import can_accept
from cinderway.routing import rendezvous_rank

logger = logging.getLogger(__name__)

PROBE_INTERVAL_S = 0.05
# A probe times out after this multiple of the latency that counts as late.
PROBE_TIMEOUT_FACTOR = 2.0
MAXIMUM_PROBES_IN_FLIGHT = 4
LIVE_REFRESH_INTERVAL_MS = 1_000


@dataclass
class Prober:
    """Sends this entry's share of the probes that assessors request."""

    board: Blackboard
    dispatcher: Dispatcher
    tasks: TaskGroup
    probes: int = 0
    in_flight: int = 0

    async def run(self) -> None:
        """Send probes until cancelled."""
        live: list[EntryName] = []
        live_read_at_ms = 0
        while True:
            await anyio.sleep(PROBE_INTERVAL_S)
            now_ms = monotonic_ms()
            if now_ms - live_read_at_ms >= LIVE_REFRESH_INTERVAL_MS:
                live_read_at_ms = now_ms
                live = [report.name for report in self.board.fleet.live(now_ms)]
            for service in list(self.board.services.values()):
                if not service.row.probe_path:
                    continue
                for server in service.servers.values():
                    if self._is_due(service, server, live, now_ms):
                        self.probes += 1
                        self.in_flight += 1
                        self.tasks.start_soon(self._probe, service, server)

    def _is_due(
        self,
        service: ServiceState,
        server: ServerState,
        live: list[EntryName],
        now_ms: int,
    ) -> bool:
        if self.in_flight >= MAXIMUM_PROBES_IN_FLIGHT or not can_accept(server, now_ms):
            return False
        if server.probes_per_s:
            # All entries send a share of the probes, each at random times, since their
            # observations are counted separately.
            chance = server.probes_per_s / max(len(live), 1) * PROBE_INTERVAL_S
            return self.board.rng.random() < chance
        return self._is_background_due(service, server, live, now_ms)

    def _is_background_due(
        self,
        service: ServiceState,
        server: ServerState,
        live: list[EntryName],
        now_ms: int,
    ) -> bool:
        """Whether a background probe is due from this entry.

        One entry sends them at regular intervals, so that no gap is long by chance.
        """
        if now_ms < server.next_probe_at_ms or service.background_probes_per_s <= 0:
            return False
        interval_ms = round(1000 / service.background_probes_per_s)
        is_first = server.next_probe_at_ms == 0
        phase = self.board.rng.random() if is_first else 1.0
        server.next_probe_at_ms = now_ms + round(interval_ms * phase)
        return not is_first and self._is_assigned_prober(server, live)

    def _is_assigned_prober(self, server: ServerState, live: list[EntryName]) -> bool:
        own_rank = rendezvous_rank(server.row.name, self.board.name)
        return all(rendezvous_rank(server.row.name, name) <= own_rank for name in live)

    async def _probe(self, service: ServiceState, server: ServerState) -> None:
        evidence = self.dispatcher.evidence
        request = BackendRequest(
            b"GET", service.row.probe_path.encode(), [(b"host", b"probe")], b""
        )
        late_after_ms = evidence.late_after_ms(service.row.name)
        deadline_ms = monotonic_ms() + round(late_after_ms * PROBE_TIMEOUT_FACTOR)
        try:
            await self.dispatcher.probe(service, server, request, deadline_ms)
        except CinderwayError as error:
            logger.debug("probe failed: %s", error)
        finally:
            self.in_flight -= 1
