"""The commands that control replicates to change the catalog.

Their encoding stands in logs on disk: a field may be added with a default, but neither
renamed there nor removed.
"""

import msgspec

from cinderway._ids import Address, DataHall, RequestDigest, ServerName
from cinderway.catalog._packing import pack, unpack
from cinderway.catalog._registry import UNKNOWN_START, RegisteredServer


class InstallSheet(msgspec.Struct, frozen=True, tag="sheet"):
    """Put a route sheet in force, unless its version does not exceed the one held.

    `body` is a checked sheet as its operator sent it, in logs of earlier versions;
    commands that are made now hold it packed.
    """

    body: bytes = b""
    packed: bytes = b""

    @classmethod
    def of(cls, body: bytes) -> "InstallSheet":
        """Return the command that puts a checked sheet in force."""
        return cls(packed=pack(body))

    @property
    def unpacked_body(self) -> bytes:
        """The sheet as its operator sent it."""
        return unpack(self.packed) if self.packed else self.body


class Register(msgspec.Struct, frozen=True, tag="register"):
    """Take a backend server's heartbeat that says something new."""

    server: RegisteredServer


class Reinstate(msgspec.Struct, frozen=True, tag="reinstate"):
    """Give a server its place back that a late heartbeat of an earlier start took."""

    server: RegisteredServer


class Deregister(msgspec.Struct, frozen=True, tag="deregister"):
    """Take a start of a backend server out for good.

    Without `started_at_ms`, as earlier versions wrote it, the newest known one.
    """

    server_id: ServerName
    started_at_ms: int = UNKNOWN_START


class AnnounceReplica(msgspec.Struct, frozen=True, tag="replica"):
    """Tell the fleet where a control replica is, and in which data hall.

    `address` is where the fleet's own processes reach it, `http_address` where
    operators and backend servers do.
    """

    address: Address
    data_hall: DataHall
    # Encoded under its first name: logs and snapshots on disk hold it so.
    http_address: Address = msgspec.field(name="operators_address")


class RefuseRequest(msgspec.Struct, frozen=True, tag="refuse"):
    """Keep that a request is not sent to servers, also when all power is lost.

    `until_ms` is the Unix time at which that ends, by the leader's clock; the other
    fields are those of `cinderway.poison.Ruling`.
    """

    digest: RequestDigest
    round_number: int
    until_ms: int
    servers: list[ServerName]
    refusals: int
    # By an operator.
    is_barred: bool = False


class AllowRequest(msgspec.Struct, frozen=True, tag="allow"):
    """Forget that a request is refused."""

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
    """Return the bytes that go into the replicated log."""
    return _encoder.encode(command)


def decode_command(data: bytes) -> Command:
    """Return the command that `encode_command` gave these bytes for."""
    return _decoder.decode(data)
