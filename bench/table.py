"""Table benchmark: latency of edits and their propagation, leader change, restart.

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

from bench.figures import format_table, ms, percentiles_ms
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
EDITS_BEFORE_RESTART = 10_000
BATCH_SIZE = 50


async def edit_many(fleet: Fleet, count: int, kill_after: int = -1) -> dict[int, tuple]:
    """Set one cell repeatedly; return (sent, accepted) times in s by revision."""
    identity = Identity("bench", SHARED_KEY.encode())
    edit_times = {}
    async with anyio.create_task_group() as tasks:
        client = GroupClient(tuple(fleet.control), TABLE, identity, tasks)
        for number in range(count):
            answer = await client.call(ReadTable(), monotonic_ms() + 5000)
            current = Table()
            current.install(answer.delta)
            seen_revision = current.get(
                RowKey(Sheet.SERVERS, "lookup-0")
            ).cell_revision("weight")
            change = Change(
                Action.SET,
                Sheet.SERVERS,
                "lookup-0",
                "weight",
                str(number % 99 + 1),
                seen_revision,
            )
            edit = Edit(str(uuid.uuid4()), "bench", answer.sequence, [change])
            if number == kill_after:
                fleet.kill(f"control-{client._leader}")
            sent_s = time.time()
            accepted = await client.call(SubmitEdit(edit), monotonic_ms() + 10_000)
            edit_times[accepted.revision] = (sent_s, time.time())
            await anyio.sleep(0.05)
        tasks.cancel_scope.cancel()
    return edit_times


def measure_propagation_s(fleet: Fleet, edit_times: dict[int, tuple]) -> list[float]:
    """Return, for each edit, the delay from its acceptance until all entries apply it.

    An entry that applies a newer revision has applied the edit, too.
    """
    delays_s = []
    logs = [IN_FORCE.findall(fleet.log_of(entry.name)) for entry in fleet.entries]
    for revision, (_, accepted_s) in edit_times.items():
        last_s = 0.0
        for lines in logs:
            times = [
                time.mktime(time.strptime(date, "%Y-%m-%d %H:%M:%S"))
                + int(milli) / 1000
                for date, milli, installed in lines
                if int(installed) >= revision
            ]
            last_s = max(last_s, min(times, default=float("inf")))
        delays_s.append(max(last_s - accepted_s, 0.0))
    return delays_s


def log_time_s(date: str, milli: str) -> float:
    """Return the wall-clock time of a log line in s."""
    return time.mktime(time.strptime(date, "%Y-%m-%d %H:%M:%S")) + int(milli) / 1000


def run(entries: int, control: int, edits: int, *, kill: bool = False) -> list:
    """Measure one fleet; return a row of the printed table."""
    fleet = Fleet(
        SERVICES, SERVERS, HALLS, entries, control=control, ledger=0, log_level="info"
    )
    with fleet:
        kill_after = edits // 2 if kill else -1
        edit_times = asyncio.run(edit_many(fleet, edits, kill_after))
        time.sleep(3)
        propagation_s = measure_propagation_s(fleet, edit_times)
    accepted = percentiles_ms(after - before for before, after in edit_times.values())
    in_force = percentiles_ms(propagation_s)
    configuration = f"{control} replicas" + (", leader killed" if kill else "")
    return [configuration, entries, edits, *map(ms, accepted), *map(ms, in_force)]


def restart_ms(edits: int) -> float:
    """Return the time a replica takes to recover a log with this many edits."""
    with tempfile.TemporaryDirectory() as name:
        address = "127.0.0.1:7000"
        folder = DataFolder(Path(name), "control", address)
        folder.recover()
        revision = 0
        entries = []
        for index in range(1, edits + 1):
            changes = (
                build_initial_changes()
                if index == 1
                else [build_weight_change(index, revision)]
            )
            edit = Edit(f"e{index}", "bench", revision, changes)
            entries.append(Entry(index, 1, EntryKind.COMMAND, edit.encode()))
            revision += 1
            if len(entries) == BATCH_SIZE or index == edits:
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


def build_initial_changes() -> list[Change]:
    """Return the changes that create a service with one server."""
    cells = {"service": "lookup", "data_hall": "suva", "address": "127.0.0.1:1"}
    changes = [
        Change(Action.CREATE, Sheet.SERVICES, "lookup"),
        Change(Action.CREATE, Sheet.SERVERS, "s1"),
    ]
    for column, value in cells.items():
        changes.append(Change(Action.SET, Sheet.SERVERS, "s1", column, value))
    return changes


def build_weight_change(number: int, revision: int) -> Change:
    """Return a change of one cell."""
    seen_revision = 1 if number == 2 else revision
    return Change(
        Action.SET, Sheet.SERVERS, "s1", "weight", str(number % 99 + 1), seen_revision
    )


def main(arguments: list[str]) -> None:
    """Run all measurements and print them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", type=int, default=36)
    parser.add_argument("--edits", type=int, default=40)
    options = parser.parse_args(arguments)
    restarts = [restart_ms(EDITS_BEFORE_RESTART) for _ in range(3)]
    print(
        f"restart after {EDITS_BEFORE_RESTART} edits: "
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
    print(format_table(header, rows))
