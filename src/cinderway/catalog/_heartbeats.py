"""What backend servers say of themselves, read from bytes that anybody may write.

A heartbeat that cannot be read, or that says what no server can be, names no server to
use: it is refused with what was given and what is allowed, and all that is known stays.
"""

import ipaddress
import logging
from typing import Annotated, Any

import msgspec

from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import Address, DataHall, ServerName, ServiceName
from cinderway.catalog._registry import UNKNOWN_START, RegisteredServer, ServerStatus

logger = logging.getLogger(__name__)

# Far above any id; what is kept of one is sent to every entry.
MAX_ID_LENGTH = 200
MAX_PORT = 65_535

# What fields may hold. Numbers are kept in 64 bits; no slots would be divided by.
IdText = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_ID_LENGTH)]
Slots = Annotated[int, msgspec.Meta(ge=1, le=10_000)]
WholeMilliseconds = Annotated[int, msgspec.Meta(ge=0, le=2**53)]


class Heartbeat(msgspec.Struct, frozen=True):
    """What a backend server says of itself; its id stands in the path.

    `started_at_ms` tells its starts apart; UNTOLD where it does not say. `sequence`
    grows with each call. Nothing depends on it: within one start a server only ever
    moves from active to leaving, whatever the order calls arrive in.
    """

    service: IdText
    address: IdText
    data_hall: IdText
    slots: Slots
    status: ServerStatus
    version: str = ""
    warmup_left_ms: WholeMilliseconds = 0
    sequence: int = 0
    started_at_ms: WholeMilliseconds = UNKNOWN_START


class Deregistration(msgspec.Struct, frozen=True):
    """What a server that leaves for good may say of itself."""

    started_at_ms: WholeMilliseconds = UNKNOWN_START


_heartbeat_decoder = msgspec.json.Decoder(Heartbeat, strict=True)
_deregistration_decoder = msgspec.json.Decoder(Deregistration, strict=True)


def check_server_id(text: str) -> ServerName:
    """Return an id; raises CinderwayError with HEARTBEAT_INVALID if it can be none."""
    if not 1 <= len(text) <= MAX_ID_LENGTH:
        raise _invalid(
            f"an id of {len(text)} characters; allowed: 1 to {MAX_ID_LENGTH}"
        )
    return ServerName(text)


def decode_heartbeat(server_id: ServerName, body: bytes) -> RegisteredServer:
    """Return the server that a heartbeat tells of.

    Raises CinderwayError with HEARTBEAT_INVALID that says what was given and allowed.
    """
    heartbeat = _decode(_heartbeat_decoder, server_id, body)
    return RegisteredServer(
        server_id,
        ServiceName(heartbeat.service),
        _parse_address(heartbeat.address, server_id),
        DataHall(heartbeat.data_hall),
        heartbeat.slots,
        heartbeat.status,
        heartbeat.version,
        heartbeat.warmup_left_ms,
        heartbeat.started_at_ms,
    )


def decode_farewell(server_id: ServerName, body: bytes) -> int:
    """Return which start a server says has left, UNTOLD for the newest known one.

    The call itself says that it leaves: unreadable bytes take nothing from that.
    """
    if not body:
        return UNKNOWN_START
    try:
        return _decode(_deregistration_decoder, server_id, body).started_at_ms
    except CinderwayError as error:
        logger.info("%s leaves, and does not say which start: %s", server_id, error)
        return UNKNOWN_START


def _decode(decoder: msgspec.json.Decoder, server_id: ServerName, body: bytes) -> Any:
    try:
        return decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise _invalid(f"the heartbeat cannot be read: {error}", server_id) from error


def _parse_address(text: str, server_id: ServerName) -> Address:
    host, _, port = text.rpartition(":")
    is_port = port.isascii() and port.isdigit() and 1 <= int(port) <= MAX_PORT
    if is_port and _is_ip(host):
        return Address(text)
    raise _invalid(
        f"address: given {text!r}; allowed: IP-number:port, ports 1 to {MAX_PORT}",
        server_id,
    )


def _is_ip(host: str) -> bool:
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return False
    return True


def _invalid(detail: str, peer: str = "") -> CinderwayError:
    return CinderwayError(
        ErrorCode.HEARTBEAT_INVALID, detail, step=Step.RECEIVE, peer=peer
    )
