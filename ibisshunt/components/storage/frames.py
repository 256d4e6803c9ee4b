"""Frame records with a length and checksums, and read them back."""

import struct
from dataclasses import dataclass

from crc32c import crc32c

from ...exceptions import Fault, StorageError

MAGIC = b"IBWL"
# Magic, sequence number, payload length, payload checksum; then their checksum.
FIELDS = struct.Struct("<4sQII")
CHECKSUM = struct.Struct("<I")
HEADER_BYTES = FIELDS.size + CHECKSUM.size


@dataclass(frozen=True, slots=True)
class Header:
    """Describe one frame."""

    sequence: int
    length: int
    checksum: int


@dataclass(frozen=True, slots=True)
class Scan:
    """Hold the payloads of a file and the offset at which its sound part ends."""

    payloads: tuple[bytes, ...]
    end: int


def make_frame(sequence: int, payload: bytes) -> bytes:
    """Return the payload with its header."""
    fields = FIELDS.pack(MAGIC, sequence, len(payload), crc32c(payload))
    return fields + CHECKSUM.pack(crc32c(fields)) + payload


def scan_frames(name: str, data: bytes) -> Scan:
    """Read frames up to the end or a torn tail.

    A frame is synced before the next one is written, so a crash can damage only the
    last. Damage that is followed by anything sound hit a record that was synced, and
    may have been accepted: raise StorageError instead of dropping it.
    """
    payloads: list[bytes] = []
    offset = 0
    while offset < len(data):
        payload = _read_frame(name, data, offset, len(payloads))
        if payload is None:
            break
        payloads.append(payload)
        offset += HEADER_BYTES + len(payload)
    return Scan(tuple(payloads), offset)


def _read_frame(name: str, data: bytes, offset: int, sequence: int) -> bytes | None:
    """Return the payload at an offset, or None for a torn tail."""
    header = read_header(data, offset)
    if header is None or header.sequence != sequence:
        if _has_later_header(data, offset + 1, sequence):
            raise _explain(name, offset, "header checksum fault before sound records")
        return None
    start = offset + HEADER_BYTES
    payload = data[start : start + header.length]
    if len(payload) == header.length and crc32c(payload) == header.checksum:
        return payload
    if start + header.length < len(data):
        raise _explain(name, offset, "checksum fault before later records")
    return None


def read_header(data: bytes, offset: int) -> Header | None:
    """Return the header at an offset, or None when there is no sound one."""
    raw = data[offset : offset + HEADER_BYTES]
    if len(raw) < HEADER_BYTES:
        return None
    fields = raw[: FIELDS.size]
    if CHECKSUM.unpack(raw[FIELDS.size :])[0] != crc32c(fields):
        return None
    magic, sequence, length, checksum = FIELDS.unpack(fields)
    return Header(sequence, length, checksum) if magic == MAGIC else None


def _has_later_header(data: bytes, start: int, sequence: int) -> bool:
    offset = data.find(MAGIC, start)
    while offset >= 0:
        header = read_header(data, offset)
        if header is not None and header.sequence > sequence:
            return True
        offset = data.find(MAGIC, offset + 1)
    return False


def _explain(name: str, offset: int, reason: str) -> StorageError:
    reason = f"{reason} at offset {offset}; this host must be replaced"
    return StorageError(Fault("recover file", name, reason))
