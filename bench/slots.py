"""Slot utilization with 36 entries and 5 servers of 3 slots, up to overload.

    python -m bench slots [--seconds 8] [--queue 3]

A server runs as many requests as it has slots, queues up to `queue` more, and sheds the
rest. Slots are not allocated to entries: they choose servers by the load reported in
responses, and pause after a shed. This measures the cost of that design.
"""

import argparse
import asyncio
import random

from bench.figures import format_table, ms, percentiles_ms
from standins.fleet import Fleet, ServerSpec, ServiceSpec
from standins.load import Load, Stream

SERVERS = 5
SLOTS = 3
WORK_MS = 100.0
LOADS = (0.5, 0.8, 0.95, 1.2)
HALLS = ["suva", "lautoka", "nadi"]
DEADLINE_MS = 3_000


async def measure(fleet: Fleet, share: float, seconds: float) -> list:
    """Load the servers with a share of their capacity; return a row of the table."""
    rate_per_s = share * SERVERS * SLOTS / (WORK_MS / 1000)
    stream = Stream("lookup", rate_per_s, "/lookup/a", deadline_ms=DEADLINE_MS)
    ports = [entry.callers_port for entry in fleet.entries]
    before = read_totals(fleet)
    load = Load(ports, [stream], random.Random(1))
    await load.run(seconds)
    after = read_totals(fleet)
    served = after["served"] - before["served"]
    shed = after["shed"] - before["shed"]
    good = [a.latency_s for a in load.answers["lookup"] if a.status == 200]
    refused = len(load.answers["lookup"]) - len(good)
    p50, p99, _ = percentiles_ms(good)
    used = served * WORK_MS / 1000 / (SERVERS * SLOTS * seconds)
    return [
        f"{share:.0%}",
        len(load.answers["lookup"]),
        f"{used:.0%}",
        ms(p50),
        ms(p99),
        f"{shed / max(served, 1):.2f}",
        refused,
    ]


def read_totals(fleet: Fleet) -> dict[str, int]:
    """Return the sums of all servers' counters."""
    counts = [fleet.counts(server.name) for server in fleet.servers]
    return {counter: sum(c[counter] for c in counts) for counter in ("served", "shed")}


def main(arguments: list[str]) -> None:
    """Print one row per load."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=8)
    parser.add_argument("--queue", type=int, default=SLOTS)
    parser.add_argument("--entries", type=int, default=36)
    options = parser.parse_args(arguments)
    services = [ServiceSpec("lookup", {"routes": "/lookup"})]
    servers = [
        ServerSpec(f"lookup-{n}", "lookup", HALLS[n % 3], SLOTS, WORK_MS)
        for n in range(SERVERS)
    ]
    fleet = Fleet(
        services,
        servers,
        HALLS,
        options.entries,
        backend_options=("--queue", str(options.queue)),
    )
    with fleet:
        rows = [asyncio.run(measure(fleet, share, options.seconds)) for share in LOADS]
    header = ["load", "requests", "slots used", "p50 ms", "p99 ms"]
    header += ["sheds per answer", "refused"]
    print(
        f"{options.entries} entries, {SERVERS} servers of {SLOTS} slots, "
        f"server queue {options.queue}\n"
    )
    print(format_table(header, rows))
