"""Read and write the platform's packets: 31 bytes of head, then the data."""

import struct
from socket import inet_ntoa

from ..coordination.forwarding.segment import Segment
from ..protocol.segments import SegmentCodec

# flags, pad and len, then both ends, echo, sum, seq, ack. ``echo`` is no echo of the
# caller's: ends write 0 and never read it; it survives a bounce and is ours to use.
_HEAD = struct.Struct(">BH2s4s2s4s4sIII")
_ECHO = slice(15, 19)
HEAD_BYTES = _HEAD.size
SYN, ACK, FIN, RST, BOUNCED = 64, 4, 128, 8, 2
# When a caller sends the copies of an opening packet, after the first; ``ack`` counts
# them there.
_COPY_SECONDS = (0.0, 0.2, 0.6)


def parse_inward(packet: bytes) -> Segment | None:
    """Read a caller's packet; None when it is not one."""
    if len(packet) < HEAD_BYTES:
        return None
    flags, size, sport, src, dport, dst, echo, _, seq, ack = _HEAD.unpack_from(packet)
    if len(packet) != HEAD_BYTES + size:
        return None
    key = src + sport + dst + dport
    return _make(key, packet, flags, echo, seq, ack)


def parse_outward(packet: bytes) -> Segment | None:
    """Read a packet that a target sent, its own or a bounced one of a caller."""
    if len(packet) < HEAD_BYTES:
        return None
    flags, size, sport, src, dport, dst, echo, _, seq, ack = _HEAD.unpack_from(packet)
    if len(packet) != HEAD_BYTES + size:
        return None
    if flags & BOUNCED:
        restored = _restore(packet, flags)
        return _make(src + sport + dst + dport, restored, flags, echo, seq, ack)
    return _make(dst + dport + src + sport, packet, flags, echo, seq, ack)


def mark(segment: Segment, origin: bytes) -> bytes:
    """Return the packet with the balancer's address where a bounce keeps it."""
    raw = segment.raw
    return raw[: _ECHO.start] + origin + raw[_ECHO.stop :]


def make_reset(segment: Segment) -> bytes:
    """Return a reset from the service to the caller, with the caller's last ack."""
    key = segment.key
    src, sport, dst, dport = key[:4], key[4:6], key[6:10], key[10:]
    nothing = bytes(4)
    # Before the target was heard any number may stand there.
    number = segment.acknowledgement if segment.acknowledges else 0
    return _HEAD.pack(RST, 0, dport, dst, sport, src, nothing, 0, number, 0)


def find_caller(segment: Segment) -> str:
    """Return the caller's address."""
    return inet_ntoa(segment.key[:4])


def _make(
    key: bytes, packet: bytes, flags: int, echo: bytes, seq: int, ack: int
) -> Segment:
    copies = ack if flags & SYN and not flags & ACK else 0
    return Segment(
        key,
        packet,
        packet[HEAD_BYTES:],
        seq,
        ack,
        bool(flags & SYN),
        bool(flags & ACK),
        bool(flags & FIN),
        bool(flags & RST),
        bool(flags & BOUNCED),
        echo,
        _COPY_SECONDS[min(copies, len(_COPY_SECONDS) - 1)],
    )


def _restore(packet: bytes, flags: int) -> bytes:
    """Return a bounced packet as its caller wrote it."""
    head = bytes((flags & ~BOUNCED,))
    return head + packet[1 : _ECHO.start] + bytes(4) + packet[_ECHO.stop :]


CODEC = SegmentCodec(parse_inward, parse_outward, mark, make_reset, find_caller)
