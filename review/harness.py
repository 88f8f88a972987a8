"""Stand-ins for the platform and the operator, for the review's scripted cases.

The platform stand-in fills in the templates of `platform/`, starts the commands of
`deploy/system.toml` as processes on loopback addresses, and restarts a process that
ends by itself. Each machine has an address and a data folder of its own. The operator
stand-in follows redirects and moves on to another replica, as the pages describe.
"""

import http.client
import itertools
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from urllib.parse import urlsplit

ROOT = Path(__file__).resolve().parent.parent
# Where the libraries may be: the platform's build puts them into the first folder.
DEPS_FOLDERS = (
    ROOT / "target" / "deps",
    ROOT / ".venv" / "lib" / "python3.11" / "site-packages",
)
# Bounds of the small deployment lmf-gateway.
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "downgradeSlackMs": 250,
    "maxStretchMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetExtra": 60,
    "recoveryS": 15,
    "probesPerS": 3,
    "floorShare": 0.7,
}
TOLERATED_MACHINES = 2
# The platform restarts a process that ended after a short delay.
RESTART_DELAY_S = 0.5
# A call of the operator moves on to another replica after this time, after a pause that
# grows.
CALL_TIMEOUT_S = 1.0
FIRST_PAUSE_S, PAUSE_GROWTH, LONGEST_PAUSE_S = 0.05, 1.5, 1.0
# A call ends at once on these statuses, and on any other 4xx at the third attempt.
FINAL_STATUSES = (400, 409, 412, 413, 422)
UNCLEAR_STATUSES = (408, 429)
LAST_REFUSAL = 3
# How long the platform lets the first config take; traffic starts 10 s after the start.
START_LIMIT_S = 25.0
# A machine whose disk is lost is down for this long.
DOWN_S = 1.0
# The read back goes on for longer than the recovery time and the contact time.
READ_BACK_S = BOUNDS["recoveryS"] + BOUNDS["contactMs"] / 1000 + 7
HELD, BROKEN, NOT_RUN = 0, 1, 2
GAP = re.compile(r"\{\{([\w.]+)\}\}")


class Record:
    """The record of one run: what was sent, answered and done, with the time."""

    def __init__(self, path: Path):
        self._file = path.open("w", encoding="utf-8")
        self._started_at_s = time.monotonic()
        self._lock = threading.Lock()

    def write(self, text: str) -> None:
        """Write one line."""
        with self._lock:
            now_s = time.monotonic() - self._started_at_s
            line = f"{now_s:8.3f} {text}"
            print(line, file=self._file, flush=True)
            print(line, flush=True)


def render(template: str, fields: dict) -> str:
    """Fill in a template's gaps; a list is joined by commas, a missing value empty."""

    def look_up(match: re.Match) -> str:
        value = fields
        for part in match[1].split("."):
            try:
                value = value[int(part)] if part.isdigit() else value[part]
            except (KeyError, IndexError):
                return ""
        return _as_text(value)

    return GAP.sub(look_up, template)


def _as_text(value) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, list):
        return ",".join(map(str, value))
    return str(value)


def free_ports(hosts: list[str], count: int) -> list[int]:
    """Return consecutive ports that are free on each of the hosts."""
    while True:
        first = random.randrange(20_000, 60_000)
        ports = list(range(first, first + count))
        if all(_is_free(host, port) for host in hosts for port in ports):
            return ports


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


