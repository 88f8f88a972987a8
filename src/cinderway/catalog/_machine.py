"""The replicated state machine of the catalog.

Its revision is the log index of the newest command that changed the catalog. Replicas
at the same revision therefore hold the same catalog, and revisions never decrease.
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
from cinderway.catalog._compression import compress_sheet
from cinderway.catalog._conversation import CatalogUpdate, ReplicaAddress
from cinderway.catalog._registry import (
    NewestStart,
    RegisteredServer,
    Registry,
    RegistryChange,
)
from cinderway.catalog._sheet import RouteSheet, decode_sheet

logger = logging.getLogger(__name__)

# The highest number of refused requests that are stored; each takes 139 bytes of a
# snapshot. A request is refused once three servers have failed while running it, so a
# fleet that needs more than this has failures that a longer list would not contain.
MAX_REFUSALS = 1_024


class SheetInstallation(msgspec.Struct, frozen=True):
    """The result of installing a sheet; `version` is the one now in force."""

    version: int
    is_changed: bool


class _State(msgspec.Struct):
    """A snapshot of the machine, as encoded on disk."""

    revision: int
    sheet_revision: int
    sheet_body: bytes
    servers: list[RegisteredServer]
    server_revisions: dict[ServerName, int]
    gone: list[tuple[ServerName, int]]
    replicas: list[AnnounceReplica]
    displaced: list[RegisteredServer] = []
    # None in snapshots of earlier builds, which treated each id as a single start.
    newest: dict[ServerName, NewestStart] | None = None
    refused: list[RefuseRequest] = []


class CatalogMachine:
    """Applies commands and tells what changed since a given revision."""

    def __init__(self):
        self.revision = 0
        self.sheet: RouteSheet | None = None
        self.sheet_body = b""
        self.registry = Registry()
        self.replicas: dict[Address, AnnounceReplica] = {}
        # Changes to these don't advance the revision. Entries receive them as rulings
        # on requests, not as catalog updates.
        self.refused: dict[RequestDigest, RefuseRequest] = {}
        self._sheet_revision = 0
        self._packed_sheet_cache = b""
        self._server_revisions: dict[ServerName, int] = {}

    @property
    def has_sheet(self) -> bool:
        """Whether a sheet was ever installed."""
        return self.sheet is not None

    def apply(
        self, index: int, data: bytes
    ) -> SheetInstallation | RegistryChange | None:
        """Apply a committed command; one that cannot be decoded changes nothing.

        Skipping it is safe, because replicas of the same build agree on which commands
        they cannot decode. A replica that exited instead would exit again at every
        start, when it replays its log.
        """
        try:
            command = decode_command(data)
        except msgspec.MsgspecError as error:
            logger.error("skipping undecodable log entry %d: %s", index, error)
            return None
        match command:
            case InstallSheet():
                return self._install_sheet(index, command.unpacked_body)
            case Register(server=server):
                return self._record_change(index, self.registry.register(server, index))
            case Reinstate(server=server):
                return self._record_change(
                    index, self.registry.reinstate(server, index)
                )
            case Deregister(server_id=server_id, started_at_ms=started_at_ms):
                change = self.registry.deregister(server_id, started_at_ms, index)
                return self._record_change(index, change)
            case AnnounceReplica() as replica:
                self.replicas[replica.address] = replica
                return None
            case RefuseRequest() as refused:
                return self._store_refusal(refused)
            case AllowRequest(digest=digest):
                self.refused.pop(digest, None)
                return None

    def capture_snapshot(self) -> Callable[[], bytes]:
        """Capture the current state and return a function that encodes it.

        The function may be called later and in another thread.
        """
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
        """Load an encoded state; b"" stands for the initial state."""
        if not data:
            return
        state = msgspec.msgpack.decode(data, type=_State)
        self.revision = state.revision
        self._sheet_revision = state.sheet_revision
        self.sheet_body, self._packed_sheet_cache = state.sheet_body, b""
        self.sheet = decode_sheet(state.sheet_body) if state.sheet_body else None
        self.registry.restore(state.servers, state.gone, state.displaced, state.newest)
        self._server_revisions = state.server_revisions
        self.replicas = {replica.address: replica for replica in state.replicas}
        self.refused = {refused.digest: refused for refused in state.refused}

    def update_since(self, revision: int) -> CatalogUpdate:
        """Return the changes that bring a given revision up to date."""
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
            packed_sheet=self._get_packed_sheet() if has_sheet else b"",
            servers=msgspec.msgpack.encode(changed),
            gone=gone if revision else [],
        )

    def get_replica_addresses(self) -> list[ReplicaAddress]:
        """Return the addresses and data halls of all announced control replicas."""
        return [
            ReplicaAddress(replica.address, replica.data_hall)
            for replica in self.replicas.values()
        ]

    def _get_packed_sheet(self) -> bytes:
        """Return the compressed sheet, which is compressed once for all entries."""
        if not self._packed_sheet_cache:
            self._packed_sheet_cache = compress_sheet(self.sheet_body)
        return self._packed_sheet_cache

    def _install_sheet(self, index: int, body: bytes) -> SheetInstallation:
        sheet = decode_sheet(body)
        if self.sheet is not None and sheet.version <= self.sheet.version:
            return SheetInstallation(self.sheet.version, is_changed=False)
        self.sheet, self.sheet_body, self._packed_sheet_cache = sheet, body, b""
        self.revision = self._sheet_revision = index
        return SheetInstallation(sheet.version, is_changed=True)

    def _store_refusal(self, refused: RefuseRequest) -> None:
        """Store a refusal as the newest; beyond the limit, evict the oldest."""
        self.refused.pop(refused.digest, None)
        if len(self.refused) >= MAX_REFUSALS:
            self.refused.pop(next(iter(self.refused)))
        self.refused[refused.digest] = refused
        logger.info("a refusal is stored: digest %s", refused.digest.hex())

    def _record_change(self, index: int, change: RegistryChange) -> RegistryChange:
        if not change.is_empty:
            self.revision = index
        for server in change.put:
            self._server_revisions[server.server_id] = index
        for server_id in change.gone:
            self._server_revisions.pop(server_id, None)
        return change
