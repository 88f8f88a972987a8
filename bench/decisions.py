"""Detection time and wrong ejections by fault, with 36 entry processes.

    python -m bench decisions [--policy pooled|local|health] [--faults a,b] [--trials N]

Detection time: from the start of the fault until the last entry has ejected the server,
according to the entries' logs. If an entry has not ejected it by the time limit, the
limit is counted. Wrong ejections: servers without a fault ejected by any entry.
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

from bench.figures import format_table, ms, percentiles_ms
from standins.fleet import CINDERWAY, Fleet, ServerSpec, ServiceSpec
from standins.load import Load, Stream

HALLS = ["suva", "lautoka", "nadi"]
ENTRIES = 36
WARM_UP_S = 8.0
SETTLE_S = 3.0
DETECTION_TIMEOUT_S = 5.0
RECOVERY_S = 6.0
RESULTS = Path("docs/measurements")
EJECTED = re.compile(
    r"^(\d+-\d+-\d+ \d+:\d+:\d+),(\d+) .*ejected ([a-z]+)/([a-z0-9-]+)", re.M
)


@dataclass(frozen=True)
class Deployment:
    """A user's services, servers and request mix."""

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
    """Results of one trial."""

    detection_s: dict[str, float] = field(default_factory=dict)
    undetected: int = 0
    wrongly_ejected: set[str] = field(default_factory=set)
    failed: int = 0
    requests: int = 0
    lowest_share: float = 1.0