class Machine:
    """One machine of the core with a disk; at most one process runs on it."""

    def __init__(self, platform: "Platform", number: int):
        self.platform = platform
        self.number = number
        self.name = f"core-{number}"
        self.host = platform.host_of(number)
        self.data_folder = platform.folder / self.name / "data"
        self.control = f"{self.host}:{platform.http_port}"
        self.process: subprocess.Popen | None = None
        # How often its process has ended by itself.
        self.own_ends = 0
        # Whether the platform restarts its process.
        self.is_kept = False

    def start(self, *, bootstrap: bool = False) -> None:
        """Start its process with settings filled in now."""
        self.data_folder.mkdir(parents=True, exist_ok=True)
        role = self.platform.deploy["roles"]["control"]
        template = (ROOT / role["template"]).read_text()
        settings = self.platform.folder / f"{self.name}.toml"
        settings.write_text(render(template, self._fields(bootstrap)))
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(self.platform.deps),
            "CINDERWAY_BOOT": str(settings),
        }
        with (self.platform.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.is_kept = True

    def kill(self) -> None:
        """Kill its process without warning; it is not restarted by itself."""
        self.is_kept = False
        self.process.kill()
        self.process.wait()

    def terminate(self) -> None:
        """Send SIGTERM; after the grace time kill it. It is not restarted."""
        self.is_kept = False
        self.process.send_signal(signal.SIGTERM)
        try:
            self.process.wait(BOUNDS["graceS"])
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()

    def lose_disk(self) -> None:
        """Empty its data folder; its process must have been killed."""
        shutil.rmtree(self.data_folder)

    @property
    def files(self) -> set[str]:
        """The names of the files in its data folder."""
        try:
            return set(os.listdir(self.data_folder))
        except FileNotFoundError:
            return set()

    def last_log_line(self) -> str:
        """Return the last line that its processes wrote."""
        text = (self.platform.folder / f"{self.name}.log").read_text()
        line = (text.strip().splitlines() or [""])[-1]
        return line.replace(f"{self.platform.folder}/", "")

    def _fields(self, bootstrap: bool) -> dict:
        platform = self.platform
        return {
            "nodeName": self.name,
            "role": "control",
            "machineClass": "core",
            "ip": self.host,
            "data_hall": f"hall-{self.number % 4}",
            "portRange": platform.port_range,
            "listen": {"control": self.control},
            "seeds": platform.seeds,
            "bootstrap": bootstrap,
            "dataDir": str(self.data_folder),
            "faultTolerance": {"machines": TOLERATED_MACHINES, "zones": 0},
            "bounds": BOUNDS,
        }


class Platform:
    """Machines of the core on loopback addresses; `stop` ends what it started."""

    def __init__(self, record: Record, deps: Path, machines: int, subnet: int):
        self.record = record
        self.deps = deps
        self.subnet = subnet
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._folder.name)
        hosts = [self.host_of(number) for number in range(machines)]
        ports = free_ports(hosts, 3)
        self.port_range, self.http_port = ports[:2], ports[2]
        self.machines = [Machine(self, number) for number in range(machines)]
        self.seeds = [machine.control for machine in self.machines[:3]]
        self._is_stopping = threading.Event()
        self._keeper = threading.Thread(target=self._keep, daemon=True)
        self._keeper.start()

    def host_of(self, number: int) -> str:
        """Return the address of a machine."""
        return f"127.0.{self.subnet}.{number + 1}"

    def stop(self) -> None:
        """Kill all processes that are still running."""
        self._is_stopping.set()
        self._keeper.join()
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.kill()
        self._folder.cleanup()

    def _keep(self) -> None:
        """Restart processes that ended by themselves."""
        due_at_s: dict[Machine, float] = {}
        while not self._is_stopping.wait(0.05):
            for machine in self.machines:
                if not machine.is_kept or machine.process.poll() is None:
                    due_at_s.pop(machine, None)
                elif machine not in due_at_s:
                    machine.own_ends += 1
                    self.record.write(
                        f"{machine.name}: its process ended by itself with exit code "
                        f"{machine.process.returncode}: {machine.last_log_line()}"
                    )
                    due_at_s[machine] = time.monotonic() + RESTART_DELAY_S
                elif time.monotonic() >= due_at_s[machine]:
                    del due_at_s[machine]
                    machine.start()


