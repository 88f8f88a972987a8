"""The backend servers that announced themselves. Pure.

A server may start again under the id that it had. What is known hangs on one start: its
id and when it started. The first start of an id goes by that id in the fleet, a later
one by a name of its own, so that nothing that was seen of one start is held against
another.

One start only ever moves one way: registered, leaving, gone; and of an id, only the
newest start counts. A heartbeat that arrives late can therefore do no harm, in whatever
order words come.

Where servers do not tell their starts, one thing it can do: a start that nobody knew
yet, and that is over, may be heard of only after the next one at its address has
registered, and takes that one's place. A server whose place was taken so is kept in
mind, and reinstated when it is heard further.
"""

from collections import OrderedDict
from enum import Enum

import msgspec

from cinderway._ids import Address, DataHall, ServerName, ServiceName

# Starts that are over, kept to recognize heartbeats that arrive late. At 20 restarts a
# minute that is over three hours; heartbeats are late by seconds.
GONE_KEPT = 4_096
# Of a start that its server does not tell.
UNTOLD = 0
# Between an id and the number of its start; it may stand in an id, too.
_NUMBER_MARK = "~"
# Where control lists registered servers, over HTTP.
SERVERS_PATH = "/v1/servers"


class ServerStatus(Enum):
    """What a server says of itself."""

    ACTIVE = "active"
    LEAVING = "leaving"


class RegisteredServer(msgspec.Struct, frozen=True):
    """One start of one backend server, by its own word.

    `server_id` names it in the fleet: the id that the server told, but for a later
    start of an id, whose told id is `first_id`. `started_at_ms` is by the server's own
    wall clock, UNTOLD where it does not say. `warmup_ms` is how long it was still going
    to be slow when it registered.
    """

    server_id: ServerName
    service: ServiceName
    address: Address
    data_hall: DataHall
    slots: int
    status: ServerStatus
    software: str = ""
    warmup_ms: int = 0
    started_at_ms: int = UNTOLD
    first_id: ServerName = ServerName("")

    @property
    def told_id(self) -> ServerName:
        """The id by which the server knows itself."""
        return self.first_id or self.server_id


class RegistryChange(msgspec.Struct, frozen=True):
    """What a command did: the servers to put, and the ids that are gone."""

    put: list[RegisteredServer]
    gone: list[ServerName]

    @property
    def is_empty(self) -> bool:
        """Whether nothing changed."""
        return not self.put and not self.gone


NO_CHANGE = RegistryChange([], [])


class NewestStart(msgspec.Struct, frozen=True):
    """The newest known start of an id, and its name in the fleet."""

    name: ServerName
    started_at_ms: int = UNTOLD
    # How many starts the id has had, as far as known.
    number: int = 1


