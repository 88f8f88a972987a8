"""CPU, memory and traffic of control per entry, for several fleet and table sizes.

    python -m bench control_cost [--entries 12,24,36] [--rows 30,1000,4000]

Measured without callers' requests: judgement, probing without servers to probe, table
and membership are running. Bytes are those of the product's frames in both directions,
without TCP headers.
"""

import argparse
import os
import time
from pathlib import Path

from bench.figures import format_table
from standins.fleet import Fleet, ServerSpec, ServiceSpec

HALLS = ["suva", "lautoka", "nadi"]
SETTLE_S = 6.0
SECONDS = 10.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MIB = 1024 * 1024


def cpu_s(pid: int) -> float:
    """Return the CPU time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def memory_mib(pid: int) -> float:
    """Return a process's resident memory."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * PAGE_BYTES / MIB


def measure(entries: int, rows: int, services: int) -> list:
    """Measure one fleet and table size; return a row of the printed table."""
    specs = [ServiceSpec(f"s{n}", {"routes": f"/s{n}"}) for n in range(services)]
    servers = [
        ServerSpec(f"b{n}", f"s{n % services}", HALLS[n % 3]) for n in range(rows)
    ]
    fleet = Fleet(specs, servers, HALLS, entries, ledger=0)
    fleet.start_backends = lambda: None
    with fleet:
        time.sleep(SETTLE_S)
        pids = {e.name: fleet.processes[e.name].pid for e in fleet.entries}
        control = fleet.processes[f"control-{fleet.control[0]}"].pid
        before = {name: cpu_s(pid) for name, pid in pids.items()}
        control_before = cpu_s(control)
        bytes_before = {e.name: wire_bytes(fleet, e) for e in fleet.entries}
        time.sleep(SECONDS)
        used = sorted((cpu_s(pid) - before[n]) / SECONDS for n, pid in pids.items())
        control_used = (cpu_s(control) - control_before) / SECONDS
        sent = sorted(
            (wire_bytes(fleet, e) - bytes_before[e.name]) / SECONDS
            for e in fleet.entries
        )
        memory = max(memory_mib(pid) for pid in pids.values())
        control_memory = memory_mib(control)
    return [
        entries,
        services,
        rows,
        f"{used[len(used) // 2]:.1%}",
        f"{used[-1]:.1%}",
        f"{sent[len(sent) // 2] / 1000:.1f}",
        f"{sent[-1] / 1000:.1f}",
        f"{memory:.0f}",
        f"{control_used:.1%}",
        f"{control_memory:.0f}",
    ]


def wire_bytes(fleet: Fleet, entry) -> float:
    """Return the bytes of all frames that an entry sent and received."""
    metrics = fleet.metrics(entry)
    return (
        metrics["cinderway_wire_sent_bytes"] + metrics["cinderway_wire_received_bytes"]
    )


def main(arguments: list[str]) -> None:
    """Print one row per size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", default="12,24,36")
    parser.add_argument("--rows", default="30,1000,4000")
    parser.add_argument("--services", default="3,30,120")
    options = parser.parse_args(arguments)
    rows = [measure(int(n), 30, 3) for n in options.entries.split(",")]
    sizes = zip(options.rows.split(","), options.services.split(","), strict=True)
    rows += [measure(12, int(count), int(services)) for count, services in sizes]
    header = ["entries", "services", "server rows", "entry CPU median", "entry CPU max"]
    header += ["entry kB/s median", "entry kB/s max", "entry MiB max"]
    header += ["control CPU", "control MiB"]
    print(format_table(header, rows))
