"""Launch a small fleet with catalog-based configuration as processes on loopback."""

import http.client
import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

from standins.fleet import CINDERWAY, SHARED_KEY, START_TIMEOUT_S, free_ports

POLL_S = 0.05
CALL_TIMEOUT_S = 3.0
SEAL = "sealed-by-{id}"


@dataclass(frozen=True)
class Reply:
    """An HTTP response of an entry or a control replica."""

    status: int
    headers: dict[str, str]
    body: bytes


def call(
    address: str, method: str, path: str, body: bytes = b"", headers: dict | None = None
) -> Reply:
    """Send one HTTP request on a new connection; raise OSError if it fails."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=CALL_TIMEOUT_S)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        found = {name.lower(): value for name, value in answer.getheaders()}
        return Reply(answer.status, found, answer.read())
    except http.client.HTTPException as error:
        raise ConnectionError(str(error)) from error
    finally:
        connection.close()


class _Server(ThreadingHTTPServer):
    def handle_error(self, request, client_address):
        """Ignore closed client connections; report all other errors."""
        if not isinstance(sys.exception(), ConnectionError):
            super().handle_error(request, client_address)


class RegisteredServer:
    """A simulated backend server that uses the headers entries expect.

    `handle_attempt` is called for each request with its attempt's name. It returns an
    HTTP status, or "shed" (the request is not run), "drop" (it is run and the
    connection closed without a response) or "foreign" (the response names another
    attempt).
    `runs` lists the attempts that were run, and `headers` holds the request headers of
    each. `arrivals` lists all attempts, including those shed. `response_headers` are
    added to all responses. `send_raw`, if set, returns the pieces of what is sent in
    place of a response, to an attempt's name.
    """

    def __init__(self, server_id: str, service: str, data_hall: str = "suva"):
        self.server_id = server_id
        self.service = service
        self.data_hall = data_hall
        self.runs: list[str] = []
        self.arrivals: list[str] = []
        self.response_headers: dict[str, str] = {}
        self.deadlines_ms: list[int] = []
        # Request headers by attempt, of the attempts that were run.
        self.headers: dict[str, str] = {}
        self.handle_attempt = lambda attempt: 200
        self.send_raw: Callable[[str], Iterable[bytes]] | None = None
        self.sequence = 0
        # Start time by the server's own clock; 0 if unknown.
        self.started_at_ms = 0
        stand_in = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):
                stand_in._handle_request(self)

            do_POST = do_GET

            def log_message(self, *args):
                """Suppress the request log."""

        self._http = _Server(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self._http.server_port}"
        threading.Thread(target=self._http.serve_forever, daemon=True).start()

    def stop(self) -> None:
        """Stop serving and close the listening socket."""
        self._http.shutdown()
        self._http.server_close()

    def heartbeat(self, control: str, status: str = "active", **fields) -> Reply:
        """Send a heartbeat of this server to a control replica."""
        self.sequence += 1
        payload = {
            "service": self.service,
            "address": self.address,
            "data_hall": self.data_hall,
            "slots": 3,
            "status": status,
            "version": "v1",
            "warmup_left_ms": 0,
            "sequence": self.sequence,
            "started_at_ms": self.started_at_ms,
            **fields,
        }
        body = json.dumps(payload).encode()
        return call(control, "PUT", f"/v1/servers/{self.server_id}", body)

    def deregister(self, control: str) -> Reply:
        """Remove this run of the server from a control replica's registry."""
        body = json.dumps({"started_at_ms": self.started_at_ms}).encode()
        return call(control, "DELETE", f"/v1/servers/{self.server_id}", body)

    def _handle_request(self, handler: BaseHTTPRequestHandler) -> None:
        length = int(handler.headers.get("content-length") or 0)
        body = handler.rfile.read(length)
        expected = handler.headers.get("cinderway-expected")
        attempt = handler.headers.get("cinderway-attempt", "")
        if expected != self.server_id:
            self._send_response(handler, 421, attempt, b"")
            return
        self.arrivals.append(attempt)
        self.deadlines_ms.append(int(handler.headers["cinderway-deadline-ms"]))
        status = self.handle_attempt(attempt)
        if status == "shed":
            self._send_response(handler, 503, attempt, b"", {"cinderway-not-run": "1"})
            return
        self.runs.append(attempt)
        self.headers[attempt] = str(handler.headers)
        if self.send_raw is not None:
            handler.close_connection = True
            for piece in self.send_raw(attempt):
                handler.wfile.write(piece)
            return
        if status == "drop":
            handler.close_connection = True
            handler.connection.close()
            return
        attempt = "another" if status == "foreign" else attempt
        status = 200 if status == "foreign" else status
        self._send_response(handler, status, attempt, body or b"whole answer")

    def _send_response(self, handler, status, attempt, body, headers=None) -> None:
        handler.send_response(status)
        handler.send_header("cinderway-attempt", attempt)
        if status == 200:
            handler.send_header("cinderway-seal", SEAL.format(id=self.server_id))
        for name, value in (self.response_headers | (headers or {})).items():
            handler.send_header(name, value)
        handler.send_header("content-length", str(len(body)))
        handler.end_headers()
        handler.wfile.write(body)


