"""Timers, messages and CPU time of the product's processes.

    python -m bench wakeups [--entries 6] [--seconds 10] [--per-s 0]

Runs entries and control replicas that use the catalog with simulated servers, idle or
with some requests per second. Prints means per process and second for each role:
expired timers by the function that set them, messages and their bytes by type, and CPU
time. The processes run on the standard library's event loop, which uses more CPU time
than uvloop.
"""

import argparse
import os
import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import msgspec

from bench._counted import Counts
from bench.control_cost import cpu_s
from bench.figures import format_table
from standins import catalog_fleet
from standins.catalog_fleet import CatalogFleet, RegisteredServer, call, wait_for
from standins.fleet import free_ports

SETTLE_S = 6.0
SERVERS = 4
PRINTED_ROWS = 12
SHEET = {
    "version": 1,
    "routes": [
        {
            "name": "look",
            "host": "a.example",
            "path_prefix": "/look/",
            "kind": "repeatable",
            "timeout_ms": 1500,
            "objective_ms": 1000,
            "service": "lookup",
            "server_limit": 2,
        }
    ],
    "services": [{"name": "lookup"}],
}


class GossipingFleet(CatalogFleet):
    """A fleet whose entries listen for gossip of their peers, as on the platform."""

    def start_entry(self, number: int, **settings: str) -> None:
        """Start one entry."""
        (port,) = free_ports(1)
        peers_listen = f"127.0.0.1:{port}"
        super().start_entry(number, peers_listen=peers_listen, **settings)


def _read_counts(fleet: CatalogFleet, folder: Path) -> dict[str, Counts]:
    """Make all processes write their counters, and read them."""
    for path in folder.glob("*.json"):
        path.unlink()
    for process in fleet.processes.values():
        process.send_signal(signal.SIGUSR1)
    paths = {n: folder / f"{p.pid}.json" for n, p in fleet.processes.items()}
    wait_for(lambda: all(path.exists() for path in paths.values()), "counts")
    return {
        name: msgspec.json.decode(path.read_bytes(), type=Counts)
        for name, path in paths.items()
    }


def _send_requests(fleet: CatalogFleet, per_s: float, until_s: float) -> None:
    number = 0
    while time.monotonic() < until_s:
        number += 1
        headers = {"host": "a.example", "cinderway-attempt": f"w{number}"}
        call(fleet.callers[number % fleet.entries], "GET", "/look/x", b"", headers)
        time.sleep(1 / per_s)


def _measure(fleet: CatalogFleet, folder: Path, seconds: float, per_s: float) -> None:
    before = _read_counts(fleet, folder)
    pids = {name: process.pid for name, process in fleet.processes.items()}
    cpu_before_s = {name: cpu_s(pid) for name, pid in pids.items()}
    began_s = time.monotonic()
    if per_s:
        _send_requests(fleet, per_s, began_s + seconds)
    else:
        time.sleep(seconds)
    after = _read_counts(fleet, folder)
    elapsed_s = time.monotonic() - began_s
    for role in ("entry", "control"):
        names = [name for name in pids if name.startswith(role)]
        scale = 1 / elapsed_s / len(names)
        used_s = sum(cpu_s(pids[n]) - cpu_before_s[n] for n in names) * scale
        print(f"\n{role}: {len(names)} processes, {100 * used_s:.1f}% of a core each\n")
        for field in ("timers", "messages", "message_bytes"):
            _print_rates(role, field, before, after, names, scale)


def _print_rates(role, field, before, after, names, scale) -> None:
    total: Counter[str] = Counter()
    for name in names:
        total.update(getattr(after[name], field))
        total.subtract(getattr(before[name], field))
    rows = [["all", f"{total.total() * scale:.2f}"]]
    rows += [
        [what, f"{count * scale:.2f}"]
        for what, count in total.most_common(PRINTED_ROWS)
    ]
    print(format_table([f"{role}: {field}", "per second and process"], rows) + "\n")


def main(arguments: list[str]) -> None:
    """Measure a fleet and print its counters."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, default=6)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--per-s", type=float, default=0.0)
    options = parser.parse_args(arguments)
    with tempfile.TemporaryDirectory() as folder:
        # A fleet's processes inherit only PATH. PYTHONPATH selects the tree to measure,
        # which may differ from the installed one.
        path = f"PYTHONPATH={os.environ.get('PYTHONPATH', '')}"
        command = ["env", path, sys.executable, "-m", "bench._counted", folder]
        catalog_fleet.CINDERWAY = command
        fleet = GossipingFleet(entries=options.entries)
        servers = [RegisteredServer(f"i-{n}", "lookup") for n in range(SERVERS)]
        try:
            fleet.start()
            fleet.put_sheet(SHEET)
            for server in servers:
                fleet.register(server)
            for number in range(options.entries):
                fleet.wait_ready(number)
            time.sleep(SETTLE_S)
            _measure(fleet, Path(folder), options.seconds, options.per_s)
        finally:
            fleet.stop()
            for server in servers:
                server.stop()
