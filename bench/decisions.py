"""Detection time and false ejections with 36 real entries, fault by fault.

    python -m bench decisions [--policy pooled|local|health] [--faults a,b] [--trials N]

Detection time: from the fault's begin until the last entry has ejected the server, by
the entries' own log lines. A trial that some entry has not ended by the time limit
counts with the limit. Wrong ejections: servers ejected, by any entry, without a fault.
"""

import argparse
import asyncio
import json
import random
import re
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

from bench.figures import ms, percentiles_ms, table
from standins.fleet import CINDERWAY, Fleet, ServerSpec, ServiceSpec
from standins.load import Load, Stream

HALLS = ["suva", "lautoka", "nadi"]
ENTRIES = 36
WARM_UP_S = 8.0
SETTLE_S = 3.0
LIMIT_S = 5.0
RECOVER_S = 6.0
RESULTS = Path("docs/measurements")
EJECTED = re.compile(
    r"^(\d+-\d+-\d+ \d+:\d+:\d+),(\d+) .*ejected ([a-z]+)/([a-z0-9-]+)", re.M
)


@dataclass(frozen=True)
class Deployment:
    """A user's services, servers and mix of requests."""

    name: str
    halls: list[str]
    services: list[ServiceSpec]
    counts: dict[str, int]
    slots: int
    streams: list[Stream]
    targets: tuple[str, ...]


METER_READING = Deployment(
    "meter-reading",
    HALLS,
    [
        ServiceSpec(
            "lookup",
            {"routes": "/lookup", "probe_path": "/lookup/probe", "bias": "detect-soon"},
        ),
        ServiceSpec(
            "readings",
            {
                "routes": "/readings",
                "probe_path": "/readings/probe",
                "bias": "detect-soon",
                "run_once_routes": "POST:/readings",
            },
        ),
        ServiceSpec(
            "maps",
            {
                "routes": "/maps",
                "probe_path": "/maps/64",
                "bias": "detect-soon",
                "answer_mode": "stream",
            },
        ),
    ],
    {"lookup": 15, "readings": 10, "maps": 5},
    3,
    [
        Stream("lookup", 80, "/lookup/account", deadline_ms=2000),
        Stream("readings", 20, "/readings/meter", "POST", 4000, True),
        Stream("maps", 4, "/maps/1024", deadline_ms=10_000),
    ],
    ("lookup", "readings", "maps"),
)
INVOICING = Deployment(
    "invoicing",
    ["zurich-1", "zurich-2", "zurich-3", "zurich-4"],
    [
        ServiceSpec("status", {"routes": "/lookup", "probe_path": "/lookup/probe"}),
        ServiceSpec(
            "payouts",
            {
                "routes": "/readings",
                "probe_path": "/readings/probe",
                "bias": "eject-rarely",
                "run_once_routes": "POST:/readings",
            },
        ),
        ServiceSpec(
            "bundles",
            {"routes": "/maps", "probe_path": "/maps/64", "answer_mode": "stream"},
        ),
    ],
    {"status": 20, "payouts": 10, "bundles": 10},
    4,
    [
        Stream("status", 100, "/lookup/invoice", deadline_ms=2000),
        Stream("payouts", 10, "/readings/payout", "POST", 4000, True),
        Stream("bundles", 5, "/maps/1024", deadline_ms=10_000),
    ],
    ("status", "payouts", "bundles"),
)
DEPLOYMENTS = {d.name: d for d in (METER_READING, INVOICING)}


@dataclass
class Trial:
    """What one trial showed."""

    detection_s: dict[str, float] = field(default_factory=dict)
    undetected: int = 0
    wrong: set[str] = field(default_factory=set)
    failed: int = 0
    requests: int = 0
    lowest_share: float = 1.0