class Operator:
    """The operator: sends orders to any replica until one gives a clear answer."""

    def __init__(self, record: Record, controls: list[str]):
        self.record = record
        self.controls = controls

    def put(self, sheet: dict, within_s: float) -> bool:
        """Send a config until it is acknowledged; False if it is not in time."""
        body = json.dumps(sheet).encode()
        answer = self._send("PUT", body, within_s)
        self.record.write(f"config {sheet['version']}: {_describe(answer)}")
        return answer is not None and answer[0] == 200

    def read(self, within_s: float) -> dict | None:
        """Read the config until it comes; None if it does not come in time."""
        answer = self._send("GET", b"", within_s)
        self.record.write(f"read of the config: {_describe(answer)}")
        if answer is None or answer[0] != 200:
            return None
        return json.loads(answer[1])

    def find_leader(self) -> str | None:
        """Return the replica that answers a read itself; the others redirect to it."""
        for control in self.controls:
            answer = _call("GET", control, b"", redirects=0)
            if answer is not None and answer[0] == 200:
                return control
        return None

    def _send(self, method: str, body: bytes, within_s: float):
        give_up_at_s = time.monotonic() + within_s
        seen: dict[str, int] = {}
        pause_s, refusals = FIRST_PAUSE_S, 0
        for control in itertools.cycle(self.controls):
            answer = _call(method, control, body)
            status = 0 if answer is None else answer[0]
            if 200 <= status < 300 or status in FINAL_STATUSES:
                return answer
            if 400 <= status < 500 and status not in UNCLEAR_STATUSES:
                refusals += 1
                if refusals == LAST_REFUSAL:
                    return answer
            what = f"status {status}" if status else "no answer"
            seen[what] = seen.get(what, 0) + 1
            if time.monotonic() + pause_s >= give_up_at_s:
                break
            time.sleep(pause_s)
            pause_s = min(pause_s * PAUSE_GROWTH, LONGEST_PAUSE_S)
        self.record.write(f"{method} unclear for {within_s:g} s: {seen}")
        return None


def _describe(answer) -> str:
    return "no clear answer" if answer is None else f"status {answer[0]}"


def _call(method: str, address: str, body: bytes, redirects: int = 2):
    """Return status and body of one call; None without an answer."""
    path = "/v1/sheet"
    for _ in range(redirects + 1):
        host, _, port = address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=CALL_TIMEOUT_S)
        try:
            connection.request(method, path, body)
            answer = connection.getresponse()
            content = answer.read()
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()
        if answer.status != 307:
            return answer.status, content
        target = urlsplit(answer.getheader("location"))
        address, path = target.netloc, target.path
    return None


def lose_disks_and_read_back(
    record: Record, operator: Operator, lost: list[Machine], version: int
) -> int:
    """Let machines lose their disks at the same moment; judge the read back.

    They start again at their addresses with empty disks. `version` is the newest
    acknowledged config. Returns the exit code.
    """
    for machine in lost:
        machine.kill()
    for machine in lost:
        machine.lose_disk()
    record.write(f"{', '.join(machine.name for machine in lost)} lose their disks")
    time.sleep(DOWN_S)
    for machine in lost:
        machine.start()
    record.write(f"they start again with empty disks after {DOWN_S:g} s")
    found = operator.read(READ_BACK_S)
    if found == build_sheet(version):
        record.write(f"HELD: config {version} was read back as it was acknowledged")
        return HELD
    if found is None:
        record.write(f"BROKEN: config {version} does not come for {READ_BACK_S:g} s")
    else:
        record.write(f"BROKEN: read {found['version']}, acknowledged {version}")
    return BROKEN


# Plays a case on a platform; is told whether to include the disruption.
Play = Callable[[Platform, Record, bool], int]


def run_case(
    record_path: Path, play: Play, *, is_troubled: bool, machines: int, subnet: int
) -> int:
    """Run a case, end its processes and return its exit code."""
    deps = next(filter(Path.is_dir, DEPS_FOLDERS), None)
    if deps is None:
        print("no libraries: run the build line of deploy/system.toml first")
        return NOT_RUN
    # Processes are also ended when the case itself is told to stop.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    record = Record(record_path)
    platform = Platform(record, deps, machines, subnet)
    try:
        return play(platform, record, is_troubled)
    finally:
        platform.stop()


def build_sheet(version: int) -> dict:
    """Return a small valid config."""
    return {
        "version": version,
        "routes": [
            {
                "name": "r-payout",
                "host": "payout.example",
                "path_prefix": "/payout/",
                "kind": "once",
                "timeout_ms": 2500,
                "objective_ms": 1500,
                "priority": 1,
                "service": "payout",
                "server_limit": 2,
            }
        ],
        "services": [
            {"name": "payout", "probe_path": "/health", "connection_limit": 330}
        ],
        "limits": {
            "header_limit_bytes": 16384,
            "body_limit_bytes": 67108864,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }
