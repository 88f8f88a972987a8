"""Parses the heartbeats of backend servers, which are untrusted input.

A heartbeat that cannot be decoded, or that has impossible values, is rejected with an
error that says what was given and what is allowed. It changes nothing in the registry.
"""

import ipaddress
import logging
from typing import Annotated, Any

import msgspec

from cinderway._errors import CinderwayError, ErrorCode, Step
from cinderway._ids import Address, DataHall, ServerName, ServiceName
from cinderway.catalog._registry import UNKNOWN_START, RegisteredServer, ServerStatus

logger = logging.getLogger(__name__)

# Far longer than any real id. Ids need a limit, because each stored id is sent to every
# entry.
MAX_ID_LENGTH = 200
MAX_PORT = 65_535

# The allowed values of fields. Numbers must fit into 64 bits. `slots` must not be zero,
# because loads are divided by it.
IdText = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_ID_LENGTH)]
Slots = Annotated[int, msgspec.Meta(ge=1, le=10_000)]
WholeMilliseconds = Annotated[int, msgspec.Meta(ge=0, le=2**53)]


class Heartbeat(msgspec.Struct, frozen=True):
    """The body of a heartbeat; the server's id is in the path of the request.

    `started_at_ms` tells the starts of a server apart, and is UNKNOWN_START if the
    server does not report it. `sequence` grows with each heartbeat, but nothing depends
    on it: within one start a server only changes from active to leaving, in whatever
    order its heartbeats arrive.
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
    """The optional body of the call by which a server deregisters for good."""

    started_at_ms: WholeMilliseconds = UNKNOWN_START


_heartbeat_decoder = msgspec.json.Decoder(Heartbeat, strict=True)
_deregistration_decoder = msgspec.json.Decoder(Deregistration, strict=True)


def parse_server_id(text: str) -> ServerName:
    """Return a valid id; raises CinderwayError with HEARTBEAT_INVALID otherwise."""
    if not 1 <= len(text) <= MAX_ID_LENGTH:
        raise _invalid(
            f"the id has {len(text)} characters; allowed: 1 to {MAX_ID_LENGTH}"
        )
    return ServerName(text)


def decode_heartbeat(server_id: ServerName, body: bytes) -> RegisteredServer:
    """Return the server that a heartbeat describes.

    Raises CinderwayError with HEARTBEAT_INVALID, and a detail that says what was given
    and what is allowed.
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


def decode_deregistration(server_id: ServerName, body: bytes) -> int:
    """Return the start time of the start that leaves.

    It is UNKNOWN_START, which stands for the newest known start, if the body is empty
    or cannot be decoded: the call itself says that the server leaves, so a bad body
    does not invalidate it.
    """
    if not body:
        return UNKNOWN_START
    try:
        return _decode(_deregistration_decoder, server_id, body).started_at_ms
    except CinderwayError as error:
        logger.info(
            "%s deregisters without a readable start time: %s", server_id, error
        )
        return UNKNOWN_START


def _decode(decoder: msgspec.json.Decoder, server_id: ServerName, body: bytes) -> Any:
    try:
        return decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise _invalid(
            f"the heartbeat cannot be decoded: {error}", server_id
        ) from error


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