class Bench:
    """One fleet under one policy."""

    def __init__(self, deployment: Deployment, policy: str, seed: int, entries: int):
        self.deployment = deployment
        self.rng = random.Random(seed)
        # Ejections by this hall's entries are not wrong while it is cut off.
        self.cut_hall = ""
        servers = [
            ServerSpec(
                f"{service}-{n + 1}",
                service,
                deployment.halls[n % len(deployment.halls)],
                deployment.slots,
            )
            for service, count in deployment.counts.items()
            for n in range(count)
        ]
        self.fleet = Fleet(
            deployment.services,
            servers,
            deployment.halls,
            entries,
            log_level="info",
            entry_command=entry_command(policy),
        )

    async def trial(self, fault: str) -> Trial:
        """Run load, set the fault, and see who is ejected when."""
        load = self.load()
        began = asyncio.create_task(load.run(SETTLE_S + LIMIT_S))
        await asyncio.sleep(SETTLE_S)
        expected = await asyncio.to_thread(self.begin, fault)
        fault_at_s = time.time()
        if fault == "flapping":
            await self.flap(expected, LIMIT_S)
        await began
        trial = self.read(expected, fault_at_s)
        trial.failed = load.failed()
        trial.requests = sum(len(a) for a in load.answers.values())
        await asyncio.to_thread(self.heal)
        recovery = self.load()
        await recovery.run(RECOVER_S)
        return trial

    def load(self) -> Load:
        """Return the deployment's load."""
        ports = [entry.callers_port for entry in self.fleet.entries]
        streams = self.deployment.streams
        return Load(ports, streams, random.Random(self.rng.random()))

    def begin(self, fault: str) -> set[str]:
        """Set a fault; return the servers that should be ejected."""
        chosen = {
            f"{target}-{self.rng.randrange(self.deployment.counts[target]) + 1}"
            for target in self.deployment.targets
        }
        every = [server.name for server in self.fleet.servers]
        first, _, streamed = self.deployment.targets
        match fault:
            case "stall":
                self.afflict(chosen, stall=True)
            case "slow":
                self.afflict(chosen, slow_factor=10.0)
            case "errors":
                # Streams of the stand-in do not answer with errors.
                chosen = {name for name in chosen if not name.startswith(streamed)}
                self.afflict(chosen, error_share=0.3)
            case "stall-path":
                chosen = {name for name in chosen if name.startswith(first)}
                self.afflict(chosen, stall_path=self.deployment.streams[0].path)
            case "flapping":
                pass
            case "hall-cut":
                hall = self.rng.choice(self.deployment.halls)
                away = [s.name for s in self.fleet.servers if s.data_hall != hall]
                self.afflict(away, mute=True, from_names=[hall + "-"])
                self.cut_hall = hall
                return set()
            case "sick-entry":
                entry = self.rng.choice(self.fleet.entries).name
                self.afflict(every, mute=True, from_names=[entry + "-"])
                return set()
            case "service-slow":
                self.afflict(
                    [n for n in every if n.startswith(first)], slow_factor=10.0
                )
                return set()
            case "half":
                names = [n for n in every if n.startswith(first)]
                chosen = set(self.rng.sample(names, len(names) // 2))
                self.afflict(chosen, stall=True)
            case "cold":
                for name in chosen:
                    self.fleet._steer(name, "cold", b"3")
                return set()
            case "overload":
                return set()
            case "none":
                return set()
        return chosen

    async def flap(self, chosen: set[str], duration_s: float) -> None:
        """Switch a fault on and off every 3 s."""
        end_s = time.time() + duration_s
        while time.time() < end_s:
            await asyncio.to_thread(self.afflict, chosen, stall=True)
            await asyncio.sleep(3)
            await asyncio.to_thread(self.afflict, chosen)
            await asyncio.sleep(3)

    def afflict(self, names, **faults) -> None:
        """Set the same faults on several servers."""
        for name in names:
            self.fleet.fault(name, **faults)

    def heal(self) -> None:
        """Take every fault away."""
        self.cut_hall = ""
        self.afflict([server.name for server in self.fleet.servers])

    def read(self, expected: set[str], since_s: float) -> Trial:
        """Read the entries' log lines since a time."""
        trial = Trial()
        seen: dict[str, dict[str, float]] = {}
        for entry in self.fleet.entries:
            if entry.data_hall == self.cut_hall:
                continue
            for date, milli, _, server in EJECTED.findall(
                self.fleet.read_log(entry.name)
            ):
                at_s = time.mktime(time.strptime(date, "%Y-%m-%d %H:%M:%S"))
                at_s += int(milli) / 1000
                if at_s >= since_s:
                    seen.setdefault(server, {}).setdefault(entry.name, at_s)
        for server in expected:
            entries = seen.get(server, {})
            if len(entries) == len(self.fleet.entries):
                trial.detection_s[server] = max(entries.values()) - since_s
            else:
                trial.undetected += 1
                trial.detection_s[server] = LIMIT_S
        trial.wrong = set(seen) - expected
        return trial


def entry_command(policy: str) -> list[str]:
    """Return the command that starts an entry under a policy."""
    if policy == "pooled":
        return CINDERWAY
    return [sys.executable, "-m", "bench.baselines", policy]


async def measure(bench: Bench, faults: list[str], trials: int, policy: str):
    """Run all trials; return a table row a fault."""
    rows = []
    await bench.load().run(WARM_UP_S)
    for fault in faults:
        done = [await bench.trial(fault) for _ in range(trials)]
        times_s = [t for trial in done for t in trial.detection_s.values()]
        median, p99, worst = percentiles_ms(times_s)
        wrong = sum(len(trial.wrong) for trial in done)
        row = [
            bench.deployment.name,
            policy,
            fault,
            len(times_s),
            ms(median),
            ms(p99),
            ms(worst),
            sum(trial.undetected for trial in done),
            wrong,
            sum(trial.failed for trial in done),
            sum(trial.requests for trial in done),
        ]
        print_details(row, done)
        rows.append(row)
    return rows


def print_details(row: list, done: list[Trial]) -> None:
    """Print a fault's row, what was ejected wrongly, and each detection in s."""
    wrongly = sorted(set().union(*(trial.wrong for trial in done)))
    print(json.dumps(row), *wrongly, flush=True)
    for trial in done:
        found = sorted(trial.detection_s.items(), key=lambda pair: pair[1])
        print("   ", *(f"{name} {found_s:.2f}" for name, found_s in found), flush=True)


HEADER = [
    "deployment",
    "policy",
    "fault",
    "samples",
    "median ms",
    "p99 ms",
    "max ms",
    "not on all entries",
    "wrong ejections",
    "failed requests",
    "requests",
]
DETECTED = ["stall", "slow", "errors", "stall-path", "half"]
INNOCENT = ["none", "sick-entry", "service-slow", "cold", "hall-cut"]


def main(arguments: list[str]) -> None:
    """Run the bench and append its table to the measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", default=METER_READING.name)
    parser.add_argument("--policy", default="pooled")
    parser.add_argument("--faults", default=",".join(DETECTED + INNOCENT))
    parser.add_argument("--trials", type=int, default=10)
    parser.add_argument("--entries", type=int, default=ENTRIES)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--write", help="file below docs/measurements to append to")
    options = parser.parse_args(arguments)
    print(f"seed {options.seed}, {options.entries} entries", flush=True)
    bench = Bench(
        DEPLOYMENTS[options.deployment], options.policy, options.seed, options.entries
    )
    with bench.fleet:
        rows = asyncio.run(
            measure(bench, options.faults.split(","), options.trials, options.policy)
        )
    text = table(HEADER, rows)
    print(text)
    if options.write:
        with (RESULTS / options.write).open("a") as file:
            file.write(f"\nseed {options.seed}, {options.entries} entries\n\n{text}\n")