class Bench:
    """Runs trials on one fleet with one ejection policy."""

    def __init__(self, deployment: Deployment, policy: str, seed: int, entries: int):
        self.deployment = deployment
        self.rng = random.Random(seed)
        # Ejections by this hall's entries are not counted while it is partitioned.
        self.partitioned_hall = ""
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

    async def run_trial(self, fault: str) -> Trial:
        """Run load, inject the fault, and record which servers are ejected and when."""
        load = self.build_load()
        load_task = asyncio.create_task(load.run(SETTLE_S + DETECTION_TIMEOUT_S))
        await asyncio.sleep(SETTLE_S)
        expected = await asyncio.to_thread(self.inject_fault, fault)
        fault_at_s = time.time()
        if fault == "flapping":
            await self.toggle_fault(expected, DETECTION_TIMEOUT_S)
        await load_task
        trial = self.read_ejections(expected, fault_at_s)
        trial.failed = load.failed()
        trial.requests = sum(len(a) for a in load.answers.values())
        await asyncio.to_thread(self.clear_faults)
        recovery = self.build_load()
        await recovery.run(RECOVERY_S)
        return trial

    def build_load(self) -> Load:
        """Return a load generator for the deployment."""
        ports = [entry.callers_port for entry in self.fleet.entries]
        streams = self.deployment.streams
        return Load(ports, streams, random.Random(self.rng.random()))

    def inject_fault(self, fault: str) -> set[str]:
        """Inject a fault; return the servers that should be ejected."""
        faulty_servers = {
            f"{target}-{self.rng.randrange(self.deployment.counts[target]) + 1}"
            for target in self.deployment.targets
        }
        all_servers = [server.name for server in self.fleet.servers]
        first, _, streamed = self.deployment.targets
        match fault:
            case "stall":
                self.set_faults(faulty_servers, stall=True)
            case "slow":
                self.set_faults(faulty_servers, slow_factor=10.0)
            case "errors":
                # The simulated servers do not fail streamed responses with errors.
                faulty_servers = {
                    name for name in faulty_servers if not name.startswith(streamed)
                }
                self.set_faults(faulty_servers, error_share=0.3)
            case "stall-path":
                faulty_servers = {
                    name for name in faulty_servers if name.startswith(first)
                }
                self.set_faults(
                    faulty_servers, stall_path=self.deployment.streams[0].path
                )
            case "flapping":
                pass
            case "hall-cut":
                hall = self.rng.choice(self.deployment.halls)
                other_servers = [
                    s.name for s in self.fleet.servers if s.data_hall != hall
                ]
                self.set_faults(other_servers, mute=True, from_names=[hall + "-"])
                self.partitioned_hall = hall
                return set()
            case "sick-entry":
                entry = self.rng.choice(self.fleet.entries).name
                self.set_faults(all_servers, mute=True, from_names=[entry + "-"])
                return set()
            case "service-slow":
                self.set_faults(
                    [n for n in all_servers if n.startswith(first)], slow_factor=10.0
                )
                return set()
            case "half":
                names = [n for n in all_servers if n.startswith(first)]
                faulty_servers = set(self.rng.sample(names, len(names) // 2))
                self.set_faults(faulty_servers, stall=True)
            case "cold":
                for name in faulty_servers:
                    self.fleet._send_command(name, "cold", b"3")
                return set()
            case "overload":
                return set()
            case "none":
                return set()
        return faulty_servers

    async def toggle_fault(self, faulty_servers: set[str], duration_s: float) -> None:
        """Switch a fault on and off every 3 s."""
        end_s = time.time() + duration_s
        while time.time() < end_s:
            await asyncio.to_thread(self.set_faults, faulty_servers, stall=True)
            await asyncio.sleep(3)
            await asyncio.to_thread(self.set_faults, faulty_servers)
            await asyncio.sleep(3)

    def set_faults(self, names, **faults) -> None:
        """Set the same faults on several servers; none removes their faults."""
        for name in names:
            self.fleet.set_faults(name, **faults)

    def clear_faults(self) -> None:
        """Remove all faults."""
        self.partitioned_hall = ""
        self.set_faults([server.name for server in self.fleet.servers])

    def read_ejections(self, expected: set[str], since_s: float) -> Trial:
        """Evaluate the ejections in the entries' logs since a time."""
        trial = Trial()
        ejected_at_s: dict[str, dict[str, float]] = {}
        for entry in self.fleet.entries:
            if entry.data_hall == self.partitioned_hall:
                continue
            for date, milli, _, server in EJECTED.findall(
                self.fleet.log_of(entry.name)
            ):
                at_s = time.mktime(time.strptime(date, "%Y-%m-%d %H:%M:%S"))
                at_s += int(milli) / 1000
                if at_s >= since_s:
                    ejected_at_s.setdefault(server, {}).setdefault(entry.name, at_s)
        for server in expected:
            entries = ejected_at_s.get(server, {})
            if len(entries) == len(self.fleet.entries):
                trial.detection_s[server] = max(entries.values()) - since_s
            else:
                trial.undetected += 1
                trial.detection_s[server] = DETECTION_TIMEOUT_S
        trial.wrongly_ejected = set(ejected_at_s) - expected
        return trial


def entry_command(policy: str) -> list[str]:
    """Return the command that starts an entry with a policy."""
    if policy == "pooled":
        return CINDERWAY
    return [sys.executable, "-m", "bench.baselines", policy]


async def measure(bench: Bench, faults: list[str], trials: int, policy: str):
    """Run all trials; return one table row per fault."""
    rows = []
    await bench.build_load().run(WARM_UP_S)
    for fault in faults:
        trials_done = [await bench.run_trial(fault) for _ in range(trials)]
        times_s = [t for trial in trials_done for t in trial.detection_s.values()]
        median, p99, worst = percentiles_ms(times_s)
        wrongly_ejected = sum(len(trial.wrongly_ejected) for trial in trials_done)
        row = [
            bench.deployment.name,
            policy,
            fault,
            len(times_s),
            ms(median),
            ms(p99),
            ms(worst),
            sum(trial.undetected for trial in trials_done),
            wrongly_ejected,
            sum(trial.failed for trial in trials_done),
            sum(trial.requests for trial in trials_done),
        ]
        print_details(row, trials_done)
        rows.append(row)
    return rows


def print_details(row: list, trials_done: list[Trial]) -> None:
    """Print a fault's row, the wrongly ejected servers and all detection times in s."""
    wrongly = sorted(set().union(*(trial.wrongly_ejected for trial in trials_done)))
    print(json.dumps(row), *wrongly, flush=True)
    for trial in trials_done:
        detections = sorted(trial.detection_s.items(), key=lambda pair: pair[1])
        print(
            "   ",
            *(f"{name} {detected_s:.2f}" for name, detected_s in detections),
            flush=True,
        )


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
DETECTABLE_FAULTS = ["stall", "slow", "errors", "stall-path", "half"]
FAULTS_WITHOUT_EJECTION = ["none", "sick-entry", "service-slow", "cold", "hall-cut"]


def main(arguments: list[str]) -> None:
    """Run the benchmark, print its table and append it to a file if one is given."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", default=METER_READING.name)
    parser.add_argument("--policy", default="pooled")
    parser.add_argument(
        "--faults", default=",".join(DETECTABLE_FAULTS + FAULTS_WITHOUT_EJECTION)
    )
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
    text = format_table(HEADER, rows)
    print(text)
    if options.write:
        with (RESULTS / options.write).open("a") as file:
            file.write(f"\nseed {options.seed}, {options.entries} entries\n\n{text}\n")
