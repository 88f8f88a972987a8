"""A small fleet of real processes for tests of process and network failures."""

import time
import unittest

from standins.fleet import Fleet, ServerSpec, ServiceSpec

HALLS = ["suva", "nadi"]
WAIT_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05

SERVICES = [
    ServiceSpec("lookup", {"routes": "/lookup", "probe_path": "/lookup/probe"}),
    ServiceSpec(
        "readings",
        {
            "routes": "/readings",
            "run_once_routes": "POST:/readings",
            "key_required": "yes",
        },
    ),
    ServiceSpec("maps", {"routes": "/maps", "answer_mode": "stream"}),
]
SERVER_COUNTS = {"lookup": 4, "readings": 2, "maps": 3}


def build_small_fleet(entries=3, **options):
    servers = [
        ServerSpec(f"{service}-{n + 1}", service, HALLS[n % 2])
        for service, count in SERVER_COUNTS.items()
        for n in range(count)
    ]
    options.setdefault("entry_options", {"drain-ms": "3000"})
    return Fleet(SERVICES, servers, HALLS, entries, **options)


class FleetCase(unittest.TestCase):
    """Starts a separate fleet for each test, so that tests do not affect each other."""

    entries = 3

    def setUp(self):
        self.fleet = build_small_fleet(self.entries)
        self.addCleanup(self.fleet.stop)
        self.fleet.start()

    def wait_until(self, condition, description):
        """Poll a condition; the timeout only keeps a failing test from hanging."""
        deadline_s = time.monotonic() + WAIT_TIMEOUT_S
        while time.monotonic() < deadline_s:
            if condition():
                return
            time.sleep(POLL_INTERVAL_S)
        self.fail(f"timed out waiting for: {description}")

    def set_server_weight(self, value, check=True):
        return self.fleet.cli(
            "table", "set", "servers", "lookup-1", "weight", str(value), check=check
        )

    def get_applied_revision(self, entry):
        return int(self.fleet.metrics(entry)["cinderway_table_revision"])

    def read_status(self):
        return self.fleet.cli("table", "status", check=False).stdout

    def find_leader(self, role="control"):
        lines = [line for line in self.read_status().splitlines() if ": leader" in line]
        return lines[0].split()[1].rstrip(":") if lines else None

    def count_runs(self, key):
        servers = [s.name for s in self.fleet.servers if s.service == "readings"]
        return sum(self.fleet.counts(s)["runs"].get(key, 0) for s in servers)
