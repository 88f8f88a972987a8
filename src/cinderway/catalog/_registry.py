"""The registry of backend servers. Pure: no I/O and no clock.

A server may restart and keep its id. The registry therefore tracks individual starts,
each identified by the server's id and its start time. Within the fleet the first start
of an id is named by the id itself, and every later start gets a name of its own, so
that observations of one start are never counted against another.

The state of a start only moves forward: registered, leaving, gone. Of all starts of an
id, only the newest one counts. Late heartbeats are therefore harmless, in whatever
order messages arrive.

There is one exception, for servers that do not report their start time. The first
heartbeat to arrive from a start that is already over may arrive after the next server
at the same address has registered. It then displaces that server, although that server
is alive. Displaced servers are remembered, and reinstated if their heartbeats go on.
"""

from collections import OrderedDict
from enum import Enum

import msgspec

from cinderway._ids import Address, DataHall, ServerName, ServiceName

# Number of finished starts that are remembered to recognize late heartbeats. At 20
# restarts a minute they cover over three hours; heartbeats are late by seconds.
MAX_GONE_STARTS = 4_096
# The `started_at_ms` of a server that does not report when it started.
UNKNOWN_START = 0
# Separates the id from the number of the start in a start's name. Ids that servers
# choose may contain it, too.
_START_NUMBER_SEPARATOR = "~"
# The HTTP path at which control lists the registered servers.
SERVERS_PATH = "/v1/servers"


class ServerStatus(Enum):
    """The status that a server reports in its heartbeats."""

    ACTIVE = "active"
    LEAVING = "leaving"


class RegisteredServer(msgspec.Struct, frozen=True):
    """One start of one backend server, as the server described itself.

    `server_id` is the name of the start within the fleet. For the first start of an id
    it is the id that the server reported, and `first_id` is empty; for a later start it
    is a generated name, and `first_id` is the reported id. `started_at_ms` is the start
    time by the server's own wall clock, or UNKNOWN_START if it was not reported.
    `warmup_ms` is the remaining warm-up time at registration, during which the server
    is slow.
    """

    server_id: ServerName
    service: ServiceName
    address: Address
    data_hall: DataHall
    slots: int
    status: ServerStatus
    software: str = ""
    warmup_ms: int = 0
    started_at_ms: int = UNKNOWN_START
    first_id: ServerName = ServerName("")

    @property
    def reported_id(self) -> ServerName:
        """The id under which the server reports itself."""
        return self.first_id or self.server_id


class RegistryChange(msgspec.Struct, frozen=True):
    """The result of a command: servers to add or replace, and names to remove."""

    put: list[RegisteredServer]
    gone: list[ServerName]

    @property
    def is_empty(self) -> bool:
        """Whether nothing changed."""
        return not self.put and not self.gone


NO_CHANGE = RegistryChange([], [])


class NewestStart(msgspec.Struct, frozen=True):
    """The newest known start of an id; `name` is its name within the fleet."""

    name: ServerName
    started_at_ms: int = UNKNOWN_START
    # How many starts the id is known to have had, this one included.
    number: int = 1


