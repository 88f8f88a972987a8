"""Launch a whole cinderway fleet on loopback for the demo, tests and benchmarks."""

import fcntl
import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request
from dataclasses import dataclass, field
from functools import cache
from pathlib import Path
from typing import BinaryIO

SHARED_KEY = "a-key-for-tests-only"
CINDERWAY = [
    sys.executable,
    "-c",
    "from cinderway._cli import main; main()",
]
# Keeps a failed start from hanging; generous because starts are slow on a busy machine.
START_TIMEOUT_S = 60.0
PORT_RANGE = (10_000, 32_000)


# Ports reserved by one test process, enough for about twenty fleets at a time.
PORTS_PER_PROCESS = 500


@cache
def _reserve_ports() -> tuple[range, BinaryIO]:
    """Reserve a block of ports that no other test process on this machine uses.

    The reservation is a lock on a file, released when the process exits.
    """
    block_starts = range(*PORT_RANGE, PORTS_PER_PROCESS)
    for start in random.SystemRandom().sample(block_starts, len(block_starts)):
        name = Path(tempfile.gettempdir()) / f"cinderway-ports-{start}"
        lock_file = name.open("ab")
        try:
            fcntl.flock(lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            lock_file.close()
            continue
        return range(start, start + PORTS_PER_PROCESS), lock_file
    raise RuntimeError("other test processes have reserved all blocks of ports")


def free_ports(count: int) -> list[int]:
    """Return ports that nothing listens on at the moment.

    They lie below the ephemeral range: one of the fleet's own outgoing connections
    could take an ephemeral port before the process that is to listen on it starts.
    """
    ports: set[int] = set()
    rng = random.SystemRandom()
    own_ports, _ = _reserve_ports()
    while len(ports) < count:
        port = rng.choice(own_ports)
        with socket.socket() as probe:
            if probe.connect_ex(("127.0.0.1", port)) != 0:
                ports.add(port)
    return sorted(ports)


@dataclass(frozen=True)
class ServerSpec:
    """A simulated backend server and its row in the table."""

    name: str
    service: str
    data_hall: str
    slots: int = 4
    work_ms: float = 25.0


@dataclass(frozen=True)
class ServiceSpec:
    """A service and its row in the table; `cells` holds texts by column."""

    name: str
    cells: dict[str, str] = field(default_factory=dict)


@dataclass
class EntryProcess:
    """An entry process and its addresses."""

    name: str
    data_hall: str
    callers_port: int
    operators_port: int
    listen: str
    process: subprocess.Popen | None = None


class Fleet:
    """Processes of one fleet; `stop` ends all processes it started."""

    def __init__(
        self,
        services: list[ServiceSpec],
        servers: list[ServerSpec],
        halls: list[str],
        entries: int,
        control: int = 3,
        ledger: int = 3,
        backend_options: tuple[str, ...] = (),
        entry_options: dict[str, str] | None = None,
        log_level: str = "warning",
        entry_command: list[str] | None = None,
    ):
        self.folder = tempfile.TemporaryDirectory(prefix="cinderway-")
        self.path = Path(self.folder.name)
        self.services = services
        self.servers = servers
        self.backend_options = backend_options
        self.entry_options = entry_options or {}
        self.log_level = log_level
        self.entry_command = entry_command or CINDERWAY
        ports = iter(free_ports(2 * (control + ledger) + 3 * entries + len(servers)))
        self.control = [f"127.0.0.1:{next(ports)}" for _ in range(control)]
        self.ledger = [f"127.0.0.1:{next(ports)}" for _ in range(ledger)]
        self.replica_ports = {
            address: next(ports) for address in (*self.control, *self.ledger)
        }
        self.server_ports = {server.name: next(ports) for server in servers}
        self.entries = [
            EntryProcess(
                name=f"{halls[i % len(halls)]}-{i + 1}",
                data_hall=halls[i % len(halls)],
                callers_port=next(ports),
                operators_port=next(ports),
                listen=f"127.0.0.1:{next(ports)}",
            )
            for i in range(entries)
        ]
        self.processes: dict[str, subprocess.Popen] = {}

    # Starting and stopping.

    def start(self) -> None:
        """Start all processes, load the table and wait until entries are ready."""
        self.start_backends()
        for role, addresses in (("control", self.control), ("ledger", self.ledger)):
            if addresses:
                self.bootstrap_group(role)
            for address in addresses:
                self.start_replica(role, address)
        for entry in self.entries:
            self.start_entry(entry)
        # An operator's command times out after ten seconds. The import failed when the
        # group took longer to form (control paused for 11 s after its start).
        self.wait_for_groups()
        self.load_table()
        self.wait_ready()

    def start_backends(self) -> None:
        """Start the simulated backend servers in one process."""
        specs = [
            f"{s.name}:{self.server_ports[s.name]}:{s.slots}:{s.work_ms}"
            for s in self.servers
        ]
        command = [sys.executable, "-m", "standins.backend", *specs]
        self._spawn("backends", [*command, *self.backend_options])
        for server in self.servers:
            self.wait_for_port(self.server_ports[server.name])

    def bootstrap_group(self, role: str) -> None:
        """Initialize a replica group with its first address as the only member."""
        address = getattr(self, role)[0]
        folder = self.data_folder(role, address)
        arguments = ["--data-folder", str(folder), "--listen", address]
        subprocess.run([*CINDERWAY, f"found-{role}", *arguments], check=True)

    def data_folder(self, role: str, address: str) -> Path:
        """Return the folder of a replica's persistent state."""
        return self.path / f"{role}-{address.rpartition(':')[2]}"

    def start_replica(self, role: str, address: str) -> None:
        """Start one control or ledger replica."""
        settings = {
            "listen": address,
            "peers": ",".join(getattr(self, role)),
            "operators-listen": f"127.0.0.1:{self.replica_ports[address]}",
            "data-folder": str(self.data_folder(role, address)),
            "shared-key": SHARED_KEY,
            "log-level": self.log_level,
        }
        self._spawn(f"{role}-{address}", [*CINDERWAY, role, *_flags(settings)])

    def start_entry(self, entry: EntryProcess) -> None:
        """Start one entry."""
        others = [e.listen for e in self.entries if e is not entry]
        settings = {
            "name": entry.name,
            "data-hall": entry.data_hall,
            "listen": entry.listen,
            "callers-listen": f"127.0.0.1:{entry.callers_port}",
            "operators-listen": f"127.0.0.1:{entry.operators_port}",
            "control": ",".join(self.control),
            "ledger": ",".join(self.ledger),
            "peers": ",".join(others[:4]),
            "shared-key": SHARED_KEY,
            "log-level": self.log_level,
            **self.entry_options,
        }
        command = [*self.entry_command, "entry", *_flags(settings)]
        entry.process = self._spawn(entry.name, command)

    def load_table(self) -> None:
        """Import the services and servers."""
        services, servers = self.write_csv()
        self.cli("table", "import", "--services", services, "--servers", servers)

    def write_csv(self) -> tuple[str, str]:
        """Write the table's two CSV files and return their paths."""
        columns = sorted({name for s in self.services for name in s.cells})
        lines = [",".join(["name", *columns])]
        for service in self.services:
            cells = [service.cells.get(column, "") for column in columns]
            lines.append(",".join([service.name, *cells]))
        services = self.path / "services.csv"
        services.write_text("\n".join(lines) + "\n")
        lines = ["name,service,data_hall,address,slots"]
        for server in self.servers:
            address = f"127.0.0.1:{self.server_ports[server.name]}"
            cells = [server.name, server.service, server.data_hall, address]
            lines.append(",".join([*cells, str(server.slots)]))
        path = self.path / "servers.csv"
        path.write_text("\n".join(lines) + "\n")
        return str(services), str(path)

    def wait_for_groups(self) -> None:
        """Wait until all replicas are voters of their groups and a leader exists."""
        deadline_s = time.monotonic() + START_TIMEOUT_S
        for group in (self.control, self.ledger):
            while group and not self.is_group_complete(group):
                if time.monotonic() > deadline_s:
                    raise TimeoutError(f"the replicas at {group} have not joined")
                time.sleep(0.05)

    def wait_ready(self) -> None:
        """Wait until every entry is ready."""
        deadline_s = time.monotonic() + START_TIMEOUT_S
        for entry in self.entries:
            while not self.is_ready(entry):
                if entry.process.poll() is not None:
                    raise RuntimeError(self.log_of(entry.name)[-2000:])
                if time.monotonic() > deadline_s:
                    raise TimeoutError(f"entry {entry.name} is not ready")
                time.sleep(0.05)

    def is_ready(self, entry: EntryProcess) -> bool:
        """Whether an entry reports that it is ready."""
        try:
            url = f"http://127.0.0.1:{entry.operators_port}/readyz"
            with urllib.request.urlopen(url, timeout=1):
                return True
        except OSError:
            return False

    def is_group_complete(self, group: list[str]) -> bool:
        """Whether every replica counts all of them as voters and one is the leader."""
        try:
            found = [self.replica_metrics(address) for address in group]
        except OSError:
            return False
        voters = {replica["cinderway_replica_voters"] for replica in found}
        leaders = sum(replica["cinderway_replica_is_leader"] for replica in found)
        return voters == {len(group)} and leaders == 1

    def kill(self, name: str, number: int = signal.SIGKILL) -> None:
        """Send a signal, SIGKILL by default, to a process."""
        self.processes[name].send_signal(number)

    def wait_for_exit(self, name: str, timeout_s: float = START_TIMEOUT_S) -> int:
        """Wait until a process exits; return its exit code."""
        return self.processes[name].wait(timeout_s)

    def stop(self) -> None:
        """Kill all processes, resuming those suspended, and wait until they exit."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.folder.cleanup()

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *exc_info):
        self.stop()

    # Commands, faults and metrics.

    def cli(self, *arguments: str, check: bool = True) -> subprocess.CompletedProcess:
        """Run an operator's command against this fleet."""
        environment = {
            **os.environ,
            "CINDERWAY_CONTROL": ",".join(self.control),
            "CINDERWAY_LEDGER": ",".join(self.ledger),
            "CINDERWAY_SHARED_KEY": SHARED_KEY,
        }
        result = subprocess.run(
            [*CINDERWAY, *arguments], capture_output=True, text=True, env=environment
        )
        if check and result.returncode:
            raise RuntimeError(result.stdout + result.stderr)
        return result

    def set_faults(self, server: str, **faults) -> dict:
        """Replace a server's faults, no arguments removing all; return its counters."""
        return self._send_command(server, "fault", json.dumps(faults).encode())

    def counts(self, server: str) -> dict:
        """Return a server's counters."""
        return self._send_command(server, "counts", b"")

    def _send_command(self, server: str, command: str, body: bytes) -> dict:
        url = f"http://127.0.0.1:{self.server_ports[server]}/_standin/{command}"
        with urllib.request.urlopen(url, data=body or b" ", timeout=5) as answer:
            return json.load(answer)

    def metrics(self, entry: EntryProcess) -> dict[str, float]:
        """Return an entry's metrics by name with labels."""
        return _read_metrics(entry.operators_port)

    def replica_metrics(self, address: str) -> dict[str, float]:
        """Return a replica's metrics."""
        return _read_metrics(self.replica_ports[address])

    def _spawn(self, name: str, command: list[str]) -> subprocess.Popen:
        log = (self.path / f"{name}.log").open("ab")
        process = subprocess.Popen(command, stdout=log, stderr=log)
        log.close()
        self.processes[name] = process
        return process

    def log_of(self, name: str) -> str:
        """Return a process's output so far."""
        return (self.path / f"{name}.log").read_text()

    def wait_for_port(self, port: int) -> None:
        """Wait until something listens on a port."""
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            with socket.socket() as probe:
                if probe.connect_ex(("127.0.0.1", port)) == 0:
                    return
            time.sleep(0.02)
        raise TimeoutError(f"nothing listens on port {port}")


def request(
    entry: EntryProcess,
    method: str,
    path: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> tuple[int, dict, bytes]:
    """Send one request to an entry; return status, headers and body."""
    connection = http.client.HTTPConnection("127.0.0.1", entry.callers_port, timeout=30)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, dict(answer.getheaders()), answer.read()
    finally:
        connection.close()


def _read_metrics(port: int) -> dict[str, float]:
    with urllib.request.urlopen(f"http://127.0.0.1:{port}/metrics", timeout=5) as got:
        lines = got.read().decode().splitlines()
    pairs = [line.rsplit(" ", 1) for line in lines if not line.startswith("#")]
    return {name: float(value) for name, value in pairs if name}


def _flags(settings: dict[str, str]) -> list[str]:
    flags = []
    for name, value in settings.items():
        flags += [f"--{name}", value]
    return flags
