"""The commands that control replicates to change the catalog.

Logs on disk contain encoded commands. A field may be added with a default, but its
encoded name must not change, and it must not be removed.
"""

import msgspec

from cinderway._ids import Address, DataHall, RequestDigest, ServerName
from cinderway.catalog._compression import compress_sheet, decompress_sheet
from cinderway.catalog._registry import UNKNOWN_START, RegisteredServer


class InstallSheet(msgspec.Struct, frozen=True, tag="sheet"):
    """Install a route sheet if its version is higher than the installed one.

    `packed` is the compressed text of a validated sheet, as the operator sent it. In
    logs of earlier builds `body` holds the text uncompressed instead.
    """

    body: bytes = b""
    packed: bytes = b""

    @classmethod
    def from_body(cls, body: bytes) -> "InstallSheet":
        """Return the command that installs a validated sheet."""
        return cls(packed=compress_sheet(body))

    @property
    def unpacked_body(self) -> bytes:
        """The text of the sheet as the operator sent it."""
        return decompress_sheet(self.packed) if self.packed else self.body


class Register(msgspec.Struct, frozen=True, tag="register"):
    """Register a backend server from a heartbeat with new information."""

    server: RegisteredServer


class Reinstate(msgspec.Struct, frozen=True, tag="reinstate"):
    """Put back a server that a late heartbeat of an earlier start displaced."""

    server: RegisteredServer


class Deregister(msgspec.Struct, frozen=True, tag="deregister"):
    """Remove a start of a backend server for good.

    Without `started_at_ms`, as written by earlier builds, the newest known start of the
    id is removed.
    """

    server_id: ServerName
    started_at_ms: int = UNKNOWN_START


class AnnounceReplica(msgspec.Struct, frozen=True, tag="replica"):
    """Announce the addresses and the data hall of a control replica.

    The fleet's own processes reach it at `address`, operators and backend servers at
    `http_address`.
    """

    address: Address
    data_hall: DataHall
    # Encoded under its original name, which logs and snapshots on disk contain.
    http_address: Address = msgspec.field(name="operators_address")


class RefuseRequest(msgspec.Struct, frozen=True, tag="refuse"):
    """Store that a request must not be sent to servers, so that it survives power loss.

    `until_ms` is the Unix time at which the refusal expires, by the leader's clock. The
    other fields are those of `cinderway.poison.Ruling`.
    """

    digest: RequestDigest
    round_number: int
    until_ms: int
    servers: list[ServerName]
    refusals: int
    # Whether an operator refused the request.
    is_barred: bool = False


class AllowRequest(msgspec.Struct, frozen=True, tag="allow"):
    """Remove the stored refusal of a request."""

    digest: RequestDigest


Command = (
    InstallSheet
    | Register
    | Reinstate
    | Deregister
    | AnnounceReplica
    | RefuseRequest
    | AllowRequest
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Command)


def encode_command(command: Command) -> bytes:
    """Return the bytes of a command for the replicated log."""
    return _encoder.encode(command)


def decode_command(data: bytes) -> Command:
    """Return the command that `encode_command` encoded as these bytes."""
    return _decoder.decode(data)
