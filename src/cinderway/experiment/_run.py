"""Simulate an experiment: halls, entries, callers and faults in virtual time."""

import logging
import random
from dataclasses import dataclass, field
from typing import Any

import anyio
from anyio.abc import TaskGroup

from cinderway._clock import monotonic_ms
from cinderway._ids import Address, DataHall, EntryName, ServerName
from cinderway.experiment._callers import RequestResult, generate_arrivals, send_request
from cinderway.experiment._connections import build_poison_path_prefix
from cinderway.experiment._declaration import (
    Experiment,
    Fault,
    FaultKind,
    ModelRoute,
    PoisonRequest,
)
from cinderway.experiment._entries import ModelEntry
from cinderway.experiment._halls import ModelHall, build_catalog
from cinderway.experiment._servers import ModelServer
from cinderway.experiment._virtual_time import run_in_virtual_time

# Time for entries to start and to follow their control replica before requests begin.
WARMUP_S = 1.0
# Time that a restarted entry process needs until it can serve.
ENTRY_RESTART_S = 0.4


@dataclass(frozen=True)
class LimitedServer:
    """The requests to a server that advertised a rate limit, and its latest limit.

    `limited_since_ms` is when it first advertised one. Times count from the start of
    the load.
    """

    limit_per_s: float
    limited_since_ms: int
    arrivals_ms: list[int]

    def count_most_in_window(self, window_ms: int, from_ms: int) -> int:
        """Return the most requests that arrived in any window of this length.

        Requests before `from_ms` are left out.
        """
        times_ms = [at_ms for at_ms in self.arrivals_ms if at_ms >= from_ms]
        most, first = 0, 0
        for last, at_ms in enumerate(times_ms):
            while times_ms[first] <= at_ms - window_ms:
                first += 1
            most = max(most, last - first + 1)
        return most


@dataclass
class PlayResult:
    """The result of one play: one simulation of an experiment with one seed.

    Times of requests in `results` and `poison_results` are the clock's; the load starts
    at `began_at_ms` of it. All other times count from then.
    """

    experiment: Experiment
    seed: int
    results: list[RequestResult] = field(default_factory=list)
    arrivals: int = 0
    server_arrivals: dict[ServerName, int] = field(default_factory=dict)
    rejected: int = 0
    began_at_ms: int = 0
    connections_opened: int = 0
    # Requests that were sent on kept connections, those that met a connection which the
    # server had just closed, and those of these that could not be sent again.
    requests_on_kept: int = 0
    closed_under_request: int = 0
    lost_to_closes: int = 0
    cross_hall_bytes: int = 0
    # When poison requests arrived at servers, and when they crashed one, in order.
    poison_arrivals_ms: list[int] = field(default_factory=list)
    server_crashes_ms: list[int] = field(default_factory=list)
    # Results of the poison requests, which `results` leaves out.
    poison_results: list[RequestResult] = field(default_factory=list)
    # Servers that advertised a rate limit.
    limited_servers: list[LimitedServer] = field(default_factory=list)
    cut_off_entries: set[EntryName] = field(default_factory=set)


def play(experiment: Experiment, seed: int) -> PlayResult:
    """Simulate an experiment; the same seed gives the same result.

    Only critical log lines of the package pass meanwhile.
    """
    package = logging.getLogger("cinderway")
    level, package.level = package.level, logging.CRITICAL
    try:
        return run_in_virtual_time(_Simulation(experiment, seed).run)
    finally:
        package.setLevel(level)