class Registry:
    """All registered servers. Same commands in the same order give the same state."""

    def __init__(self):
        self.servers: dict[ServerName, RegisteredServer] = {}
        self.gone: OrderedDict[ServerName, int] = OrderedDict()
        # Those whose address a start took over that may be the earlier one; they are
        # among the gone, too.
        self.displaced: dict[ServerName, RegisteredServer] = {}
        # By the id that servers tell.
        self.newest: dict[ServerName, NewestStart] = {}
        self._by_address: dict[Address, ServerName] = {}

    def change_of(self, told: RegisteredServer) -> RegistryChange:
        """Return what registering a server would change, without doing it.

        A server that is known keeps its first address, service and slots: they cannot
        change within one start. Its status can, towards leaving only.
        """
        newest = self.newest.get(told.server_id)
        if newest is None or _is_later(told, newest):
            return self._change_by_start(told, newest)
        if told.started_at_ms and told.started_at_ms < newest.started_at_ms:
            return NO_CHANGE
        known = self.servers.get(newest.name)
        if known is None:
            return NO_CHANGE
        changed = known
        if told.started_at_ms and not known.started_at_ms:
            changed = msgspec.structs.replace(known, started_at_ms=told.started_at_ms)
        if told.status is ServerStatus.LEAVING:
            changed = msgspec.structs.replace(changed, status=ServerStatus.LEAVING)
        return RegistryChange([changed], []) if changed != known else NO_CHANGE

    def register(self, told: RegisteredServer, revision: int) -> RegistryChange:
        """Take a server's word; return what changed."""
        change = self.change_of(told)
        self._carry_out(change, revision)
        return change

    def reinstate(self, told: RegisteredServer, revision: int) -> RegistryChange:
        """Give a displaced server its place back; return what changed."""
        known = self.displaced_start_of(told)
        if known is None:
            return NO_CHANGE
        if told.status is ServerStatus.LEAVING:
            known = msgspec.structs.replace(known, status=ServerStatus.LEAVING)
        holder = self._by_address.get(known.address)
        change = RegistryChange([known], [holder] if holder else [])
        self._carry_out(change, revision)
        return change

    def displaced_start_of(self, told: RegisteredServer) -> RegisteredServer | None:
        """Return the displaced start whose word this is, if there is one."""
        newest = self.newest.get(told.server_id)
        if newest is None or told.started_at_ms != newest.started_at_ms:
            return None
        return self.displaced.get(newest.name)

    def has_left(self, server_id: ServerName, started_at_ms: int = UNTOLD) -> bool:
        """Whether a start is over for good; the newest known one if none is given."""
        newest = self.newest.get(server_id)
        if newest is None or started_at_ms > newest.started_at_ms > UNTOLD:
            return False
        if started_at_ms and started_at_ms < newest.started_at_ms:
            return True
        return newest.name in self.gone and newest.name not in self.displaced

    def deregister(
        self, server_id: ServerName, started_at_ms: int, revision: int
    ) -> RegistryChange:
        """Take a start out for good, known or not; return what changed.

        Without a start that is the newest known one.
        """
        if self.has_left(server_id, started_at_ms):
            return NO_CHANGE
        newest = self.newest.get(server_id)
        if newest is None or started_at_ms > newest.started_at_ms > UNTOLD:
            return self._leave_unknown(server_id, started_at_ms, newest, revision)
        if newest.name in self.displaced:
            del self.displaced[newest.name]
            return NO_CHANGE
        self._drop(newest.name, revision)
        return RegistryChange([], [newest.name])

    def restore(
        self,
        servers: list[RegisteredServer],
        gone: list[tuple[ServerName, int]],
        displaced: list[RegisteredServer],
        newest: dict[ServerName, NewestStart] | None = None,
    ) -> None:
        """Take over a snapshot's content.

        Without `newest`, as builds wrote it that took an id for one start, each id is
        its own newest start.
        """
        self.displaced = {server.server_id: server for server in displaced}
        self.servers = {server.server_id: server for server in servers}
        self._by_address = {server.address: server.server_id for server in servers}
        self.gone = OrderedDict(gone)
        names = [*self.servers, *self.gone]
        self.newest = newest or {name: NewestStart(name) for name in names}

    def _change_by_start(
        self, told: RegisteredServer, former: NewestStart | None
    ) -> RegistryChange:
        """Return the change by a start that was not known."""
        holder = self.servers.get(self._by_address.get(told.address))
        if holder is not None and _is_over(told, holder):
            return NO_CHANGE
        gone = {holder.server_id} if holder is not None else set()
        if former is not None and former.name in self.servers:
            gone.add(former.name)
        name, _ = self._unused_name(told.server_id, former)
        first_id = told.server_id if name != told.server_id else ServerName("")
        put = msgspec.structs.replace(told, server_id=name, first_id=first_id)
        return RegistryChange([put], sorted(gone))

    def _unused_name(
        self, server_id: ServerName, former: NewestStart | None
    ) -> tuple[ServerName, int]:
        """Return a name that no start has had, and its number among the id's."""
        number = former.number + 1 if former is not None else 1
        while True:
            name = _name_of(server_id, number)
            if name not in self.servers and name not in self.gone:
                return name, number
            number += 1

    def _leave_unknown(
        self,
        server_id: ServerName,
        started_at_ms: int,
        former: NewestStart | None,
        revision: int,
    ) -> RegistryChange:
        """Note that a start has left that was never heard of."""
        name, number = self._unused_name(server_id, former)
        gone = [name]
        if former is not None and former.name in self.servers:
            self._drop(former.name, revision)
            gone.append(former.name)
        self.newest[server_id] = NewestStart(name, started_at_ms, number)
        self._drop(name, revision)
        return RegistryChange([], gone)

    def _carry_out(self, change: RegistryChange, revision: int) -> None:
        for name in change.gone:
            former = self.servers[name]
            if not any(_is_certain(former, put) for put in change.put):
                self.displaced[name] = former
            self._drop(name, revision)
        for put in change.put:
            self.gone.pop(put.server_id, None)
            self.displaced.pop(put.server_id, None)
            self.servers[put.server_id] = put
            self._by_address[put.address] = put.server_id
            self._note_newest(put)

    def _note_newest(self, put: RegisteredServer) -> None:
        former = self.newest.get(put.told_id)
        number = former.number if former is not None else 0
        if former is None or former.name != put.server_id:
            number += 1
        self.newest[put.told_id] = NewestStart(put.server_id, put.started_at_ms, number)

    def _drop(self, name: ServerName, revision: int) -> None:
        known = self.servers.pop(name, None)
        if known and self._by_address.get(known.address) == name:
            del self._by_address[known.address]
        self.gone[name] = revision
        while len(self.gone) > GONE_KEPT:
            forgotten, _ = self.gone.popitem(last=False)
            self.displaced.pop(forgotten, None)
            self._forget_newest(forgotten)

    def _forget_newest(self, name: ServerName) -> None:
        for server_id in (name, _id_in(name)):
            newest = self.newest.get(server_id)
            if newest is not None and newest.name == name:
                del self.newest[server_id]


def _is_later(told: RegisteredServer, newest: NewestStart) -> bool:
    return told.started_at_ms > newest.started_at_ms > UNTOLD


def _is_over(told: RegisteredServer, holder: RegisteredServer) -> bool:
    """Whether a start must be over: a later one has its address."""
    return UNTOLD < told.started_at_ms < holder.started_at_ms


def _is_certain(former: RegisteredServer, put: RegisteredServer) -> bool:
    """Whether it is certain that a start is over where another has been registered."""
    return UNTOLD < former.started_at_ms < put.started_at_ms


def _name_of(server_id: ServerName, number: int) -> ServerName:
    """Return the name of an id's start: the id itself for the first one."""
    return ServerName(f"{server_id}{_NUMBER_MARK}{number}") if number > 1 else server_id


def _id_in(name: ServerName) -> ServerName:
    """Return the id that a later start's name was made of."""
    return ServerName(name.rpartition(_NUMBER_MARK)[0])