@dataclass
class CatalogFleet:
    """Control replicas and entries; `stop` ends all processes it started."""

    replicas: int = 3
    entries: int = 1
    tolerated_losses: int = 1
    processes: dict[str, subprocess.Popen] = field(default_factory=dict)

    def __post_init__(self):
        self.folder = tempfile.TemporaryDirectory(prefix="cinderway-")
        self.path = Path(self.folder.name)
        ports = free_ports(3 + 2 * self.entries)
        self.wire_port, self.http_port, self.operators_port, *rest = ports
        self.controls = [
            f"127.0.1.{n + 1}:{self.http_port}" for n in range(self.replicas)
        ]
        self.callers = [f"127.0.0.1:{rest[2 * n]}" for n in range(self.entries)]
        self.operators = [f"127.0.0.1:{rest[2 * n + 1]}" for n in range(self.entries)]

    def start(self) -> None:
        """Start all processes; entries become ready only after `put_sheet`."""
        for number in range(self.replicas):
            self.start_control(number, is_first_start=True)
        for number in range(self.entries):
            self.start_entry(number)

    def start_control(self, number: int, *, is_first_start: bool = False) -> None:
        """Start one control replica, reusing its data folder if it exists."""
        host = self.controls[number].rpartition(":")[0]
        self._spawn(
            f"control-{number}",
            "catalog-control",
            {
                "data_hall": "suva",
                "listen": f"{host}:{self.wire_port}",
                "http_listen": self.controls[number],
                "operators_listen": f"{host}:{self.operators_port}",
                "seeds": ",".join(self.controls),
                "is_first_start": str(is_first_start).lower(),
                "tolerated_losses": str(self.tolerated_losses),
                "data_folder": str(self.path / f"control-{number}"),
                "shared_key": SHARED_KEY,
                # Keeps tests of retries independent of how many retry tokens have
                # accumulated before them.
                "retry_percent": "100",
                "retry_burst": "4000",
            },
        )

    def start_entry(self, number: int, **settings: str) -> None:
        """Start one entry."""
        self._spawn(
            f"entry-{number}",
            "catalog-entry",
            {
                "name": f"suva-{number}",
                "data_hall": "suva",
                "callers_listen": self.callers[number],
                "operators_listen": self.operators[number],
                "control_port": str(self.wire_port),
                "seeds": ",".join(self.controls),
                "seal_header": "cinderway-seal",
                "shared_key": SHARED_KEY,
                "drain_ms": "300",
                **settings,
            },
        )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this fleet started."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process that this fleet started, and wait until it exits."""
        self.processes[name].kill()
        self.processes[name].wait()

    def stop(self) -> None:
        """Kill all processes that this fleet started, and wait until they exit."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.folder.cleanup()

    def put_sheet(self, sheet: dict) -> int:
        """Retry putting a sheet until a status below 500 arrives, and return it."""
        body = json.dumps(sheet).encode()

        def get_status() -> int | None:
            for control in self.controls:
                status = _status(control, "PUT", "/v1/sheet", body)
                if status is not None and status < 500:
                    return status
            return None

        return wait_for(get_status, "a definite response to a sheet")

    def read_sheet(self) -> bytes:
        """Return the current sheet, retrying until a leader responds."""

        def body() -> bytes | None:
            for control in self.controls:
                try:
                    answer = call(control, "GET", "/v1/sheet")
                except OSError:
                    continue
                if answer.status == 200:
                    return answer.body
            return None

        return wait_for(body, "a response to a read")

    def register(self, server: RegisteredServer, status: str = "active") -> None:
        """Send a server's heartbeat until a control replica acknowledges it."""

        def is_acknowledged() -> bool:
            for control in self.controls:
                try:
                    if server.heartbeat(control, status).status == 200:
                        return True
                except OSError:
                    continue
            return False

        wait_for(is_acknowledged, "an acknowledged heartbeat")

    def wait_ready(self, number: int = 0) -> None:
        """Wait until an entry is ready."""
        address = self.operators[number]
        wait_for(lambda: _status(address, "GET", "/readyz") == 200, "a ready entry")

    def _spawn(self, name: str, command: str, settings: dict[str, str]) -> None:
        path = self.path / f"{name}.toml"
        lines = [f'{key} = "{value}"' for key, value in settings.items()]
        path.write_text("\n".join(lines))
        with (self.path / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [*CINDERWAY, command, "--settings-file", str(path)],
                stdout=log,
                stderr=log,
                env={"PATH": os.environ["PATH"]},
            )

    def read_log(self, name: str) -> str:
        """Return a process's output so far."""
        return (self.path / f"{name}.log").read_text()


def wait_for(condition, description: str):
    """Poll a condition and return its first true value.

    The timeout only keeps a failing test from hanging.
    """
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline_s:
        found = condition()
        if found:
            return found
        time.sleep(POLL_S)
    raise AssertionError(f"timed out waiting for: {description}")


def _status(address: str, method: str, path: str, body: bytes = b"") -> int | None:
    try:
        return call(address, method, path, body).status
    except OSError:
        return None


__all__ = ["CatalogFleet", "RegisteredServer", "Reply", "call", "wait_for"]
