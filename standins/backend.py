"""Simulated backend servers with a limited number of slots and injectable faults.

    /lookup…    a repeatable request that takes about `work_ms`
    /readings…  POST; counts the runs of each Idempotency-Key
    /maps/N     N KiB, streamed, with a strong ETag and support for ranges
    /healthz    reports healthy whatever faults are set, as in a gray failure
    /_standin/… sets faults and returns counters, for the tests

One process runs many servers, each on its own port. POST /_standin/fault sets a
server's faults.
"""

import argparse
import asyncio
import json
import random
from collections import Counter
from dataclasses import dataclass, field

import uvicorn

CHUNK_BYTES = 16 * 1024
KIB = 1024
COLD_FACTOR = 4.0


@dataclass
class Faults:
    """A server's injected faults.

    If `from_names` is not empty, most faults affect only requests from entries whose
    names begin with one of these texts.
    """

    stall: bool = False
    stall_path: str = ""
    slow_factor: float = 1.0
    error_share: float = 0.0
    cut_body: bool = False
    refuse: bool = False
    drop_answer: bool = False
    mute: bool = False
    drain: bool = False
    weak_etag: bool = False
    # If not 0, the server sheds all requests and sends this value as Retry-After.
    rest_s: int = 0
    # Requests per second announced in the rate limit header; 0 sends no header.
    rate_limit_per_s: float = 0.0
    from_names: list[str] = field(default_factory=list)


@dataclass
class BackendServer:
    """One server with its slots, faults and counters."""

    name: str
    slots: int
    work_ms: float
    body_kib_per_s: int
    queue: int
    rng: random.Random
    faults: Faults = field(default_factory=Faults)
    in_use: int = 0
    waiting: int = 0
    served: int = 0
    shed: int = 0
    cancelled: int = 0
    cold_until_s: float = 0.0
    runs: Counter = field(default_factory=Counter)
    slot_semaphore: asyncio.Semaphore = None
    faults_changed: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self):
        self.slot_semaphore = asyncio.Semaphore(self.slots)

    async def __call__(self, scope, receive, send):
        """Serve one ASGI request."""
        if scope["type"] != "http":
            return
        request = _Request(scope, await _read_body(receive))
        if request.path.startswith("/_standin/"):
            await self._handle_control_request(request, send)
        elif request.path == "/healthz":
            await self._send_response(send, 200, b"healthy")
        else:
            await self._handle_work(request, receive, send)

    async def _handle_work(self, request, receive, send):
        is_full = self.waiting >= self.queue and self.in_use >= self.slots
        rest_s = self.faults.rest_s
        if is_full or rest_s:
            self.shed += 1
            retry_after = b"%d" % (rest_s or 1)
            headers = [
                (b"cinderway-outcome", b"not_run"),
                (b"retry-after", retry_after),
            ]
            await self._send_response(send, 503, b"no slot", headers)
            return
        self.waiting += 1
        try:
            await self.slot_semaphore.acquire()
        finally:
            self.waiting -= 1
        self.in_use += 1
        try:
            await self._run_until_disconnect(self._run(request, send), request, receive)
        finally:
            self.in_use -= 1
            self.slot_semaphore.release()
        if self.faults.mute and self._is_affected(request):
            # Simulates a one-way network partition: the work is done and the slot is
            # released, but no part of the response arrives.
            await self.faults_changed.wait()
            raise ConnectionAbortedError

    async def _run_until_disconnect(self, work, request, receive):
        """Cancel the work if the client disconnects, unless the method is POST."""
        if request.method == "POST":
            await work
            return
        task = asyncio.ensure_future(work)
        disconnected = asyncio.ensure_future(_wait_for_disconnect(receive))
        done, _ = await asyncio.wait(
            {task, disconnected}, return_when=asyncio.FIRST_COMPLETED
        )
        if task not in done:
            self.cancelled += 1
            task.cancel()
        disconnected.cancel()
        await asyncio.gather(task, disconnected, return_exceptions=True)

    async def _run(self, request, send):
        faults = self.faults if self._is_affected(request) else Faults()
        if faults.refuse:
            raise ConnectionAbortedError
        if faults.stall or (
            faults.stall_path and request.path.startswith(faults.stall_path)
        ):
            await self.faults_changed.wait()
        factor = faults.slow_factor
        if asyncio.get_running_loop().time() < self.cold_until_s:
            factor *= COLD_FACTOR
        if request.path.startswith("/maps/") and not faults.mute:
            await self._send_map(request, send, factor, faults)
            return
        mean_ms = self.work_ms * factor
        await asyncio.sleep(mean_ms * self.rng.lognormvariate(-0.08, 0.4) / 1000)
        if request.key:
            self.runs[request.key] += 1
        if faults.mute:
            return
        if faults.drop_answer:
            await self.faults_changed.wait()
            raise ConnectionAbortedError
        if self.rng.random() < faults.error_share:
            await self._send_response(send, 500, b"broken")
            return
        self.served += 1
        body = json.dumps(
            {"server": self.name, "echo": request.path + "?" + request.query}
        )
        await self._send_response(send, 200, body.encode())

    def _is_affected(self, request) -> bool:
        affected_names = self.faults.from_names
        return not affected_names or any(
            request.attempt.startswith(n) for n in affected_names
        )

    async def _send_map(self, request, send, factor, faults):
        total = int(request.path.split("/")[2]) * KIB
        first, last, status = 0, total - 1, 200
        if request.range.startswith("bytes="):
            start, _, end = request.range[6:].partition("-")
            first, last, status = int(start), int(end or last), 206
        etag = b'"map-%d"' % total
        if faults.weak_etag:
            etag = b"W/" + etag
        headers = [(b"etag", etag), (b"content-length", b"%d" % (last - first + 1))]
        if status == 206:
            content_range = b"bytes %d-%d/%d" % (first, last, total)
            headers.append((b"content-range", content_range))
        await self._send_response_start(send, status, headers)
        pause_s = CHUNK_BYTES / KIB / self.body_kib_per_s * factor
        position = first
        while position <= last:
            if faults.cut_body and position - first > total // 3:
                raise ConnectionAbortedError
            if self.faults.stall and self._is_affected(request):
                await self.faults_changed.wait()
            size = min(CHUNK_BYTES, last - position + 1)
            body = map_bytes(position, size)
            message = {"type": "http.response.body", "body": body, "more_body": True}
            await send(message)
            position += size
            await asyncio.sleep(pause_s)
        await send({"type": "http.response.body", "body": b""})
        self.served += 1

    async def _handle_control_request(self, request, send):
        match request.path:
            case "/_standin/fault":
                self.faults = Faults(**json.loads(request.body or b"{}"))
                self.faults_changed.set()
                self.faults_changed = asyncio.Event()
            case "/_standin/cold":
                now_s = asyncio.get_running_loop().time()
                self.cold_until_s = now_s + float(request.body)
        counts = {
            "served": self.served,
            "shed": self.shed,
            "cancelled": self.cancelled,
            "in_use": self.in_use,
            "runs": self.runs,
        }
        await self._send_response(send, 200, json.dumps(counts).encode())

    async def _send_response(self, send, status, body, headers=()):
        await self._send_response_start(
            send, status, [*headers, (b"content-length", b"%d" % len(body))]
        )
        await send({"type": "http.response.body", "body": body})

    async def _send_response_start(self, send, status, headers):
        load = b"%d/%d" % (self.in_use + self.waiting, self.slots)
        headers = [*headers, (b"cinderway-load", load)]
        if self.faults.drain:
            headers.append((b"cinderway-drain", b"1"))
        if self.faults.rate_limit_per_s:
            limit = b"%f" % self.faults.rate_limit_per_s
            headers.append((b"cinderway-rate-limit", limit))
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )


