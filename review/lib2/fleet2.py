"""A small deployment of the project's own programs, with stand-ins around it.

Control replicas and entries are started with the commands of the deploy file and with
the repository's settings templates, each machine on a loopback address of its own. The
stand-ins (backend servers, callers, the operator) are small asyncio programs that do
what the users' pages allow and nothing else. They use the standard library alone.
"""

import asyncio
import json
import os
import random
import re
import signal
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
PORT_FIRST, PORT_LAST = 17_540, 17_555
CONTROL_PORT, FRONT_PORT, READY_PORT = 18_544, 18_548, 18_542
# A run that takes longer is broken off.
RUN_LIMIT_S = 110
HALLS = ("hall-a", "hall-b", "hall-c")
BOUNDS = {
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 6,
    "configApplyMs": 2000,
    "recoveryS": 15,
}
GAP = re.compile(r"\{\{([^}]+)\}\}")


class Record:
    """Writes to a file what happened, with the seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = time.monotonic()

    def write(self, text):
        """Write one line."""
        line = f"{time.monotonic() - self._start:8.3f} {text}"
        print(line, file=self._file, flush=True)

    def say(self, text):
        """Write one line here and on standard output."""
        self.write(text)
        print(text, flush=True)


def fill(template, fields):
    """Fill the gaps of a settings template as the platform does."""

    def value_of(match):
        value = fields
        for part in match[1].split("."):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = value.get(part, "")
        if isinstance(value, bool):
            return str(value).lower()
        if isinstance(value, list):
            return ",".join(map(str, value))
        return str(value)

    return GAP.sub(value_of, template)


class Process:
    """One role on one machine: a process of the project that can be restarted."""

    def __init__(self, fleet, name, role, fields):
        self.fleet, self.name, self.role, self.fields = fleet, name, role, fields
        self.ip = fields["ip"]
        self.folder = fleet.folder / name
        self.folder.mkdir()
        self.popen = None
        self.starts = 0

    def start(self):
        """Start the process with the settings in force."""
        role = DEPLOY["roles"][self.role]
        settings = self.folder / "node.toml"
        template = (ROOT / role["template"]).read_text()
        settings.write_text(fill(template, self.fields))
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "CINDERWAY_BOOT": str(settings),
        }
        with open(self.folder / "log.txt", "ab") as log:
            self.popen = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )
        self.starts += 1
        self.fleet.record.write(f"{self.name}: start {self.starts}")

    def signal(self, number):
        """Send a signal."""
        self.fleet.record.write(f"{self.name}: signal {signal.Signals(number).name}")
        self.popen.send_signal(number)

    def kill(self):
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        self.popen.wait()

    @property
    def is_running(self):
        """Whether the process runs."""
        return self.popen is not None and self.popen.poll() is None

    @property
    def data_folder(self):
        """The folder that stands for the machine's disk."""
        return self.folder / "data"

    @property
    def log(self):
        """What the process has written."""
        return (self.folder / "log.txt").read_text(errors="replace")


class Fleet:
    """Control replicas and entries, each on a loopback address of its own."""

    def __init__(self, record, controls=5, entries=1, tolerated=2):
        self.record = record
        self._temporary = tempfile.TemporaryDirectory(prefix="cinderway-review-")
        self.folder = Path(self._temporary.name)
        block = random.SystemRandom().randint(16, 250)
        net = random.SystemRandom().randint(0, 250)
        self.net = f"127.{block}.{net}"
        seeds = [f"{self.net}.{10 + n}:{CONTROL_PORT}" for n in range(min(controls, 3))]
        self.controls = [
            Process(
                self,
                f"core-{n + 1}",
                "control",
                self._fields(f"core-{n + 1}", 10 + n, n, seeds, tolerated)
                | {"dataDir": str(self.folder / f"core-{n + 1}" / "data")},
            )
            for n in range(controls)
        ]
        self.entries = [
            Process(
                self,
                f"edge-{n + 1}",
                "entry",
                self._fields(f"edge-{n + 1}", 100 + n, n, seeds, tolerated),
            )
            for n in range(entries)
        ]

    def _fields(self, name, host, number, seeds, tolerated):
        ip = f"{self.net}.{host}"
        return {
            "nodeName": name,
            "ip": ip,
            "data_hall": HALLS[number % len(HALLS)],
            "portRange": [PORT_FIRST, PORT_LAST],
            "seeds": list(seeds),
            "bootstrap": True,
            "faultTolerance": {"machines": tolerated},
            "bounds": dict(BOUNDS),
            "listen": {
                "front": f"{ip}:{FRONT_PORT}",
                "readiness": f"{ip}:{READY_PORT}",
                "control": f"{ip}:{CONTROL_PORT}",
            },
        }

    def add_control(self):
        """Add an empty core machine at an address of its own, without starting it."""
        number = len(self.controls)
        name, seeds = f"core-{number + 1}", self.controls[0].fields["seeds"]
        tolerated = self.controls[0].fields["faultTolerance"]["machines"]
        fields = self._fields(name, 10 + number, number, seeds, tolerated)
        fields |= {"dataDir": str(self.folder / name / "data"), "bootstrap": False}
        self.controls.append(Process(self, name, "control", fields))
        return self.controls[-1]

    @property
    def processes(self):
        """All processes of the project."""
        return [*self.controls, *self.entries]

    def start_all(self):
        """Start all machines for the first time, at once."""
        for process in self.processes:
            process.start()

    def end_first_start(self):
        """From now on, settings files say that the first start is over."""
        for process in self.processes:
            process.fields["bootstrap"] = False

    def stop(self):
        """End all processes that were started, and remove the folders."""
        for process in self.processes:
            if process.is_running:
                process.popen.send_signal(signal.SIGCONT)
                process.popen.kill()
                process.popen.wait()
        self._temporary.cleanup()


