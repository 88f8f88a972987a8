"""An open-loop load generator that uses keep-alive connections on loopback."""

import asyncio
import random
import time
from collections import Counter
from dataclasses import dataclass, field

TIMEOUT_S = 30.0
READ_BUFFER_BYTES = 64 * 1024


@dataclass
class Answer:
    """A complete response; status 0 means a failed connection or a timeout."""

    status: int
    body: bytes
    headers: dict[str, str]
    latency_s: float
    sent_at_s: float


@dataclass
class Caller:
    """A client that sends requests to any port and reuses idle connections."""

    idle_connections: dict[int, list] = field(default_factory=dict)

    async def request(
        self,
        port: int,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
    ) -> Answer:
        """Send one request and return its response."""
        began_s, sent_at_s = time.perf_counter(), time.time()
        try:
            async with asyncio.timeout(TIMEOUT_S):
                status, fields, content = await self._exchange(
                    port, method, path, headers or {}, body
                )
        except (OSError, EOFError, ValueError, IndexError, TimeoutError):
            status, fields, content = 0, {}, b""
        latency_s = time.perf_counter() - began_s
        return Answer(status, content, fields, latency_s, sent_at_s)

    async def _exchange(self, port, method, path, headers, body):
        idle_connections = self.idle_connections.setdefault(port, [])
        if idle_connections:
            reader, writer = idle_connections.pop()
        else:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", port, limit=READ_BUFFER_BYTES
            )
        try:
            fields = {"host": "x", "content-length": str(len(body)), **headers}
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            status_line, *header_lines = head.strip().split("\r\n")
            answer_fields = {}
            for line in header_lines:
                name, _, value = line.partition(":")
                answer_fields[name.lower()] = value.strip()
            length = int(answer_fields.get("content-length", "0"))
            content = await reader.readexactly(length)
        except BaseException:
            writer.close()
            raise
        if answer_fields.get("connection", "").lower() == "close":
            writer.close()
        else:
            idle_connections.append((reader, writer))
        return int(status_line.split()[1]), answer_fields, content


@dataclass(frozen=True)
class Stream:
    """One kind of request, sent as a Poisson process with a constant mean rate."""

    name: str
    rate_per_s: float
    path: str
    method: str = "GET"
    deadline_ms: int = 5_000
    has_key: bool = False


@dataclass
class Load:
    """Request streams spread randomly over entries, as by a load balancer."""

    ports: list[int]
    streams: list[Stream]
    rng: random.Random
    caller: Caller = field(default_factory=Caller)
    answers: dict[str, list[Answer]] = field(default_factory=dict)
    keys: int = 0

    async def run(self, duration_s: float) -> None:
        """Send requests for a duration, then wait for the remaining responses."""
        async with asyncio.TaskGroup() as tasks:
            for stream in self.streams:
                tasks.create_task(self._send_stream(tasks, stream, duration_s))

    async def _send_stream(self, tasks, stream, duration_s):
        end_s = time.perf_counter() + duration_s
        next_s = time.perf_counter()
        while next_s < end_s:
            next_s += self.rng.expovariate(stream.rate_per_s)
            await asyncio.sleep(max(next_s - time.perf_counter(), 0))
            tasks.create_task(self._send(stream))

    async def _send(self, stream):
        headers = {"Cinderway-Deadline-Ms": str(stream.deadline_ms)}
        headers["X-Caller"] = f"caller-{self.rng.randrange(200)}"
        if stream.has_key:
            self.keys += 1
            headers["Idempotency-Key"] = f"key-{self.rng.getrandbits(60)}-{self.keys}"
        answer = await self.caller.request(
            self.rng.choice(self.ports), stream.method, stream.path, headers
        )
        self.answers.setdefault(stream.name, []).append(answer)

    def statuses(self, name: str) -> Counter:
        """Count a stream's responses by status."""
        return Counter(answer.status for answer in self.answers.get(name, []))

    def failed(self) -> int:
        """Count failed responses, status 0 or at least 500, over all streams."""
        return sum(
            answer.status == 0 or answer.status >= 500
            for answers in self.answers.values()
            for answer in answers
        )
