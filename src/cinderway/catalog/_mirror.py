"""An entry's copy of the catalog. Pure; it never goes back to an older revision."""

import msgspec

from cinderway._ids import ServerName
from cinderway.catalog._conversation import CatalogUpdate
from cinderway.catalog._packing import unpack
from cinderway.catalog._registry import RegisteredServer
from cinderway.catalog._sheet import RouteSheet, decode_sheet

_servers_decoder = msgspec.msgpack.Decoder(list[RegisteredServer])


class CatalogMirror:
    """The catalog as of a revision."""

    def __init__(self):
        self.revision = 0
        self.sheet: RouteSheet | None = None
        self.servers: dict[ServerName, RegisteredServer] = {}

    def install(self, update: CatalogUpdate) -> bool:
        """Take an update; False if it is not newer or does not fit what is held."""
        if update.revision <= self.revision or update.base_revision > self.revision:
            return False
        if update.base_revision == 0:
            self.servers = {}
        if update.packed_sheet:
            self.sheet = self._newer(decode_sheet(unpack(update.packed_sheet)))
        for server_id in update.gone:
            self.servers.pop(server_id, None)
        for server in _servers_decoder.decode(update.servers):
            self.servers[server.server_id] = server
        self.revision = update.revision
        return True

    def _newer(self, sheet: RouteSheet) -> RouteSheet:
        if self.sheet is not None and sheet.version < self.sheet.version:
            return self.sheet
        return sheet
