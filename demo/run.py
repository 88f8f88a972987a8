"""The whole system on loopback: start it, use it, break it, and check each answer.

Starts 3 control and 3 ledger replicas, 4 entries in two data halls and a small fleet
of stand-in backend servers, with the services of both deployments.
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
STALL_FOUND_WITHIN_S = 5.0
EDIT_IN_FORCE_WITHIN_S = 5.0
LOOKUPS = 48
LOOKUPS_AT_ONCE = 8
FAST_S = 0.5
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
COUNTS = {"lookup": 6, "readings": 4, "maps": 3, "invoices": 6, "payouts": 4}


def sample_servers() -> list[ServerSpec]:
    """Return a small version of both deployments' backend servers."""
    return [
        ServerSpec(f"{service}-{i + 1}", service, HALLS[i % len(HALLS)], slots=4)
        for service, count in COUNTS.items()
        for i in range(count)
    ]


class Demo:
    """The steps, each printed with what was checked."""

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        self.failed = 0

    def run(self) -> int:
        """Run all steps; return how many failed."""
        self.check("lookups are answered by every entry", self.lookups())
        self.check("a submission sent twice runs once", self.submissions())
        self.check("a route map arrives whole", self.download())
        self.check("a path without a service is refused with a code", self.unknown())
        self.check("a stalled backend server loses its traffic", self.stall())
        self.check("an edited cell is in force on every entry", self.edit())
        self.check("a bad cell is refused", self.bad_edit())
        return self.failed

    def check(self, what: str, problem: str) -> None:
        """Print one step's verdict; "" is a pass."""
        verdict = "ok  " if not problem else "FAIL"
        print(f"{verdict} {what}{': ' + problem if problem else ''}", flush=True)
        self.failed += bool(problem)

    def lookups(self) -> str:
        """Ask every entry once."""
        for entry in self.fleet.entries:
            status, _, body = request(entry, "GET", "/lookup/account-7?x=1")
            if status != 200 or json.loads(body)["echo"] != "/lookup/account-7?x=1":
                return f"{entry.name} answered {status}: {body!r}"
        return ""

    def submissions(self) -> str:
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

    def download(self) -> str:
        """Fetch a route map."""
        _, _, body = request(self.fleet.entries[0], "GET", f"/maps/{MAP_KIB}")
        is_whole = body == map_bytes(0, MAP_KIB * 1024)
        return "" if is_whole else f"{len(body)} bytes came"

    def unknown(self) -> str:
        """Ask for a path that no service has."""
        status, _, body = request(self.fleet.entries[0], "GET", "/nowhere")
        problem = json.loads(body)
        if status != 404 or problem["title"] != "unknown-service":
            return f"{status} {problem}"
        return ""

    def stall(self) -> str:
        """Stall a server and wait until requests are fast again."""
        stalled = "lookup-1"
        self.fleet.set_faults(stalled, stall=True)
        began_s = time.monotonic()
        while time.monotonic() - began_s < STALL_FOUND_WITHIN_S:
            with ThreadPoolExecutor(LOOKUPS_AT_ONCE) as pool:
                slowest_s = max(pool.map(self._timed_lookup, range(LOOKUPS)))
            if slowest_s < FAST_S:
                found_s = time.monotonic() - began_s
                self.fleet.set_faults(stalled)
                print(f"     all of {LOOKUPS} lookups fast after {found_s:.1f} s")
                return ""
        self.fleet.set_faults(stalled)
        return f"still slow after {STALL_FOUND_WITHIN_S} s"

    def _timed_lookup(self, number: int) -> float:
        entry = self.fleet.entries[number % len(self.fleet.entries)]
        began_s = time.monotonic()
        request(entry, "GET", "/lookup/a", headers={"Cinderway-Deadline-Ms": "2000"})
        return time.monotonic() - began_s

    def edit(self) -> str:
        """Edit a cell and wait until it is in force."""
        before = self._revisions()
        self.fleet.cli("table", "set", "servers", "lookup-2", "weight", "50")
        began_s = time.monotonic()
        while time.monotonic() - began_s < EDIT_IN_FORCE_WITHIN_S:
            if min(self._revisions()) > max(before):
                in_force_ms = (time.monotonic() - began_s) * 1000
                print(f"     in force everywhere {in_force_ms:.0f} ms after the answer")
                return ""
            time.sleep(0.01)
        return f"revisions {self._revisions()}"

    def _revisions(self) -> list[float]:
        return [
            self.fleet.metrics(entry)["cinderway_table_revision"]
            for entry in self.fleet.entries
        ]

    def bad_edit(self) -> str:
        """Try a value that the column does not take."""
        result = self.fleet.cli(
            "table", "set", "servers", "lookup-2", "weight", "5000", check=False
        )
        is_refused = result.returncode == 2 and "cell-invalid" in result.stderr
        return "" if is_refused else result.stdout + result.stderr


def main() -> int:
    """Run the demo and return the exit code."""
    began_s = time.monotonic()
    with Fleet(SERVICES, sample_servers(), HALLS, entries=4) as fleet:
        print(f"started in {time.monotonic() - began_s:.1f} s")
        failed = Demo(fleet).run()
    print(f"{'all steps passed' if not failed else f'{failed} steps failed'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
