"""Count the runs of each key when processes are killed during duplicate submissions.

    python -m bench kills [--kills 200]

Uses four entries, three ledger replicas and four backend servers. Each key is sent
through several entries, and again after a failure, while ledger replicas (including the
leader) and entries are killed one at a time. Backend servers count the runs of each
key; a server fails by dropping the response after the run.
"""

import argparse
import asyncio
import random
import time
from collections import Counter
from dataclasses import dataclass, field

from bench.figures import format_table
from standins.fleet import Fleet, ServerSpec, ServiceSpec
from standins.load import Caller

SERVICES = [
    ServiceSpec(
        "readings", {"routes": "/readings", "run_once_routes": "POST:/readings"}
    )
]
SERVERS = [ServerSpec(f"readings-{n}", "readings", "suva", 8, 10) for n in range(4)]
ENTRIES = 4
COPIES_PER_KEY = 3
KEY_INTERVAL_S = 0.02
KILL_PAUSE_S = 0.25
DEADLINE_MS = "3000"


@dataclass
class Outcome:
    """Outcomes reported to callers by key, and kills by kind of process."""

    reported: dict[str, list[str]] = field(default_factory=dict)
    kills: Counter = field(default_factory=Counter)


class Kills:
    """Submits requests and kills processes concurrently."""

    def __init__(self, fleet: Fleet, kills: int, seed: int):
        self.fleet = fleet
        self.kills = kills
        self.rng = random.Random(seed)
        self.outcome = Outcome()
        self.caller = Caller()
        self.is_finished = False

    async def run(self) -> Outcome:
        """Run until all kills are done, then wait for the remaining submissions."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.submit(tasks))
            await self.kill_all()
            self.is_finished = True
        return self.outcome

    async def submit(self, tasks) -> None:
        """Send several copies of each new key concurrently, through random entries."""
        number = 0
        while not self.is_finished:
            number += 1
            await asyncio.sleep(KEY_INTERVAL_S)
            for _ in range(COPIES_PER_KEY):
                tasks.create_task(self.send(f"key-{number}"))

    async def send(self, key: str) -> None:
        """Send one copy, and again if its response was lost or did not report 'ran'."""
        headers = {"Idempotency-Key": key, "X-Caller": "ana"}
        headers["Cinderway-Deadline-Ms"] = DEADLINE_MS
        for _ in range(2):
            await asyncio.sleep(self.rng.random() * 0.05)
            port = self.rng.choice(self.fleet.entries).callers_port
            answer = await self.caller.request(
                port, "POST", "/readings/m", headers, key.encode()
            )
            reported = answer.headers.get("cinderway-outcome", "no answer")
            self.outcome.reported.setdefault(key, []).append(reported)
            if reported == "ran":
                return

    async def kill_all(self) -> None:
        """Kill and restart random processes one at a time."""
        for _ in range(self.kills):
            await asyncio.sleep(self.rng.random() * KILL_PAUSE_S * 2)
            kind = self.rng.choice(["ledger", "entry", "server"])
            await asyncio.to_thread(self.kill_one, kind)

    def kill_one(self, kind: str) -> None:
        """Kill and restart a process, keeping its folder, or make a server fail."""
        self.outcome.kills[kind] += 1
        if kind == "ledger":
            address = self.rng.choice(self.fleet.ledger)
            self.fleet.kill(f"ledger-{address}")
            self.fleet.wait_for_exit(f"ledger-{address}")
            self.fleet.start_replica("ledger", address)
            return
        if kind == "server":
            self.fail_server()
            return
        entry = self.rng.choice(self.fleet.entries)
        self.fleet.kill(entry.name)
        self.fleet.wait_for_exit(entry.name)
        self.fleet.start_entry(entry)

    def fail_server(self) -> None:
        """Let a server drop responses after running requests, for a while."""
        server = self.rng.choice(SERVERS).name
        self.fleet.set_faults(server, drop_answer=True)
        time.sleep(KILL_PAUSE_S)
        self.fleet.set_faults(server)


def main(arguments: list[str]) -> None:
    """Print how often keys ran and which outcomes callers got."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--kills", type=int, default=200)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    fleet = Fleet(SERVICES, SERVERS, ["suva"], ENTRIES)
    began_s = time.monotonic()
    with fleet:
        outcome = asyncio.run(Kills(fleet, options.kills, options.seed).run())
        runs: Counter = Counter()
        for server in SERVERS:
            runs.update(fleet.counts(server.name)["runs"])
    key_count_by_runs = Counter(runs.get(key, 0) for key in outcome.reported)
    reported = Counter(
        outcome_name
        for answers in outcome.reported.values()
        for outcome_name in answers
    )
    false_ran = [
        key
        for key, answers in outcome.reported.items()
        if "ran" in answers and not runs.get(key)
    ]
    print(
        f"seed {options.seed}, {sum(outcome.kills.values())} kills "
        f"{dict(outcome.kills)} in {time.monotonic() - began_s:.0f} s"
    )
    print(
        f"{len(outcome.reported)} keys, runs per key: "
        f"{dict(sorted(key_count_by_runs.items()))}"
    )
    false_not_run = [
        key
        for key, answers in outcome.reported.items()
        if set(answers) == {"not_run"} and runs.get(key)
    ]
    print(f"reported as 'ran' without a run: {len(false_ran)}")
    print(f"reported only as 'not_run' but ran: {len(false_not_run)}\n")
    total = sum(reported.values())
    rows = [
        [outcome_name, n, f"{n / total:.1%}"]
        for outcome_name, n in reported.most_common()
    ]
    print(format_table(["reported outcome", "answers", "share"], rows))
