"""Frame records with a sequence number, length and checksums; read them back."""

import struct
from dataclasses import dataclass

from crc32c import crc32c

from ...exceptions import Fault, StorageError

MAGIC = b"IBWL"
# Magic, sequence number, payload length, payload checksum; the checksum of these
# follows.
HEADER_FIELDS = struct.Struct("<4sQII")
HEADER_CHECKSUM = struct.Struct("<I")
HEADER_BYTES = HEADER_FIELDS.size + HEADER_CHECKSUM.size


@dataclass(frozen=True, slots=True)
class FrameHeader:
    """Header of one frame; ``length`` and ``checksum`` are those of its payload."""

    sequence: int
    length: int
    checksum: int


@dataclass(frozen=True, slots=True)
class ScanResult:
    """Payloads of a file and the length of its valid part in bytes."""

    payloads: tuple[bytes, ...]
    valid_bytes: int


def make_frame(sequence: int, payload: bytes) -> bytes:
    """Return the payload with its header."""
    fields = HEADER_FIELDS.pack(MAGIC, sequence, len(payload), crc32c(payload))
    return fields + HEADER_CHECKSUM.pack(crc32c(fields)) + payload


def scan_frames(name: str, data: bytes) -> ScanResult:
    """Read frames up to the end of the file or a torn last frame.

    A frame is synced before the next one is written, so a crash can only damage the
    last one. A damaged frame with valid data after it had been synced and may have
    been acknowledged: raise StorageError instead of dropping it.
    """
    payloads: list[bytes] = []
    offset = 0
    while offset < len(data):
        payload = _read_frame(name, data, offset, len(payloads))
        if payload is None:
            break
        payloads.append(payload)
        offset += HEADER_BYTES + len(payload)
    return ScanResult(tuple(payloads), offset)


def _read_frame(name: str, data: bytes, offset: int, sequence: int) -> bytes | None:
    """Return the payload at an offset, or None for a torn last frame."""
    header = read_header(data, offset)
    if header is None or header.sequence != sequence:
        if _has_later_header(data, offset + 1, sequence):
            raise _make_storage_error(
                name, offset, "header checksum mismatch before valid records"
            )
        return None
    start = offset + HEADER_BYTES
    payload = data[start : start + header.length]
    if len(payload) == header.length and crc32c(payload) == header.checksum:
        return payload
    if start + header.length < len(data):
        raise _make_storage_error(
            name, offset, "checksum mismatch before later records"
        )
    return None


def read_header(data: bytes, offset: int) -> FrameHeader | None:
    """Return the header at an offset, or None if there is no valid one."""
    raw = data[offset : offset + HEADER_BYTES]
    if len(raw) < HEADER_BYTES:
        return None
    fields = raw[: HEADER_FIELDS.size]
    if HEADER_CHECKSUM.unpack(raw[HEADER_FIELDS.size :])[0] != crc32c(fields):
        return None
    magic, sequence, length, checksum = HEADER_FIELDS.unpack(fields)
    return FrameHeader(sequence, length, checksum) if magic == MAGIC else None


def _has_later_header(data: bytes, start: int, sequence: int) -> bool:
    offset = data.find(MAGIC, start)
    while offset >= 0:
        header = read_header(data, offset)
        if header is not None and header.sequence > sequence:
            return True
        offset = data.find(MAGIC, offset + 1)
    return False


def _make_storage_error(name: str, offset: int, reason: str) -> StorageError:
    reason = f"{reason} at offset {offset}; this host must be replaced"
    return StorageError(Fault("recover file", name, reason))