# HTTP/1.1, as far as the stand-ins need it.


class ClosedError(Exception):
    """The connection ended before an answer was complete; `received` came before."""

    def __init__(self, received=b""):
        super().__init__(f"closed after {len(received)} bytes")
        self.received = received


class Answer:
    """A complete answer."""

    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body

    def header(self, name):
        """Return a header's value, or None."""
        return self.headers.get(name.lower())


async def read_head(reader):
    """Read the head of a message; return its first line and its headers."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        raise ClosedError(error.partial) from error
    except ConnectionError as error:
        raise ClosedError from error
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Read the body of a message that gives its length or comes in chunks."""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            parts = []
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                part = await reader.readexactly(size + 2)
                if size == 0:
                    return b"".join(parts)
                parts.append(part[:-2])
        return await reader.readexactly(int(headers.get("content-length", "0")))
    except asyncio.IncompleteReadError as error:
        raise ClosedError(error.partial) from error
    except ConnectionError as error:
        raise ClosedError from error


async def read_answer(reader):
    """Read one whole answer."""
    line, headers = await read_head(reader)
    status = int(line.split()[1])
    return Answer(status, headers, await read_body(reader, headers))


async def call(address, method, path, body=b"", headers=None, timeout=3.0, source=None):
    """Send one request on a new connection; return the answer.

    Raises OSError, ClosedError or TimeoutError.
    """
    host, _, port = address.rpartition(":")
    local = (source, 0) if source else None
    async with asyncio.timeout(timeout):
        reader, writer = await asyncio.open_connection(
            host, int(port), local_addr=local
        )
        try:
            lines = [f"{method} {path} HTTP/1.1"]
            all_headers = {"Host": address} | (headers or {})
            if body or method in ("PUT", "POST"):
                all_headers["Content-Length"] = str(len(body))
            lines += [f"{name}: {value}" for name, value in all_headers.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            return await read_answer(reader)
        finally:
            writer.close()


async def call_any(addresses, method, path, body=b"", until=None):
    """Call as the operator and the servers do: the next node after a failure.

    Follows two redirects, backs off, and returns the first answer that is neither a
    5xx nor a 408 or 429; None once `until` has passed.
    """
    pause = 0.1
    while True:
        for address in addresses:
            if until is not None and time.monotonic() >= until:
                return None
            target, wanted = address, path
            try:
                for _ in range(3):
                    answer = await call(target, method, wanted, body, timeout=1.0)
                    if answer.status != 307:
                        break
                    target, _, rest = answer.header("location")[7:].partition("/")
                    wanted = "/" + rest
            except (OSError, ClosedError, TimeoutError):
                continue
            if answer.status < 500 and answer.status not in (307, 408, 429):
                return answer
        await asyncio.sleep(pause)
        pause = min(pause * 2, 1.0)


# Stand-ins.


def build_sheet(version, routes, services):
    """Return the operator's order in the project's words."""
    return json.dumps(
        {
            "version": version,
            "routes": routes,
            "services": [
                {"name": name, "probe_path": "/health", "connection_limit": 360}
                for name in services
            ],
            "limits": {
                "header_limit_bytes": 16384,
                "body_limit_bytes": 67108864,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }
    ).encode()


def build_route(name, kind, service, timeout_ms=4000, **fields):
    """Return one route of host `a.example` with the prefix `/name/`."""
    return {
        "name": name,
        "host": "a.example",
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": timeout_ms,
        "objective_ms": 1500,
        "priority": 1,
        "service": service,
        "server_limit": 2,
    } | fields


class Request:
    """A request as a backend server received it."""

    def __init__(self, line, headers, body):
        self.method, self.target, _ = line.split(" ", 2)
        self.headers, self.body = headers, body

    @property
    def attempt_id(self):
        """The caller's name of this attempt."""
        return self.headers.get("cinderway-attempt-id", "")


class Server:
    """A sound backend server, unless `behave` is replaced.

    `behave` is awaited for each request that begins to run; it returns status, body and
    more headers, or None to close the connection without an answer.
    """

    def __init__(self, record, ip, port, server_id, service, hall, slots=4):
        self.record, self.ip, self.port = record, ip, port
        self.server_id, self.service, self.hall = server_id, service, hall
        self.slots = slots
        self.runs = []
        self.running = 0
        self.sequence = 0
        self.status = "active"
        self.extra_headers = {}
        self._server = None
        self._writers = set()
        self._beats = None

    @property
    def address(self):
        """Where it listens."""
        return f"{self.ip}:{self.port}"

    async def behave(self, request):
        """Run a request."""
        return 200, f"{self.server_id} {request.attempt_id}".encode(), {}

    async def start(self):
        """Listen."""
        self._server = await asyncio.start_server(self._serve, self.ip, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def start_beats(self, controls, interval=1.5):
        """Send heartbeats, to the next node after a failure."""
        self._beats = asyncio.create_task(self._beat(controls, interval))

    async def beat_once(self, controls, until=None):
        """Send one heartbeat; return whether it was acknowledged."""
        self.sequence += 1
        body = json.dumps(
            {
                "service": self.service,
                "address": self.address,
                "data_hall": self.hall,
                "version": "v1",
                "slots": self.slots,
                "status": self.status,
                "warmup_left_ms": 0,
                "sequence": self.sequence,
            }
        ).encode()
        path = f"/v1/servers/{self.server_id}"
        answer = await call_any(controls, "PUT", path, body, until)
        return answer is not None and answer.status == 200

    async def _beat(self, controls, interval):
        while True:
            await self.beat_once(controls, time.monotonic() + interval)
            await asyncio.sleep(interval)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                answer = await self._handle(Request(line, headers, body))
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (ClosedError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, request):
        if request.target == "/health":
            found = {"Cinderway-Instance-Id": self.server_id}
            return build_answer(200, b"", found | self._load())
        expected = request.headers.get("cinderway-expected-instance")
        if expected not in (None, self.server_id):
            return build_answer(421, b"", {"Cinderway-Not-Executed": "1"})
        own = {"Cinderway-Attempt-Id": request.attempt_id}
        if self.running >= self.slots:
            shed = own | {"Cinderway-Not-Executed": "1"} | self._load()
            return build_answer(503, b"", shed)
        self.running += 1
        self.runs.append(request)
        self.record.write(
            f"{self.server_id} runs {request.attempt_id} {request.method} "
            f"{request.target} body {len(request.body)}"
        )
        try:
            found = await self.behave(request)
        finally:
            self.running -= 1
        if found is None:
            return None
        status, body, more = found
        own |= {"Cinderway-Server-Seal": f"seal.{self.server_id}.{request.attempt_id}"}
        return build_answer(
            status, body, own | self._load() | self.extra_headers | more
        )

    def _load(self):
        return {"Cinderway-Server-Load": f"{self.running},0,{self.slots}"}

    def close_connections(self):
        """Close all connections."""
        for writer in list(self._writers):
            writer.close()

    async def stop(self):
        """Stop serving."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        self.close_connections()


def build_answer(status, body, headers):
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def wait_ready(entry, timeout=15.0):
    """Wait until an entry says that it is ready; return whether it did."""
    until = time.monotonic() + timeout
    while time.monotonic() < until:
        try:
            answer = await call(entry.fields["listen"]["readiness"], "GET", "/readyz")
            if answer.status == 200:
                return True
        except (OSError, ClosedError, TimeoutError):
            pass
        await asyncio.sleep(0.1)
    return False
