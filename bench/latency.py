"""Latency added by an entry, compared with requests sent to a server directly.

    python -m bench latency [--rate 80] [--seconds 10]

Both kinds of requests alternate in the same run. The simulated servers respond without
delay, so that the difference is the entry's.
"""

import argparse
import asyncio
import random

from bench.figures import format_table, ms, percentiles_ms
from standins.fleet import Fleet, ServerSpec, ServiceSpec
from standins.load import Caller

SERVICES = [
    ServiceSpec("lookup", {"routes": "/lookup"}),
    ServiceSpec(
        "readings", {"routes": "/readings", "run_once_routes": "POST:/readings"}
    ),
]
SERVERS = [
    ServerSpec(f"{service.name}-{n}", service.name, "suva", 8, 0)
    for service in SERVICES
    for n in range(3)
]


async def measure(fleet: Fleet, rate_per_s: float, seconds: float) -> dict:
    """Send requests at a constant mean rate; return latencies in s by kind."""
    caller, rng = Caller(), random.Random(1)
    entry = fleet.entries[0].callers_port
    direct = fleet.server_ports["lookup-0"]
    latencies_s = {"direct": [], "lookup": [], "run once": []}

    async def send(kind, port, method, path, headers):
        answer = await caller.request(port, method, path, headers)
        if answer.status == 200:
            latencies_s[kind].append(answer.latency_s)

    async with asyncio.TaskGroup() as tasks:
        for number in range(round(rate_per_s * seconds)):
            await asyncio.sleep(rng.expovariate(rate_per_s))
            key = {"Idempotency-Key": f"{number}-{rng.random()}"}
            sends = [
                ("direct", direct, "GET", "/lookup/a", {}),
                ("lookup", entry, "GET", "/lookup/a", {}),
                ("run once", entry, "POST", "/readings/a", key),
            ]
            tasks.create_task(send(*sends[number % len(sends)]))
    return latencies_s


def main(arguments: list[str]) -> None:
    """Print a table of the latencies."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=80)
    parser.add_argument("--seconds", type=float, default=20)
    options = parser.parse_args(arguments)
    with Fleet(SERVICES, SERVERS, ["suva"], entries=1) as fleet:
        asyncio.run(measure(fleet, options.rate, 2))
        latencies_s = asyncio.run(measure(fleet, options.rate, options.seconds))
    direct_p50, direct_p99, _ = percentiles_ms(latencies_s["direct"])
    rows = []
    for kind, values in latencies_s.items():
        p50, p99, worst = percentiles_ms(values)
        added = [f"{p50 - direct_p50:.2f}", f"{p99 - direct_p99:.2f}"]
        rows.append([kind, len(values), f"{p50:.2f}", f"{p99:.2f}", ms(worst), *added])
    header = [
        "request",
        "count",
        "p50 ms",
        "p99 ms",
        "max ms",
        "added p50",
        "added p99",
    ]
    print(f"{options.rate} requests/s for {options.seconds} s\n")
    print(format_table(header, rows))
