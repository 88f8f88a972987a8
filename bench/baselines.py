"""Baselines for pooled judgement: entries that eject servers independently.

    health    ejects after three consecutive failed health probes, one per second
    local     ejects for 10 s after five consecutive failures of its own requests, at
              most half of the servers

The rest of the entry is the product's own code.
"""

import logging
import sys
from dataclasses import dataclass, field

import anyio

from cinderway._clock import monotonic_ms
from cinderway._errors import CinderwayError
from cinderway.entry import _daemon
from cinderway.entry._blackboard import ServerState, ServiceState
from cinderway.entry.servers._backends import BackendConnections
from cinderway.entry.servers._messages import (
    BackendRequest,
)
from cinderway.judgement import EvidenceLog

logger = logging.getLogger(__name__)

JUDGE_INTERVAL_S = 0.05
PROBE_INTERVAL_S = 1.0
HEALTH_FAILURES = 3
LOCAL_FAILURES = 5
LOCAL_EJECTION_MS = 10_000


class OwnFailuresOnly(EvidenceLog):
    """An evidence log that counts a request only once it has failed, not while late."""

    def record_overdue(self, now_ms):
        """Do not count running requests."""

    def late_after_ms(self, service):
        """Never treat a request as late."""
        return float("inf")


@dataclass
class _Base:
    board: object
    evidence: EvidenceLog
    identity: object
    own_address: str
    tasks: object
    reports: object
    ejections: int = 0
    held_by_floor: int = 0
    failures: dict = field(default_factory=dict)
    ejected_until_ms: dict = field(default_factory=dict)

    def set_ejected(
        self, service: ServiceState, server: ServerState, should_eject: bool
    ):
        """Eject or reinstate a server, with the product's log line."""
        if server.is_ejected == should_eject:
            return
        if should_eject:
            ejected_count = sum(s.is_ejected for s in service.servers.values())
            if (ejected_count + 1) * 2 > len(service.servers):
                return
            logger.info("ejected %s/%s: own", service.row.name, server.row.name)
        server.is_ejected = should_eject
        service.free_slot()


class LocalReporter(_Base):
    """Ejects servers by the entry's own failures only."""

    async def run(self):
        """Evaluate the evidence periodically until cancelled."""
        while True:
            await anyio.sleep(JUDGE_INTERVAL_S)
            for (service, server), counts in self.evidence.pop_counts().items():
                key = (service, server)
                if counts.good:
                    self.failures[key] = 0
                self.failures[key] = self.failures.get(key, 0) + counts.bad_total
            self._apply(monotonic_ms())

    def _apply(self, now_ms):
        for name, service in self.board.services.items():
            for server_name, server in service.servers.items():
                key = (name, server_name)
                if self.failures.get(key, 0) >= LOCAL_FAILURES:
                    self.failures[key] = 0
                    self.ejected_until_ms[key] = now_ms + LOCAL_EJECTION_MS
                should_eject = now_ms < self.ejected_until_ms.get(key, 0)
                self.set_ejected(service, server, should_eject)


class HealthReporter(_Base):
    """Ejects servers by health probes only."""

    async def run(self):
        """Probe all servers periodically until cancelled."""
        connections = BackendConnections()
        while True:
            await anyio.sleep(PROBE_INTERVAL_S)
            self.evidence.pop_counts()
            for service in list(self.board.services.values()):
                for server in service.servers.values():
                    await self._probe(connections, service, server)

    async def _probe(self, connections, service, server):
        request = BackendRequest(b"GET", b"/healthz", [(b"host", b"x")], b"")
        deadline_ms = monotonic_ms() + 1000
        key = server.row.address
        try:
            answer = await connections.send(
                key, request, "probe", deadline_ms, use_new_connection=True
            )
            is_healthy = answer.status == 200
            await answer.aclose()
        except CinderwayError:
            is_healthy = False
        self.failures[key] = 0 if is_healthy else self.failures.get(key, 0) + 1
        self.set_ejected(service, server, self.failures[key] >= HEALTH_FAILURES)


POLICIES = {"local": LocalReporter, "health": HealthReporter}


def main() -> None:
    """Run an entry with a baseline policy; arguments: POLICY and the entry's flags."""
    policy = POLICIES[sys.argv.pop(1)]
    _daemon.Reporter = policy
    _daemon.EvidenceLog = OwnFailuresOnly
    from cinderway._cli import main as cinderway

    cinderway()


if __name__ == "__main__":
    main()
