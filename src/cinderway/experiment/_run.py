"""Play an experiment: halls, entries, callers and faults in virtual time."""

import logging
import random
from dataclasses import dataclass, field
from typing import Any

import anyio
from anyio.abc import TaskGroup

from cinderway._clock import monotonic_ms
from cinderway._ids import Address, DataHall, EntryName, ServerName
from cinderway.experiment._callers import Result, arrivals, ask
from cinderway.experiment._connections import poison_path
from cinderway.experiment._declaration import (
    Experiment,
    Fault,
    FaultKind,
    ModelRoute,
    PoisonRequest,
)
from cinderway.experiment._entries import ModelEntry
from cinderway.experiment._halls import ModelHall, catalog_of
from cinderway.experiment._servers import ModelServer
from cinderway.experiment._virtual_time import run_in_virtual_time

# Entries are up and follow their hall before the first request.
LEAD_S = 1.0
# A process that starts again needs this long until it can serve.
START_S = 0.4


@dataclass(frozen=True)
class LimitedServer:
    """What came to a server that named a limit, and the last one that it named.

    Times count from when callers began to come.
    """

    limit_per_s: float
    named_at_ms: int
    arrivals_ms: list[int]

    def most_in(self, window_ms: int, from_ms: int) -> int:
        """Return the most requests that came in any window from a time on."""
        times_ms = [at_ms for at_ms in self.arrivals_ms if at_ms >= from_ms]
        most, first = 0, 0
        for last, at_ms in enumerate(times_ms):
            while times_ms[first] <= at_ms - window_ms:
                first += 1
            most = max(most, last - first + 1)
        return most


@dataclass
class Played:
    """What an experiment showed, from the moment at which callers began to come."""

    experiment: Experiment
    seed: int
    results: list[Result] = field(default_factory=list)
    arrivals: int = 0
    turned_away: int = 0
    began_at_ms: int = 0
    connections_opened: int = 0
    far_bytes: int = 0
    # When poison requests came to servers and when they ended them, in order.
    poison_arrivals_ms: list[int] = field(default_factory=list)
    server_ends_ms: list[int] = field(default_factory=list)
    # The answers to poison requests.
    poison_results: list[Result] = field(default_factory=list)
    # The servers that named a limit.
    limited_servers: list[LimitedServer] = field(default_factory=list)


def play(experiment: Experiment, seed: int) -> Played:
    """Play an experiment; the same seed gives the same result."""
    package = logging.getLogger("cinderway")
    level, package.level = package.level, logging.CRITICAL
    try:
        return run_in_virtual_time(_World(experiment, seed).run)
    finally:
        package.setLevel(level)