class Registry:
    """All registered servers.

    It is deterministic: the same commands in the same order give the same state.
    """

    def __init__(self):
        self.servers: dict[ServerName, RegisteredServer] = {}
        # The names of removed starts, each with the revision of its removal.
        self.gone: OrderedDict[ServerName, int] = OrderedDict()
        # Servers whose place was taken by a start that may be older. They are in
        # `gone`, too.
        self.displaced: dict[ServerName, RegisteredServer] = {}
        # The newest start of each id that servers reported.
        self.newest: dict[ServerName, NewestStart] = {}
        self._by_address: dict[Address, ServerName] = {}

    def compute_change(self, reported: RegisteredServer) -> RegistryChange:
        """Return what registering a server would change, without applying it.

        A registered server keeps the address, service and slots that it registered
        with, because they cannot change within one start. Its status can change, but
        only to LEAVING.
        """
        newest = self.newest.get(reported.server_id)
        if newest is None or _is_newer_start(reported, newest):
            return self._compute_new_start_change(reported, newest)
        if reported.started_at_ms and reported.started_at_ms < newest.started_at_ms:
            return NO_CHANGE
        known = self.servers.get(newest.name)
        if known is None:
            return NO_CHANGE
        changed = known
        if reported.started_at_ms and not known.started_at_ms:
            changed = msgspec.structs.replace(
                known, started_at_ms=reported.started_at_ms
            )
        if reported.status is ServerStatus.LEAVING:
            changed = msgspec.structs.replace(changed, status=ServerStatus.LEAVING)
        return RegistryChange([changed], []) if changed != known else NO_CHANGE

    def register(self, reported: RegisteredServer, revision: int) -> RegistryChange:
        """Apply a server's heartbeat and return what changed."""
        change = self.compute_change(reported)
        self._apply_change(change, revision)
        return change

    def reinstate(self, reported: RegisteredServer, revision: int) -> RegistryChange:
        """Put a displaced server back at its address and return what changed."""
        known = self.find_displaced_start(reported)
        if known is None:
            return NO_CHANGE
        if reported.status is ServerStatus.LEAVING:
            known = msgspec.structs.replace(known, status=ServerStatus.LEAVING)
        holder = self._by_address.get(known.address)
        change = RegistryChange([known], [holder] if holder else [])
        self._apply_change(change, revision)
        return change

    def find_displaced_start(
        self, reported: RegisteredServer
    ) -> RegisteredServer | None:
        """Return the displaced start that sent this heartbeat, or None."""
        newest = self.newest.get(reported.server_id)
        if newest is None or reported.started_at_ms != newest.started_at_ms:
            return None
        return self.displaced.get(newest.name)

    def has_left(
        self, server_id: ServerName, started_at_ms: int = UNKNOWN_START
    ) -> bool:
        """Whether a start has left for good.

        Without `started_at_ms` this is about the newest known start of the id.
        """
        newest = self.newest.get(server_id)
        if newest is None or started_at_ms > newest.started_at_ms > UNKNOWN_START:
            return False
        if started_at_ms and started_at_ms < newest.started_at_ms:
            return True
        return newest.name in self.gone and newest.name not in self.displaced

    def deregister(
        self, server_id: ServerName, started_at_ms: int, revision: int
    ) -> RegistryChange:
        """Remove a start for good, known or not, and return what changed.

        Without `started_at_ms` the newest known start of the id is removed.
        """
        if self.has_left(server_id, started_at_ms):
            return NO_CHANGE
        newest = self.newest.get(server_id)
        if newest is None or started_at_ms > newest.started_at_ms > UNKNOWN_START:
            return self._deregister_unknown_start(
                server_id, started_at_ms, newest, revision
            )
        if newest.name in self.displaced:
            del self.displaced[newest.name]
            return NO_CHANGE
        self._remove(newest.name, revision)
        return RegistryChange([], [newest.name])

    def restore(
        self,
        servers: list[RegisteredServer],
        gone: list[tuple[ServerName, int]],
        displaced: list[RegisteredServer],
        newest: dict[ServerName, NewestStart] | None = None,
    ) -> None:
        """Load the content of a snapshot.

        Snapshots of earlier builds, which treated each id as a single start, have no
        `newest`. Each name in them is then an id and the newest start of that id.
        """
        self.displaced = {server.server_id: server for server in displaced}
        self.servers = {server.server_id: server for server in servers}
        self._by_address = {server.address: server.server_id for server in servers}
        self.gone = OrderedDict(gone)
        names = [*self.servers, *self.gone]
        self.newest = newest or {name: NewestStart(name) for name in names}

    def _compute_new_start_change(
        self, reported: RegisteredServer, previous: NewestStart | None
    ) -> RegistryChange:
        """Return the change that registers a start not known before."""
        holder = self.servers.get(self._by_address.get(reported.address))
        if holder is not None and _is_outdated_start(reported, holder):
            return NO_CHANGE
        gone = {holder.server_id} if holder is not None else set()
        if previous is not None and previous.name in self.servers:
            gone.add(previous.name)
        name, _ = self._find_unused_name(reported.server_id, previous)
        first_id = reported.server_id if name != reported.server_id else ServerName("")
        registered = msgspec.structs.replace(
            reported, server_id=name, first_id=first_id
        )
        return RegistryChange([registered], sorted(gone))

    def _find_unused_name(
        self, server_id: ServerName, previous: NewestStart | None
    ) -> tuple[ServerName, int]:
        """Return a name that no known start has, and the start number it holds."""
        number = previous.number + 1 if previous is not None else 1
        while True:
            name = _build_start_name(server_id, number)
            if name not in self.servers and name not in self.gone:
                return name, number
            number += 1

    def _deregister_unknown_start(
        self,
        server_id: ServerName,
        started_at_ms: int,
        previous: NewestStart | None,
        revision: int,
    ) -> RegistryChange:
        """Record that a start has left that never registered."""
        name, number = self._find_unused_name(server_id, previous)
        gone = [name]
        if previous is not None and previous.name in self.servers:
            self._remove(previous.name, revision)
            gone.append(previous.name)
        self.newest[server_id] = NewestStart(name, started_at_ms, number)
        self._remove(name, revision)
        return RegistryChange([], gone)

    def _apply_change(self, change: RegistryChange, revision: int) -> None:
        for name in change.gone:
            previous = self.servers[name]
            if not any(_is_surely_over(previous, server) for server in change.put):
                self.displaced[name] = previous
            self._remove(name, revision)
        for server in change.put:
            self.gone.pop(server.server_id, None)
            self.displaced.pop(server.server_id, None)
            self.servers[server.server_id] = server
            self._by_address[server.address] = server.server_id
            self._record_newest_start(server)

    def _record_newest_start(self, server: RegisteredServer) -> None:
        previous = self.newest.get(server.reported_id)
        number = previous.number if previous is not None else 0
        if previous is None or previous.name != server.server_id:
            number += 1
        self.newest[server.reported_id] = NewestStart(
            server.server_id, server.started_at_ms, number
        )

    def _remove(self, name: ServerName, revision: int) -> None:
        known = self.servers.pop(name, None)
        if known and self._by_address.get(known.address) == name:
            del self._by_address[known.address]
        self.gone[name] = revision
        while len(self.gone) > MAX_GONE_STARTS:
            evicted, _ = self.gone.popitem(last=False)
            self.displaced.pop(evicted, None)
            self._remove_newest_start(evicted)

    def _remove_newest_start(self, name: ServerName) -> None:
        for server_id in (name, _parse_server_id(name)):
            newest = self.newest.get(server_id)
            if newest is not None and newest.name == name:
                del self.newest[server_id]


def _is_newer_start(reported: RegisteredServer, newest: NewestStart) -> bool:
    return reported.started_at_ms > newest.started_at_ms > UNKNOWN_START


def _is_outdated_start(reported: RegisteredServer, holder: RegisteredServer) -> bool:
    """Whether a start must be over because a newer one holds its address."""
    return UNKNOWN_START < reported.started_at_ms < holder.started_at_ms


def _is_surely_over(previous: RegisteredServer, successor: RegisteredServer) -> bool:
    """Whether a start is surely over, given another that took its place.

    That is so only if both start times are known and the other one is later.
    """
    return UNKNOWN_START < previous.started_at_ms < successor.started_at_ms


def _build_start_name(server_id: ServerName, number: int) -> ServerName:
    """Return the fleet-wide name of a start, which for the first one is the id."""
    return (
        ServerName(f"{server_id}{_START_NUMBER_SEPARATOR}{number}")
        if number > 1
        else server_id
    )


def _parse_server_id(name: ServerName) -> ServerName:
    """Return the id contained in the name of a later start."""
    return ServerName(name.rpartition(_START_NUMBER_SEPARATOR)[0])
