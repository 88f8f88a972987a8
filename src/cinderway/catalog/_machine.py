"""The replicated state machine of the catalog.

Its revision is the log index of the newest command that changed anything, so two
replicas at one revision hold the same catalog, and revisions never go back.
"""

import logging
from collections.abc import Callable

import msgspec

from cinderway._ids import Address, RequestDigest, ServerName
from cinderway.catalog._commands import (
    AllowRequest,
    AnnounceReplica,
    Deregister,
    InstallSheet,
    RefuseRequest,
    Register,
    Reinstate,
    decode_command,
)
from cinderway.catalog._conversation import CatalogUpdate, ReplicaAddress
from cinderway.catalog._packing import pack
from cinderway.catalog._registry import (
    NewestStart,
    RegisteredServer,
    Registry,
    RegistryChange,
)
from cinderway.catalog._sheet import RouteSheet, decode_sheet

logger = logging.getLogger(__name__)

# 139 bytes each in a snapshot. A fleet that has had three servers ended by each of
# so many requests has other worries.
REFUSED_LIMIT = 1_024


class Installed(msgspec.Struct, frozen=True):
    """What a sheet's installation came to: the version now in force."""

    version: int
    is_changed: bool


class _State(msgspec.Struct):
    """A snapshot of the machine."""

    revision: int
    sheet_revision: int
    sheet_body: bytes
    servers: list[RegisteredServer]
    server_revisions: dict[ServerName, int]
    gone: list[tuple[ServerName, int]]
    replicas: list[AnnounceReplica]
    displaced: list[RegisteredServer] = []
    # None in snapshots of builds that took an id for one start.
    newest: dict[ServerName, NewestStart] | None = None
    refused: list[RefuseRequest] = []


class CatalogMachine:
    """Applies commands; knows what changed since any revision."""

    def __init__(self):
        self.revision = 0
        self.sheet: RouteSheet | None = None
        self.sheet_body = b""
        self.registry = Registry()
        self.replicas: dict[Address, AnnounceReplica] = {}
        # No part of the revision: entries hear of these as news.
        self.refused: dict[RequestDigest, RefuseRequest] = {}
        self._sheet_revision = 0
        self._packed = b""
        self._server_revisions: dict[ServerName, int] = {}

    @property
    def has_sheet(self) -> bool:
        """Whether a sheet was ever installed."""
        return self.sheet is not None

    def apply(self, index: int, data: bytes) -> Installed | RegistryChange | None:
        """Carry out a committed command; one that cannot be read changes nothing.

        Replicas of one build agree on what they cannot read. One that ended there would
        end again at each start.
        """
        try:
            command = decode_command(data)
        except msgspec.MsgspecError as error:
            logger.error("entry %d of the log is passed over: %s", index, error)
            return None
        match command:
            case InstallSheet():
                return self._install(index, command.text)
            case Register(server=server):
                return self._note(index, self.registry.register(server, index))
            case Reinstate(server=server):
                return self._note(index, self.registry.reinstate(server, index))
            case Deregister(server_id=server_id, started_at_ms=started_at_ms):
                change = self.registry.deregister(server_id, started_at_ms, index)
                return self._note(index, change)
            case AnnounceReplica() as replica:
                self.replicas[replica.address] = replica
                return None
            case RefuseRequest() as refused:
                return self._refuse(refused)
            case AllowRequest(digest=digest):
                self.refused.pop(digest, None)
                return None

    def freeze(self) -> Callable[[], bytes]:
        """Return what encodes the state as of now, later and in another thread."""
        state = _State(
            self.revision,
            self._sheet_revision,
            self.sheet_body,
            list(self.registry.servers.values()),
            dict(self._server_revisions),
            list(self.registry.gone.items()),
            list(self.replicas.values()),
            list(self.registry.displaced.values()),
            dict(self.registry.newest),
            list(self.refused.values()),
        )
        return lambda: msgspec.msgpack.encode(state)

    def restore(self, data: bytes) -> None:
        """Take over an encoded state; b"" is the first one."""
        if not data:
            return
        state = msgspec.msgpack.decode(data, type=_State)
        self.revision = state.revision
        self._sheet_revision = state.sheet_revision
        self.sheet_body, self._packed = state.sheet_body, b""
        self.sheet = decode_sheet(state.sheet_body) if state.sheet_body else None
        self.registry.restore(state.servers, state.gone, state.displaced, state.newest)
        self._server_revisions = state.server_revisions
        self.replicas = {replica.address: replica for replica in state.replicas}
        self.refused = {refused.digest: refused for refused in state.refused}

    def update_since(self, revision: int) -> CatalogUpdate:
        """Return what one who knows the catalog at a revision lacks."""
        changed = [
            server
            for server_id, server in self.registry.servers.items()
            if self._server_revisions[server_id] > revision
        ]
        gone = [name for name, at in self.registry.gone.items() if at > revision]
        has_sheet = self._sheet_revision > revision
        return CatalogUpdate(
            base_revision=revision,
            revision=self.revision,
            packed_sheet=self._packed_sheet() if has_sheet else b"",
            servers=msgspec.msgpack.encode(changed),
            gone=gone if revision else [],
        )

    def replica_addresses(self) -> list[ReplicaAddress]:
        """Where control replicas are, and in which data halls."""
        return [
            ReplicaAddress(replica.address, replica.data_hall)
            for replica in self.replicas.values()
        ]

    def _packed_sheet(self) -> bytes:
        """The sheet's small form, made once however many entries get it."""
        if not self._packed:
            self._packed = pack(self.sheet_body)
        return self._packed

    def _install(self, index: int, body: bytes) -> Installed:
        sheet = decode_sheet(body)
        if self.sheet is not None and sheet.version <= self.sheet.version:
            return Installed(self.sheet.version, is_changed=False)
        self.sheet, self.sheet_body, self._packed = sheet, body, b""
        self.revision = self._sheet_revision = index
        return Installed(sheet.version, is_changed=True)

    def _refuse(self, refused: RefuseRequest) -> None:
        """Keep a refusal as the newest; where there are too many the oldest goes."""
        self.refused.pop(refused.digest, None)
        if len(self.refused) >= REFUSED_LIMIT:
            self.refused.pop(next(iter(self.refused)))
        self.refused[refused.digest] = refused
        logger.info("a refusal is stored: digest %s", refused.digest.hex())

    def _note(self, index: int, change: RegistryChange) -> RegistryChange:
        if not change.is_empty:
            self.revision = index
        for server in change.put:
            self._server_revisions[server.server_id] = index
        for server_id in change.gone:
            self._server_revisions.pop(server_id, None)
        return change
