"""Records of the write-ahead log: framing, checksums, and the handling of damage.

Each record is written and synced as a whole before the next one is started, so after a
crash at most the last record can be incomplete. Such a torn tail was never acknowledged
to anyone and may be dropped. Any other unreadable content is damage, and is reported
rather than skipped.
"""

import struct
import zlib
from dataclasses import dataclass

from cinderway._errors import CinderwayError, ErrorCode, Step

MAGIC = b"CWR1"
# Magic, payload length, CRC-32 of the payload, CRC-32 of the preceding header fields.
HEADER = struct.Struct(">4sIII")
SECTOR_BYTES = 512


@dataclass(frozen=True)
class ScannedRecords:
    """The payloads of the readable records, and the total length of the records."""

    payloads: list[bytes]
    valid_bytes: int


def frame_record(payload: bytes) -> bytes:
    """Return the payload framed as a record."""
    start = struct.pack(">4sII", MAGIC, len(payload), zlib.crc32(payload))
    return start + struct.pack(">I", zlib.crc32(start)) + payload


def scan_records(content: bytes, *, source: str) -> ScannedRecords:
    """Read records from the start, up to a torn tail if there is one.

    Raises CinderwayError with DATA_DAMAGED if the unreadable rest is not the remainder
    of one write that a crash cut off.
    """
    payloads: list[bytes] = []
    position = 0
    while position < len(content):
        payload = _payload_at(content, position)
        if payload is None:
            _check_torn_tail(content, position, source)
            break
        payloads.append(payload)
        position += HEADER.size + len(payload)
    return ScannedRecords(payloads, position)


def _payload_at(content: bytes, position: int) -> bytes | None:
    length_bytes = _read_payload_length(content, position)
    if length_bytes is None:
        return None
    start = position + HEADER.size
    payload = content[start : start + length_bytes]
    checksum = HEADER.unpack_from(content, position)[2]
    if len(payload) < length_bytes or zlib.crc32(payload) != checksum:
        return None
    return payload


def _read_payload_length(content: bytes, position: int) -> int | None:
    header = content[position : position + HEADER.size]
    if len(header) < HEADER.size:
        return None
    magic, length_bytes, _, header_checksum = HEADER.unpack(header)
    if magic != MAGIC or zlib.crc32(header[:-4]) != header_checksum:
        return None
    return length_bytes


def _check_torn_tail(content: bytes, position: int, source: str) -> None:
    if _has_record_after(content, position + 1) or not _is_cut_short(content, position):
        raise CinderwayError(
            ErrorCode.DATA_DAMAGED,
            f"{source}: the record at byte {position} is damaged",
            step=Step.STORE,
        )


def _has_record_after(content: bytes, position: int) -> bool:
    position = content.find(MAGIC, position)
    while position != -1:
        if _payload_at(content, position) is not None:
            return True
        position = content.find(MAGIC, position + 1)
    return False


def _is_cut_short(content: bytes, position: int) -> bool:
    # A crash leaves a write short or, if the file's length was already extended, with
    # some sectors still zero. A record of full length without a zero sector was once
    # written and synced completely, so its checksum fails for another reason: damage.
    length_bytes = _read_payload_length(content, position)
    if length_bytes is not None:
        is_short = position + HEADER.size + length_bytes > len(content)
        if is_short:
            return True
    elif len(content) - position < HEADER.size:
        return True
    return _has_zero_sector(content, position)


def _has_zero_sector(content: bytes, position: int) -> bool:
    sector = position - position % SECTOR_BYTES
    while sector < len(content):
        chunk = content[max(sector, position) : sector + SECTOR_BYTES]
        if not any(chunk):
            return True
        sector += SECTOR_BYTES
    return False