class _World:
    def __init__(self, experiment: Experiment, seed: int):
        self.experiment = experiment
        self.rng = random.Random(seed)
        self.played = Played(experiment, seed)
        self.surge = 1.0
        self.entries: dict[DataHall, list[ModelEntry]] = {}

    async def run(self) -> Played:
        self.played.began_at_ms = monotonic_ms() + round(LEAD_S * 1000)
        servers = self.servers = self._make_servers()
        self.by_address = {server.address: server for server in servers}
        machine = catalog_of(self.experiment, servers)
        halls: dict[Address, ModelHall] = {}
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            for name in self.experiment.halls:
                hall = ModelHall(self.experiment, name, machine, halls)
                tasks.start_soon(hall.service.run)
                self.entries[name] = []
                for number in range(self.experiment.entries_a_hall):
                    self._start_entry(hall, EntryName(f"{name}-{number}"))
            await anyio.sleep(LEAD_S)
            await self._let_callers_come(tasks)
            tasks.cancel_scope.cancel()
        for entries in self.entries.values():
            for entry in entries:
                self.played.connections_opened += entry.connections.opened
                self.played.far_bytes += entry.connections.far_bytes
        self.played.arrivals = sum(server.arrivals for server in self.servers)
        self.played.turned_away = sum(server.turned_away for server in self.servers)
        self.played.limited_servers = [
            LimitedServer(
                server.limit_named_per_s,
                server.limit_named_at_ms - self.played.began_at_ms,
                [at_ms - self.played.began_at_ms for at_ms in server.arrivals_ms],
            )
            for server in self.servers
            if server.limit_named_per_s is not None
        ]
        self.played.poison_arrivals_ms = self._in_order("poison_arrivals_ms")
        self.played.server_ends_ms = self._in_order("ended_at_ms")
        return self.played

    def _in_order(self, times: str) -> list[int]:
        """Return all servers' times of one kind, since callers began to come."""
        began_at_ms = self.played.began_at_ms
        found = [at_ms for server in self.servers for at_ms in getattr(server, times)]
        return sorted(at_ms - began_at_ms for at_ms in found)

    def _make_servers(self) -> list[ModelServer]:
        return [
            ModelServer(
                ServerName(f"{service.name}-{hall}-{number}"),
                Address(f"{service.name}-{hall}-{number}:80"),
                hall,
                service,
                random.Random(self.rng.getrandbits(64)),
            )
            for service in self.experiment.services
            for hall in self.experiment.halls
            for number in range(service.servers_a_hall)
        ]

    def _start_entry(self, hall: ModelHall, name: EntryName) -> None:
        rng = random.Random(self.rng.getrandbits(64))
        entry = ModelEntry(name, hall, self.by_address, self.tasks, rng)
        self.entries[hall.name].append(entry)
        self.tasks.start_soon(entry.run)

    async def _let_callers_come(self, tasks: TaskGroup) -> None:
        async with anyio.create_task_group() as callers:
            for fault in self.experiment.faults:
                callers.start_soon(self._strike, fault, tasks)
            for number, poison in enumerate(self.experiment.poison):
                callers.start_soon(self._send_poison, poison, number, callers)
            for hall in self.experiment.halls:
                for route in self.experiment.routes:
                    callers.start_soon(self._send_stream, route, hall, callers)

    async def _send_stream(
        self, route: ModelRoute, hall: DataHall, callers: TaskGroup
    ) -> None:
        rng = random.Random(self.rng.getrandbits(64))
        surges = [
            fault.factor
            for fault in self.experiment.faults
            if fault.kind is FaultKind.SURGE
        ]
        most = max([1.0, *surges])
        per_s = route.per_s / len(self.experiment.halls) * most
        phase = rng.random()
        for pause_ms, level in arrivals(per_s, self.experiment, phase, rng):
            await anyio.sleep(pause_ms / 1000)
            if monotonic_ms() - self.played.began_at_ms >= self.experiment.length_ms:
                return
            if rng.random() < level * self.surge / most:
                callers.start_soon(self._ask, route, hall, rng)

    async def _ask(self, route: ModelRoute, hall: DataHall, rng: random.Random) -> None:
        # The balancer leaves instances without power out.
        entries = [entry for entry in self.entries[hall] if not entry.is_dark]
        result = await ask(self.experiment, route, entries, hall, rng)
        self.played.results.append(result)

    async def _send_poison(
        self, poison: PoisonRequest, number: int, callers: TaskGroup
    ) -> None:
        """Send one request again and again, each time at another entry."""
        rng = random.Random(self.rng.getrandbits(64))
        (route,) = (r for r in self.experiment.routes if r.name == poison.route)
        path = f"{poison_path(poison, number)}{route.answer_bytes}"

        async def send() -> None:
            hall = rng.choice(self.experiment.halls)
            entries = [entry for entry in self.entries[hall] if not entry.is_dark]
            result = await ask(self.experiment, route, entries, hall, rng, path)
            self.played.poison_results.append(result)

        await anyio.sleep(poison.at_ms / 1000)
        for _ in range(poison.at_ms, poison.until_ms, poison.every_ms):
            callers.start_soon(send)
            await anyio.sleep(poison.every_ms / 1000)

    async def _strike(self, fault: Fault, tasks: TaskGroup) -> None:
        await anyio.sleep(fault.at_ms / 1000)
        match fault.kind:
            case FaultKind.POWER_LOSS:
                await self._cut_power(fault)
            case FaultKind.SURGE:
                self.surge = fault.factor
                await anyio.sleep(fault.for_ms / 1000)
                self.surge = 1.0
            case FaultKind.DARK_SERVERS:
                await self._change_servers(fault, "is_dark", True, False)
            case FaultKind.BUSY_SERVERS:
                await self._change_servers(fault, "busy_share", fault.factor, 0.0)
            case FaultKind.LIMITED_SERVERS:
                await self._change_servers(fault, "limit_per_s", fault.factor, None)
            case FaultKind.SLOW_SERVERS:
                await self._change_servers(fault, "slowed", fault.factor, 1.0)

    async def _change_servers(
        self, fault: Fault, name: str, during: Any, after: Any
    ) -> None:
        """Give a field of the servers that a fault strikes another value."""
        struck = self._struck_servers(fault)
        for server in struck:
            setattr(server, name, during)
        await anyio.sleep(fault.for_ms / 1000)
        for server in struck:
            setattr(server, name, after)

    def _struck_servers(self, fault: Fault) -> list[ModelServer]:
        fitting = [
            server
            for server in self.servers
            if fault.service in (None, server.service.name)
        ]
        return self.rng.sample(fitting, round(fault.share * len(fitting)))

    async def _cut_power(self, fault: Fault) -> None:
        alive = [entry for entries in self.entries.values() for entry in entries]
        struck = self.rng.sample(alive, round(fault.share * len(alive)))
        for entry in struck:
            entry.lose_power()
        await anyio.sleep(fault.for_ms / 1000 + START_S)
        for entry in struck:
            self._start_entry(entry.hall, entry.name)
