"""An entry's copy of the catalog.

Pure: no I/O. It never goes back to an older revision.
"""

import zlib

import msgspec

from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import ServerName
from cinderway.catalog._compression import decompress_sheet
from cinderway.catalog._conversation import CatalogUpdate
from cinderway.catalog._registry import RegisteredServer
from cinderway.catalog._sheet import RouteSheet, decode_sheet

_servers_decoder = msgspec.msgpack.Decoder(list[RegisteredServer])


class CatalogMirror:
    """A copy of the catalog as of one revision."""

    def __init__(self):
        self.revision = 0
        self.sheet: RouteSheet | None = None
        self.servers: dict[ServerName, RegisteredServer] = {}

    def install(self, update: CatalogUpdate) -> bool:
        """Apply an update; return whether it was applied.

        An update is ignored if it is not newer, or if its base revision is one that
        this copy has not reached. Raises CinderwayError, and changes nothing, if the
        update cannot be decoded.
        """
        if update.revision <= self.revision or update.base_revision > self.revision:
            return False
        sheet, servers = self._decode_update(update)
        if update.base_revision == 0:
            self.servers = {}
        self.sheet = sheet
        for server_id in update.gone:
            self.servers.pop(server_id, None)
        for server in servers:
            self.servers[server.server_id] = server
        self.revision = update.revision
        return True

    def _decode_update(
        self, update: CatalogUpdate
    ) -> tuple[RouteSheet | None, list[RegisteredServer]]:
        try:
            servers = _servers_decoder.decode(update.servers)
            if not update.packed_sheet:
                return self.sheet, servers
            return self._choose_newer_sheet(
                decode_sheet(decompress_sheet(update.packed_sheet))
            ), servers
        except (msgspec.MsgspecError, zlib.error) as error:
            raise CinderwayError(
                ErrorCode.FRAME_INVALID,
                f"the update to catalog revision {update.revision} cannot be decoded: "
                f"{error}",
                step=Step.RECEIVE,
            ) from error

    def _choose_newer_sheet(self, sheet: RouteSheet) -> RouteSheet:
        if self.sheet is not None and sheet.version < self.sheet.version:
            return self.sheet
        return sheet
