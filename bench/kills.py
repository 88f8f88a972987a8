"""Kills at random points under duplicate submissions: how often does each key run?

    python -m bench kills [--kills 200]

Four entries, three ledger replicas, four backend servers. Each key is
sent through several entries, again after a failure, while ledger replicas (the
leader among them) and entries are killed one after another. Backend servers count
the runs of each key; a server fails by dropping an answer after the run.
"""

import argparse
import asyncio
import random
import time
from collections import Counter
from dataclasses import dataclass, field

from bench.figures import table
from standins.fleet import Fleet, ServerSpec, ServiceSpec
from standins.load import Caller

SERVICES = [
    ServiceSpec(
        "readings", {"routes": "/readings", "run_once_routes": "POST:/readings"}
    )
]
SERVERS = [ServerSpec(f"readings-{n}", "readings", "suva", 8, 10) for n in range(4)]
ENTRIES = 4
COPIES = 3
PAUSE_S = 0.02
KILL_PAUSE_S = 0.25
DEADLINE_MS = "3000"


@dataclass
class Outcome:
    """What was told to callers, by key."""

    told: dict[str, list[str]] = field(default_factory=dict)
    kills: Counter = field(default_factory=Counter)


class Kills:
    """Submits and kills side by side."""

    def __init__(self, fleet: Fleet, kills: int, seed: int):
        self.fleet = fleet
        self.kills = kills
        self.rng = random.Random(seed)
        self.outcome = Outcome()
        self.caller = Caller()
        self.is_over = False

    async def run(self) -> Outcome:
        """Run until all kills are done, then let the last submissions end."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.submit(tasks))
            await self.kill_all()
            self.is_over = True
        return self.outcome

    async def submit(self, tasks) -> None:
        """Send new keys, each through several entries at about the same time."""
        number = 0
        while not self.is_over:
            number += 1
            await asyncio.sleep(PAUSE_S)
            for _ in range(COPIES):
                tasks.create_task(self.send(f"key-{number}"))

    async def send(self, key: str) -> None:
        """Send one copy, and once more if its answer was lost or not final."""
        headers = {"Idempotency-Key": key, "X-Caller": "ana"}
        headers["Cinderway-Deadline-Ms"] = DEADLINE_MS
        for _ in range(2):
            await asyncio.sleep(self.rng.random() * 0.05)
            port = self.rng.choice(self.fleet.entries).callers_port
            answer = await self.caller.request(
                port, "POST", "/readings/m", headers, key.encode()
            )
            told = answer.headers.get("cinderway-outcome", "no answer")
            self.outcome.told.setdefault(key, []).append(told)
            if told == "ran":
                return

    async def kill_all(self) -> None:
        """Kill and restart one process after another."""
        for _ in range(self.kills):
            await asyncio.sleep(self.rng.random() * KILL_PAUSE_S * 2)
            kind = self.rng.choice(["ledger", "entry", "server"])
            await asyncio.to_thread(self.kill_one, kind)

    def kill_one(self, kind: str) -> None:
        """Kill a process and start it again; its disk, if any, stays."""
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
        """Let a server run requests and then break the connection unanswered."""
        server = self.rng.choice(SERVERS).name
        self.fleet.set_faults(server, drop_answer=True)
        time.sleep(KILL_PAUSE_S)
        self.fleet.set_faults(server)


def main(arguments: list[str]) -> None:
    """Print how often keys ran and what callers were told."""
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
    spread = Counter(runs.get(key, 0) for key in outcome.told)
    told = Counter(what for answers in outcome.told.values() for what in answers)
    untrue = [
        key
        for key, answers in outcome.told.items()
        if "ran" in answers and not runs.get(key)
    ]
    print(
        f"seed {options.seed}, {sum(outcome.kills.values())} kills "
        f"{dict(outcome.kills)} in {time.monotonic() - began_s:.0f} s"
    )
    print(f"{len(outcome.told)} keys, runs per key: {dict(sorted(spread.items()))}")
    not_run_but_ran = [
        key
        for key, answers in outcome.told.items()
        if set(answers) == {"not_run"} and runs.get(key)
    ]
    print(f"told 'ran' without a run: {len(untrue)}")
    print(f"told only 'not_run' but ran: {len(not_run_but_ran)}\n")
    total = sum(told.values())
    rows = [[what, n, f"{n / total:.1%}"] for what, n in told.most_common()]
    print(table(["told to callers", "answers", "share"], rows))
