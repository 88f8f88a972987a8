"""Demo of the whole system on loopback, with checks of normal use and of a fault.

Starts 3 control and 3 ledger replicas, 4 entries in two data halls and a small fleet
of simulated backend servers, with the services of both deployments.
"""

import json
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins.backend import map_bytes  # noqa: E402
from standins.fleet import Fleet, ServerSpec, ServiceSpec, request  # noqa: E402

HALLS = ["suva", "nadi"]
MAP_KIB = 512
STALL_DETECTION_TIMEOUT_S = 5.0
EDIT_TIMEOUT_S = 5.0
LOOKUPS = 48
CONCURRENT_LOOKUPS = 8
FAST_LATENCY_S = 0.5
WHOLE = "whole"
STREAM = "stream"

SERVICES = [
    ServiceSpec(
        "lookup",
        {
            "routes": "/lookup",
            "answer_mode": WHOLE,
            "probe_path": "/lookup/probe",
            "bias": "detect-soon",
        },
    ),
    ServiceSpec(
        "readings",
        {
            "routes": "/readings",
            "answer_mode": WHOLE,
            "run_once_routes": "POST:/readings",
        },
    ),
    ServiceSpec("maps", {"routes": "/maps", "answer_mode": STREAM}),
    ServiceSpec("invoices", {"routes": "/invoices", "answer_mode": WHOLE}),
    ServiceSpec(
        "payouts",
        {
            "routes": "/payouts",
            "answer_mode": WHOLE,
            "run_once_routes": "POST:/payouts",
            "bias": "eject-rarely",
        },
    ),
]
SERVER_COUNTS = {"lookup": 6, "readings": 4, "maps": 3, "invoices": 6, "payouts": 4}


def build_servers() -> list[ServerSpec]:
    """Return a few backend servers for the services of both deployments."""
    return [
        ServerSpec(f"{service}-{i + 1}", service, HALLS[i % len(HALLS)], slots=4)
        for service, count in SERVER_COUNTS.items()
        for i in range(count)
    ]


class Demo:
    """Runs the steps and prints the result of each."""

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        self.failed = 0

    def run(self) -> int:
        """Run all steps; return how many failed."""
        self.report_step("every entry answers lookups", self.check_lookups())
        self.report_step("a submission sent twice runs once", self.check_submissions())
        self.report_step("a route map is downloaded completely", self.check_download())
        self.report_step(
            "a path without a service is refused with an error code",
            self.check_unknown_path(),
        )
        self.report_step(
            "a stalled backend server gets no more requests", self.check_stall()
        )
        self.report_step("every entry applies an edited cell", self.check_edit())
        self.report_step("an invalid cell value is refused", self.check_invalid_edit())
        return self.failed

    def report_step(self, description: str, problem: str) -> None:
        """Print one step's result; an empty `problem` means that it passed."""
        verdict = "ok  " if not problem else "FAIL"
        print(f"{verdict} {description}{': ' + problem if problem else ''}", flush=True)
        self.failed += bool(problem)

    def check_lookups(self) -> str:
        """Send one lookup to every entry."""
        for entry in self.fleet.entries:
            status, _, body = request(entry, "GET", "/lookup/account-7?x=1")
            if status != 200 or json.loads(body)["echo"] != "/lookup/account-7?x=1":
                return f"{entry.name} answered {status}: {body!r}"
        return ""

    def check_submissions(self) -> str:
        """Send one submission through two entries."""
        headers = {"Idempotency-Key": "reading-1", "X-Caller": "ana"}
        answers = [
            request(entry, "POST", "/readings/meter-1", b"42", headers)
            for entry in self.fleet.entries[:2]
        ]
        runs = sum(
            self.fleet.counts(server.name)["runs"].get("reading-1", 0)
            for server in self.fleet.servers
            if server.service == "readings"
        )
        if runs != 1 or answers[0][2] != answers[1][2]:
            return f"{runs} runs, answers {answers}"
        return ""

    def check_download(self) -> str:
        """Fetch a route map."""
        _, _, body = request(self.fleet.entries[0], "GET", f"/maps/{MAP_KIB}")
        is_whole = body == map_bytes(0, MAP_KIB * 1024)
        return "" if is_whole else f"received {len(body)} bytes"

    def check_unknown_path(self) -> str:
        """Request a path that no service has."""
        status, _, body = request(self.fleet.entries[0], "GET", "/nowhere")
        problem = json.loads(body)
        if status != 404 or problem["title"] != "unknown-service":
            return f"{status} {problem}"
        return ""

    def check_stall(self) -> str:
        """Stall a server and wait until requests are fast again."""
        stalled = "lookup-1"
        self.fleet.set_faults(stalled, stall=True)
        began_s = time.monotonic()
        while time.monotonic() - began_s < STALL_DETECTION_TIMEOUT_S:
            with ThreadPoolExecutor(CONCURRENT_LOOKUPS) as pool:
                slowest_s = max(pool.map(self._timed_lookup, range(LOOKUPS)))
            if slowest_s < FAST_LATENCY_S:
                detected_s = time.monotonic() - began_s
                self.fleet.set_faults(stalled)
                print(
                    f"     all of {LOOKUPS} lookups were fast after {detected_s:.1f} s"
                )
                return ""
        self.fleet.set_faults(stalled)
        return f"still slow after {STALL_DETECTION_TIMEOUT_S} s"

    def _timed_lookup(self, number: int) -> float:
        entry = self.fleet.entries[number % len(self.fleet.entries)]
        began_s = time.monotonic()
        request(entry, "GET", "/lookup/a", headers={"Cinderway-Deadline-Ms": "2000"})
        return time.monotonic() - began_s

    def check_edit(self) -> str:
        """Edit a cell and wait until every entry applies it."""
        before = self._read_revisions()
        self.fleet.cli("table", "set", "servers", "lookup-2", "weight", "50")
        began_s = time.monotonic()
        while time.monotonic() - began_s < EDIT_TIMEOUT_S:
            if min(self._read_revisions()) > max(before):
                applied_ms = (time.monotonic() - began_s) * 1000
                print(
                    f"     applied by all entries {applied_ms:.0f} ms after acceptance"
                )
                return ""
            time.sleep(0.01)
        return f"revisions {self._read_revisions()}"

    def _read_revisions(self) -> list[float]:
        return [
            self.fleet.metrics(entry)["cinderway_table_revision"]
            for entry in self.fleet.entries
        ]

    def check_invalid_edit(self) -> str:
        """Try to set a value that the column does not accept."""
        result = self.fleet.cli(
            "table", "set", "servers", "lookup-2", "weight", "5000", check=False
        )
        is_refused = result.returncode == 2 and "cell-invalid" in result.stderr
        return "" if is_refused else result.stdout + result.stderr


def main() -> int:
    """Run the demo and return the exit code."""
    began_s = time.monotonic()
    with Fleet(SERVICES, build_servers(), HALLS, entries=4) as fleet:
        print(f"started in {time.monotonic() - began_s:.1f} s")
        failed = Demo(fleet).run()
    print(f"{'all steps passed' if not failed else f'{failed} steps failed'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