class _Simulation:
    def __init__(self, experiment: Experiment, seed: int):
        self.experiment = experiment
        self.rng = random.Random(seed)
        self.play_result = PlayResult(experiment, seed)
        self.surge_factor = 1.0
        self.entries: dict[DataHall, list[ModelEntry]] = {}
        self.entries_by_address: dict[Address, ModelEntry] = {}

    async def run(self) -> PlayResult:
        self.play_result.began_at_ms = monotonic_ms() + round(WARMUP_S * 1000)
        servers = self.servers = self._build_servers()
        self.by_address = {server.address: server for server in servers}
        machine = build_catalog(self.experiment, servers)
        halls: dict[Address, ModelHall] = {}
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            for name in self.experiment.halls:
                hall = ModelHall(self.experiment, name, machine, halls)
                tasks.start_soon(hall.service.run)
                self.entries[name] = []
                for number in range(self.experiment.entries_a_hall):
                    self._start_entry(hall, EntryName(f"{name}-{number}"))
            await anyio.sleep(WARMUP_S)
            await self._run_load_and_faults(tasks)
            tasks.cancel_scope.cancel()
        for entries in self.entries.values():
            for entry in entries:
                self.play_result.connections_opened += entry.connections.opened
                self.play_result.requests_on_kept += entry.connections.reused
                closed = entry.connections.closed_under_request
                self.play_result.closed_under_request += closed
                self.play_result.lost_to_closes += entry.connections.lost_to_closes
                self.play_result.cross_hall_bytes += entry.connections.cross_hall_bytes
        self.play_result.arrivals = sum(server.arrivals for server in self.servers)
        self.play_result.server_arrivals = {
            server.name: server.arrivals for server in self.servers
        }
        self.play_result.rejected = sum(server.rejected for server in self.servers)
        self.play_result.limited_servers = [
            LimitedServer(
                server.advertised_limit_per_s,
                server.limit_advertised_at_ms - self.play_result.began_at_ms,
                [at_ms - self.play_result.began_at_ms for at_ms in server.arrivals_ms],
            )
            for server in self.servers
            if server.advertised_limit_per_s is not None
        ]
        self.play_result.poison_arrivals_ms = self._collect_times("poison_arrivals_ms")
        self.play_result.server_crashes_ms = self._collect_times("ended_at_ms")
        return self.play_result

    def _collect_times(self, times: str) -> list[int]:
        """Return the times in an attribute of all servers, in order.

        They count from the start of the load.
        """
        began_at_ms = self.play_result.began_at_ms
        found = [at_ms for server in self.servers for at_ms in getattr(server, times)]
        return sorted(at_ms - began_at_ms for at_ms in found)

    def _build_servers(self) -> list[ModelServer]:
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
        entry = ModelEntry(
            name, hall, self.by_address, self.tasks, rng, self.entries_by_address
        )
        self.entries_by_address[Address(name)] = entry
        self.entries[hall.name].append(entry)
        self.tasks.start_soon(entry.run)

    async def _run_load_and_faults(self, tasks: TaskGroup) -> None:
        async with anyio.create_task_group() as callers:
            for fault in self.experiment.faults:
                callers.start_soon(self._apply_fault, fault, tasks)
            for number, poison in enumerate(self.experiment.poison):
                callers.start_soon(self._send_poison, poison, number, callers)
            for hall in self.experiment.halls:
                for route in self.experiment.routes:
                    callers.start_soon(self._generate_requests, route, hall, callers)

    async def _generate_requests(
        self, route: ModelRoute, hall: DataHall, callers: TaskGroup
    ) -> None:
        rng = random.Random(self.rng.getrandbits(64))
        surges = [
            fault.factor
            for fault in self.experiment.faults
            if fault.kind is FaultKind.SURGE
        ]
        peak_factor = max([1.0, *surges])
        per_s = route.per_s / len(self.experiment.halls) * peak_factor
        phase = rng.random()
        for pause_ms, peak_ratio in generate_arrivals(
            per_s, self.experiment, phase, rng
        ):
            await anyio.sleep(pause_ms / 1000)
            if (
                monotonic_ms() - self.play_result.began_at_ms
                >= self.experiment.length_ms
            ):
                return
            if rng.random() < peak_ratio * self.surge_factor / peak_factor:
                callers.start_soon(self._send_request, route, hall, rng)

    async def _send_request(
        self, route: ModelRoute, hall: DataHall, rng: random.Random
    ) -> None:
        result = await send_request(
            self.experiment, route, self._find_entries(hall), hall, rng
        )
        self.play_result.results.append(result)

    def _find_entries(self, hall: DataHall) -> list[ModelEntry]:
        """Return the entries to which the load balancer of a hall sends requests.

        It skips instances without power, and those that are not ready while at least
        half of the hall's are.
        """
        alive = [entry for entry in self.entries[hall] if not entry.is_dark]
        ready = [entry for entry in alive if entry.is_ready]
        return ready if 2 * len(ready) >= len(self.entries[hall]) else alive

    async def _send_poison(
        self, poison: PoisonRequest, number: int, callers: TaskGroup
    ) -> None:
        """Send the same request at a fixed interval, each time to a random entry."""
        rng = random.Random(self.rng.getrandbits(64))
        (route,) = (r for r in self.experiment.routes if r.name == poison.route)
        path = f"{build_poison_path_prefix(poison, number)}{route.answer_bytes}"

        async def send() -> None:
            hall = rng.choice(self.experiment.halls)
            result = await send_request(
                self.experiment, route, self._find_entries(hall), hall, rng, path
            )
            self.play_result.poison_results.append(result)

        await anyio.sleep(poison.at_ms / 1000)
        for _ in range(poison.at_ms, poison.until_ms, poison.every_ms):
            callers.start_soon(send)
            await anyio.sleep(poison.every_ms / 1000)

    async def _apply_fault(self, fault: Fault, tasks: TaskGroup) -> None:
        await anyio.sleep(fault.at_ms / 1000)
        match fault.kind:
            case FaultKind.POWER_LOSS:
                await self._apply_power_loss(fault)
            case FaultKind.CUT_OFF_ENTRIES:
                await self._cut_entries_off(fault)
            case FaultKind.SURGE:
                self.surge_factor = fault.factor
                await anyio.sleep(fault.for_ms / 1000)
                self.surge_factor = 1.0
            case FaultKind.DARK_SERVERS:
                await self._set_on_affected_servers(fault, "is_dark", True, False)
            case FaultKind.BUSY_SERVERS:
                await self._set_on_affected_servers(
                    fault, "busy_share", fault.factor, 0.0
                )
            case FaultKind.LIMITED_SERVERS:
                await self._set_on_affected_servers(
                    fault, "limit_per_s", fault.factor, None
                )
            case FaultKind.SLOW_SERVERS:
                await self._set_on_affected_servers(fault, "slowed", fault.factor, 1.0)

    async def _set_on_affected_servers(
        self, fault: Fault, name: str, during: Any, after: Any
    ) -> None:
        """Set an attribute of the affected servers to `during` while the fault lasts.

        Afterwards it is set to `after`.
        """
        affected = self._choose_affected_servers(fault)
        for server in affected:
            setattr(server, name, during)
        await anyio.sleep(fault.for_ms / 1000)
        for server in affected:
            setattr(server, name, after)

    def _choose_affected_servers(self, fault: Fault) -> list[ModelServer]:
        candidates = [
            server
            for server in self.servers
            if fault.service in (None, server.service.name)
        ]
        return self.rng.sample(candidates, round(fault.share * len(candidates)))

    async def _cut_entries_off(self, fault: Fault) -> None:
        halls = self.experiment.halls if fault.hall is None else [fault.hall]
        alive = [entry for hall in halls for entry in self.entries[hall]]
        affected = self.rng.sample(alive, round(fault.share * len(alive)))
        services = [
            service.name
            for service in self.experiment.services
            if fault.service in (None, service.name)
        ]
        for entry in affected:
            self.play_result.cut_off_entries.add(entry.name)
            entry.connections.cuts.update(dict.fromkeys(services, fault.cut))
        await anyio.sleep(fault.for_ms / 1000)
        for entry in affected:
            for service in services:
                entry.connections.cuts.pop(service, None)

    async def _apply_power_loss(self, fault: Fault) -> None:
        alive = [entry for entries in self.entries.values() for entry in entries]
        affected = self.rng.sample(alive, round(fault.share * len(alive)))
        for entry in affected:
            entry.lose_power()
        await anyio.sleep(fault.for_ms / 1000 + ENTRY_RESTART_S)
        for entry in affected:
            self._start_entry(entry.hall, entry.name)
