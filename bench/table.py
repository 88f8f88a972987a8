"""The table: edits accepted, in force on every entry, leader changes, restarts.

python -m bench table [--entries 36] [--edits 40]
"""

import argparse
import asyncio
import re
import statistics
import tempfile
import time
import uuid
from pathlib import Path

import anyio

from bench.figures import ms, percentiles_ms, table
from cinderway._clock import monotonic_ms
from cinderway.replication import DataFolder, Node, NodeSettings
from cinderway.replication._messages import Entry, EntryKind, HardState
from cinderway.table import (
    TABLE,
    Action,
    Change,
    Edit,
    ReadTable,
    RowKey,
    Sheet,
    SubmitEdit,
    Table,
    TableMachine,
)
from cinderway.wire import GroupClient, Identity
from standins.fleet import SHARED_KEY, Fleet, ServerSpec, ServiceSpec

SERVICES = [ServiceSpec("lookup", {"routes": "/lookup"})]
SERVERS = [ServerSpec(f"lookup-{n}", "lookup", "suva") for n in range(4)]
HALLS = ["suva", "lautoka", "nadi"]
IN_FORCE = re.compile(r"^(\S+ \S+),(\d+) .*in force: table revision (\d+)$", re.M)
EDITS_BEHIND_A_RESTART = 10_000
BATCH = 50


async def edit_many(fleet: Fleet, count: int, kill_after: int = -1) -> dict[int, tuple]:
    """Set one cell again and again; return (sent, accepted) by revision, in s."""
    identity = Identity("bench", SHARED_KEY.encode())
    done = {}
    async with anyio.create_task_group() as tasks:
        client = GroupClient(tuple(fleet.control), TABLE, identity, tasks)
        for number in range(count):
            answer = await client.call(ReadTable(), monotonic_ms() + 5000)
            current = Table()
            current.install(answer.delta)
            seen = current.get(RowKey(Sheet.SERVERS, "lookup-0")).cell_revision(
                "weight"
            )
            change = Change(
                Action.SET,
                Sheet.SERVERS,
                "lookup-0",
                "weight",
                str(number % 99 + 1),
                seen,
            )
            edit = Edit(str(uuid.uuid4()), "bench", answer.sequence, [change])
            if number == kill_after:
                fleet.kill(f"control-{client._leader}")
            sent_s = time.time()
            accepted = await client.call(SubmitEdit(edit), monotonic_ms() + 10_000)
            done[accepted.revision] = (sent_s, time.time())
            await anyio.sleep(0.05)
        tasks.cancel_scope.cancel()
    return done


def in_force_s(fleet: Fleet, done: dict[int, tuple]) -> list[float]:
    """Return, for each edit, when the last entry had it or a newer one in force."""
    found = []
    logs = [IN_FORCE.findall(fleet.read_log(entry.name)) for entry in fleet.entries]
    for revision, (_, accepted_s) in done.items():
        last_s = 0.0
        for lines in logs:
            times = [
                time.mktime(time.strptime(date, "%Y-%m-%d %H:%M:%S"))
                + int(milli) / 1000
                for date, milli, installed in lines
                if int(installed) >= revision
            ]
            last_s = max(last_s, min(times, default=float("inf")))
        found.append(max(last_s - accepted_s, 0.0))
    return found


def log_time_s(date: str, milli: str) -> float:
    """Return the wall-clock time of a log line in s."""
    return time.mktime(time.strptime(date, "%Y-%m-%d %H:%M:%S")) + int(milli) / 1000


def run(entries: int, control: int, edits: int, *, kill: bool = False) -> list:
    """Measure one fleet; return a row."""
    fleet = Fleet(
        SERVICES, SERVERS, HALLS, entries, control=control, ledger=0, log_level="info"
    )
    with fleet:
        kill_after = edits // 2 if kill else -1
        done = asyncio.run(edit_many(fleet, edits, kill_after))
        time.sleep(3)
        spread_s = in_force_s(fleet, done)
    accepted = percentiles_ms(after - before for before, after in done.values())
    in_force = percentiles_ms(spread_s)
    what = f"{control} replicas" + (", leader killed" if kill else "")
    return [what, entries, edits, *map(ms, accepted), *map(ms, in_force)]


def restart_ms(edits: int) -> float:
    """Return how long a replica takes to come back with edits in its log."""
    with tempfile.TemporaryDirectory() as name:
        address = "127.0.0.1:7000"
        folder = DataFolder(Path(name), "control", address)
        folder.recover()
        revision = 0
        entries = []
        for index in range(1, edits + 1):
            changes = (
                first_changes() if index == 1 else [weight_change(index, revision)]
            )
            edit = Edit(f"e{index}", "bench", revision, changes)
            entries.append(Entry(index, 1, EntryKind.COMMAND, edit.encode()))
            revision += 1
            if len(entries) == BATCH or index == edits:
                folder.append(HardState(1), entries)
                entries = []
        folder.close()
        began_s = time.perf_counter()
        folder = DataFolder(Path(name), "control", address)
        machine = TableMachine()
        node = Node(
            folder, machine, NodeSettings(address, (address,)), Identity("b", b"k")
        )
        for entry in node.core.log.entries_from(1):
            machine.apply(entry.index, entry.data)
        elapsed_s = time.perf_counter() - began_s
        assert machine.table.revision == edits
        folder.close()
    return elapsed_s * 1000


def first_changes() -> list[Change]:
    """Return the changes that make a service with one server."""
    cells = {"service": "lookup", "data_hall": "suva", "address": "127.0.0.1:1"}
    changes = [
        Change(Action.CREATE, Sheet.SERVICES, "lookup"),
        Change(Action.CREATE, Sheet.SERVERS, "s1"),
    ]
    for column, value in cells.items():
        changes.append(Change(Action.SET, Sheet.SERVERS, "s1", column, value))
    return changes


def weight_change(number: int, revision: int) -> Change:
    """Return a change of one cell."""
    seen = 1 if number == 2 else revision
    return Change(Action.SET, Sheet.SERVERS, "s1", "weight", str(number % 99 + 1), seen)


def main(arguments: list[str]) -> None:
    """Print all figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, default=36)
    parser.add_argument("--edits", type=int, default=40)
    options = parser.parse_args(arguments)
    restarts = [restart_ms(EDITS_BEHIND_A_RESTART) for _ in range(3)]
    print(
        f"restart after {EDITS_BEHIND_A_RESTART} edits: "
        f"{statistics.median(restarts):.0f} ms (median of 3)",
        flush=True,
    )
    rows = [
        run(options.entries, 3, options.edits),
        run(options.entries, 5, options.edits),
        run(options.entries, 3, options.edits, kill=True),
    ]
    header = ["control", "entries", "edits"]
    header += [f"accepted {name} ms" for name in ("p50", "p99", "max")]
    header += [f"in force {name} ms" for name in ("p50", "p99", "max")]
    print(table(header, rows))
