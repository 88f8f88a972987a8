"""The backend servers that announced themselves. Pure.

A server has a new id at each start, so an id only ever moves one way: registered,
leaving, gone. A heartbeat that arrives late can therefore do no harm: it may repeat
what is known, but never bring back what has left.

One thing it can do: a start that nobody knew yet, and that is over, may be heard of
only after the next start at its address has registered, and takes that one's place. A
server whose place was taken is kept in mind, and reinstated when it is heard further.
"""

from collections import OrderedDict
from enum import Enum

import msgspec

from cinderway._ids import Address, DataHall, ServerName, ServiceName

# Ids of servers that left, kept to recognize heartbeats that arrive late. At 20
# restarts a minute that is over three hours; heartbeats are late by seconds.
GONE_IDS_KEPT = 4_096


class ServerStatus(Enum):
    """What a server says of itself."""

    ACTIVE = "active"
    LEAVING = "leaving"


class RegisteredServer(msgspec.Struct, frozen=True):
    """One start of one backend server, by its own word.

    `warmup_ms` is how long it was still going to be slow when it registered.
    """

    server_id: ServerName
    service: ServiceName
    address: Address
    data_hall: DataHall
    slots: int
    status: ServerStatus
    software: str = ""
    warmup_ms: int = 0


class RegistryChange(msgspec.Struct, frozen=True):
    """What a command did: the servers to put, and the ids that are gone."""

    put: list[RegisteredServer]
    gone: list[ServerName]

    @property
    def is_empty(self) -> bool:
        """Whether nothing changed."""
        return not self.put and not self.gone


NO_CHANGE = RegistryChange([], [])


class Registry:
    """All registered servers. Same commands in the same order give the same state."""

    def __init__(self):
        self.servers: dict[ServerName, RegisteredServer] = {}
        self.gone: OrderedDict[ServerName, int] = OrderedDict()
        # Those whose address another start took over; they are among the gone, too.
        self.displaced: dict[ServerName, RegisteredServer] = {}
        self._by_address: dict[Address, ServerName] = {}

    def change_of(self, server: RegisteredServer) -> RegistryChange:
        """Return what registering a server would change, without doing it.

        A server that is known keeps its first address, service and slots: they cannot
        change within one start. Its status can, towards leaving only.
        """
        if server.server_id in self.gone:
            return NO_CHANGE
        known = self.servers.get(server.server_id)
        if known is None:
            former = self._by_address.get(server.address)
            return RegistryChange([server], [former] if former else [])
        is_leaving = server.status is ServerStatus.LEAVING
        if is_leaving and known.status is ServerStatus.ACTIVE:
            leaving = msgspec.structs.replace(known, status=ServerStatus.LEAVING)
            return RegistryChange([leaving], [])
        return NO_CHANGE

    def register(self, server: RegisteredServer, revision: int) -> RegistryChange:
        """Take a server's word; return what changed."""
        change = self.change_of(server)
        self._carry_out(change, revision)
        return change

    def reinstate(self, server: RegisteredServer, revision: int) -> RegistryChange:
        """Give a displaced server its place back; return what changed."""
        known = self.displaced.get(server.server_id)
        if known is None:
            return NO_CHANGE
        if server.status is ServerStatus.LEAVING:
            known = msgspec.structs.replace(known, status=ServerStatus.LEAVING)
        holder = self._by_address.get(known.address)
        change = RegistryChange([known], [holder] if holder else [])
        self._carry_out(change, revision)
        return change

    def has_left(self, server_id: ServerName) -> bool:
        """Whether a server is gone for good."""
        return server_id in self.gone and server_id not in self.displaced

    def _carry_out(self, change: RegistryChange, revision: int) -> None:
        for server_id in change.gone:
            self.displaced[server_id] = self.servers[server_id]
            self._drop(server_id, revision)
        for put in change.put:
            self.gone.pop(put.server_id, None)
            self.displaced.pop(put.server_id, None)
            self.servers[put.server_id] = put
            self._by_address[put.address] = put.server_id

    def deregister(self, server_id: ServerName, revision: int) -> RegistryChange:
        """Take a server out for good, known or not; return what changed."""
        if server_id in self.gone:
            self.displaced.pop(server_id, None)
            return NO_CHANGE
        self._drop(server_id, revision)
        return RegistryChange([], [server_id])

    def restore(
        self,
        servers: list[RegisteredServer],
        gone: list[tuple[ServerName, int]],
        displaced: list[RegisteredServer],
    ) -> None:
        """Take over a snapshot's content."""
        self.displaced = {server.server_id: server for server in displaced}
        self.servers = {server.server_id: server for server in servers}
        self._by_address = {server.address: server.server_id for server in servers}
        self.gone = OrderedDict(gone)

    def _drop(self, server_id: ServerName, revision: int) -> None:
        known = self.servers.pop(server_id, None)
        if known and self._by_address.get(known.address) == server_id:
            del self._by_address[known.address]
        self.gone[server_id] = revision
        while len(self.gone) > GONE_IDS_KEPT:
            forgotten, _ = self.gone.popitem(last=False)
            self.displaced.pop(forgotten, None)