class _Request:
    def __init__(self, scope, body):
        headers = dict(scope["headers"])
        self.method = scope["method"]
        self.path = scope["path"]
        self.query = scope["query_string"].decode()
        self.body = body
        self.key = headers.get(b"idempotency-key", b"").decode()
        self.range = headers.get(b"range", b"").decode()
        self.attempt = headers.get(b"cinderway-attempt", b"").decode()


def map_bytes(position: int, size: int) -> bytes:
    """Return a range of a map's body.

    The body consists of 8-byte lines with consecutive numbers, so that a misplaced or
    missing range is detected.
    """
    first = position // 8
    last = (position + size) // 8 + 1
    text = b"".join(b"%07d\n" % (n % 10_000_000) for n in range(first, last))
    return text[position - first * 8 :][:size]


async def _read_body(receive):
    parts = []
    while True:
        message = await receive()
        parts.append(message.get("body", b""))
        if not message.get("more_body"):
            return b"".join(parts)


async def _wait_for_disconnect(receive):
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return


async def serve(servers: dict[int, BackendServer]) -> None:
    """Serve each server on its port until cancelled."""
    await asyncio.gather(
        *(
            uvicorn.Server(
                uvicorn.Config(
                    server,
                    host="127.0.0.1",
                    port=port,
                    lifespan="off",
                    log_level="critical",
                    access_log=False,
                    timeout_graceful_shutdown=0,
                )
            ).serve()
            for port, server in servers.items()
        )
    )


def main() -> None:
    """Run the servers given as `name:port:slots:work_ms` on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("servers", nargs="+")
    parser.add_argument("--queue", type=int, default=-1, help="-1: same as slots")
    parser.add_argument("--body-kib-per-s", type=int, default=4096)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    servers = {}
    for position, text in enumerate(options.servers):
        name, port, slots, work_ms = text.split(":")
        queue = int(slots) if options.queue < 0 else options.queue
        rng = random.Random(options.seed * 1000 + position)
        servers[int(port)] = BackendServer(
            name, int(slots), float(work_ms), options.body_kib_per_s, queue, rng
        )
    import uvloop

    uvloop.run(serve(servers))


if __name__ == "__main__":
    main()
