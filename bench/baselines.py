"""Entries that judge by themselves: what pooled judgement is measured against.

    health    ejects after three failed health probes, one a second
    local     ejects after five failures in a row of its own requests, for 10 s,
              half of the servers at most

Everything else in them is the product's.
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

PAUSE_S = 0.05
HEALTH_PAUSE_S = 1.0
HEALTH_FAILURES = 3
LOCAL_FAILURES = 5
LOCAL_BAN_MS = 10_000


class OwnFailuresOnly(EvidenceLog):
    """Without censored evidence: a request counts once it has failed."""

    def record_overdue(self, now_ms):
        """Count nothing early."""

    def late_after_ms(self, service):
        """Call nothing late."""
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
    until_ms: dict = field(default_factory=dict)

    def set_ejected(self, service: ServiceState, server: ServerState, is_out: bool):
        """Eject or take back, and say so as the product does."""
        if server.is_ejected == is_out:
            return
        if is_out:
            out = sum(s.is_ejected for s in service.servers.values())
            if (out + 1) * 2 > len(service.servers):
                return
            logger.info("ejected %s/%s: own", service.row.name, server.row.name)
        server.is_ejected = is_out
        service.free_slot()


class LocalReporter(_Base):
    """Local outlier ejection."""

    async def run(self):
        """Judge until cancelled."""
        while True:
            await anyio.sleep(PAUSE_S)
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
                    self.until_ms[key] = now_ms + LOCAL_BAN_MS
                is_out = now_ms < self.until_ms.get(key, 0)
                self.set_ejected(service, server, is_out)


class HealthReporter(_Base):
    """Health probes only."""

    async def run(self):
        """Probe until cancelled."""
        connections = BackendConnections()
        while True:
            await anyio.sleep(HEALTH_PAUSE_S)
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
            is_well = answer.status == 200
            await answer.aclose()
        except CinderwayError:
            is_well = False
        self.failures[key] = 0 if is_well else self.failures.get(key, 0) + 1
        self.set_ejected(service, server, self.failures[key] >= HEALTH_FAILURES)


POLICIES = {"local": LocalReporter, "health": HealthReporter}


def main() -> None:
    """Run an entry with a baseline's judgement: POLICY, then the entry's flags."""
    policy = POLICIES[sys.argv.pop(1)]
    _daemon.Reporter = policy
    _daemon.EvidenceLog = OwnFailuresOnly
    from cinderway._cli import main as cinderway

    cinderway()


if __name__ == "__main__":
    main()
